"""Finds the issuer of permits for each target, and issues them if it is here.

The issuer for a target is one of the hubs, by rendezvous hash. Any number of
daemons may call it, so the sum over all of them keeps to the target's limit.
"""

from collections.abc import Iterable
import logging

import grpc

from chestnutshunt.ratelimit import permit_grant
from chestnutshunt.ratelimit import permit_issuer
from chestnutshunt.ratelimit import permit_want
from chestnutshunt.routing import rendezvous
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import fleet_codec
from chestnutshunt_daemon.wire import fleet_pb2

__all__ = ['PermitBroker', 'call_issuer']

LOG = logging.getLogger(__name__)

# Time for the call of another daemon; two hops between regions take 50 ms.
CALL_TIMEOUT_S = 0.3

# Delay before the next call after one that failed or found no issuer.
RETRY_S = 0.3

# A daemon issues nothing for this time after its start: it does not know yet
# which hubs there are, and another daemon may still be the issuer.
SETTLE_S = 1.5


class PermitBroker:
    """Issues permits, or has them issued by the hub that is the issuer.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon.
    clients : PeerClients
        Channels to peers.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        clients: peer_clients.PeerClients,
    ) -> None:
        self.state = state
        self.clients = clients
        self.issuer = permit_issuer.PermitIssuer(state.clock)

    def issue(
        self, wants: Iterable[permit_want.PermitWant], relayed: bool = False
    ) -> list[permit_grant.PermitGrant]:
        """Return the permits that are issued for each want.

        Parameters
        ----------
        wants : iterable of PermitWant
            Permits that a daemon needs.
        relayed : bool, optional
            Whether another hub took this daemon for the issuer; it is not
            asked to find another one.
        """
        grants = []
        by_address: dict[str, list[permit_want.PermitWant]] = {}
        for want in wants:
            self.learn_limit(want)
            address = self.issuer_address(want.start_key)
            if not address:
                grants.append(self.issue_here(want))
            elif not relayed:
                by_address.setdefault(address, []).append(want)
            else:
                grants.append(self.grant(want, 0, RETRY_S))
        for address, others in by_address.items():
            grants += call_issuer(
                self.clients, address, others, relayed=True
            ) or [self.grant(want, 0, RETRY_S) for want in others]
        return grants

    def learn_limit(self, want: permit_want.PermitWant) -> None:
        """Record what the asking daemon knows of a target's limit."""
        self.state.rate_gate.limits.record(
            want.start_key,
            want.rate,
            self.state.clock.monotonic() - want.age_s,
        )

    def issuer_address(self, start_key: str) -> str:
        """Return the address of a target's issuer; empty for this daemon."""
        addresses = {
            peer.name: peer.address
            for peer in self.state.live_hubs()
            if not peer.leaving
        }
        if not self.state.leaving.is_set():
            addresses[self.state.config.name] = ''
        if not addresses:
            return ''
        return addresses[rendezvous.rank(start_key, addresses)[0]]

    def issue_here(
        self, want: permit_want.PermitWant
    ) -> permit_grant.PermitGrant:
        """Issue permits from this daemon's part of the target's limit."""
        rate = self.state.rate_gate.limits.rate_of(want.start_key)
        if rate is None:
            return self.grant(want, 0, 0.0)
        rate = max(rate, permit_issuer.MIN_RATE) * self.state.hub_share()
        if self.state.clock.monotonic() - self.state.started_at < SETTLE_S:
            rate = 0.0
        permits = self.issuer.issue(
            want.start_key, rate, want.count, want.spent
        )
        return self.grant(want, permits.count, permits.retry_s)

    def grant(
        self, want: permit_want.PermitWant, count: int, retry_s: float
    ) -> permit_grant.PermitGrant:
        """Return a grant with what this daemon knows of the limit."""
        gate = self.state.rate_gate
        known = gate.describe(want.start_key, 0, 0)
        return permit_grant.PermitGrant(
            want.start_key, count, retry_s, known.rate, known.age_s
        )


def call_issuer(
    clients: peer_clients.PeerClients,
    address: str,
    wants: list[permit_want.PermitWant],
    relayed: bool,
) -> list[permit_grant.PermitGrant]:
    """Ask another daemon for permits; empty if it does not reply."""
    request = fleet_pb2.PermitRequest(
        wants=[fleet_codec.encode_want(want) for want in wants],
        relayed=relayed,
    )
    try:
        reply = clients.stub(address).IssuePermits(
            request, timeout=CALL_TIMEOUT_S
        )
    except grpc.RpcError as exc:
        LOG.info(
            'No permits from a peer',
            extra={
                'peer': address,
                'targets': len(wants),
                'error': str(exc.code()),
            },
        )
        return []
    return [fleet_codec.decode_grant(grant) for grant in reply.grants]
