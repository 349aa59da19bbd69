"""Store that is reached through a peer where it turns this VM away."""

import logging
from typing import Any

import grpc
from returns import result

from chestnutshunt import errors
from chestnutshunt.store import listing
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import peer_info
from chestnutshunt_daemon.peers import store_call
from chestnutshunt_daemon.peers import store_codec
from chestnutshunt_daemon.wire import fleet_pb2

__all__ = ['RelayedStore']

LOG = logging.getLogger(__name__)

RELAY_S = 2.0
"""Seconds a relayed call may take; longer than the peer's own call."""

MAX_RELAYS = 2
"""Peers that are asked for one call."""

Failed = errors.ChestnutshuntError


class RelayedStore(object_store.ObjectStore):
    """Calls the store directly or, where that fails, through a peer.

    A call that may have been carried out is not repeated here: the caller
    settles it.

    Parameters
    ----------
    state : FleetState
        This daemon, whose readers notice whether the store is reached.
    direct : ObjectStore
        The store.
    clients : PeerClients
        Channels to peers.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        direct: object_store.ObjectStore,
        clients: peer_clients.PeerClients,
    ) -> None:
        self.state = state
        self.direct = direct
        self.clients = clients

    def get(
        self, kind: str, name: str
    ) -> result.Result[stored_object.StoredObject | None, Failed]:
        """Read one object; ``None`` when there is none."""
        return self.call(store_call.StoreCall('get', kind, name))

    def list_kind(self, kind: str) -> result.Result[listing.Listing, Failed]:
        """List all objects of a kind."""
        return self.call(store_call.StoreCall('list_kind', kind))

    def put(
        self, kind: str, name: str, value: dict[str, Any], expected: int
    ) -> result.Result[stored_object.StoredObject, Failed]:
        """Write an object if its version is `expected`, 0 for absent."""
        return self.call(
            store_call.StoreCall('put', kind, name, value, expected)
        )

    def put_status(
        self, kind: str, name: str, status: dict[str, Any], expected: int
    ) -> result.Result[stored_object.StoredObject, Failed]:
        """Write what the system says about an operator's object."""
        return self.call(
            store_call.StoreCall('put_status', kind, name, status, expected)
        )

    def delete(
        self, kind: str, name: str, expected: int
    ) -> result.Result[int, Failed]:
        """Delete an object if its version is `expected`."""
        return self.call(
            store_call.StoreCall('delete', kind, name, None, expected)
        )

    def call(self, call: store_call.StoreCall) -> result.Result[Any, Failed]:
        """Make a call on the first way that takes it."""
        relays = self.relays()
        if self.state.store_read_s >= 0 or not relays:
            outcome = self.call_direct(call)
            if not relays or not is_refused(outcome):
                return outcome
        return self.relay(relays, call)

    def call_direct(
        self, call: store_call.StoreCall
    ) -> result.Result[Any, Failed]:
        """Call the store itself."""
        outcome = store_codec.call_store(self.direct, call)
        match outcome:
            case result.Failure(
                errors.PlatformUnavailable()
                | errors.PlatformUncertain() as exc
            ):
                # Later calls go through a peer until a read succeeds here.
                self.state.note_store_read(-1.0, exc.message)
                label = 'failed'
            case _:
                label = 'ok'
        self.state.metrics.store_calls.labels(call.operation, label).inc()
        return outcome

    def relays(self) -> list[peer_info.PeerInfo]:
        """Return the peers that reach the store, the nearest first."""
        found = [x for x in self.state.live_peers() if x.store_read_s >= 0]
        own = self.state.config.datacentre
        found.sort(key=lambda x: (x.datacentre != own, x.store_read_s, x.name))
        return found[:MAX_RELAYS]

    def relay(
        self, relays: list[peer_info.PeerInfo], call: store_call.StoreCall
    ) -> result.Result[Any, Failed]:
        """Make a call through peers."""
        message = store_codec.encode_call(call)
        outcome: result.Result[Any, Failed] = result.Failure(
            errors.PlatformUnavailable('No peer reaches the store.')
        )
        for peer in relays:
            outcome = self.ask(peer, message)
            label = 'ok' if isinstance(outcome, result.Success) else 'failed'
            self.state.metrics.store_calls.labels(
                f'relayed_{call.operation}', label
            ).inc()
            if not is_refused(outcome):
                break
        return outcome

    def ask(
        self, peer: peer_info.PeerInfo, message: fleet_pb2.StoreCall
    ) -> result.Result[Any, Failed]:
        """Make a call through one peer."""
        try:
            stub = self.clients.stub(peer.address)
            reply = stub.CallStore(message, timeout=RELAY_S)
        except grpc.RpcError as exc:
            text = f'{peer.name} did not relay: {exc.code()}.'
            LOG.info('Store call not relayed', extra={'peer': peer.name})
            if message.operation in ('get', 'list_kind'):
                return result.Failure(errors.PlatformUnavailable(text))
            return result.Failure(errors.PlatformUncertain(text))
        return store_codec.decode_reply(message.operation, reply)


def is_refused(outcome: result.Result[Any, Failed]) -> bool:
    """Tell whether a call has changed nothing and may go another way."""
    match outcome:
        case result.Failure(errors.PlatformUnavailable()):
            return True
    return False
