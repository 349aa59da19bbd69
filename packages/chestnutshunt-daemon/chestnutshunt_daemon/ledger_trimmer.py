"""Deletes expired segments of the ledger."""

from chestnutshunt_daemon import node

__all__ = ['LedgerTrimmer']

PERIOD = 60.0
"""Seconds between trimmings."""


class LedgerTrimmer:
    """Trims the shards whose home this daemon is, and forgets the others.

    Parameters
    ----------
    held : Node
        The daemon.
    """

    def __init__(self, held: node.Node) -> None:
        self.held = held

    def run(self) -> None:
        """Trim until the daemon stops."""
        while not self.held.stopped.wait(PERIOD):
            for shard, log in list(self.held.ledger.shard_logs.items()):
                home = self.held.directory.responsible_member(
                    f'ledger/{shard}'
                )
                if home.name == self.held.own.name:
                    log.trim()
                else:
                    self.held.ledger.drop_shard(shard)
