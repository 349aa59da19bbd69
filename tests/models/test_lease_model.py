"""The lease under late writes, lost replies, freezes, restarts and drift.

Every order of a few steps of two daemons, and long random ones. At no moment
may both act, an act may not bear a lower fencing number than one before, and
no two tenures share one.
"""

import itertools

import pytest

from chestnutshunt.lease import lease
from chestnutshunt import manual_clock
from tests import late_store
from tests.models import histories

DURATION_S = 3.0

RATES = (1.0, 1.08)
"""How fast the two daemons' clocks run; a lease allows for 1.1."""

STEPS = (
    'tend 0',
    'tend 1',
    'late 0',
    'late 1',
    'cross 0',
    'cross 1',
    'restart 0',
    'restart 1',
    'release 0',
    'release 1',
    'effect',
    'second',
    'long',
)


class World:
    """Two daemons, one store, and what each act has shown.

    Parameters
    ----------
    lease_type : type
        The lease, or one without a safeguard.
    """

    def __init__(self, lease_type):
        self.lease_type = lease_type
        self.store = late_store.LateStore()
        self.clocks = [manual_clock.ManualClock() for _ in RATES]
        self.leases = [self.make(place) for place in range(2)]
        self.newest = 0
        self.tenures = {}
        self.starts = itertools.count()

    def make(self, place):
        return self.lease_type(
            self.store,
            self.clocks[place],
            'duties',
            f'd{place}',
            DURATION_S,
            sole_process=True,
        )

    def advance(self, seconds):
        for clock, rate in zip(self.clocks, RATES, strict=True):
            clock.advance(seconds * rate)

    def cross(self, place):
        """Let the other daemon act between a read and the write after it."""
        read = self.store.get

        def read_then_yield(kind, name):
            found = read(kind, name)
            self.store.get = read
            self.leases[1 - place].renew_or_acquire()
            return found

        self.store.get = read_then_yield
        self.leases[place].renew_or_acquire()
        self.store.get = read

    def take(self, step):
        """Carry out one step."""
        name, _, place = step.partition(' ')
        if name == 'effect':
            self.store.release()
        elif name in ('second', 'long'):
            self.advance(1.0 if name == 'second' else 3.4)
        elif name == 'cross':
            self.cross(int(place))
        elif name == 'restart':
            self.leases[int(place)] = self.make(int(place))
        elif name == 'release':
            self.leases[int(place)].release()
        else:
            self.store.hold_next = name == 'late'
            self.leases[int(place)].renew_or_acquire()
            self.store.hold_next = False

    def keeps_the_rules(self):
        """Let every holder act; return False if a rule is broken."""
        holders = [item for item in self.leases if item.is_held]
        if len(holders) > 1:
            return False
        for holder in holders:
            fence = holder.require_fence()
            if fence < self.newest:
                return False
            if self.tenures.setdefault(fence, holder) is not holder:
                return False
            self.newest = fence
        return True


def is_kept(steps, lease_type=lease.Lease):
    world = World(lease_type)
    for step in steps:
        world.take(step)
        if not world.keeps_the_rules():
            return False
    return True


def test_every_order_of_four_steps():
    for steps in itertools.product(STEPS, repeat=4):
        assert is_kept(steps), steps


def test_long_random_histories():
    for steps in histories.random_histories(STEPS, 11, 3000, 25):
        assert is_kept(steps), steps


class Overlong(lease.Lease):
    """Counts its time from a renewal on to the end, without a margin."""

    def expiry_of_call(self, began):
        return began + self.duration_s * 1.2


class Hasty(lease.Lease):
    """Takes a record that it has not seen unchanged for long enough."""

    def is_free(self, found, now):
        return True


class Unconditional(lease.Lease):
    """Writes over whatever is there."""

    def write(self, expected):
        found = self.store.get(lease.LEASE_KIND, self.name).unwrap()
        return super().write(found.version if found else 0)


class Forgetful(lease.Lease):
    """Keeps its first fencing number over all tenures."""

    def try_acquire(self):
        before = self.fence or getattr(self, 'first', 0)
        super().try_acquire()
        if self.fence and before:
            self.fence = before
        self.first = self.fence or before


@pytest.mark.parametrize(
    'lease_type', [Overlong, Hasty, Unconditional, Forgetful]
)
def test_the_model_notices_a_lease_without_a_safeguard(lease_type):
    assert not all(
        is_kept(steps, lease_type)
        for steps in histories.random_histories(STEPS, 11, 3000, 25)
    )
