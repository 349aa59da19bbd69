"""Settings of the C library's memory allocator."""

import ctypes
import logging

__all__ = ['return_large_blocks']

LOG = logging.getLogger(__name__)

# Parameters of mallopt(3).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8

LARGE_BLOCK_BYTES = 131_072
ARENA_COUNT = 2


def return_large_blocks() -> None:
    """Have large blocks returned to the system as soon as they are freed.

    By default, glibc keeps blocks of up to 32 MiB once one of that size was
    freed, in an arena for each few threads. Called before threads start. Does
    nothing with another C library.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError) as exc:
        LOG.info('The allocator has no settings: %s', exc)
        return
    mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    mallopt(M_TRIM_THRESHOLD, LARGE_BLOCK_BYTES)
    mallopt(M_ARENA_MAX, ARENA_COUNT)
