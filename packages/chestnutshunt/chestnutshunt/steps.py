"""Named points in the code at which a test can hold or wait.

Nothing is armed unless a daemon's settings turn the points on, in which case
``reach`` costs one look-up.
"""

import threading

__all__ = ['StepGates', 'gates', 'reach']


class StepGates:
    """Holds threads at armed points until they are released.

    Attributes
    ----------
    enabled : bool
        False leaves every point without effect.
    reached : dict of str to int
        How often each armed point was reached.
    """

    def __init__(self) -> None:
        self.enabled = False
        self.armed: set[str] = set()
        self.reached: dict[str, int] = {}
        self.condition = threading.Condition()

    def arm(self, name: str) -> None:
        """Hold every thread that reaches the point from now on."""
        with self.condition:
            self.armed.add(name)
            self.reached.setdefault(name, 0)

    def release(self, name: str) -> None:
        """Let held threads go on and hold no further ones."""
        with self.condition:
            self.armed.discard(name)
            self.condition.notify_all()

    def wait_until_reached(self, name: str, timeout: float) -> bool:
        """Wait until a thread is held; return False after `timeout` s."""
        with self.condition:
            return self.condition.wait_for(
                lambda: self.reached.get(name, 0) > 0, timeout
            )

    def reach(self, name: str) -> None:
        """Mark the point as reached and wait while it is armed."""
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
    """Reach a named point of the process-wide gates."""
    gates.reach(name)
