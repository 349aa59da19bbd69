"""Relay built on cheroot and urllib3 without any control, as a baseline."""

import argparse
import signal
import threading

from cheroot import wsgi
import urllib3

__all__ = ['make_relay']

CHUNK_BYTES = 65536


def make_relay(target):
    """Return a WSGI application that forwards every request to a target."""
    pool = urllib3.PoolManager(retries=False, maxsize=256)

    def relay(environ, start_response):
        answer = pool.request(
            environ['REQUEST_METHOD'],
            f'http://{target}{environ["PATH_INFO"]}',
            body=environ['wsgi.input'].read(),
            preload_content=False,
        )
        start_response(f'{answer.status} OK', [])
        yield from answer.stream(CHUNK_BYTES)
        answer.release_conn()

    return relay


def main():
    """Run the relay until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--target', required=True)
    args = parser.parse_args()
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    application = make_relay(args.target)
    server = wsgi.Server((args.host, args.port), application, numthreads=128)
    server.keep_alive_conn_limit = 1024
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    stop.wait()


if __name__ == '__main__':
    main()
