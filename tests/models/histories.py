"""Random step sequences and a fake lease for model tests."""

import random

import attrs

__all__ = ['Holder', 'random_histories']


@attrs.define
class Holder:
    """Fake lease whose fencing number is set by the test; 0 if not held."""

    number: int = 0

    def fence(self):
        return self.number


def random_histories(steps, seed, count, length):
    """Yield random sequences of the steps, reproducible by the seed."""
    rng = random.Random(seed)
    for _ in range(count):
        yield [rng.choice(steps) for _ in range(length)]
