"""Threads of a daemon that outlive a failure of what they run."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import threading

__all__ = ['supervised_thread']

LOG = logging.getLogger(__name__)

RESTART_S = 1.0
"""Seconds until a thread that failed is started anew."""

JOIN_S = 1.0
"""Seconds that a thread has left to end; else it ends with its process."""


@contextlib.contextmanager
def supervised_thread(
    stopped: threading.Event,
    run: Callable[[], None],
    name: str,
    join_s: float = JOIN_S,
) -> Iterator[None]:
    """Run a thread until the daemon stops; a failure is logged.

    Parameters
    ----------
    stopped : Event
        Ends the thread; set at the end of the context.
    run : callable
        What the thread runs, again if it fails.
    name : str
        Name of the thread.
    join_s : float, optional
        Seconds that it has left to end.
    """

    def supervise() -> None:
        while not stopped.is_set():
            try:
                run()
            except Exception:
                LOG.exception('The thread %s failed and is started anew', name)
                stopped.wait(RESTART_S)

    thread = threading.Thread(target=supervise, name=name, daemon=True)
    thread.start()
    try:
        yield
    finally:
        stopped.set()
        thread.join(join_s)
