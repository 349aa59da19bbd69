"""Reports usage so that the counts of a window never change once reported."""

import logging

from returns import result

from chestnutshunt.duties import duty_platform
from chestnutshunt import errors
from chestnutshunt.store import object_store
from chestnutshunt_daemon.fleet import duty_holder
from chestnutshunt_daemon.fleet import fleet_duty
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['USAGE_KIND', 'UsageDuty']

LOG = logging.getLogger(__name__)

USAGE_KIND = 'usage-window'

# Time between two checks of whether a window is due.
PERIOD_S = 0.5

# A window is frozen this long after its end: by then the next heartbeats have
# brought the counts of all daemons, and attempts that did not run have been
# subtracted.
SETTLE_S = 2.0

# Ended windows that a new holder reports if they are not yet reported.
MAX_DUE_WINDOW_COUNT = 3


class UsageDuty(fleet_duty.FleetDuty):
    """Freezes windows by a conditional create and reports them.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    holder : DutyHolder
        Tells whether this daemon holds the duties.
    store : ObjectStore
        Store that keeps the frozen windows.
    platform : DutyPlatform
        Client that sends the reports.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        holder: duty_holder.DutyHolder,
        store: object_store.ObjectStore,
        platform: duty_platform.DutyPlatform,
    ) -> None:
        super().__init__(state, holder, PERIOD_S)
        self.store = store
        self.platform = platform
        self.reported_windows: set[int] = set()

    def reset(self) -> None:
        """Forget reported windows; the next tenure checks them again."""
        self.reported_windows.clear()

    def run_once(self) -> None:
        """Report the windows that are due."""
        for window in self.due_windows():
            self.report(window)

    def due_windows(self) -> list[int]:
        """Return the settled windows that are not reported and not late."""
        window_s = self.state.config.usage_window_s
        now = self.state.time.now()
        newest = self.state.counts.window_at(now - SETTLE_S) - 1
        first = newest - MAX_DUE_WINDOW_COUNT + 1
        late_s = self.state.config.usage_late_s
        return [
            window
            for window in range(first, newest + 1)
            if window not in self.reported_windows
            and (window + 1) * window_s + late_s > now
        ]

    def report(self, window: int) -> None:
        """Freeze a window and report it."""
        counts = self.freeze(window)
        if counts is None:
            return
        fence = self.holder.fence()
        if not fence:
            return
        match self.platform.report_usage(
            self.state.config.name, fence, window, counts
        ):
            case result.Success():
                self.reported_windows.add(window)
                outcome = 'reported'
            case result.Failure(exc):
                outcome = exc.message
        LOG.info(
            'Usage report',
            extra={
                'window': window,
                'fence': fence,
                'requests': sum(counts.values()),
                'outcome': outcome,
            },
        )
        while len(self.reported_windows) > 4 * MAX_DUE_WINDOW_COUNT:
            self.reported_windows.discard(min(self.reported_windows))

    def freeze(self, window: int) -> dict[str, int] | None:
        """Return the frozen counts of a window, ``None`` on failure.

        The first daemon that creates the object determines the counts; a
        conflict means that another has done so.
        """
        counts = self.state.counts.fleet_totals(window)
        value = {'counts': counts, 'by': self.state.config.name}
        name = str(window)
        match self.store.put(USAGE_KIND, name, value, object_store.ABSENT):
            case result.Success():
                return counts
            case result.Failure(errors.Conflict()):
                pass
            case result.Failure(exc):
                LOG.info(
                    'Usage window could not be frozen',
                    extra={'window': window, 'error': exc.message},
                )
                return None
        match self.store.get(USAGE_KIND, name):
            case result.Success(stored) if stored is not None:
                return stored.value['counts']
            case _:
                return None
