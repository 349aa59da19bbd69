"""A request that crashes replicas is not recognised; see ``claim.txt``."""

import functools
import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import parts  # noqa: E402
import rig  # noqa: E402

USUAL_BODY = b'a' * 600
CRASHING_BODY = b'crash' + b'c' * 595

REPLICA_COUNT = 3
# The clients refresh their pages together, so that most of the daemons'
# connections to the replicas are idle most of the time.
CLIENT_COUNT = 32
REFRESH_S = 0.5

TRAFFIC_S = 70.0

# A replica that has crashed is back after this time.
DOWN_S = 2.5

# Time between two attempts of the client with the crashing request.
PERIOD_S = 6.0

# From the bounds of the pages.
CONTACT_S = 4.0
ALLOWED_COUNT = 3


class FragileReplica(parts.Replica):
    """A replica that crashes when it begins to run a certain request."""

    crash_lock = threading.Lock()

    def run(self, request: rig.Request, connection: rig.Connection) -> None:
        """Run a request, or crash and come back later."""
        if request.body != CRASHING_BODY:
            super().run(request, connection)
            return
        with self.crash_lock:
            if self.listener is None:
                raise rig.Closed('The replica has crashed.')
            self.note_run(request)
            self.site.crashes.append((time.monotonic(), request.id))
            self.crash()
        threading.Timer(DOWN_S, self.restart).start()


def send_usual(site: rig.Site, number: int) -> None:
    """Send usual requests until the traffic ends."""
    daemon = site.daemons[number % len(site.daemons)]
    client = parts.Client(site, f'usual-{number}', daemon.caller)
    end_at = time.monotonic() + TRAFFIC_S
    while time.monotonic() < end_at:
        client.ask(parts.PREFIX + 'lookup', USUAL_BODY)
        time.sleep(REFRESH_S - time.monotonic() % REFRESH_S)
    client.close()


def send_crashing(site: rig.Site, sent_at: dict[str, float]) -> None:
    """Send the crashing request again and again, at any daemon."""
    end_at = time.monotonic() + TRAFFIC_S - PERIOD_S
    count = 0
    while time.monotonic() < end_at:
        time.sleep(PERIOD_S)
        daemon = site.daemons[count % len(site.daemons)]
        client = parts.Client(site, f'crashing-{count}', daemon.caller)
        sent_at[f'crashing-{count}-1'] = time.monotonic()
        client.ask(parts.PREFIX + 'lookup', CRASHING_BODY)
        client.close()
        count += 1


def case(site: rig.Site, trouble: bool) -> bool:
    """Return whether the crashing request was kept from the replicas."""
    site.crashes = []
    for number in range(REPLICA_COUNT):
        FragileReplica(site, number)
    site.configure(1, [parts.route()], [parts.service()])
    site.start_daemons(2)
    time.sleep(1.0)
    sent_at: dict[str, float] = {}
    work = [
        functools.partial(send_usual, site, number)
        for number in range(CLIENT_COUNT)
    ]
    if trouble:
        work.append(functools.partial(send_crashing, site, sent_at))
    parts.run_all(work)
    late = set()
    if len(site.crashes) >= ALLOWED_COUNT:
        known_at = site.crashes[ALLOWED_COUNT - 1][0] + CONTACT_S
        late = {
            request_id
            for _, request_id in site.crashes
            if sent_at[request_id] > known_at
        }
    site.record.add(
        'summary',
        attempts=len(sent_at),
        crashes=len(site.crashes),
        attempts_that_came_through_late=len(late),
    )
    return len(late) <= ALLOWED_COUNT


rig.run_case(FOLDER, case, os.environ.get('TROUBLE', '1') != '0')
