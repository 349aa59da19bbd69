"""Tests which silent daemons keep a drained target from being stopped."""

import contextlib

import pytest

from chestnutshunt.lease import lease
from chestnutshunt.routing import target as routing_target
from chestnutshunt_daemon import fleet_controller
from tests import daemon_parts
from tests import fake_target
from tests import response_heads


@pytest.fixture
def controller():
    state = daemon_parts.make_node()
    duty_lease = lease.Lease(state.store, state.clock, 'fleet/near', 'own/x')
    return fleet_controller.FleetController(state, duty_lease)


def test_unheard_daemon_of_the_data_centre_delays_a_stop(controller):
    controller.state.directory.add_listed(
        daemon_parts.make_member('other', 'near')
    )
    assert controller.silent_daemons() == ['other']
    controller.state.directory.record_heartbeat(
        daemon_parts.make_member('other', 'near'), False
    )
    assert controller.silent_daemons() == []


def test_daemon_known_to_have_ended_does_not(controller):
    controller.state.directory.add_listed(
        daemon_parts.make_member('other', 'near')
    )
    controller.state.ended_vms = frozenset({'other'})
    assert controller.silent_daemons() == []


def test_far_daemons_that_are_not_linked_do_not(controller):
    controller.state.directory.add_listed(
        daemon_parts.make_member('far', 'elsewhere')
    )
    assert controller.silent_daemons() == []


IDLE = b'{"in_flight": 0}'


def reports_idle(controller, step):
    fake = fake_target.FakeTarget('t1', step)
    with contextlib.closing(fake):
        return controller.reports_idle(
            routing_target.Target('t1', 's', fake.address, 'near')
        )


# Guards against a target being stopped while it runs requests.
def test_a_malformed_response_is_no_report(controller):
    assert reports_idle(
        controller, response_heads.respond(response_heads.BASE, IDLE)
    )
    wrong = [
        name
        for name, lines in response_heads.MALFORMED.items()
        if reports_idle(controller, response_heads.respond(lines, IDLE))
    ]
    assert not wrong
