"""Model test of the lease: late writes, freezes, restarts, clock drift.

Runs every sequence of four steps of two daemons, and long random sequences.
Two daemons must never hold the lease at once, fencing numbers must not
decrease, and no two tenures may share one.
"""

import itertools

import pytest

from chestnutshunt.lease import lease
from chestnutshunt import manual_clock
from tests import late_store
from tests.models import histories

DURATION_S = 3.0

# Rates of the two daemons' clocks; a lease tolerates 1.1.
CLOCK_RATES = (1.0, 1.08)

STEPS = (
    'renew 0',
    'renew 1',
    'late 0',
    'late 1',
    'interleave 0',
    'interleave 1',
    'restart 0',
    'restart 1',
    'release 0',
    'release 1',
    'apply',
    'second',
    'long',
)


class LeaseModel:
    """Two daemons that compete for a lease, and their common store.

    Parameters
    ----------
    lease_type : type
        `Lease`, or a variant without one of its safeguards.
    """

    def __init__(self, lease_type):
        self.lease_type = lease_type
        self.store = late_store.LateStore()
        self.clocks = [manual_clock.ManualClock() for _ in CLOCK_RATES]
        self.leases = [self.make_lease(index) for index in range(2)]
        self.newest_fence = 0
        self.tenures = {}
        self.starts = itertools.count()

    def make_lease(self, index):
        return self.lease_type(
            self.store,
            self.clocks[index],
            'duties',
            f'd{index}',
            DURATION_S,
            sole_process=True,
        )

    def advance(self, seconds):
        for clock, rate in zip(self.clocks, CLOCK_RATES, strict=True):
            clock.advance(seconds * rate)

    def interleave(self, index):
        """Run the other daemon between a daemon's read and its write."""
        read = self.store.get

        def read_then_yield(kind, name):
            stored = read(kind, name)
            self.store.get = read
            self.leases[1 - index].renew_or_acquire()
            return stored

        self.store.get = read_then_yield
        self.leases[index].renew_or_acquire()
        self.store.get = read

    def execute(self, step):
        """Execute one step."""
        name, _, index = step.partition(' ')
        if name == 'apply':
            self.store.release()
        elif name in ('second', 'long'):
            self.advance(1.0 if name == 'second' else 3.4)
        elif name == 'interleave':
            self.interleave(int(index))
        elif name == 'restart':
            self.leases[int(index)] = self.make_lease(int(index))
        elif name == 'release':
            self.leases[int(index)].release()
        else:
            self.store.hold_next = name == 'late'
            self.leases[int(index)].renew_or_acquire()
            self.store.hold_next = False

    def keeps_invariants(self):
        """Use every held lease; return False if an invariant is broken."""
        holders = [item for item in self.leases if item.is_held]
        if len(holders) > 1:
            return False
        for holder in holders:
            fence = holder.require_fence()
            if fence < self.newest_fence:
                return False
            if self.tenures.setdefault(fence, holder) is not holder:
                return False
            self.newest_fence = fence
        return True


def keeps_all_invariants(steps, lease_type=lease.Lease):
    model = LeaseModel(lease_type)
    for step in steps:
        model.execute(step)
        if not model.keeps_invariants():
            return False
    return True


def test_every_order_of_four_steps():
    for steps in itertools.product(STEPS, repeat=4):
        assert keeps_all_invariants(steps), steps


def test_long_random_histories():
    for steps in histories.random_histories(STEPS, 11, 3000, 25):
        assert keeps_all_invariants(steps), steps


class OverlongLease(lease.Lease):
    """Holds the lease for longer than its duration."""

    def expiry_of_call(self, sent_at):
        return sent_at + self.duration_s * 1.2


class HastyLease(lease.Lease):
    """Acquires the lease without waiting for it to expire."""

    def is_free(self, stored, now):
        return True


class UnconditionalLease(lease.Lease):
    """Overwrites any version of the record."""

    def write(self, expected):
        stored = self.store.get(lease.LEASE_KIND, self.name).unwrap()
        return super().write(stored.version if stored else 0)


class ForgetfulLease(lease.Lease):
    """Reuses its first fencing number in all tenures."""

    def try_acquire(self):
        before = self.fence or getattr(self, 'first', 0)
        super().try_acquire()
        if self.fence and before:
            self.fence = before
        self.first = self.fence or before


@pytest.mark.parametrize(
    'lease_type',
    [OverlongLease, HastyLease, UnconditionalLease, ForgetfulLease],
)
def test_the_model_notices_a_lease_without_a_safeguard(lease_type):
    assert not all(
        keeps_all_invariants(steps, lease_type)
        for steps in histories.random_histories(STEPS, 11, 3000, 25)
    )
