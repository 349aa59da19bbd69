"""Deletes what nobody needs any more from the store."""

import logging

from returns import result

from chestnutshunt.jobs import job_form
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object
from chestnutshunt_daemon.fleet import duty_holder
from chestnutshunt_daemon.fleet import fleet_duty
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.fleet import usage_duty

__all__ = ['CleanupDuty']

LOG = logging.getLogger(__name__)

LOOK_S = 20.0
"""Seconds between two looks; a look lists one kind and deletes a little."""

MARGIN_S = 30.0
"""Seconds beyond those for which results can be read, for clocks apart."""

ABANDONED_S = 3600.0
"""Seconds after which a job that was never ended is taken to be abandoned; a
step takes minutes."""

WINDOWS_KEPT_S = 600.0
"""Seconds for which a frozen window is kept; it is reported within 10."""

DAEMON_GONE_S = 600.0
"""Seconds without a sign of a daemon after which its registration goes; one
that comes back registers again."""

JOBS_A_LOOK = 5
"""Jobs deleted in one look, each some 30 objects, so that callers' writes are
not held up."""


class CleanupDuty(fleet_duty.FleetDuty):
    """Deletes old jobs, windows and registrations while holding the duties.

    Parameters
    ----------
    state : FleetState
        The daemon.
    holder : DutyHolder
        Tells whether it may act.
    store : ObjectStore
        Where the objects are.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        holder: duty_holder.DutyHolder,
        store: object_store.ObjectStore,
    ) -> None:
        super().__init__(state, holder, LOOK_S)
        self.store = store
        self.unheard_since: dict[str, float] = {}

    def run_once(self) -> None:
        """Delete what is old."""
        jobs = self.state.mirrors[job_form.JOB_KIND].values()
        old = [held for held in jobs if self.is_old(held)]
        for held in old[:JOBS_A_LOOK]:
            self.delete_job(held)
        self.delete_windows()
        self.delete_daemons()

    def is_old(self, held: stored_object.StoredObject) -> bool:
        """Tell whether a job's results need not be readable any more."""
        age = self.state.time.now() - held.value['submitted_at']
        if held.value['ended']:
            return age > self.state.config.job_kept_s + MARGIN_S
        return age > ABANDONED_S

    def delete_job(self, held: stored_object.StoredObject) -> None:
        """Delete a job: the object that accepted it goes last.

        A daemon that ends in the middle leaves that object behind, so the
        next holder finds the rest.
        """
        for kind in (
            job_form.log_kind(held.name),
            job_form.items_kind(held.name),
        ):
            if not self.delete_kind(kind):
                return
        deleted = self.delete(held)
        LOG.info(
            'Job deleted',
            extra={
                'job': held.name,
                'ended': held.value['ended'],
                'done': deleted,
            },
        )

    def delete_kind(self, kind: str) -> bool:
        """Delete all objects of a kind; return False if one is left."""
        match self.store.list_kind(kind):
            case result.Success(found):
                return all([self.delete(held) for held in found.objects])
            case _:
                return False

    def delete(self, held: stored_object.StoredObject) -> bool:
        """Delete an object at the version that was read."""
        match self.store.delete(held.kind, held.name, held.version):
            case result.Success():
                return True
            case result.Failure(exc):
                LOG.info(
                    'An old object is not deleted yet',
                    extra={
                        'kind': held.kind,
                        'name_of_object': held.name,
                        'error': exc.message,
                    },
                )
                return False

    def delete_windows(self) -> None:
        """Delete frozen windows that were reported long ago."""
        match self.store.list_kind(usage_duty.USAGE_KIND):
            case result.Success(found):
                now = self.state.time.now()
                oldest = self.state.counts.window_at(now - WINDOWS_KEPT_S)
                for held in found.objects:
                    if int(held.name) < oldest:
                        self.delete(held)

    def delete_daemons(self) -> None:
        """Delete the registrations of daemons that are gone."""
        now = self.state.clock.monotonic()
        live = {peer.name for peer in self.state.live_peers()}
        live.add(self.state.config.name)
        held = self.state.mirrors[fleet_state.DAEMON_KIND].values()
        for name in live | (set(self.unheard_since) - {x.name for x in held}):
            self.unheard_since.pop(name, None)
        for item in held:
            if item.name in live:
                continue
            since = self.unheard_since.setdefault(item.name, now)
            if now - since > DAEMON_GONE_S:
                self.delete(item)
