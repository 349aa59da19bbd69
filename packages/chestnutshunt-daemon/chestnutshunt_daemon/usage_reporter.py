"""Freezes and reports windows while the lease is held."""

import logging

import grpc
from returns import result

from chestnutshunt import errors
from chestnutshunt.lease import lease
from chestnutshunt import steps
from chestnutshunt.store import object_store
from chestnutshunt.store import put_settled
from chestnutshunt.usage import frozen_window
from chestnutshunt_daemon import node
from chestnutshunt_daemon import peer_codec
from chestnutshunt_daemon import periodic_duty
from chestnutshunt_daemon import usage_counter
from chestnutshunt_daemon.wire import peer_pb2

__all__ = ['UsageReporter']

LOG = logging.getLogger(__name__)

REPORTED_KIND = 'usage-reported'
ASK_TIMEOUT = 2.0
MAX_WINDOWS_BACK = 6
"""Windows that a new reporter looks back for one that is frozen."""

PERIOD = 0.2


class UsageReporter(periodic_duty.PeriodicDuty):
    """Reports each window once, always with the same figures.

    A window's figures are frozen by a conditional create; whoever reports it
    renders the frozen object.

    Parameters
    ----------
    state : Node
        The daemon.
    duty_lease : Lease
        Lease of the reports.
    """

    def __init__(self, state: node.Node, duty_lease: lease.Lease) -> None:
        super().__init__(state, duty_lease, PERIOD)
        self.next_window: int | None = None
        self.previous_window: frozen_window.FrozenWindow | None = None
        self.reported_windows: set[int] = set()

    def run_once(self) -> None:
        """Freeze and report the windows that have ended."""
        settings = usage_counter.report_settings_of(self.state)
        ended = self.state.clock.wall() - settings.grace_s
        last = int(ended // settings.window_s) - 1
        if self.next_window is None:
            self.find_first_window(last)
        while self.next_window <= last and not self.stopped.is_set():
            frozen = self.freeze_window(self.next_window)
            self.report_window(frozen)
            self.previous_window = frozen
            self.next_window += 1

    def find_first_window(self, last: int) -> None:
        """Find the newest frozen window, and report what was not yet."""
        found: list[frozen_window.FrozenWindow] = []
        for window in range(last, last - MAX_WINDOWS_BACK, -1):
            held = self.read_window(window)
            if held is not None:
                found.append(held)
        if not found:
            self.next_window = last
            return
        for frozen in reversed(found):
            self.report_window(frozen)
        self.previous_window = found[0]
        self.next_window = found[0].window + 1

    def read_window(self, window: int) -> frozen_window.FrozenWindow | None:
        """Return a frozen window, ``None`` if there is none."""
        name = frozen_window.window_name(window)
        match self.state.store.get(frozen_window.USAGE_KIND, name):
            case result.Success(None):
                return None
            case result.Success(found):
                return frozen_window.FrozenWindow.decode(found.value)
            case result.Failure(error):
                raise error
        return None

    def freeze_window(self, window: int) -> frozen_window.FrozenWindow:
        """Freeze a window, or return what another process froze."""
        self.collect(window)
        tallies = self.state.usage.book.since(0)
        made = frozen_window.freeze(window, tallies, self.previous_window)
        steps.reach('usage.before_freeze')
        self.duty_lease.require()
        written = put_settled.put_settled(
            self.state.store,
            frozen_window.USAGE_KIND,
            frozen_window.window_name(window),
            made.encode(),
            object_store.ABSENT,
        )
        steps.reach('usage.after_freeze')
        match written:
            case result.Success(_):
                return made
            case result.Failure(errors.Conflict()):
                found = self.read_window(window)
                if found is not None:
                    return found
        raise written.failure()

    def collect(self, window: int) -> None:
        """Ask all daemons for the tallies that they have.

        Daemons without a link to this one are asked as well; only those that
        are known to have ended are not.
        """
        oldest = window - frozen_window.LATE_WINDOWS
        asked = peer_pb2.TallyRequest(oldest_window=oldest)
        calls = []
        for sighting in self.state.directory.known():
            if self.state.has_ended(sighting.peer.owner):
                continue
            stub = self.state.peer_clients.stub(sighting.peer.address)
            calls.append(stub.GetTallies.future(asked, timeout=ASK_TIMEOUT))
        for call in calls:
            try:
                tallies = peer_codec.decode_tallies(call.result())
                self.state.usage.book.merge(tallies)
            except grpc.RpcError as exc:
                LOG.info('Tallies are missing: %s', exc.code())

    def report_window(self, frozen: frozen_window.FrozenWindow) -> None:
        """Hand in a frozen window unless that is known to be done."""
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
        sent = self.state.duty_platform.report_usage(
            self.state.own.owner,
            self.duty_lease.require(),
            frozen.window,
            frozen.requests(),
        )
        steps.reach('usage.after_report')
        if not isinstance(sent, result.Success):
            raise sent.failure()
        self.reported_windows.add(frozen.window)
        self.state.store.put(
            REPORTED_KIND,
            name,
            {'by': self.state.own.owner},
            object_store.ABSENT,
        )
