"""Goodput under a retry storm, with and without a daemon.

Callers offer twice the capacity of a service and resend as soon as an answer
takes longer than a second.
"""

import tempfile
import threading
import time

import attrs
import urllib3

from chestnutshunt_standins import cluster

__all__ = ['main']

SLOT_COUNT = 3
WORK_S = 0.1
CAPACITY_PER_S = SLOT_COUNT / WORK_S
OVERLOAD_RATIO = 2.0
CALLER_TIMEOUT_S = 1.0
MAX_RESEND_COUNT = 5
DURATION_S = 16.0
WARM_UP_S = 4.0


@attrs.define
class LoadCounts:
    """Answers within the callers' timeout, and sends, after the warm-up."""

    answered: int = 0
    sends: int = 0
    lock: threading.Lock = attrs.field(factory=threading.Lock)


def offer_load(url, headers, with_identity, counts, started_at):
    """Start a thread per request at a fixed rate (open-loop load)."""
    pool = urllib3.PoolManager(retries=False, maxsize=512)
    threads = []
    number = 0
    while time.monotonic() - started_at < DURATION_S:
        due = started_at + number / (CAPACITY_PER_S * OVERLOAD_RATIO)
        time.sleep(max(due - time.monotonic(), 0))
        request_headers = dict(headers)
        if with_identity:
            request_headers['Idempotency-Key'] = f'storm-{number}'
        thread = threading.Thread(
            target=send_with_resends,
            args=(pool, url, request_headers, counts, started_at),
        )
        thread.start()
        threads.append(thread)
        number += 1
    for thread in threads:
        thread.join()


def send_with_resends(pool, url, headers, counts, started_at):
    """Send a request; resend it on a timeout or a refusal."""
    for _ in range(1 + MAX_RESEND_COUNT):
        if time.monotonic() - started_at > DURATION_S:
            return
        is_counted = time.monotonic() - started_at > WARM_UP_S
        with counts.lock:
            counts.sends += is_counted
        try:
            answer = pool.request(
                'POST',
                url,
                body='x',
                headers=headers,
                timeout=CALLER_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            continue
        if answer.status == 200:
            with counts.lock:
                counts.answered += is_counted
            return


def measure_goodput(name, url, headers, with_identity):
    """Run the storm against an address and print its goodput."""
    counts = LoadCounts()
    offer_load(url, headers, with_identity, counts, time.monotonic())
    measured_s = DURATION_S - WARM_UP_S
    goodput = counts.answered / measured_s
    print(
        f'{name:30}{goodput:8.1f}/s {goodput / CAPACITY_PER_S:7.0%} '
        f'of capacity {counts.sends / measured_s:8.1f} sends/s'
    )
    return goodput / CAPACITY_PER_S


def main():
    """Run the storm directly, and through a daemon."""
    print(
        f'capacity {CAPACITY_PER_S:.0f}/s, '
        f'offered {CAPACITY_PER_S * OVERLOAD_RATIO:.0f}/s, '
        f'resent after {CALLER_TIMEOUT_S} s up to {MAX_RESEND_COUNT} times'
    )
    for direct in (True, False):
        with cluster.cluster(tempfile.mkdtemp()) as deployment:
            target = deployment.target(
                'plain',
                'look',
                'marmara-a',
                'plain-1',
                '--slots',
                str(SLOT_COUNT),
                '--work-time',
                str(WORK_S),
            )
            if direct:
                measure_goodput('directly', target.url + '/x', {}, False)
                continue
            deployment.editor.set(
                'services/look',
                {
                    'target_concurrency': SLOT_COUNT,
                    'timeout_s': CALLER_TIMEOUT_S,
                    'queue_length': 1000,
                },
            )
            token = deployment.workspace('partner')
            daemon = deployment.daemon(
                'one',
                debug_steps=False,
                heartbeat_s=1.0,
                lease_s=6.0,
                threads=256,
                log_level='WARNING',
            )
            deployment.wait_ready()
            headers = {'Authorization': f'Bearer {token}'}
            url = f'http://{daemon.caller}/s/look/x'
            measure_goodput('daemon, without identities', url, headers, False)
            time.sleep(1)
            measure_goodput('daemon, with identities', url, headers, True)


if __name__ == '__main__':
    main()
