"""What a caller is told whose request has not run."""

import random

from chestnutshunt import errors

__all__ = ['no_target']

RETRY_AFTER_S = 0.15
"""Mean seconds after which a refused caller is asked to return: a few times
what a plain request takes."""


def no_target(message: str, chance: random.Random) -> errors.NoTarget:
    """Return a refusal whose callers come back spread over time.

    Parameters
    ----------
    message : str
        Why the request was not run.
    chance : Random
        Spreads the returns evenly between half and one and a half the mean.
    """
    pause = RETRY_AFTER_S * (0.5 + chance.random())
    return errors.NoTarget(message, retry_after=round(pause, 3))
