"""Deletes expired segments of the ledger."""

from chestnutshunt_daemon import node

__all__ = ['LedgerTrimmer']

TRIM_PERIOD_S = 60.0


class LedgerTrimmer:
    """Trims the shards whose home this daemon is, and drops the others.

    Parameters
    ----------
    state : Node
        State of the daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state

    def run(self) -> None:
        """Trim the shards each period until the daemon stops."""
        while not self.state.stopped.wait(TRIM_PERIOD_S):
            for shard, log in list(self.state.ledger.shard_logs.items()):
                home = self.state.directory.responsible_member(
                    f'ledger/{shard}'
                )
                if home.name == self.state.own.name:
                    log.trim()
                else:
                    self.state.ledger.drop_shard(shard)
