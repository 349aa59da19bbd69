"""The duties pass to another daemon and back within `leaseMs`."""

import itertools
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import parts  # noqa: E402
import rig  # noqa: E402

LENGTH_S = 100.0

# A daemon is frozen only if the last renewal of the lease is so old.
RENEWAL_AGE_S = 0.5

# Longest freeze of the pages' `node_freeze`.
FREEZE_S = 3.2

# Calls of a sender that was thawed so shortly before don't count.
THAW_S = 0.3

# Time for a stopped daemon to be back, before the next freeze.
SETTLE_S = 5.0


class Rounds:
    """Freezes the holder of the duties, and stops its successor.

    Parameters
    ----------
    site : Site
        Deployment with two daemons.
    """

    def __init__(self, site: rig.Site) -> None:
        self.site = site
        self.calls = site.platform.duty_calls
        self.thawed_at: dict[str, list[float]] = {}

    def next_call(self, after: int, timeout_s: float) -> tuple | None:
        """Return the first call from an index on, `None` without one."""
        end_at = time.monotonic() + timeout_s
        while time.monotonic() < end_at:
            if len(self.calls) > after:
                return self.calls[after]
            time.sleep(0.002)
        return None

    def play(self) -> None:
        """Play one round as soon as the holder makes a call."""
        call = self.next_call(len(self.calls), 8.0)
        if call is None:
            return
        age_s = time.monotonic() - self.site.platform.changed_at['lease']
        if age_s < RENEWAL_AGE_S:
            return
        first, second = self.site.daemons
        if call[2] == second.name:
            first, second = second, first
        count = len(self.calls)
        first.signal(signal.SIGSTOP)
        taken = self.next_call(count, FREEZE_S)
        if taken is not None:
            second.signal(signal.SIGTERM)
        first.signal(signal.SIGCONT)
        thawed_at = time.monotonic()
        self.thawed_at.setdefault(first.name, []).append(thawed_at)
        if taken is not None:
            second.child.wait(rig.GRACE_S + 2)
            second.start()
        time.sleep(SETTLE_S)

    def counts(self, call: tuple) -> bool:
        """Return whether a call counts for the rule."""
        at, _, holder, _, _ = call
        return not any(
            thawed_at <= at <= thawed_at + THAW_S
            for thawed_at in self.thawed_at.get(holder, ())
        )


def case(site: rig.Site, trouble: bool) -> bool:
    """Return whether the holders took no turns within `leaseMs`."""
    parts.Replica(site, 0)
    site.configure(1, [parts.route()], [parts.service()])
    site.start_daemons(2)
    time.sleep(SETTLE_S)
    rounds = Rounds(site)
    end_at = time.monotonic() + LENGTH_S
    while time.monotonic() < end_at:
        if trouble:
            rounds.play()
        else:
            time.sleep(0.5)
    turns = [call for call in list(rounds.calls) if rounds.counts(call)]
    tenures = [
        list(calls)
        for _, calls in itertools.groupby(turns, key=lambda call: call[2])
    ]
    gaps = [
        later[0][0] - earlier[-1][0]
        for earlier, later in zip(tenures, tenures[2:], strict=False)
        if earlier[0][2] == later[0][2]
    ]
    broken = [gap for gap in gaps if gap < rig.LEASE_MS / 1000]
    site.record.add(
        'summary',
        calls=len(turns),
        tenures=len(tenures),
        gaps_s=[round(gap, 3) for gap in gaps],
        broken=len(broken),
    )
    return not broken


rig.run_case(FOLDER, case)
