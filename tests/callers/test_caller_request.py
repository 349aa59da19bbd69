"""Bodies of requests that were read as jobs."""

from chestnutshunt_daemon.callers import body_parts
from chestnutshunt_daemon.callers import caller_request


def make_request(body, parts):
    return caller_request.CallerRequest(
        'POST', '/p/', {}, body, None, 0.0, parts
    )


# The configuration may change between the reading of a request and its
# admission: an empty body would have been forwarded.
def test_the_body_of_a_request_that_is_no_job_any_more_is_whole():
    parts = body_parts.BodyParts(lambda size: None)
    for part in (b'ab', b'c'):
        parts.write(part)
    assert make_request(b'', parts).whole_body() == b'abc'


def test_the_body_of_another_request_is_whole():
    assert make_request(b'abc', None).whole_body() == b'abc'
