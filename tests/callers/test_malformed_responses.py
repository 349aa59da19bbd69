"""What callers get when the responses of targets are malformed."""

import contextlib
import json

import pytest

from tests.callers import test_shutdown
from tests import response_heads

STATUS_LINES = (
    *('HTTP/1.1 000 OK', 'HTTP/1.1 00 OK', 'HTTP/1.1 99 OK'),
    *('HTTP/1.1 600 OK', 'HTTP/1.1 999 OK', 'HTTP/1.1 101 Switching'),
)
HEADS = (
    *((line, *response_heads.BASE[1:]) for line in STATUS_LINES),
    response_heads.ending('Content-Length: {n}x'),
    response_heads.ending('Transfer-Encoding: chunke'),
    response_heads.after('X-Weight', 'no field'),
    response_heads.after('X-Weight', 'X Name: 1'),
    response_heads.after('X-Weight', 'X\0Name: 1'),
)


@pytest.mark.parametrize('kind', test_shutdown.FORWARDED)
@pytest.mark.parametrize('head', HEADS)
def test_callers_get_an_error(kind, head):
    step = response_heads.respond(head, b'body')
    with contextlib.ExitStack() as stack:
        harness = test_shutdown.Harness(stack, step)
        for _ in range(3):
            response = harness.send(f'/{kind.name}/x')
            assert response.status == 502
            assert json.loads(response.body)['error'] == 'target_failed'
            names = {name.lower() for name, _ in response.headers}
            assert names <= {'content-type', 'retry-after'}
