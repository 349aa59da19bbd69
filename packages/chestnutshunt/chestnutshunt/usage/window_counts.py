"""Requests of each workspace in each window of the wall clock."""

import threading

__all__ = ['WindowCounts']

KEPT_WINDOW_COUNT = 8
"""Windows that are kept; older ones have been reported or never will be."""

Counts = dict[int, dict[str, int]]


class WindowCounts:
    """Counts of this daemon, and those that peers have handed over.

    A peer hands over its totals, not increments, so a message that is lost
    or arrives twice does no harm.

    Parameters
    ----------
    window_s : float
        Length of a window in seconds; window k begins at k times that.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.own: Counts = {}
        self.peers: dict[str, Counts] = {}
        self.lock = threading.Lock()

    def window_at(self, time_s: float) -> int:
        """Return the number of the window at a Unix time."""
        return int(time_s // self.window_s)

    def add(self, workspace: str, time_s: float, number: int = 1) -> None:
        """Count requests that began at a Unix time; -1 takes one back."""
        window = self.window_at(time_s)
        with self.lock:
            counts = self.own.setdefault(window, {})
            counts[workspace] = counts.get(workspace, 0) + number
            drop_oldest(self.own)

    def own_totals(self) -> Counts:
        """Return this daemon's counts of recent windows."""
        with self.lock:
            return {window: dict(held) for window, held in self.own.items()}

    def set_peer_totals(self, name: str, counts: Counts) -> None:
        """Take over a peer's totals.

        Parameters
        ----------
        name : str
            The peer's name and start, since its counts begin anew with it.
        counts : dict
            Its totals by window and workspace.
        """
        with self.lock:
            held = self.peers.setdefault(name, {})
            held.update(counts)
            drop_oldest(held)

    def fleet_totals(self, window: int) -> dict[str, int]:
        """Return the counts of a window over all daemons heard of."""
        summed: dict[str, int] = {}
        with self.lock:
            for counts in (self.own, *self.peers.values()):
                for workspace, number in counts.get(window, {}).items():
                    summed[workspace] = summed.get(workspace, 0) + number
        return {name: number for name, number in summed.items() if number > 0}


def drop_oldest(counts: Counts) -> None:
    """Bound the number of windows."""
    while len(counts) > KEPT_WINDOW_COUNT:
        del counts[min(counts)]
