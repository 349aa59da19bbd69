"""What lasts in the store, and for how long."""

import pytest

from chestnutshunt.jobs import acceptance
from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_form
from chestnutshunt.jobs import result
from chestnutshunt.jobs import result_log
from chestnutshunt import manual_clock
from chestnutshunt.store import memory_store
from chestnutshunt_daemon.fleet import cleanup_duty
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_platform import main
from tests.jobs import test_acceptance


class Bench:
    def __init__(self):
        self.clock = manual_clock.ManualClock(1e6)
        config = fleet_settings.FleetSettings(
            name='d1', role='front', datacentre='a', job_kept_s=120.0
        )
        self.state = fleet_state.FleetState(
            config, main.STORE_SCHEMA, self.clock
        )
        self.store = memory_store.MemoryStore()
        self.duty = cleanup_duty.CleanupDuty(self.state, None, self.store)

    def accept(self, ended):
        base = test_acceptance.make_job()
        held = job.Job(base.id, 'h', '/p/', 'w', self.clock.wall(), base.items)
        acceptance.accept(self.store, held).unwrap()
        log = result_log.ResultLog(self.store, held.id, 'x', self.clock)
        log.append([result.Result('i0', True, 'text')]).unwrap()
        kept = self.store.get(job_form.JOB_KIND, held.id).unwrap()
        value = {**kept.value, 'ended': ended}
        self.store.put(
            job_form.JOB_KIND, held.id, value, kept.version
        ).unwrap()

    def look(self):
        for kind in (job_form.JOB_KIND, fleet_state.DAEMON_KIND):
            found = self.store.list_kind(kind).unwrap()
            self.state.mirrors[kind].take_listing(
                found.revision, found.objects, self.clock.monotonic()
            )
        self.duty.run_once()
        return {kind for kind, _ in self.store.objects}


JOB_KINDS = {
    job_form.JOB_KIND,
    job_form.items_kind('j'),
    job_form.log_kind('j'),
}


def test_an_ended_job_stays_readable_and_then_goes():
    bench = Bench()
    bench.accept(ended=True)
    bench.clock.advance(125)
    assert bench.look() >= JOB_KINDS
    bench.clock.advance(60)
    assert not bench.look() & JOB_KINDS


def test_an_open_job_stays_until_it_is_abandoned():
    bench = Bench()
    bench.accept(ended=False)
    bench.clock.advance(1800)
    assert bench.look() >= JOB_KINDS
    bench.clock.advance(1900)
    assert not bench.look() & JOB_KINDS


def test_a_job_that_is_half_deleted_is_found_again():
    bench = Bench()
    bench.accept(ended=True)
    bench.clock.advance(200)
    original = bench.store.delete
    deleted = []

    def fail_after_one(kind, name, expected):
        if deleted:
            bench.store.down = True
        deleted.append(name)
        outcome = original(kind, name, expected)
        bench.store.down = False
        return outcome

    bench.store.delete = fail_after_one
    assert job_form.JOB_KIND in bench.look()
    bench.store.delete = original
    assert not bench.look() & JOB_KINDS


@pytest.mark.parametrize(('age', 'kept'), [(300, True), (700, False)])
def test_old_windows_go(age, kept):
    bench = Bench()
    window = bench.state.counts.window_at(bench.clock.wall())
    bench.store.put('usage-window', str(window), {}, 0).unwrap()
    bench.clock.advance(age)
    assert ('usage-window' in bench.look()) is kept


def test_a_daemon_unheard_for_long_is_forgotten():
    bench = Bench()
    bench.store.put(fleet_state.DAEMON_KIND, 'd1', {}, 0).unwrap()
    bench.store.put(fleet_state.DAEMON_KIND, 'd2', {}, 0).unwrap()
    bench.look()
    bench.clock.advance(500)
    bench.look()
    assert len(bench.store.list_kind('daemon').unwrap().objects) == 2
    bench.clock.advance(200)
    bench.look()
    names = [x.name for x in bench.store.list_kind('daemon').unwrap().objects]
    assert names == ['d1']
