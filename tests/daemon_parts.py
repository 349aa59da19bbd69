"""Builds a daemon's state on in-memory stores and a manual clock."""

from chestnutshunt.duties import memory_duty_platform
from chestnutshunt import manual_clock
from chestnutshunt.membership import member
from chestnutshunt.store import adapter
from chestnutshunt.store import memory_store
from chestnutshunt_daemon import node
from chestnutshunt_daemon import settings


def make_member(name, datacentre):
    return member.Member(name, 'x', datacentre, f'{name}:1')


def make_node(**fields):
    """Return the state of a daemon on a clock that the test advances."""
    config = settings.DaemonSettings(
        name='own',
        datacentre='near',
        caller_address='127.0.0.1:1',
        peer_address='127.0.0.1:2',
        admin_address='127.0.0.1:3',
        platform_url='http://127.0.0.1:4',
        **fields,
    )
    platform = adapter.Platform.from_clients(
        memory_store.MemoryStore(), memory_duty_platform.MemoryDutyPlatform()
    )
    return node.Node(
        config,
        platform,
        make_member('own', 'near'),
        manual_clock.ManualClock(),
    )
