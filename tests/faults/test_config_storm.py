"""Changes of the configuration in quick succession, while daemons hang."""

import random
import threading
import time

import pytest

from tests.faults import test_fleet

fleet = test_fleet.fleet

# Rule of the platform: time after which a change is in force, at daemons that
# have not been disturbed for as long as `CONTACT_S`.
CONFIG_S = 2.5
CONTACT_S = 4.0

VERSION_COUNT = 60
PAUSE_S = 0.2
FREEZE_S = 1.2
DAEMON_COUNT = 6


class Operator(threading.Thread):
    """Writes versions and records when each was acknowledged."""

    def __init__(self, fleet):
        super().__init__()
        self.fleet = fleet
        self.acknowledged_at = {}
        self.ended = threading.Event()

    def run(self):
        for version in range(2, VERSION_COUNT + 2):
            self.fleet.put(
                'config', 'main', test_fleet.config(version, routes=['extra'])
            )
            self.acknowledged_at[version] = time.monotonic()
            time.sleep(PAUSE_S)
        self.ended.set()

    def due_version(self, at):
        """Return the version that must be in force at a time."""
        return max(
            (
                version
                for version, since in list(self.acknowledged_at.items())
                if since < at - CONFIG_S
            ),
            default=0,
        )


# Guards against CONFIG: a daemon got changes seconds late or went back, while
# others hung.
@pytest.mark.parametrize('seed', [0])
def test_changes_are_in_force_in_time_while_daemons_hang(fleet, seed):
    rng = random.Random(seed)
    daemons = fleet.start(DAEMON_COUNT)
    # The last by name calls none of the others.
    watched = daemons[-1]
    operator = Operator(fleet)
    operator.start()
    late = []
    seen = []
    frozen = []
    thaw_at = 0.0
    while not operator.ended.is_set() or time.monotonic() < thaw_at:
        now = time.monotonic()
        if now >= thaw_at:
            for daemon in frozen:
                daemon.thaw()
            frozen = rng.sample(daemons[:-1], 2)
            for daemon in frozen:
                daemon.freeze()
            thaw_at = now + FREEZE_S
            if operator.ended.is_set():
                break
        due = operator.due_version(now)
        version = watched.dump()['configuration']['version']
        seen.append(version)
        if version < due:
            late.append((due, version))
        time.sleep(0.05)
    for daemon in frozen:
        daemon.thaw()
    operator.join()
    assert not late
    assert seen == sorted(seen)
