"""Passes the origins of streams on to peers, and asks them for origins.

A caller takes a stream up at any daemon, also after the loss of the one that
began it. Each origin is kept by two hubs, by rendezvous hash of the request,
and recorded by the hub through which it passes.
"""

from collections.abc import Callable
from collections.abc import Mapping
import logging
import threading

import grpc

from chestnutshunt import errors
from chestnutshunt.routing import rendezvous
from chestnutshunt.streams import stream_origin
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.wire import fleet_pb2

__all__ = ['OriginRelay']

LOG = logging.getLogger(__name__)

# Hubs that keep the origin of one stream, and hubs that are asked for it: the
# order may have changed since.
HOME_COUNT = 2
ASKED_COUNT = 3

# Time between two deliveries, and what each registered daemon adds to it.
PERIOD_S = 0.2
PERIOD_PER_MEMBER_S = 0.002

CALL_TIMEOUT_S = 0.25

# Longest wait for a stream before checking whether the daemon stops.
IDLE_S = 0.5

# Origins that wait for delivery; the oldest are dropped beyond that.
MAX_UNSENT_COUNT = 10_000

Origins = Mapping[str, stream_origin.StreamOrigin]


class OriginRelay:
    """Delivers origins to the hubs that keep them; a leaf through its hub.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon.
    clients : PeerClients
        Channels to peers.

    Attributes
    ----------
    record : callable
        Called with the origins that pass through this daemon.
    find_recorded : callable
        Returns the origin of a stream that was recorded; for leaves.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        clients: peer_clients.PeerClients,
    ) -> None:
        self.state = state
        self.clients = clients
        self.record: Callable[[Origins], None] = lambda origins: None
        self.find_recorded: Callable[
            [str], stream_origin.StreamOrigin | None
        ] = lambda request_id: None
        self.unsent: dict[str, stream_origin.StreamOrigin] = {}
        self.lock = threading.Lock()
        self.added = threading.Event()
        state.origins.publish = lambda name, origin: self.add({name: origin})
        state.origins.publish_at_once = self.deliver_at_once
        state.origins.find_elsewhere = self.find

    def add(self, origins: Origins) -> None:
        """Queue origins for delivery, and record them."""
        self.record(origins)
        with self.lock:
            self.unsent.update(origins)
            while len(self.unsent) > MAX_UNSENT_COUNT:
                del self.unsent[next(iter(self.unsent))]
        self.added.set()

    def run(self) -> None:
        """Deliver origins until this daemon stops."""
        while not self.state.stopped.is_set():
            if not self.added.wait(IDLE_S):
                continue
            self.added.clear()
            self.deliver()
            members = len(self.state.topology.members)
            self.state.stopped.wait(PERIOD_S + PERIOD_PER_MEMBER_S * members)

    def deliver(self) -> None:
        """Send all queued origins, and queue those again that failed."""
        with self.lock:
            origins = dict(self.unsent)
        batches: dict[str, dict[str, stream_origin.StreamOrigin]] = {}
        for request_id, origin in origins.items():
            for address in self.addresses(request_id, HOME_COUNT):
                batches.setdefault(address, {})[request_id] = origin
        failed: set[str] = set()
        for address, batch in batches.items():
            if not self.send(address, batch):
                failed.update(batch)
        with self.lock:
            for request_id in origins.keys() - failed:
                self.unsent.pop(request_id, None)
        if failed:
            self.added.set()

    def send(self, address: str, origins: Origins) -> bool:
        """Send origins to one peer; return whether it has them."""
        request = fleet_pb2.StreamOrigins(
            origins=[
                fleet_pb2.StreamOrigin(
                    request=request_id,
                    service=origin.service,
                    software=origin.software,
                )
                for request_id, origin in origins.items()
            ],
            relayed=self.state.is_hub,
        )
        try:
            self.clients.stub(address).RecordOrigins(
                request, timeout=CALL_TIMEOUT_S
            )
        except grpc.RpcError as exc:
            LOG.info(
                'Origins of streams not delivered yet',
                extra={
                    'peer': address,
                    'streams': len(origins),
                    'error': str(exc.code()),
                },
            )
            return False
        return True

    def deliver_at_once(
        self, request_id: str, origin: stream_origin.StreamOrigin
    ) -> None:
        """Send one origin now; it is queued if a hub does not take it."""
        self.record({request_id: origin})
        for address in self.addresses(request_id, HOME_COUNT):
            if not self.send(address, {request_id: origin}):
                self.add({request_id: origin})

    def accept(self, origins: Origins, relayed: bool) -> None:
        """Keep origins that a peer has sent; a leaf's are passed on.

        Parameters
        ----------
        origins : mapping of str to StreamOrigin
            Origins by the request that began the stream.
        relayed : bool
            Whether the sender took this daemon for a hub that keeps them.
        """
        for request_id, origin in origins.items():
            if relayed:
                self.state.origins.table.record(request_id, origin)
            else:
                self.state.origins.begin(request_id, origin)

    def find(
        self, request_id: str, relayed: bool = False
    ) -> stream_origin.StreamOrigin | None:
        """Return an origin that this daemon or a peer knows.

        Parameters
        ----------
        request_id : str
            Request that began the stream.
        relayed : bool, optional
            Whether another hub asks; then only this daemon is looked at.

        Raises
        ------
        NotReady
            Too few of the hubs that may know the origin could be asked.
        """
        known = self.state.origins.table.find(request_id)
        if known is not None or relayed:
            return known
        addresses = self.addresses(request_id, ASKED_COUNT)
        reply_count = 0
        for address in addresses:
            reply = self.ask(address, request_id)
            if reply is None or reply.in_doubt:
                continue
            if reply.found:
                return stream_origin.StreamOrigin(
                    reply.origin.service, reply.origin.software
                )
            reply_count += 1
        if reply_count < self.needed_count(addresses):
            raise errors.NotReady(
                'Too few peers could be asked for the origin of a stream.'
            )
        return None

    def needed_count(self, addresses: list[str]) -> int:
        """Return how many hubs must reply that they do not know an origin.

        Two of the three that are asked include a hub that was sent it.
        """
        others = len(self.state.topology.members) - 1
        if not self.state.is_hub:
            return len(addresses)
        return min(ASKED_COUNT - HOME_COUNT + 1, max(others, 0))

    def ask(
        self, address: str, request_id: str
    ) -> fleet_pb2.OriginAnswer | None:
        """Return a hub's answer, ``None`` if it does not reply."""
        query = fleet_pb2.OriginQuery(
            request=request_id, relayed=self.state.is_hub
        )
        try:
            return self.clients.stub(address).FindOrigin(
                query, timeout=CALL_TIMEOUT_S
            )
        except grpc.RpcError as exc:
            LOG.info(
                'Peer not asked for the origin of a stream',
                extra={
                    'peer': address,
                    'begun_by': request_id,
                    'error': str(exc.code()),
                },
            )
            return None

    def addresses(self, request_id: str, count: int) -> list[str]:
        """Return the addresses of the first hubs for a request.

        This daemon is left out if it is one of them. For a leaf it is the
        address of its own hub.
        """
        current = self.state.topology.current
        if not current.is_hub and current.hubs:
            name = rendezvous.rank(self.state.config.name, current.hubs)[0]
            return [current.hubs[name].address]
        by_name = {
            peer.name: peer.address
            for peer in self.state.live_hubs()
            if not peer.leaving
        }
        by_name[self.state.config.name] = ''
        order = rendezvous.rank(request_id, by_name)[:count]
        return [by_name[name] for name in order if by_name[name]]
