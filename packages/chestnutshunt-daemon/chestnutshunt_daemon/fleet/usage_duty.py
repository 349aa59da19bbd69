"""Reports the usage of each window, once and for all."""

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

LOOK_S = 0.5
"""Seconds between two looks at whether a window is due."""

SETTLE_S = 2.0
"""Seconds after a window's end when it is frozen: counts of all daemons have
arrived with their next heartbeats, and attempts that did not run are out."""

LOOK_BACK = 3
"""Windows before the current one that a new holder looks after."""


class UsageDuty(fleet_duty.FleetDuty):
    """Freezes windows by a conditional create and reports them.

    Parameters
    ----------
    state : FleetState
        The daemon.
    holder : DutyHolder
        Tells whether it may act.
    store : ObjectStore
        Where frozen windows are.
    platform : DutyPlatform
        Takes the reports.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        holder: duty_holder.DutyHolder,
        store: object_store.ObjectStore,
        platform: duty_platform.DutyPlatform,
    ) -> None:
        super().__init__(state, holder, LOOK_S)
        self.store = store
        self.platform = platform
        self.reported: set[int] = set()

    def reset(self) -> None:
        """Drop what was reported: a new tenure looks after it again."""
        self.reported.clear()

    def run_once(self) -> None:
        """Report the windows that are due."""
        for window in self.due():
            self.report(window)

    def due(self) -> list[int]:
        """Return the windows that have ended and are not reported."""
        length = self.state.config.usage_window_s
        now = self.state.time.now()
        newest = self.state.counts.window_at(now - SETTLE_S) - 1
        first = newest - LOOK_BACK + 1
        late = self.state.config.usage_late_s
        return [
            window
            for window in range(first, newest + 1)
            if window not in self.reported
            and (window + 1) * length + late > now
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
                self.reported.add(window)
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
        while len(self.reported) > 4 * LOOK_BACK:
            self.reported.discard(min(self.reported))

    def freeze(self, window: int) -> dict[str, int] | None:
        """Return the frozen counts of a window, ``None`` if unknown."""
        counts = self.state.counts.sum_of(window)
        value = {'counts': counts, 'by': self.state.config.name}
        name = str(window)
        match self.store.put(USAGE_KIND, name, value, object_store.ABSENT):
            case result.Success():
                return counts
            case result.Failure(errors.Conflict()):
                pass
            case result.Failure(exc):
                LOG.info(
                    'A window is not frozen yet',
                    extra={'window': window, 'error': exc.message},
                )
                return None
        match self.store.get(USAGE_KIND, name):
            case result.Success(held) if held is not None:
                return held.value['counts']
            case _:
                return None
