"""Freezes and reports usage windows while the lease is held."""

import logging

import grpc
from returns import result

from chestnutshunt import errors
from chestnutshunt.lease import lease
from chestnutshunt import steps
from chestnutshunt.store import object_store
from chestnutshunt.store import put_with_readback
from chestnutshunt.usage import frozen_window
from chestnutshunt_daemon import node
from chestnutshunt_daemon import peer_codec
from chestnutshunt_daemon import periodic_duty
from chestnutshunt_daemon import usage_counter
from chestnutshunt_daemon.wire import peer_pb2

__all__ = ['UsageReporter']

LOG = logging.getLogger(__name__)

REPORTED_KIND = 'usage-reported'
COLLECT_TIMEOUT_S = 2.0
# Number of the newest windows that a new reporter reads.
MAX_LOOKBACK_WINDOW_COUNT = 6
REPORT_PERIOD_S = 0.2


class UsageReporter(periodic_duty.PeriodicDuty):
    """Reports each window once, always with the same figures.

    A conditional create in the store freezes the figures of a window; every
    report of the window is made from the frozen object.

    Parameters
    ----------
    state : Node
        State of the daemon.
    duty_lease : Lease
        Lease of the usage duty.
    """

    def __init__(self, state: node.Node, duty_lease: lease.Lease) -> None:
        super().__init__(state, duty_lease, REPORT_PERIOD_S)
        self.next_window: int | None = None
        self.previous_window: frozen_window.FrozenWindow | None = None
        self.reported_windows: set[int] = set()

    def run_once(self) -> None:
        """Freeze and report the windows whose grace period has ended."""
        settings = usage_counter.report_settings_of(self.state)
        latest_end = self.state.clock.wall() - settings.grace_s
        last_window = int(latest_end // settings.window_s) - 1
        if self.next_window is None:
            self.find_first_window(last_window)
        while self.next_window <= last_window and not self.stopped.is_set():
            frozen = self.freeze_window(self.next_window)
            self.report_window(frozen)
            self.previous_window = frozen
            self.next_window += 1

    def find_first_window(self, last_window: int) -> None:
        """Report recent frozen windows, and set the next one to freeze.

        A predecessor may have frozen windows without reporting them.
        """
        frozen_windows: list[frozen_window.FrozenWindow] = []
        for window in range(
            last_window, last_window - MAX_LOOKBACK_WINDOW_COUNT, -1
        ):
            frozen = self.read_window(window)
            if frozen is not None:
                frozen_windows.append(frozen)
        if not frozen_windows:
            self.next_window = last_window
            return
        for frozen in reversed(frozen_windows):
            self.report_window(frozen)
        self.previous_window = frozen_windows[0]
        self.next_window = frozen_windows[0].window + 1

    def read_window(self, window: int) -> frozen_window.FrozenWindow | None:
        """Return a frozen window, ``None`` if it is not frozen yet."""
        name = frozen_window.window_name(window)
        match self.state.store.get(frozen_window.USAGE_KIND, name):
            case result.Success(None):
                return None
            case result.Success(stored):
                return frozen_window.FrozenWindow.decode(stored.value)
            case result.Failure(error):
                raise error
        return None

    def freeze_window(self, window: int) -> frozen_window.FrozenWindow:
        """Freeze a window, or return the one that another process froze.

        Raises
        ------
        NotHolder
            The lease is no longer held.
        """
        self.collect(window)
        tallies = self.state.usage.book.tallies_since(0)
        frozen = frozen_window.freeze(window, tallies, self.previous_window)
        steps.reach('usage.before_freeze')
        self.duty_lease.require_fence()
        written = put_with_readback.put_with_readback(
            self.state.store,
            frozen_window.USAGE_KIND,
            frozen_window.window_name(window),
            frozen.encode(),
            object_store.ABSENT,
        )
        steps.reach('usage.after_freeze')
        match written:
            case result.Success(_):
                return frozen
            case result.Failure(errors.Conflict()):
                other = self.read_window(window)
                if other is not None:
                    return other
        raise written.failure()

    def collect(self, window: int) -> None:
        """Merge the tallies of all daemons into this daemon's tally book.

        Daemons without a link to this one are asked as well; only those that
        are known to have ended are not.
        """
        oldest = window - frozen_window.LATE_WINDOW_COUNT
        request = peer_pb2.TallyRequest(oldest_window=oldest)
        calls = []
        for sighting in self.state.directory.known_peers():
            if self.state.has_ended(sighting.peer.owner):
                continue
            stub = self.state.peer_clients.stub(sighting.peer.address)
            try:
                calls.append(
                    stub.GetTallies.future(request, timeout=COLLECT_TIMEOUT_S)
                )
            except grpc.RpcError as exc:
                LOG.info('Collecting usage tallies failed: %s', exc.code())
        for call in calls:
            try:
                tallies = peer_codec.decode_tallies(call.result())
                self.state.usage.book.merge(tallies)
            except grpc.RpcError as exc:
                LOG.info('Collecting usage tallies failed: %s', exc.code())

    def report_window(self, frozen: frozen_window.FrozenWindow) -> None:
        """Report a frozen window, unless it is known to be reported.

        Raises
        ------
        NotHolder
            The lease is no longer held.
        """
        name = frozen_window.window_name(frozen.window)
        if frozen.window in self.reported_windows:
            return
        match self.state.store.get(REPORTED_KIND, name):
            case result.Success(None):
                pass
            case result.Success(_):
                self.reported_windows.add(frozen.window)
                return
            case result.Failure(error):
                raise error
        steps.reach('usage.before_report')
        reported = self.state.duty_platform.report_usage(
            self.state.own.owner,
            self.duty_lease.require_fence(),
            frozen.window,
            frozen.requests(),
        )
        steps.reach('usage.after_report')
        if not isinstance(reported, result.Success):
            raise reported.failure()
        self.reported_windows.add(frozen.window)
        self.state.store.put(
            REPORTED_KIND,
            name,
            {'by': self.state.own.owner},
            object_store.ABSENT,
        )
