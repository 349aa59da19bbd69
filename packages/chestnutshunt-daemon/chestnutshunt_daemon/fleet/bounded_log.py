"""Structured logging to standard output that never blocks a request."""

from collections.abc import Iterator
import contextlib
import json
import logging
import logging.handlers
import queue
import sys
import time
from typing import Any

__all__ = ['bounded_log']

# Lines that may wait for the writer; more are dropped and counted.
MAX_QUEUED_LINE_COUNT = 2000

# Beyond this rate lines below the level WARNING are dropped.
MAX_LINES_PER_S = 400

STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    'message',
    'asctime',
}


class LineFormatter(logging.Formatter):
    """Formats each record as one JSON object with its extra fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        entry: dict[str, Any] = {
            'time': round(record.created, 3),
            'level': record.levelname,
            'event': record.getMessage(),
        }
        entry.update(
            (name, value)
            for name, value in vars(record).items()
            if name not in STANDARD_ATTRIBUTES
        )
        if record.exc_info:
            entry['exception'] = self.formatException(record.exc_info)
        return json.dumps(entry, default=str, separators=(',', ':'))


class BoundedHandler(logging.handlers.QueueHandler):
    """Queues records and limits how many are queued in one second.

    Parameters
    ----------
    lines : Queue
        Records for the writer.
    dropped : Counter
        Counts the records that are dropped.
    """

    def __init__(self, lines: queue.Queue, dropped: Any) -> None:
        super().__init__(lines)
        self.dropped = dropped
        self.current_second = 0
        self.lines_in_second = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged; the writer's thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped; never block."""
        second = int(time.monotonic())
        if second != self.current_second:
            self.current_second = second
            self.lines_in_second = 0
        self.lines_in_second += 1
        important = record.levelno >= logging.WARNING
        if self.lines_in_second > MAX_LINES_PER_S and not important:
            self.dropped.inc()
            return
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped.inc()


@contextlib.contextmanager
def bounded_log(level: str, dropped: Any) -> Iterator[None]:
    """Log to standard output until the context ends.

    Parameters
    ----------
    level : str
        Name of a level of the logging module.
    dropped : Counter
        Counts the lines that are dropped.
    """
    lines: queue.Queue = queue.Queue(MAX_QUEUED_LINE_COUNT)
    writer = logging.StreamHandler(sys.stdout)
    writer.setFormatter(LineFormatter())
    listener = logging.handlers.QueueListener(lines, writer)
    root = logging.getLogger()
    root.handlers[:] = [BoundedHandler(lines, dropped)]
    root.setLevel(level)
    logging.getLogger('grpc').setLevel(logging.CRITICAL)
    logging.getLogger('urllib3').setLevel(logging.ERROR)
    listener.start()
    try:
        yield
    finally:
        listener.stop()
