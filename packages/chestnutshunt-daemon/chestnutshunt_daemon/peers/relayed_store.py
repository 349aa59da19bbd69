"""Object store that is called through a peer if it cannot be reached."""

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

# Timeout of a relayed call; longer than that of the peer's own call.
RELAY_TIMEOUT_S = 2.0

# Peers that are tried for one call.
MAX_RELAY_COUNT = 2

Error = errors.ChestnutshuntError


class RelayedStore(object_store.ObjectStore):
    """Calls the store directly or, if that is refused, through a peer.

    A call that may have been executed is not retried here: the caller has to
    find out.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon; its mirror readers record whether the
        store can be reached.
    direct_store : ObjectStore
        The store, called directly.
    clients : PeerClients
        Channels to peers.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        direct_store: object_store.ObjectStore,
        clients: peer_clients.PeerClients,
    ) -> None:
        self.state = state
        self.direct_store = direct_store
        self.clients = clients

    def get(
        self, kind: str, name: str
    ) -> result.Result[stored_object.StoredObject | None, Error]:
        """Read an object; ``None`` if it does not exist."""
        return self.call(store_call.StoreCall('get', kind, name))

    def list_kind(self, kind: str) -> result.Result[listing.Listing, Error]:
        """List all objects of a kind."""
        return self.call(store_call.StoreCall('list_kind', kind))

    def put(
        self, kind: str, name: str, value: dict[str, Any], expected: int
    ) -> result.Result[stored_object.StoredObject, Error]:
        """Write an object if its version is `expected`, 0 to create it."""
        return self.call(
            store_call.StoreCall('put', kind, name, value, expected)
        )

    def put_status(
        self, kind: str, name: str, status: dict[str, Any], expected: int
    ) -> result.Result[stored_object.StoredObject, Error]:
        """Write the status of an operator's object."""
        return self.call(
            store_call.StoreCall('put_status', kind, name, status, expected)
        )

    def delete(
        self, kind: str, name: str, expected: int
    ) -> result.Result[int, Error]:
        """Delete an object if its version is `expected`."""
        return self.call(
            store_call.StoreCall('delete', kind, name, None, expected)
        )

    def call(self, call: store_call.StoreCall) -> result.Result[Any, Error]:
        """Make a call directly or through the peers that reach the store."""
        relays = self.relays()
        if self.state.store_read_s >= 0 or not relays:
            outcome = self.call_direct(call)
            if not relays or not is_refused(outcome):
                return outcome
        return self.relay(relays, call)

    def call_direct(
        self, call: store_call.StoreCall
    ) -> result.Result[Any, Error]:
        """Call the store directly."""
        started_at = self.state.clock.monotonic()
        outcome = store_codec.call_store(self.direct_store, call)
        match outcome:
            case result.Failure(
                errors.PlatformUnavailable()
                | errors.PlatformUncertain() as exc
            ):
                # Later calls are relayed until a direct read succeeds.
                self.state.note_store_read(-1.0, exc.message)
                label = 'failed'
            case _:
                label = 'ok'
                if self.state.store_read_s < 0:
                    self.state.note_store_read(
                        self.state.clock.monotonic() - started_at
                    )
        self.state.metrics.store_calls.labels(call.operation, label).inc()
        return outcome

    def relays(self) -> list[peer_info.PeerInfo]:
        """Return the peers to try, nearest first."""
        peers = [x for x in self.state.live_peers() if x.store_read_s >= 0]
        own = self.state.config.datacentre
        peers.sort(key=lambda x: (x.datacentre != own, x.store_read_s, x.name))
        return peers[:MAX_RELAY_COUNT]

    def relay(
        self, relays: list[peer_info.PeerInfo], call: store_call.StoreCall
    ) -> result.Result[Any, Error]:
        """Try a call through each peer until one does not refuse it."""
        message = store_codec.encode_call(call)
        outcome: result.Result[Any, Error] = result.Failure(
            errors.PlatformUnavailable('No peer can reach the store.')
        )
        for peer in relays:
            outcome = self.call_peer(peer, message)
            label = 'ok' if isinstance(outcome, result.Success) else 'failed'
            self.state.metrics.store_calls.labels(
                f'relayed_{call.operation}', label
            ).inc()
            if not is_refused(outcome):
                break
        return outcome

    def call_peer(
        self, peer: peer_info.PeerInfo, message: fleet_pb2.StoreCall
    ) -> result.Result[Any, Error]:
        """Make a call through one peer."""
        try:
            stub = self.clients.stub(peer.address)
            reply = stub.CallStore(message, timeout=RELAY_TIMEOUT_S)
        except grpc.RpcError as exc:
            text = f'Peer {peer.name} did not relay the call: {exc.code()}.'
            LOG.info('Store call not relayed', extra={'peer': peer.name})
            if message.operation in ('get', 'list_kind'):
                return result.Failure(errors.PlatformUnavailable(text))
            return result.Failure(errors.PlatformUncertain(text))
        return store_codec.decode_reply(message.operation, reply)


def is_refused(outcome: result.Result[Any, Error]) -> bool:
    """Return whether a call had no effect and may be tried elsewhere."""
    match outcome:
        case result.Failure(errors.PlatformUnavailable()):
            return True
    return False
