"""Checks in the store which process of a target runs now."""

import logging

from returns import result

from chestnutshunt.replicas import replica
from chestnutshunt.store import object_store
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['ProcessCheck']

LOG = logging.getLogger(__name__)


class ProcessCheck:
    """Tells whether a target is still the process that a daemon knows.

    A target may start again under its id, with other software, and the
    registrations that a daemon knows are some tenths of a second old.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    store : ObjectStore
        Store of the registrations.
    """

    def __init__(
        self, state: fleet_state.FleetState, store: object_store.ObjectStore
    ) -> None:
        self.state = state
        self.store = store

    def is_current(self, target: replica.Replica) -> bool:
        """Return whether a target's registration names the same process.

        If the store does not answer, the registration that is known counts.
        """
        schema = self.state.schema
        match self.store.get(schema.replica_kind, target.id):
            case result.Success(stored):
                current = stored and schema.decode_replica(stored)
                same = (
                    current is not None
                    and current.start_key == target.start_key
                    and current.origin == target.origin
                )
                error = ''
            case result.Failure(exc):
                same = self.state.replicas.is_serving(target)
                error = exc.message
        if error or not same:
            LOG.info(
                'Process of a target checked',
                extra={
                    'target': target.id,
                    'started_ms': target.started_ms,
                    'software': target.software,
                    'same': same,
                    'error': error,
                },
            )
        return same
