"""Store whose writes can take effect after their caller has given up."""

from returns import result as outcome

from chestnutshunt import errors
from chestnutshunt.store import memory_store


class LateStore(memory_store.MemoryStore):
    """Delays writes until a test releases them.

    Attributes
    ----------
    late : list of tuple
        Arguments of the delayed writes.
    hold_next : bool
        True if the next write is delayed and gets no reply.
    """

    def __init__(self):
        super().__init__()
        self.late = []
        self.hold_next = False

    def put(self, kind, name, value, expected):
        if self.hold_next:
            self.hold_next = False
            self.late.append((kind, name, value, expected))
            return outcome.Failure(errors.PlatformUncertain('No reply.'))
        return super().put(kind, name, value, expected)

    def release(self):
        """Apply the delayed writes, in the order of their calls."""
        for arguments in self.late:
            super().put(*arguments)
        self.late.clear()
