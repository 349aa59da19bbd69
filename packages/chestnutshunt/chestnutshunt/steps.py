"""Named gates in the code at which a test can block threads.

The gates have no effect unless a daemon's settings enable them. Passing a
gate that is not armed then costs a lock and a set look-up.
"""

import threading

__all__ = ['StepGates', 'gates', 'reach']


class StepGates:
    """Blocks threads at armed gates until these are released.

    Thread-safe.

    Attributes
    ----------
    enabled : bool
        If False, no gate has any effect.
    reached : dict of str to int
        Number of threads that each armed gate has blocked.
    """

    def __init__(self) -> None:
        self.enabled = False
        self.armed: set[str] = set()
        self.reached: dict[str, int] = {}
        self.condition = threading.Condition()

    def arm(self, name: str) -> None:
        """Block every thread that reaches the gate from now on."""
        with self.condition:
            self.armed.add(name)
            self.reached.setdefault(name, 0)

    def release(self, name: str) -> None:
        """Disarm the gate and let its blocked threads continue."""
        with self.condition:
            self.armed.discard(name)
            self.condition.notify_all()

    def wait_until_reached(self, name: str, timeout: float) -> bool:
        """Wait for a thread at the gate; return False after `timeout` s."""
        with self.condition:
            return self.condition.wait_for(
                lambda: self.reached.get(name, 0) > 0, timeout
            )

    def reach(self, name: str) -> None:
        """Count the thread and block it while the gate is armed."""
        if not self.enabled:
            return
        with self.condition:
            if name not in self.armed:
                return
            self.reached[name] = self.reached.get(name, 0) + 1
            self.condition.notify_all()
            self.condition.wait_for(lambda: name not in self.armed)


gates = StepGates()


def reach(name: str) -> None:
    """Pass a named gate of the process-wide `gates`."""
    gates.reach(name)
