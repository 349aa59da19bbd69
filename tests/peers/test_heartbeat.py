"""Effects of a heartbeat on the state of the daemon that receives it."""

from chestnutshunt import manual_clock
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.peers import heartbeat
from chestnutshunt_platform import main


def make_state(name, clock):
    config = fleet_settings.FleetSettings(
        name=name, role='front', datacentre='a', peer_address=f'{name}:1'
    )
    return fleet_state.FleetState(config, main.STORE_SCHEMA, clock)


def send_heartbeat(sender, receiver, for_holder=False):
    now = receiver.clock.monotonic()
    message = heartbeat.make_heartbeat(sender, for_holder)
    return heartbeat.apply_heartbeat(receiver, message, now, now)


def test_peer_is_live_for_a_few_heartbeats():
    clock = manual_clock.ManualClock()
    one, two = make_state('one', clock), make_state('two', clock)
    send_heartbeat(one, two)
    assert [x.name for x in two.live_peers()] == ['one']
    clock.advance(0.9)
    assert two.live_peers()
    clock.advance(0.5)
    assert not two.live_peers()


def test_slower_heartbeats_of_a_large_mesh_keep_peers_live():
    """With a fixed limit of silence, 77 daemons took each other for lost.

    The heartbeat period grows with the number of peers, so the limit has to
    grow with it.
    """
    clock = manual_clock.ManualClock()
    two = make_state('two', clock)
    for number in range(76):
        send_heartbeat(make_state(f'd{number}', clock), two)
    clock.advance(two.heartbeat_s() * 2)
    assert len(two.live_peers()) == 76


def test_kinds_with_newer_objects_are_returned():
    clock = manual_clock.ManualClock()
    one, two = make_state('one', clock), make_state('two', clock)
    one.mirrors['config'].apply_listing(7, (), clock.monotonic())
    assert send_heartbeat(one, two) == ['config']
    two.mirrors['config'].apply_listing(7, (), clock.monotonic())
    clock.advance(3)
    one.mirrors['config'].apply_listing(9, (), clock.monotonic())
    assert send_heartbeat(one, two) == []
    assert two.config_age_s() == 0


def test_usage_counts_go_to_the_holder_only():
    clock = manual_clock.ManualClock()
    one, two = make_state('one', clock), make_state('two', clock)
    one.counts.add('w', 12.0)
    send_heartbeat(one, two)
    assert two.counts.fleet_totals(2) == {}
    send_heartbeat(one, two, for_holder=True)
    assert two.counts.fleet_totals(2) == {'w': 1}


def test_crashing_requests_are_quarantined_on_peers():
    clock = manual_clock.ManualClock()
    one, two = make_state('one', clock), make_state('two', clock)
    for target in ('t1', 't2'):
        one.quarantine.record_crash('digest', target)
    send_heartbeat(one, two)
    assert two.quarantine.refuses('digest')


# Guards against DENIED: peers went on refusing a request that another daemon
# had seen served.
def test_peers_hear_that_a_request_was_served():
    clock = manual_clock.ManualClock()
    one, two = make_state('one', clock), make_state('two', clock)
    for target in ('t1', 't2'):
        one.quarantine.record_crash('digest', target)
        clock.advance(1.0)
    send_heartbeat(one, two)
    assert two.quarantine.refuses('digest')
    clock.advance(0.1)
    one.quarantine.record_served('digest')
    clock.advance(0.1)
    send_heartbeat(two, one)
    send_heartbeat(one, two)
    assert not one.quarantine.refuses('digest')
    assert not two.quarantine.refuses('digest')
