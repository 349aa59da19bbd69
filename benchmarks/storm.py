"""Goodput under a storm of resends, with and without a daemon.

Callers offer twice the capacity of a service and send again as soon as an
answer takes longer than a second.
"""

import tempfile
import threading
import time

import attrs
import urllib3

from chestnutshunt_standins import cluster

__all__ = ['main']

SLOTS = 3
WORK_S = 0.1
CAPACITY = SLOTS / WORK_S
OVERLOAD = 2.0
PATIENCE_S = 1.0
RESENDS = 5
SECONDS = 16.0
WARM_UP_S = 4.0


@attrs.define
class Tally:
    """Answers within the callers' patience, and sends, after warm-up."""

    answered: int = 0
    sends: int = 0
    lock: threading.Lock = attrs.field(factory=threading.Lock)


def offer(url, headers, with_identity, tally, began):
    """Start a caller for each request that is due, without waiting."""
    pool = urllib3.PoolManager(retries=False, maxsize=512)
    threads = []
    number = 0
    while time.monotonic() - began < SECONDS:
        due = began + number / (CAPACITY * OVERLOAD)
        time.sleep(max(due - time.monotonic(), 0))
        sent = dict(headers)
        if with_identity:
            sent['Idempotency-Key'] = f'storm-{number}'
        thread = threading.Thread(
            target=ask, args=(pool, url, sent, tally, began)
        )
        thread.start()
        threads.append(thread)
        number += 1
    for thread in threads:
        thread.join()


def ask(pool, url, headers, tally, began):
    """Send a request, again and again while it seems slow or is refused."""
    for _ in range(1 + RESENDS):
        if time.monotonic() - began > SECONDS:
            return
        counts = time.monotonic() - began > WARM_UP_S
        with tally.lock:
            tally.sends += counts
        try:
            answer = pool.request(
                'POST', url, body='x', headers=headers, timeout=PATIENCE_S
            )
        except urllib3.exceptions.HTTPError:
            continue
        if answer.status == 200:
            with tally.lock:
                tally.answered += counts
            return


def measure(name, url, headers, with_identity):
    """Run the storm against an address and print its goodput."""
    tally = Tally()
    offer(url, headers, with_identity, tally, time.monotonic())
    span = SECONDS - WARM_UP_S
    goodput = tally.answered / span
    print(
        f'{name:30}{goodput:8.1f}/s {goodput / CAPACITY:7.0%} of capacity '
        f'{tally.sends / span:8.1f} sends/s'
    )
    return goodput / CAPACITY


def main():
    """Run the storm directly, and through a daemon."""
    print(
        f'capacity {CAPACITY:.0f}/s, offered {CAPACITY * OVERLOAD:.0f}/s, '
        f'resent after {PATIENCE_S} s up to {RESENDS} times'
    )
    for direct in (True, False):
        with cluster.cluster(tempfile.mkdtemp()) as made:
            target = made.target(
                'plain',
                'look',
                'marmara-a',
                'plain-1',
                '--slots',
                str(SLOTS),
                '--work-time',
                str(WORK_S),
            )
            if direct:
                measure('directly', target.url + '/x', {}, False)
                continue
            made.editor.set(
                'services/look',
                {
                    'target_concurrency': SLOTS,
                    'timeout_s': PATIENCE_S,
                    'queue_length': 1000,
                },
            )
            token = made.workspace('partner')
            daemon = made.daemon(
                'one',
                debug_steps=False,
                heartbeat_s=1.0,
                lease_s=6.0,
                threads=256,
                log_level='WARNING',
            )
            made.wait_ready()
            headers = {'Authorization': f'Bearer {token}'}
            url = f'http://{daemon.caller}/s/look/x'
            measure('daemon, without identities', url, headers, False)
            time.sleep(1)
            measure('daemon, with identities', url, headers, True)


if __name__ == '__main__':
    main()
