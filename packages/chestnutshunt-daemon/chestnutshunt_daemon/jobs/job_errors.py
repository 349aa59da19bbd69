"""The error of a call about a job that needs the store."""

import logging

from chestnutshunt import errors

__all__ = ['store_unavailable']

# The logger's name is printed; it keeps its earlier form for log filters.
LOG = logging.getLogger('chestnutshunt_daemon.jobs.store_away')

# Short: an outage may end at any time, and the balancer may send the next try
# to another daemon.
RETRY_AFTER_S = 0.3


def store_unavailable(
    job_id: str, exc: errors.ChestnutshuntError
) -> errors.NotReady:
    """Return the error for the caller; the cause is only logged."""
    LOG.warning(
        'A store call for a job failed',
        extra={'job': job_id, 'error': exc.message},
    )
    return errors.NotReady(
        'Jobs cannot be looked up or changed at the moment.',
        retry_after_s=RETRY_AFTER_S,
    )
