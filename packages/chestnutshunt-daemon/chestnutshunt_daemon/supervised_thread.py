"""Runs threads that are restarted when their function fails."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import threading

__all__ = ['supervised_thread']

LOG = logging.getLogger(__name__)

RESTART_DELAY_S = 1.0
# A daemon thread that has not ended by then ends with the process.
JOIN_TIMEOUT_S = 1.0


@contextlib.contextmanager
def supervised_thread(
    stopped: threading.Event,
    run: Callable[[], None],
    name: str,
    join_s: float = JOIN_TIMEOUT_S,
) -> Iterator[None]:
    """Run a thread while in context; a failure is logged and it restarts.

    Parameters
    ----------
    stopped : Event
        Tells the thread to end; set at the end of the context.
    run : callable
        Function of the thread; called again if it raises or returns.
    name : str
        Name of the thread.
    join_s : float, optional
        Seconds to wait at the end of the context for the thread to end.
    """

    def supervise() -> None:
        while not stopped.is_set():
            try:
                run()
            except Exception:
                LOG.exception('Thread %s failed and is restarted', name)
                stopped.wait(RESTART_DELAY_S)

    thread = threading.Thread(target=supervise, name=name, daemon=True)
    thread.start()
    try:
        yield
    finally:
        stopped.set()
        thread.join(join_s)
