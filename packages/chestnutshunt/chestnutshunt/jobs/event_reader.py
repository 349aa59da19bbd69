"""Incremental parser of a server-sent event stream."""

from collections.abc import Iterator

from chestnutshunt.jobs import event

__all__ = ['EventReader']

# Largest event; more bytes without an empty line are not an event stream.
MAX_EVENT_BYTES = 1_048_576


class EventReader:
    """Splits a stream of bytes into complete events.

    If the stream breaks off inside an event, that event is not returned; its
    bytes stay in `buffer`.
    """

    def __init__(self) -> None:
        self.buffer = b''

    def feed(self, data: bytes) -> Iterator[event.Event]:
        """Yield the events that the data completes.

        Raises
        ------
        ValueError
            The bytes are not valid events.
        """
        self.buffer = (self.buffer + data).replace(b'\r\n', b'\n')
        while (end := self.buffer.find(b'\n\n')) >= 0:
            block, self.buffer = self.buffer[:end], self.buffer[end + 2 :]
            if block.strip():
                yield parse_event(block)
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError(
                f'The event has no end within {MAX_EVENT_BYTES} bytes.'
            )


def parse_event(block: bytes) -> event.Event:
    """Build an event from its lines; raises `ValueError`."""
    event_id = None
    data = []
    other_lines = []
    for line in block.decode().split('\n'):
        name, _, value = line.partition(':')
        value = value.removeprefix(' ')
        if name == 'id':
            event_id = int(value)
        elif name == 'data':
            data.append(value)
        elif name and line:
            other_lines.append(line)
    if event_id is None:
        raise ValueError('The event has no id.')
    raw = block + b'\n\n'
    return event.Event(event_id, '\n'.join(data), tuple(other_lines), raw)
