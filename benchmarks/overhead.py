"""Overhead of a daemon compared with direct calls of the same target.

Prints the median and p99 latency of a small plain call for 1, 8 and 64
callers, made directly, through a bare relay and through a daemon, and the
tokens per second that the relay and one daemon stream.
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

CALLER_COUNTS = (1, 8, 64)
REQUEST_COUNTS = {1: 1000, 8: 3000, 64: 5000}
STREAM_COUNT = 8
STREAM_TOKEN_COUNT = 6000
ROUND_COUNT = 2
STREAM_ROUND_COUNT = 5


def start_process(deployment, name, *arguments):
    """Start a module of this package; it is stopped with the deployment."""
    process = cluster.Process(
        [f'benchmarks.{name}', *arguments], deployment.folder / f'{name}.log'
    )
    deployment.stack.callback(process.close)


def wait_for_server(address):
    """Wait until an HTTP server answers at an address."""

    def answers():
        try:
            return urllib3.request(
                'GET', f'http://{address}/x', retries=False, timeout=2.0
            )
        except urllib3.exceptions.HTTPError:
            return None

    cluster.wait_until(answers, f'{address} answers')


def add_target(deployment, service, address):
    """Register an address as the target of a service and configure it."""
    value = {
        'service': service,
        'address': address,
        'datacentre': 'marmara-a',
    }
    deployment.client.put(
        'target', f'{service}-1', value, object_store.ABSENT
    ).unwrap()
    deployment.editor.set(
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
    for callers in CALLER_COUNTS:
        for name, url in routes.items():
            best = None
            for _ in range(ROUND_COUNT):
                report = load.run_load(
                    url,
                    'x',
                    headers,
                    callers,
                    REQUEST_COUNTS[callers],
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
    """Return the tokens per second over concurrent streams."""
    pool = urllib3.PoolManager(retries=False, maxsize=STREAM_COUNT)
    body = json.dumps({'prompt': 'p', 'max_tokens': STREAM_TOKEN_COUNT})
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
            raise RuntimeError(f'the stream from {url} ended early')
        counts.append(count - 1)

    threads = [threading.Thread(target=read) for _ in range(STREAM_COUNT)]
    started_at = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(counts) != STREAM_COUNT:
        raise RuntimeError(
            f'{len(counts)} of {STREAM_COUNT} streams from {url} completed'
        )
    return sum(counts) / (time.monotonic() - started_at)


def listen_arguments(address):
    """Return the command-line arguments for a listening address."""
    host, _, port = address.rpartition(':')
    return '--host', host, '--port', port


def main():
    """Run the benchmark; the argument ``streams`` runs only that part."""
    with cluster.cluster(tempfile.mkdtemp()) as deployment:
        target = cluster.free_address()
        relay = cluster.free_address()
        start_process(deployment, 'token_source', *listen_arguments(target))
        start_process(
            deployment,
            'bare_relay',
            *listen_arguments(relay),
            '--target',
            target,
        )
        for address in (target, relay):
            wait_for_server(address)
        add_target(deployment, 'look', target)
        add_target(deployment, 'model', target)
        token = deployment.workspace('bench')
        daemon = deployment.daemon(
            'one',
            debug_steps=False,
            heartbeat_s=1.0,
            log_level='WARNING',
            threads=128,
        )
        deployment.wait_ready()
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
    for _ in range(STREAM_ROUND_COUNT):
        for name, url in urls.items():
            rates[name].append(stream_rate(url, headers))
    print(
        f'\nstreamed tokens/s over {STREAM_COUNT} streams, '
        f'{STREAM_ROUND_COUNT} rounds'
    )
    for name, measured in rates.items():
        shown = ' '.join(f'{rate:.0f}' for rate in sorted(measured))
        print(f'{name:8}median {statistics.median(measured):8.0f}  ({shown})')
    ratio = statistics.median(rates['daemon']) / statistics.median(
        rates['relay']
    )
    print(f'daemon / relay = {ratio:.2f}')


if __name__ == '__main__':
    main()
