"""Log of the events in a stand-in process."""

import threading
import time
from typing import Any

__all__ = ['EventLog']


class EventLog:
    """Thread-safe list of events in the order of their recording."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.lock = threading.Lock()

    def add(self, event: str, **fields: Any) -> None:
        """Record an event with the machine's monotonic time in seconds."""
        entry = {'event': event, 'at': time.monotonic(), **fields}
        with self.lock:
            self.events.append(entry)

    def read(self) -> list[dict[str, Any]]:
        """Return a copy of the events so far."""
        with self.lock:
            return list(self.events)
