"""Idle connections to targets."""

import threading
import weakref

import urllib3.connection

from chestnutshunt import clock

__all__ = ['ConnectionPool']

MAX_IDLE = 64
"""Idle connections kept for one address."""

MAX_AGE = 30.0
"""Seconds after which an idle connection is not used again."""


class ConnectionPool:
    """Keeps connections for reuse; a connection has one user at a time.

    Parameters
    ----------
    clock : Clock
        Clock for the age of idle connections.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.idle: dict[
            str,
            list[tuple[float, urllib3.connection.HTTPConnection, set[str]]],
        ] = {}
        """Until when a connection may be used, itself, what it carried."""
        self.carried: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()
        self.lock = threading.Lock()

    def take_idle(
        self, address: str, request_id: str = ''
    ) -> urllib3.connection.HTTPConnection | None:
        """Return a connection that still looks open, if there is one.

        Parameters
        ----------
        address : str
            ``IP:PORT`` it leads to.
        request_id : str, optional
            Id of the request to send. A connection that has carried it is not
            returned: a late second answer to the earlier attempt could not be
            told from the answer to this one.
        """
        now = self.clock.monotonic()
        while True:
            with self.lock:
                held = self.idle.get(address, [])
                found = next(
                    (x for x in reversed(held) if request_id not in x[2]), None
                )
                if found is None:
                    return None
                held.remove(found)
            usable_until, connection, _ = found
            if usable_until >= now and connection.is_connected:
                return connection
            connection.close()

    def keep(
        self,
        address: str,
        connection: urllib3.connection.HTTPConnection,
        idle_s: float = MAX_AGE,
        request_id: str = '',
    ) -> None:
        """Keep a connection whose last answer was read to its end.

        Parameters
        ----------
        address : str
            ``IP:PORT`` it leads to.
        connection : HTTPConnection
            The connection.
        idle_s : float, optional
            Seconds for which the other side keeps it open.
        request_id : str, optional
            Id of the request that it carried last.
        """
        until = self.clock.monotonic() + min(idle_s, MAX_AGE)
        with self.lock:
            held = self.idle.setdefault(address, [])
            if len(held) < MAX_IDLE:
                carried = self.carried.setdefault(connection, set())
                if request_id:
                    carried.add(request_id)
                held.append((until, connection, carried))
                return
        connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self.lock:
            held = [item for items in self.idle.values() for item in items]
            self.idle.clear()
        for _, connection, _ in held:
            connection.close()
