"""Pool of idle connections to targets."""

import threading
import weakref

import urllib3.connection

from chestnutshunt import clock

__all__ = ['ConnectionPool']

MAX_IDLE_COUNT = 64  # for each address
MAX_IDLE_S = 30.0


class ConnectionPool:
    """Keeps idle connections for reuse.

    A connection that was taken belongs to the caller until it is returned.
    All methods may be called from several threads.

    Parameters
    ----------
    clock : Clock
        Clock for the idle time of connections.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        # By address: expiry time, connection, ids of requests it carried.
        self.idle: dict[
            str,
            list[tuple[float, urllib3.connection.HTTPConnection, set[str]]],
        ] = {}
        self.carried: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()
        self.lock = threading.Lock()

    def take_idle(
        self, address: str, request_id: str = ''
    ) -> urllib3.connection.HTTPConnection | None:
        """Take an idle connection that still looks open, if there is one.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the target.
        request_id : str, optional
            Id of the request to send. A connection that has already carried
            it is not returned: a late duplicate response to the earlier
            attempt could be mistaken for the response to this one.
        """
        now = self.clock.monotonic()
        while True:
            with self.lock:
                entries = self.idle.get(address, [])
                entry = next(
                    (
                        item
                        for item in reversed(entries)
                        if request_id not in item[2]
                    ),
                    None,
                )
                if entry is None:
                    return None
                entries.remove(entry)
            expires_at, connection, _ = entry
            if expires_at >= now and connection.is_connected:
                return connection
            connection.close()

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection that has not expired exists."""
        now = self.clock.monotonic()
        with self.lock:
            return any(
                expires_at >= now
                for expires_at, _, _ in self.idle.get(address, ())
            )

    def keep(
        self,
        address: str,
        connection: urllib3.connection.HTTPConnection,
        idle_s: float = MAX_IDLE_S,
        request_id: str = '',
    ) -> None:
        """Return a connection whose last response was read completely.

        The connection is closed instead if the pool of the address is full.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the target.
        connection : HTTPConnection
            Connection with no exchange in progress.
        idle_s : float, optional
            Seconds for which the target keeps the connection open.
        request_id : str, optional
            Id of the last request sent on it.
        """
        expires_at = self.clock.monotonic() + min(idle_s, MAX_IDLE_S)
        with self.lock:
            entries = self.idle.setdefault(address, [])
            if len(entries) < MAX_IDLE_COUNT:
                carried = self.carried.setdefault(connection, set())
                if request_id:
                    carried.add(request_id)
                entries.append((expires_at, connection, carried))
                return
        connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self.lock:
            entries = [item for items in self.idle.values() for item in items]
            self.idle.clear()
        for _, connection, _ in entries:
            connection.close()
