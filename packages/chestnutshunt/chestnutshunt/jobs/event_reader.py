"""Splits a stream of bytes into whole events."""

from collections.abc import Iterator

from chestnutshunt.jobs import event

__all__ = ['EventReader']

MAX_EVENT_BYTES = 1_048_576
"""Longest event; more without an end is no stream of events."""


class EventReader:
    """Keeps the part of an event that has arrived.

    A stream that breaks off inside an event leaves a part behind that is
    never handed out.
    """

    def __init__(self) -> None:
        self.buffer = b''

    def feed(self, data: bytes) -> Iterator[event.Event]:
        """Yield the events that the data completes.

        Raises
        ------
        ValueError
            The bytes are no events.
        """
        self.buffer = (self.buffer + data).replace(b'\r\n', b'\n')
        while (end := self.buffer.find(b'\n\n')) >= 0:
            block, self.buffer = self.buffer[:end], self.buffer[end + 2 :]
            if block.strip():
                yield parse(block)
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError('The event has no end.')


def parse(block: bytes) -> event.Event:
    """Build an event from its lines; raises `ValueError`."""
    number = None
    data = []
    others = []
    for line in block.decode().split('\n'):
        name, _, value = line.partition(':')
        value = value.removeprefix(' ')
        if name == 'id':
            number = int(value)
        elif name == 'data':
            data.append(value)
        elif name and line:
            others.append(line)
    if number is None:
        raise ValueError('The event has no id.')
    raw = block + b'\n\n'
    return event.Event(number, '\n'.join(data), tuple(others), raw)
