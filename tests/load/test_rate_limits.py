"""Hundreds of daemons that all want an overloaded target, without a network.

The pattern is a target that names a rate far below the number of daemons: the
sum of their requests has to keep to it, also while the fleet is divided.
"""

import bisect

import grpc
import pytest

from chestnutshunt.replicas import replica
from chestnutshunt_daemon.peers import fleet_service
from chestnutshunt_daemon.peers import permit_broker
from chestnutshunt_daemon.peers import permit_client
from tests.peers import test_hubs

WINDOW_S = 4.0
TOLERANCE_RATIO = 1.5
TOLERANCE_REQUESTS = 5

TARGET = replica.Replica('t1', 's', '1.1.1.1:1', 'm-a', 12, started_ms=5)


class Unreachable(grpc.RpcError):
    def code(self):
        return grpc.StatusCode.UNAVAILABLE


class DirectClients:
    """Calls the brokers of other daemons without a network."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def stub(self, address):
        return DirectStub(self, address.partition(':')[0])


class DirectStub:
    def __init__(self, clients, called):
        self.clients = clients
        self.called = called

    def IssuePermits(self, request, timeout):
        fleet = self.clients.fleet
        if fleet.is_cut(self.clients.name, self.called):
            raise Unreachable
        fleet.calls.append(self.called)
        return fleet.services[self.called].IssuePermits(request, None)


class RateFleet(test_hubs.Fleet):
    """Daemons that send a request to the target whenever they may."""

    def __init__(self, count):
        super().__init__(count)
        self.cut_datacentres = set()
        self.sent = []
        self.calls = []
        # The daemons' calls are spread over their period.
        self.fetched_at = {
            name: self.clock.monotonic() + 0.01 * number
            for number, name in enumerate(self.states)
        }
        self.services = {}
        self.permit_clients = {}
        for name, state in self.states.items():
            clients = DirectClients(self, name)
            broker = permit_broker.PermitBroker(state, clients)
            self.services[name] = fleet_service.FleetService(
                state, None, None, broker, None
            )
            self.permit_clients[name] = permit_client.PermitClient(
                state, clients, broker
            )

    def is_cut(self, one, other):
        sides = {
            self.states[name].config.datacentre in self.cut_datacentres
            for name in (one, other)
        }
        return len(sides) > 1 or bool(self.down & {one, other})

    def sync(self, caller, called):
        if self.is_cut(caller.config.name, called.config.name):
            caller.topology.note_unreachable(called.config.name)
        else:
            super().sync(caller, called)

    def step(self):
        super().step()
        now = self.clock.monotonic()
        for name, state in self.states.items():
            if name in self.down:
                continue
            state.rate_gate.want(TARGET, 'caller')
            client = self.permit_clients[name]
            if now - self.fetched_at[name] >= client.period_s():
                self.fetched_at[name] = now
                client.fetch()
            gate = state.rate_gate
            while gate.is_limited(TARGET) and gate.take(TARGET):
                self.sent.append(now)

    def name_limit(self, name, rate):
        state = self.states[name]
        state.rate_gate.limits.observe(TARGET, rate, self.clock.monotonic())

    def worst_window(self):
        return max(
            bisect.bisect_left(self.sent, start + WINDOW_S) - index
            for index, start in enumerate(self.sent)
        )


def make_fleet(count, rate):
    fleet = RateFleet(count)
    for name in fleet.states:
        fleet.name_limit(name, rate)
    fleet.run(2.0)
    return fleet


def allowed(rate):
    return TOLERANCE_RATIO * WINDOW_S * rate + TOLERANCE_REQUESTS


@pytest.mark.parametrize('count', [8, 165, 340])
@pytest.mark.parametrize('rate', [0.0, 1.0, 6.0])
def test_sum_over_all_daemons_keeps_to_the_rate(count, rate):
    fleet = make_fleet(count, rate)
    fleet.run(20.0)
    assert fleet.worst_window() <= allowed(rate)
    assert len(fleet.sent) >= 20.0 * rate / 2


def test_limit_reaches_daemons_that_have_not_seen_it():
    fleet = RateFleet(165)
    fleet.run(2.0)
    fleet.sent.clear()
    source = fleet.leaves[3].config.name
    fleet.name_limit(source, 1.0)
    fleet.run(3.0)
    gates = [state.rate_gate for state in fleet.states.values()]
    assert all(gate.is_limited(TARGET) for gate in gates)


@pytest.mark.parametrize('count', [8, 165])
@pytest.mark.parametrize('datacentres', [{'m-a'}, {'m-a', 'm-b', 'e-c'}])
def test_sum_keeps_to_the_rate_while_data_centres_are_cut_off(
    count, datacentres
):
    fleet = make_fleet(count, 6.0)
    fleet.run(4.0)
    fleet.cut_datacentres = datacentres
    fleet.run(12.0)
    fleet.cut_datacentres = set()
    fleet.run(8.0)
    assert fleet.worst_window() <= allowed(6.0)


@pytest.mark.parametrize('count', [8, 165])
def test_sum_keeps_to_the_rate_when_the_issuer_changes(count):
    fleet = make_fleet(count, 6.0)
    fleet.run(4.0)
    for _ in range(3):
        issuer = fleet.calls[-1]
        fleet.down.add(issuer)
        fleet.run(6.0)
        fleet.down.clear()
        fleet.run(4.0)
    assert fleet.worst_window() <= allowed(6.0)
    # Each change costs at most a few seconds of the rate.
    assert len(fleet.sent) >= 34.0 * 6.0 / 2


def test_calls_for_permits_do_not_grow_with_the_fleet():
    fleet = make_fleet(340, 1.0)
    fleet.calls.clear()
    fleet.run(10.0)
    most = max(fleet.calls.count(name) for name in set(fleet.calls))
    assert most / 10.0 <= 100


def test_lifted_limit_frees_all_daemons():
    fleet = make_fleet(165, 1.0)
    fleet.clock.advance(0.1)
    fleet.name_limit(fleet.leaves[3].config.name, None)
    fleet.run(3.0)
    gates = [state.rate_gate for state in fleet.states.values()]
    assert not any(gate.is_limited(TARGET) for gate in gates)
