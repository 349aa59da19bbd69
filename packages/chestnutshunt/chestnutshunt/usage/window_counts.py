"""Number of requests by wall-clock window and workspace."""

import threading

__all__ = ['WindowCounts']

# Older windows have been reported or can no longer be reported.
KEPT_WINDOW_COUNT = 8

Counts = dict[int, dict[str, int]]


class WindowCounts:
    """Thread-safe counts of this daemon and of its peers.

    A peer sends its totals, not increments, so a message that is lost or
    duplicated does no harm.

    Parameters
    ----------
    window_s : float
        Length of a window in seconds; window k starts at Unix time
        ``k * window_s``.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.own_counts: Counts = {}
        self.peer_counts: dict[str, Counts] = {}
        self.lock = threading.Lock()

    def window_at(self, time_s: float) -> int:
        """Return the number of the window at a Unix time in seconds."""
        return int(time_s // self.window_s)

    def add(self, workspace: str, time_s: float, number: int = 1) -> None:
        """Count requests that started at a Unix time; -1 removes one."""
        window = self.window_at(time_s)
        with self.lock:
            counts = self.own_counts.setdefault(window, {})
            counts[workspace] = counts.get(workspace, 0) + number
            drop_oldest(self.own_counts)

    def own_totals(self) -> Counts:
        """Return a copy of this daemon's counts of recent windows."""
        with self.lock:
            return {
                window: dict(counts)
                for window, counts in self.own_counts.items()
            }

    def peer_totals(self, name: str) -> Counts:
        """Return a copy of the counts that a peer has sent."""
        with self.lock:
            totals = self.peer_counts.get(name, {})
            return {window: dict(totals[window]) for window in totals}

    def set_peer_totals(self, name: str, counts: Counts) -> None:
        """Replace the totals of a peer for the given windows.

        Parameters
        ----------
        name : str
            Name and incarnation of the peer, since its counts start from
            zero with each incarnation.
        counts : dict
            Totals of the peer by window and workspace.
        """
        with self.lock:
            totals = self.peer_counts.setdefault(name, {})
            totals.update(counts)
            drop_oldest(totals)

    def fleet_totals(self, window: int) -> dict[str, int]:
        """Return the counts of a window over all known daemons.

        Workspaces without a positive count are left out.
        """
        summed: dict[str, int] = {}
        with self.lock:
            for counts in (self.own_counts, *self.peer_counts.values()):
                for workspace, number in counts.get(window, {}).items():
                    summed[workspace] = summed.get(workspace, 0) + number
        return {name: number for name, number in summed.items() if number > 0}


def drop_oldest(counts: Counts) -> None:
    """Drop the oldest windows beyond `KEPT_WINDOW_COUNT`."""
    while len(counts) > KEPT_WINDOW_COUNT:
        del counts[min(counts)]
