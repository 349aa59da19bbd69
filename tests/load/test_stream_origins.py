"""Streams that callers take up after the loss of daemons, without a network.

The pattern is a release among hundreds of daemons: two software versions
serve, a whole data centre of daemons is lost, and its callers take their
streams up at the others. A stream goes on where it began or is refused.
"""

import grpc
import pytest

from chestnutshunt.streams import stream_origin
from chestnutshunt_daemon.peers import fleet_service
from chestnutshunt_daemon.peers import origin_relay
from tests.peers import test_hubs

ORIGINS = [stream_origin.StreamOrigin('s', name) for name in ('v1', 'v2')]
STREAM_COUNT = 4


class Unreachable(grpc.RpcError):
    def code(self):
        return grpc.StatusCode.UNAVAILABLE


class DirectStub:
    """Calls the service of another daemon without a network."""

    def __init__(self, fleet, called):
        self.fleet = fleet
        self.called = called

    def RecordOrigins(self, request, timeout):
        return self.service().RecordOrigins(request, None)

    def FindOrigin(self, request, timeout):
        return self.service().FindOrigin(request, None)

    def service(self):
        if self.called in self.fleet.down:
            raise Unreachable
        self.fleet.calls.append(self.called)
        return self.fleet.services[self.called]


class StreamFleet(test_hubs.Fleet):
    def __init__(self, count):
        super().__init__(count)
        self.calls = []
        self.relays = {}
        self.services = {}
        for name, state in self.states.items():
            self.relays[name] = origin_relay.OriginRelay(state, self)
            self.services[name] = fleet_service.FleetService(
                state, None, None, None, self.relays[name]
            )

    def stub(self, address):
        return DirectStub(self, address.partition(':')[0])

    def begin_streams(self):
        """Begin some streams at every daemon; return them with origins."""
        begun = {}
        for name, state in self.states.items():
            for number in range(STREAM_COUNT):
                request_id = f'{name}-{number}'
                begun[request_id] = ORIGINS[number % 2]
                state.origins.begin(request_id, ORIGINS[number % 2])
        return begun

    def deliver(self):
        for name, relay in self.relays.items():
            if name not in self.down:
                relay.deliver()


@pytest.mark.parametrize('count', [8, 165])
def test_streams_of_a_lost_data_centre_go_on(count):
    fleet = StreamFleet(count)
    fleet.run(2.0)
    begun = fleet.begin_streams()
    # A leaf's origins are passed on by its hub one delivery later.
    fleet.deliver()
    fleet.deliver()
    lost = [
        name
        for name, state in fleet.states.items()
        if state.config.datacentre == 'm-b'
    ]
    fleet.down.update(lost)
    fleet.run(4.0)
    others = [name for name in fleet.states if name not in fleet.down]
    found = {
        request_id: fleet.relays[others[number % len(others)]].find(request_id)
        for number, request_id in enumerate(begun)
        if request_id.partition('-')[0] in lost
    }
    assert all(origin in (None, begun[name]) for name, origin in found.items())
    known = [name for name, origin in found.items() if origin is not None]
    assert len(known) > 0.5 * len(found)


def test_a_hub_keeps_and_is_asked_for_its_part_only():
    fleet = StreamFleet(165)
    fleet.run(2.0)
    begun = fleet.begin_streams()
    fleet.deliver()
    fleet.deliver()
    hub_tables = [len(state.origins.table) for state in fleet.hubs]
    assert max(hub_tables) <= len(begun) / 2
    fleet.calls.clear()
    names = list(fleet.states)
    for number, request_id in enumerate(begun):
        assert fleet.relays[names[-number % 165]].find(request_id) is not None
    assert len(fleet.calls) <= 3 * len(begun)


def test_origins_that_a_hub_did_not_take_are_sent_again():
    fleet = StreamFleet(8)
    fleet.run(2.0)
    fleet.begin_streams()
    fleet.down.add('d003')
    fleet.deliver()
    relay = fleet.relays['d000']
    assert relay.unsent
    fleet.run(4.0)
    fleet.deliver()
    assert not relay.unsent
