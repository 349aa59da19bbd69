"""What a caller is told of a job while the store does not answer."""

import logging

from chestnutshunt import errors

__all__ = ['store_unavailable']

# The logger's name is printed; it keeps its earlier form for log filters.
LOG = logging.getLogger('chestnutshunt_daemon.jobs.store_away')

RETRY_AFTER_S = 0.3
"""Seconds; an outage ends at any time, and the next try may go elsewhere."""


def store_unavailable(
    job_id: str, exc: errors.ChestnutshuntError
) -> errors.NotReady:
    """Return what a caller is told; the reason goes to the log."""
    LOG.warning(
        'A store call for a job failed',
        extra={'job': job_id, 'error': exc.message},
    )
    return errors.NotReady(
        'Jobs cannot be looked up or changed at the moment.',
        retry_after=RETRY_AFTER_S,
    )
