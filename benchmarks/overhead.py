"""Overhead of a daemon against the same target called directly.

Prints, for 1, 8 and 64 callers, the median and p99 of a small plain call
directly, through a bare relay and through a daemon, and the tokens a second
that one daemon and the bare relay stream.
"""

import json
import statistics
import sys
import tempfile
import threading
import time

import urllib3

from chestnutshunt.store import object_store
from chestnutshunt_cli import load
from chestnutshunt_standins import cluster

__all__ = ['main']

CALLERS = (1, 8, 64)
REQUESTS = {1: 1000, 8: 3000, 64: 5000}
STREAMS = 8
STREAM_TOKENS = 6000
ROUNDS = 2
STREAM_ROUNDS = 5


def start(made, name, *arguments):
    """Start a process of this package that ends with the cluster."""
    process = cluster.Process(
        [f'benchmarks.{name}', *arguments], made.folder / f'{name}.log'
    )
    made.stack.callback(process.close)


def wait_open(address):
    """Wait until something answers at an address."""

    def answers():
        try:
            return urllib3.request(
                'GET', f'http://{address}/x', retries=False, timeout=2.0
            )
        except urllib3.exceptions.HTTPError:
            return None

    cluster.wait_until(answers, f'{address} answers')


def add_target(made, service, address):
    """List an address as the target of a service."""
    value = {
        'service': service,
        'address': address,
        'datacentre': 'marmara-a',
    }
    made.client.put(
        'target', f'{service}-1', value, object_store.ABSENT
    ).unwrap()
    made.editor.set(
        f'services/{service}',
        {
            'protocol': 'engine' if service == 'model' else 'plain',
            'target_concurrency': 256,
            'queue_length': 1000,
        },
    )


def latency_rows(routes, headers):
    """Measure each route in turn at each number of callers."""
    rows = []
    for callers in CALLERS:
        for name, url in routes.items():
            best = None
            for _ in range(ROUNDS):
                report = load.run_load(
                    url,
                    'x',
                    headers,
                    callers,
                    REQUESTS[callers],
                    lambda count: None,
                )
                failures = {k for k in report.outcomes if k != '200'}
                if failures:
                    print(f'{name} at {callers}: {report.outcomes}')
                if best is None or report.quantile(0.5) < best.quantile(0.5):
                    best = report
            rows.append((callers, name, best))
    return rows


def print_latency(rows):
    """Print medians, p99 and their ratios to the direct call."""
    print('callers  route     p50 ms   p99 ms   req/s  p50 ratio  p99 ratio')
    direct = None
    for callers, name, report in rows:
        if name == 'direct':
            direct = report
        p50, p99 = report.quantile(0.5), report.quantile(0.99)
        print(
            f'{callers:7}  {name:8}'
            f'{p50 * 1e3:8.2f} {p99 * 1e3:8.2f}'
            f'{len(report.latencies) / report.seconds:8.0f}'
            f'{p50 / direct.quantile(0.5):11.2f}'
            f'{p99 / direct.quantile(0.99):11.2f}'
        )


def stream_rate(url, headers):
    """Return the tokens a second of some streams at one time."""
    pool = urllib3.PoolManager(retries=False, maxsize=STREAMS)
    body = json.dumps({'prompt': 'p', 'max_tokens': STREAM_TOKENS})
    counts = []

    def read():
        answer = pool.request(
            'POST', url, body=body, headers=headers, preload_content=False
        )
        last = b''
        count = 0
        for chunk in answer.stream(65536):
            count += chunk.count(b'\n')
            last = chunk
        if b'"done": true' not in last:
            raise RuntimeError('the stream is not whole')
        counts.append(count - 1)

    threads = [threading.Thread(target=read) for _ in range(STREAMS)]
    began = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(counts) != STREAMS:
        raise RuntimeError('a stream failed')
    return sum(counts) / (time.monotonic() - began)


def listen_on(address):
    """Return the arguments that name an address to listen on."""
    host, _, port = address.rpartition(':')
    return '--host', host, '--port', port


def main():
    """Run the benchmark; with the word ``streams`` only that part."""
    with cluster.cluster(tempfile.mkdtemp()) as made:
        target = cluster.free_address()
        relay = cluster.free_address()
        start(made, 'token_source', *listen_on(target))
        start(made, 'bare_relay', *listen_on(relay), '--target', target)
        for address in (target, relay):
            wait_open(address)
        add_target(made, 'look', target)
        add_target(made, 'model', target)
        token = made.workspace('bench')
        daemon = made.daemon(
            'one',
            debug_steps=False,
            heartbeat_s=1.0,
            log_level='WARNING',
            threads=128,
        )
        made.wait_ready()
        headers = {'Authorization': f'Bearer {token}'}
        if 'streams' not in sys.argv:
            routes = {
                'direct': f'http://{target}/x',
                'relay': f'http://{relay}/x',
                'daemon': f'http://{daemon.caller}/s/look/x',
            }
            print_latency(latency_rows(routes, headers))
        urls = {
            'relay': f'http://{relay}/v1/generate',
            'daemon': f'http://{daemon.caller}/s/model/v1/generate',
        }
        print_streams(urls, headers)


def print_streams(urls, headers):
    """Measure streams in turn and print medians and their ratio."""
    rates = {name: [] for name in urls}
    for _ in range(STREAM_ROUNDS):
        for name, url in urls.items():
            rates[name].append(stream_rate(url, headers))
    print(
        f'\nstreamed tokens/s over {STREAMS} streams, {STREAM_ROUNDS} rounds'
    )
    for name, found in rates.items():
        shown = ' '.join(f'{rate:.0f}' for rate in sorted(found))
        print(f'{name:8}median {statistics.median(found):8.0f}  ({shown})')
    ratio = statistics.median(rates['daemon']) / statistics.median(
        rates['relay']
    )
    print(f'daemon / relay = {ratio:.2f}')


if __name__ == '__main__':
    main()
