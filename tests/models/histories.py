"""Histories of steps, and who may act in them."""

import random

import attrs

__all__ = ['Holder', 'random_histories']


@attrs.define
class Holder:
    """Tells whether a daemon may act; a step decides it."""

    number: int = 0

    def fence(self):
        return self.number


def random_histories(steps, seed, count, length):
    """Yield histories drawn from some steps, the same for each seed."""
    chance = random.Random(seed)
    for _ in range(count):
        yield [chance.choice(steps) for _ in range(length)]
