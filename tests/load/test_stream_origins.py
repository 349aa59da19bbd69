"""Streams that callers take up after the loss of daemons, without a network.

The pattern is a release among hundreds of daemons: two software versions
serve, a whole data centre of daemons is lost, and its callers take their
streams up at the others. A stream goes on where it began or is refused.
"""

import grpc
import pytest

from chestnutshunt.replicas import replica
from chestnutshunt.store import memory_store
from chestnutshunt.streams import stream_origin
from chestnutshunt_daemon.peers import fleet_service
from chestnutshunt_daemon.peers import origin_reader
from chestnutshunt_daemon.peers import origin_recorder
from chestnutshunt_daemon.peers import origin_relay
from chestnutshunt_daemon.targets import stream_position
from tests import fleet_parts
from tests.peers import test_hubs
from tests.targets import test_stream_forwarder

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
    def __init__(self, count, store=None, clock=None):
        super().__init__(count, clock)
        self.calls = []
        self.store = store or memory_store.MemoryStore()
        self.relays = {}
        self.recorders = {}
        self.services = {}
        for name, state in self.states.items():
            relay = origin_relay.OriginRelay(state, self)
            recorder = origin_recorder.OriginRecorder(state, self.store)
            reader = origin_reader.OriginReader(state, self.store)
            relay.record = recorder.add
            relay.find_recorded = reader.find_for_leaf
            state.origins.find_recorded = reader.find
            self.relays[name] = relay
            self.recorders[name] = recorder
            self.services[name] = fleet_service.FleetService(
                state, None, None, None, relay
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


def write(fleet):
    """Have each hub write one page, if it has any origins."""
    for name, recorder in fleet.recorders.items():
        if name not in fleet.down:
            recorder.write_once()


def take_up(fleet, begun):
    """Return how many streams go on, each at some live daemon."""
    names = [name for name in fleet.states if name not in fleet.down]
    found = {}
    for number, request_id in enumerate(begun):
        state = fleet.states[names[-number % len(names)]]
        found[request_id] = find_origin(state, request_id)
    assert all(origin in (None, begun[name]) for name, origin in found.items())
    return sum(origin is not None for origin in found.values())


def begin_and_write(fleet):
    for state in fleet.states.values():
        register(state, 'v1', 'v2')
    begun = fleet.begin_streams()
    fleet.deliver()
    fleet.deliver()
    calls = fleet.store.calls
    write(fleet)
    assert fleet.store.calls - calls <= len(fleet.hubs)
    return begun


def restart(fleet):
    """Return the same daemons after the loss of all of them."""
    again = StreamFleet(len(fleet.states), fleet.store, fleet.clock)
    for state in again.states.values():
        register(state, 'v1', 'v2')
    return again


# Guards against LOST: all daemons are lost during a release, twice in a row,
# the second time before they have heard of each other.
@pytest.mark.parametrize('count', [8, 165])
def test_streams_go_on_after_two_losses_of_all_daemons(count):
    fleet = StreamFleet(count)
    fleet.run(2.0)
    begun = begin_and_write(fleet)
    for state in fleet.states.values():
        # Too late to be written before the loss.
        state.origins.begin(f'{state.config.name}-late', ORIGINS[0])
        begun[f'{state.config.name}-late'] = ORIGINS[0]
    fleet = restart(restart(fleet))
    fleet.run(4.0)
    assert take_up(fleet, begun) == count * STREAM_COUNT
    reads = fleet.store.calls
    assert take_up(fleet, begun) == count * STREAM_COUNT
    assert fleet.store.calls - reads <= len(fleet.hubs)


# The same fault in small: both hubs of a stream are lost with its daemon.
@pytest.mark.parametrize('count', [8, 165])
def test_streams_go_on_that_no_live_daemon_knows(count):
    fleet = StreamFleet(count)
    fleet.run(2.0)
    begun = begin_and_write(fleet)
    fleet.down.update(
        name
        for name, state in fleet.states.items()
        if state.config.datacentre in ('m-a', 'm-b', 'm-c')
    )
    fleet.run(4.0)
    lost = {
        name: origin
        for name, origin in begun.items()
        if name.partition('-')[0] in fleet.down
    }
    assert take_up(fleet, lost) > 0.9 * len(lost)


# Without the store nothing is joined, and streams go on once it is back.
def test_streams_wait_for_the_store_after_a_loss_of_all_daemons():
    fleet = StreamFleet(8)
    fleet.run(2.0)
    begun = begin_and_write(fleet)
    fleet = restart(fleet)
    fleet.store.down = True
    fleet.run(4.0)
    assert take_up(fleet, begun) == 0
    fleet.store.down = False
    fleet.run(1.0)
    assert take_up(fleet, begun) == len(begun)


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
    fleet.down.add('d003')
    fleet.begin_streams()
    fleet.deliver()
    relay = fleet.relays['d000']
    assert relay.unsent
    fleet.run(4.0)
    fleet.deliver()
    assert not relay.unsent


def register(state, *versions):
    """Register one target of each software version."""
    fleet_parts.register(
        state,
        *(
            replica.Replica(
                f't-{name}', 's', '127.0.0.1:1', 'm-a', 4, software=name
            )
            for name in versions
        ),
    )


def find_origin(state, request_id):
    position = stream_position.StreamPosition(request_id, 1)
    return state.origins.find(position, test_stream_forwarder.make_route(True))


def make_release(count):
    """Return a fleet in which all but one daemon have seen a new version.

    Its targets have just taken the place of the old ones.
    """
    fleet = StreamFleet(count)
    for state in fleet.states.values():
        register(state, 'v1')
    fleet.run(70.0)
    *others, last = fleet.states.values()
    for state in fleet.states.values():
        register(state, 'v1')
    for state in others:
        register(state, 'v2')
    return fleet, others, last


# Guards against ORDER: a machine that had not seen the new version yet took up
# a stream that had begun at it and went on at the old one.
@pytest.mark.parametrize('count', [8, 40])
def test_stream_of_a_version_that_is_not_known_here_yet(count):
    fleet, others, last = make_release(count)
    for number, state in enumerate(others[:4]):
        state.origins.begin(f'q{number}', ORIGINS[1])
        assert find_origin(last, f'q{number}') in (ORIGINS[1], None)


# Guards against ORDER: the same while that machine is cut off from the others.
def test_stream_of_a_version_that_a_cut_off_machine_does_not_know():
    fleet, others, last = make_release(8)
    others[0].origins.begin('q', ORIGINS[1])
    fleet.down.update(state.config.name for state in others)
    assert find_origin(last, 'q') is None


def test_only_version_of_a_calm_time_is_known_without_a_record():
    fleet = StreamFleet(8)
    for state in fleet.states.values():
        register(state, 'v1')
    fleet.run(70.0)
    for state in fleet.states.values():
        register(state, 'v1')
        assert find_origin(state, 'unknown') == ORIGINS[0]
