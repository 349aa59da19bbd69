"""What one daemon believes of its peers, and for how long."""

from chestnutshunt import manual_clock
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.peers import heartbeat
from chestnutshunt_platform import main


def make(name, source):
    config = fleet_settings.FleetSettings(
        name=name, role='front', datacentre='a', peer_address=f'{name}:1'
    )
    return fleet_state.FleetState(config, main.STORE_SCHEMA, source)


def tell(one, other, for_holder=False):
    now = other.clock.monotonic()
    message = heartbeat.make_heartbeat(one, for_holder)
    return heartbeat.apply_heartbeat(other, message, now, now)


def test_a_peer_is_live_for_a_few_heartbeats():
    source = manual_clock.ManualClock()
    one, two = make('one', source), make('two', source)
    tell(one, two)
    assert [x.name for x in two.live_peers()] == ['one']
    source.advance(0.9)
    assert two.live_peers()
    source.advance(0.5)
    assert not two.live_peers()


def test_in_a_large_mesh_slower_heartbeats_keep_peers_live():
    """With a fixed limit, daemons of a mesh of 77 lost each other."""
    source = manual_clock.ManualClock()
    two = make('two', source)
    for number in range(76):
        tell(make(f'd{number}', source), two)
    source.advance(two.heartbeat_s() * 2)
    assert len(two.live_peers()) == 76


def test_a_peer_with_news_is_to_be_asked():
    source = manual_clock.ManualClock()
    one, two = make('one', source), make('two', source)
    one.mirrors['config'].take_listing(7, (), source.monotonic())
    assert tell(one, two) == ['config']
    two.mirrors['config'].take_listing(7, (), source.monotonic())
    source.advance(3)
    one.mirrors['config'].take_listing(9, (), source.monotonic())
    assert tell(one, two) == []
    assert two.config_age_s() == 0


def test_usage_counts_go_to_the_holder_only():
    source = manual_clock.ManualClock()
    one, two = make('one', source), make('two', source)
    one.counts.add('w', 12.0)
    tell(one, two)
    assert two.counts.sum_of(2) == {}
    tell(one, two, for_holder=True)
    assert two.counts.sum_of(2) == {'w': 1}


def test_requests_that_crash_targets_are_known_everywhere():
    source = manual_clock.ManualClock()
    one, two = make('one', source), make('two', source)
    for target in ('t1', 't2'):
        one.quarantine.note_crash('digest', target)
    tell(one, two)
    assert two.quarantine.refuses('digest')
