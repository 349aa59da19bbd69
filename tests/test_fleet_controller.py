import pytest

from chestnutshunt.duties import memory_duty_platform
from chestnutshunt.lease import lease
from chestnutshunt import manual_clock
from chestnutshunt.membership import member
from chestnutshunt.store import adapter
from chestnutshunt.store import memory_store
from chestnutshunt_daemon import fleet_controller
from chestnutshunt_daemon import node
from chestnutshunt_daemon import settings


def make_member(name, datacentre):
    return member.Member(name, 'x', datacentre, f'{name}:1')


@pytest.fixture
def controller():
    config = settings.DaemonSettings(
        name='own',
        datacentre='near',
        caller_address='127.0.0.1:1',
        peer_address='127.0.0.1:2',
        admin_address='127.0.0.1:3',
        platform_url='http://127.0.0.1:4',
    )
    clock = manual_clock.ManualClock()
    platform = adapter.Platform.of(
        memory_store.MemoryStore(), memory_duty_platform.MemoryDutyPlatform()
    )
    held = node.Node(config, platform, make_member('own', 'near'), clock)
    charge = lease.Lease(platform.store, clock, 'fleet/near', 'own/x')
    return fleet_controller.FleetController(held, charge)


def test_unheard_daemon_of_the_data_centre_delays_a_stop(controller):
    controller.held.directory.learn(make_member('other', 'near'))
    assert controller.silent_daemons() == ['other']
    controller.held.directory.heard(make_member('other', 'near'), False)
    assert controller.silent_daemons() == []


def test_daemon_known_to_have_ended_does_not(controller):
    controller.held.directory.learn(make_member('other', 'near'))
    controller.held.ended_vms = frozenset({'other'})
    assert controller.silent_daemons() == []


def test_far_daemons_that_are_not_linked_do_not(controller):
    controller.held.directory.learn(make_member('far', 'elsewhere'))
    assert controller.silent_daemons() == []
