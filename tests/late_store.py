"""Store whose writes can take effect long after their caller gave up."""

from returns import result as outcome

from chestnutshunt import errors
from chestnutshunt.store import memory_store


class LateStore(memory_store.MemoryStore):
    """Keeps some writes back; they take effect when a test says so."""

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
        for arguments in self.late:
            super().put(*arguments)
        self.late.clear()
