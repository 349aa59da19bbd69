"""Error of a response that does not follow HTTP/1."""

import urllib3

__all__ = ['MalformedResponse']


class MalformedResponse(urllib3.exceptions.HTTPError):
    """A response breaks RFC 9110 or RFC 9112.

    The server lives, but nothing that it sent can be trusted, and its
    connection can't be used again.
    """
