"""Deletes what has expired from the store: jobs, records, registrations."""

from collections.abc import Iterable
import logging

from returns import result

from chestnutshunt.jobs import job_codec
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object
from chestnutshunt.streams import origin_page
from chestnutshunt_daemon.fleet import duty_holder
from chestnutshunt_daemon.fleet import fleet_duty
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.fleet import usage_duty

__all__ = ['CleanupDuty']

LOG = logging.getLogger(__name__)

# Time between two passes; a pass lists one kind and deletes a little.
PERIOD_S = 20.0

# Added to the time for which results can be read, as clocks differ.
CLOCK_SKEW_MARGIN_S = 30.0

# Age from which jobs that are still open are reported; a step takes minutes.
LONG_OPEN_S = 3600.0

# Time for which a frozen window is kept; it is reported within 10 s.
WINDOW_RETENTION_S = 600.0

# Time without heartbeats after which a daemon's registration is deleted; a
# daemon that returns registers again.
DAEMON_EXPIRY_S = 600.0

# Time for which the leaves that a hub reported count as live.
LEAVES_TTL_S = 10.0

# Jobs deleted in one pass; each has some 30 objects, and deleting many would
# delay callers' writes.
MAX_JOBS_PER_PASS_COUNT = 5

# Time between two looks at the pages of origins once no old one is left; they
# may have some megabytes.
PAGES_PERIOD_S = 600.0

# Pages of origins that are deleted in one pass.
MAX_PAGES_PER_PASS_COUNT = 100


class CleanupDuty(fleet_duty.FleetDuty):
    """Deletes expired objects while this daemon holds the duties.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    holder : DutyHolder
        Tells whether this daemon holds the duties.
    store : ObjectStore
        Store from which objects are deleted.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        holder: duty_holder.DutyHolder,
        store: object_store.ObjectStore,
    ) -> None:
        super().__init__(state, holder, PERIOD_S)
        self.store = store
        self.not_live_since: dict[str, float] = {}
        self.pages_due_at = 0.0

    def run_once(self) -> None:
        """Delete expired jobs, usage windows, origins and registrations."""
        jobs = self.state.mirrors[job_codec.JOB_KIND].values()
        expired = [stored for stored in jobs if self.is_expired(stored)]
        for stored in expired[:MAX_JOBS_PER_PASS_COUNT]:
            self.delete_job(stored)
        self.report_long_open(jobs)
        self.delete_windows()
        self.delete_pages()
        self.delete_daemons()

    def is_expired(self, stored: stored_object.StoredObject) -> bool:
        """Return whether a job's results need no longer be readable.

        Those of an open job are kept, however old it is.
        """
        kept_s = self.state.config.job_kept_s + CLOCK_SKEW_MARGIN_S
        return stored.value['ended'] and self.age_s(stored) > kept_s

    def age_s(self, stored: stored_object.StoredObject) -> float:
        """Return the seconds since a job was submitted."""
        return self.state.time.now() - stored.value['submitted_at']

    def report_long_open(
        self, jobs: Iterable[stored_object.StoredObject]
    ) -> None:
        """Log jobs that nobody has ended for long, for an operator to end."""
        long_open = [
            stored
            for stored in jobs
            if not stored.value['ended'] and self.age_s(stored) > LONG_OPEN_S
        ]
        if long_open:
            oldest = max(long_open, key=self.age_s)
            LOG.warning(
                'Jobs are open for long',
                extra={
                    'jobs': len(long_open),
                    'oldest': oldest.name,
                    'workspace': oldest.value['workspace'],
                    'age_s': round(self.age_s(oldest)),
                },
            )

    def delete_job(self, stored: stored_object.StoredObject) -> None:
        """Delete a job, and last the object that records its acceptance.

        If this daemon stops in between, that object remains and the next
        holder of the duties finds the job again.
        """
        for kind in (
            job_codec.log_kind(stored.name),
            job_codec.items_kind(stored.name),
        ):
            if not self.delete_kind(kind):
                return
        deleted = self.delete(stored)
        LOG.info(
            'Job deleted',
            extra={
                'job': stored.name,
                'ended': stored.value['ended'],
                'done': deleted,
            },
        )

    def delete_kind(self, kind: str) -> bool:
        """Delete all objects of a kind; return whether none is left."""
        match self.store.list_kind(kind):
            case result.Success(listing):
                return all([self.delete(stored) for stored in listing.objects])
            case _:
                return False

    def delete(self, stored: stored_object.StoredObject) -> bool:
        """Delete an object unless it has changed since it was read."""
        match self.store.delete(stored.kind, stored.name, stored.version):
            case result.Success():
                return True
            case result.Failure(exc):
                LOG.info(
                    'Expired object could not be deleted',
                    extra={
                        'kind': stored.kind,
                        'name_of_object': stored.name,
                        'error': exc.message,
                    },
                )
                return False

    def delete_windows(self) -> None:
        """Delete frozen usage windows after their retention time."""
        match self.store.list_kind(usage_duty.USAGE_KIND):
            case result.Success(listing):
                now = self.state.time.now()
                oldest = self.state.counts.window_at(now - WINDOW_RETENTION_S)
                for stored in listing.objects:
                    if int(stored.name) < oldest:
                        self.delete(stored)

    def delete_pages(self) -> None:
        """Delete pages of origins that no stream needs any more."""
        now = self.state.clock.monotonic()
        if now < self.pages_due_at:
            return
        match self.store.list_kind(fleet_state.ORIGIN_KIND):
            case result.Success(listing):
                old = list(filter(self.is_old_page, listing.objects))
                for stored in old[:MAX_PAGES_PER_PASS_COUNT]:
                    self.delete(stored)
                if len(old) <= MAX_PAGES_PER_PASS_COUNT:
                    self.pages_due_at = now + PAGES_PERIOD_S

    def is_old_page(self, stored: stored_object.StoredObject) -> bool:
        """Return whether a page of origins is too old, or malformed."""
        written_at = stored.value.get('written_at')
        if not isinstance(written_at, int | float):
            return True
        kept_s = origin_page.PAGE_TTL_S + CLOCK_SKEW_MARGIN_S
        return self.state.time.now() - written_at > kept_s

    def delete_daemons(self) -> None:
        """Delete the registrations of daemons that have expired."""
        now = self.state.clock.monotonic()
        live = {peer.name for peer in self.state.live_peers()}
        live.add(self.state.config.name)
        for heard_at, leaves in list(self.state.leaves_by_hub.values()):
            if now - heard_at < LEAVES_TTL_S:
                live |= leaves
        daemons = self.state.mirrors[fleet_state.DAEMON_KIND].values()
        for name in live | (
            set(self.not_live_since) - {x.name for x in daemons}
        ):
            self.not_live_since.pop(name, None)
        for daemon in daemons:
            if daemon.name in live:
                continue
            since = self.not_live_since.setdefault(daemon.name, now)
            if now - since > DAEMON_EXPIRY_S:
                self.delete(daemon)
