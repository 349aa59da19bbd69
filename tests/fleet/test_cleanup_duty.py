"""Retention of jobs, usage windows and registrations in the store."""

import pytest

from chestnutshunt.jobs import acceptance
from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_codec
from chestnutshunt.jobs import result
from chestnutshunt.jobs import result_log
from chestnutshunt import manual_clock
from chestnutshunt.store import memory_store
from chestnutshunt.streams import origin_page
from chestnutshunt_daemon.fleet import cleanup_duty
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_platform import main
from tests.jobs import test_acceptance


class CleanupHarness:
    """A cleanup duty with a manual clock and a store in memory."""

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
        accepted = job.Job(
            base.id, 'h', '/p/', 'w', self.clock.wall(), base.items
        )
        acceptance.accept(self.store, accepted).unwrap()
        log = result_log.ResultLog(self.store, accepted.id, 'x', self.clock)
        log.append([result.Result('i0', True, 'text')]).unwrap()
        stored = self.store.get(job_codec.JOB_KIND, accepted.id).unwrap()
        value = {**stored.value, 'ended': ended}
        self.store.put(
            job_codec.JOB_KIND, accepted.id, value, stored.version
        ).unwrap()

    def end(self):
        for stored in (
            self.store.list_kind(job_codec.JOB_KIND).unwrap().objects
        ):
            value = {**stored.value, 'ended': True}
            self.store.put(
                job_codec.JOB_KIND, stored.name, value, stored.version
            ).unwrap()

    def run_pass(self):
        """Refresh the mirrors, run the duty and return the kinds left."""
        for kind in (job_codec.JOB_KIND, fleet_state.DAEMON_KIND):
            found = self.store.list_kind(kind).unwrap()
            self.state.mirrors[kind].apply_listing(
                found.revision, found.objects, self.clock.monotonic()
            )
        self.duty.run_once()
        return {kind for kind, _ in self.store.objects}


JOB_KINDS = {
    job_codec.JOB_KIND,
    job_codec.items_kind('j'),
    job_codec.log_kind('j'),
}


def test_ended_job_is_deleted_after_its_retention_time():
    harness = CleanupHarness()
    harness.accept(ended=True)
    harness.clock.advance(125)
    assert harness.run_pass() >= JOB_KINDS
    harness.clock.advance(60)
    assert not harness.run_pass() & JOB_KINDS


# Guards against LOST: an open job was deleted with its results after an hour.
@pytest.mark.parametrize('age_s', [125, 1800, 3700, 1e6])
def test_open_job_is_kept_whatever_its_age(caplog, age_s):
    harness = CleanupHarness()
    harness.accept(ended=False)
    harness.clock.advance(age_s)
    assert harness.run_pass() >= JOB_KINDS
    reported = 'Jobs are open for long' in caplog.messages
    assert reported is (age_s > 3600)
    harness.end()
    harness.clock.advance(30)
    assert not harness.run_pass() & JOB_KINDS


def test_partially_deleted_job_is_deleted_by_the_next_pass():
    harness = CleanupHarness()
    harness.accept(ended=True)
    harness.clock.advance(200)
    original = harness.store.delete
    deleted = []

    def fail_after_one(kind, name, expected):
        if deleted:
            harness.store.down = True
        deleted.append(name)
        outcome = original(kind, name, expected)
        harness.store.down = False
        return outcome

    harness.store.delete = fail_after_one
    assert job_codec.JOB_KIND in harness.run_pass()
    harness.store.delete = original
    assert not harness.run_pass() & JOB_KINDS


@pytest.mark.parametrize(('age', 'kept'), [(300, True), (700, False)])
def test_old_usage_windows_are_deleted(age, kept):
    harness = CleanupHarness()
    window = harness.state.counts.window_at(harness.clock.wall())
    harness.store.put('usage-window', str(window), {}, 0).unwrap()
    harness.clock.advance(age)
    assert ('usage-window' in harness.run_pass()) is kept


def test_old_pages_of_origins_are_deleted_a_part_at_a_time():
    harness = CleanupHarness()
    kind = fleet_state.ORIGIN_KIND
    count = cleanup_duty.MAX_PAGES_PER_PASS_COUNT + 1
    for number in range(count):
        value = origin_page.OriginPage(harness.clock.wall()).encode()
        harness.store.put(kind, f'p{number}', value, 0).unwrap()
    harness.store.put(kind, 'malformed', {}, 0).unwrap()

    def left():
        return len(harness.store.list_kind(kind).unwrap().objects)

    harness.run_pass()
    assert left() == count
    # Streams of the last minute and more may still be taken up.
    harness.clock.advance(cleanup_duty.PAGES_PERIOD_S)
    harness.run_pass()
    assert left() == 1
    harness.run_pass()
    assert left() == 0


def test_registration_of_a_lost_daemon_is_deleted():
    harness = CleanupHarness()
    harness.store.put(fleet_state.DAEMON_KIND, 'd1', {}, 0).unwrap()
    harness.store.put(fleet_state.DAEMON_KIND, 'd2', {}, 0).unwrap()
    harness.run_pass()
    harness.clock.advance(500)
    harness.run_pass()
    assert len(harness.store.list_kind('daemon').unwrap().objects) == 2
    harness.clock.advance(200)
    harness.run_pass()
    names = [
        x.name for x in harness.store.list_kind('daemon').unwrap().objects
    ]
    assert names == ['d1']
