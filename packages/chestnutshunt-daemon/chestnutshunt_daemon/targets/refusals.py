"""The error of a request that no target has run."""

import random

from chestnutshunt import errors

__all__ = ['no_target']

# Mean of the Retry-After times; a few times what a plain request takes.
MEAN_RETRY_AFTER_S = 0.15


def no_target(
    message: str, rng: random.Random, least_mean_s: float = 0.0
) -> errors.NoTarget:
    """Return an error with a random Retry-After, to spread the retries.

    Parameters
    ----------
    message : str
        Why the request was not run.
    rng : Random
        Draws the time evenly from half to one and a half times the mean.
    least_mean_s : float, optional
        Least mean in seconds, if targets limit the rate of requests.
    """
    mean_s = max(MEAN_RETRY_AFTER_S, least_mean_s)
    delay_s = mean_s * (0.5 + rng.random())
    return errors.NoTarget(message, retry_after_s=round(delay_s, 3))
