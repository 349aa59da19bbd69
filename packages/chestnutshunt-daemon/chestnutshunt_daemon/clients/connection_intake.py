"""Connections that wait, without a thread, for a head."""

from cheroot import connections
from cheroot import server

__all__ = ['ConnectionIntake']


class ConnectionIntake(connections.ConnectionManager):
    """Watches idle connections and those whose head is not whole."""

    def put(self, conn: server.HTTPConnection) -> None:
        """Watch a connection, or serve it at once if it has a request."""
        if conn.rfile.has_data():
            self.server.process_conn(conn)
            return
        self.server.budget.begin_wait(conn.holder)
        super().put(conn)

    def _expire(self, threshold: float) -> None:
        """Close overdue connections, and make room for those that wait."""
        now = self.server.clock.monotonic()
        overdue = [
            (descriptor, conn)
            for descriptor, conn in self._selector.connections
            if conn is not self.server and conn.is_overdue(now)
        ]
        for descriptor, conn in overdue:
            self._selector.unregister(descriptor)
            conn.refuse_overdue()
        self.server.requests.relieve()
