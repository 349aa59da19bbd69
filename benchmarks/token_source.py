"""Benchmark engine that emits tokens as fast as its reader takes them."""

import argparse
import json
import signal
import threading

from cheroot import wsgi

__all__ = ['answer_request']

TOKEN_LINE = b'{"token": "a1b2c3", "version": 1}\n'


def answer_request(environ, start_response):
    """Answer a load report, a plain call or a stream of tokens."""
    body = environ['wsgi.input'].read()
    if environ['PATH_INFO'] != '/v1/generate':
        start_response('200 OK', [('Content-Length', '2')])
        return [b'ok']
    request = json.loads(body)
    start_response('200 OK', [])
    return token_lines(request['max_tokens'])


def token_lines(count):
    """Yield token lines and the line that ends the answer."""
    for _ in range(count):
        yield TOKEN_LINE
    yield json.dumps({'done': True, 'tokens': count}).encode() + b'\n'


def main():
    """Run the engine until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', required=True)
    parser.add_argument('--port', type=int, required=True)
    args = parser.parse_args()
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    server = wsgi.Server(
        (args.host, args.port), answer_request, numthreads=128
    )
    server.keep_alive_conn_limit = 1024
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    stop.wait()


if __name__ == '__main__':
    main()
