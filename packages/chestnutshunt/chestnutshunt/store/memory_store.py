"""Object store in the memory of the process, for tests and embedding."""

from collections.abc import Sequence
import threading
from typing import Any

import attrs
from returns import result

from chestnutshunt import errors
from chestnutshunt.store import listing
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object
from chestnutshunt.store import watched_store

__all__ = ['MemoryStore']

# Changes that watches can still ask for.
HISTORY_LENGTH = 10_000


class MemoryStore(watched_store.WatchedStore):
    """In-memory store with faults that a test can inject.

    All methods may be called from several threads.

    Attributes
    ----------
    down : bool
        While True, every call fails with `PlatformUnavailable`.
    lose_replies : int
        Number of next writes that take effect but return no reply.
    """

    def __init__(self) -> None:
        self.down = False
        self.lose_replies = 0
        self.revision = 0
        self.calls = 0
        self.objects: dict[tuple[str, str], stored_object.StoredObject] = {}
        self.history: list[stored_object.StoredObject] = []
        self.condition = threading.Condition()

    def get(
        self, kind: str, name: str
    ) -> result.Result[
        stored_object.StoredObject | None, object_store.StoreError
    ]:
        """Read one object; ``None`` when there is none."""
        if self.down:
            return self.unavailable()
        with self.condition:
            self.calls += 1
            return result.Success(self.objects.get((kind, name)))

    def put(
        self, kind: str, name: str, value: dict[str, Any], expected: int
    ) -> result.Result[stored_object.StoredObject, object_store.StoreError]:
        """Write an object if its version is `expected`."""
        return self.change(kind, name, expected, value=dict(value))

    def put_status(
        self, kind: str, name: str, status: dict[str, Any], expected: int
    ) -> result.Result[stored_object.StoredObject, object_store.StoreError]:
        """Write the status of an object if its version is `expected`."""
        if expected == object_store.ABSENT and not self.down:
            return self.conflict(kind, name)
        return self.change(kind, name, expected, status=status)

    def delete(
        self, kind: str, name: str, expected: int
    ) -> result.Result[int, object_store.StoreError]:
        """Delete an object if its version is `expected`."""
        tombstone = self.change(
            kind, name, expected, value={}, status={}, deleted=True
        )
        return tombstone.map(lambda deleted: deleted.version)

    def change(
        self, kind: str, name: str, expected: int, **fields: Any
    ) -> result.Result[stored_object.StoredObject, object_store.StoreError]:
        """Replace fields of an object if its version is `expected`."""
        if self.down:
            return self.unavailable()
        with self.condition:
            self.calls += 1
            if self.current_version(kind, name) != expected:
                return self.conflict(kind, name)
            self.revision += 1
            previous = self.objects.pop(
                (kind, name), stored_object.StoredObject(kind, name, 0, {})
            )
            written = attrs.evolve(previous, version=self.revision, **fields)
            if not written.deleted:
                self.objects[written.key] = written
            self.record(written)
        return self.reply(written)

    def list_kind(
        self, kind: str
    ) -> result.Result[listing.Listing, object_store.StoreError]:
        """List all objects of a kind."""
        if self.down:
            return self.unavailable()
        with self.condition:
            self.calls += 1
            objects = tuple(
                stored
                for (stored_kind, _), stored in sorted(self.objects.items())
                if stored_kind == kind
            )
            return result.Success(listing.Listing(self.revision, objects))

    def watch_kind(
        self, kind: str, after: int, timeout_s: float
    ) -> result.Result[listing.Listing, object_store.StoreError]:
        """Wait for changes of a kind."""
        if self.down:
            return self.unavailable()
        with self.condition:
            self.calls += 1
            if self.history and after < self.history[0].version - 1:
                exc = errors.HistoryLost(f'Revision {after} is too old.')
                return result.Failure(exc)
            self.condition.wait_for(
                lambda: self.changes(kind, after) or self.down, timeout_s
            )
            changes = self.changes(kind, after)
            return result.Success(
                listing.Listing(self.revision, tuple(changes))
            )

    def changes(
        self, kind: str, after: int
    ) -> Sequence[stored_object.StoredObject]:
        """Return the recorded changes of a kind after a revision, in order."""
        newer = []
        for change in reversed(self.history):
            if change.version <= after:
                break
            if change.kind == kind:
                newer.append(change)
        newer.reverse()
        return newer

    def current_version(self, kind: str, name: str) -> int:
        """Return the version of an object, or `ABSENT`."""
        stored = self.objects.get((kind, name))
        return stored.version if stored else object_store.ABSENT

    def record(self, change: stored_object.StoredObject) -> None:
        """Add a change to the bounded history and wake the watches."""
        self.history.append(change)
        del self.history[:-HISTORY_LENGTH]
        self.condition.notify_all()

    def reply(self, value: Any) -> result.Result[Any, object_store.StoreError]:
        """Return the reply of a write, or lose it if a test asks for that."""
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return result.Failure(errors.PlatformUncertain('Reply lost.'))
        return result.Success(value)

    def conflict(
        self, kind: str, name: str
    ) -> result.Result[Any, object_store.StoreError]:
        """Return the failure of a write whose version does not match."""
        exc = errors.Conflict(f'{kind}/{name} has another version.')
        return result.Failure(exc)

    def unavailable(self) -> result.Result[Any, object_store.StoreError]:
        """Return the failure of a call during an outage."""
        return result.Failure(errors.PlatformUnavailable('The store is down.'))
