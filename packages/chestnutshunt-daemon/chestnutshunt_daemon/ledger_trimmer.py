"""Deletes expired segments of the ledger."""

from chestnutshunt_daemon import node

__all__ = ['LedgerTrimmer']

PERIOD = 60.0
"""Seconds between trimmings."""


class LedgerTrimmer:
    """Trims the shards whose home this daemon is, and forgets the others.

    Parameters
    ----------
    state : Node
        The daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state

    def run(self) -> None:
        """Trim until the daemon stops."""
        while not self.state.stopped.wait(PERIOD):
            for shard, log in list(self.state.ledger.logs.items()):
                home = self.state.directory.home_of(f'ledger/{shard}')
                if home.name == self.state.own.name:
                    log.trim()
                else:
                    self.state.ledger.forget(shard)
