"""Origins of streams as they are kept in the store, many in one object."""

import array
import base64
from collections.abc import Mapping
import hashlib
import sys
from typing import Any

import attrs

from chestnutshunt.streams import origin_table
from chestnutshunt.streams import stream_origin

__all__ = ['PAGE_TTL_S', 'OriginPage', 'stream_key']

# Longest time for which a page is needed: a stream is recorded again at least
# this often while it runs, and may be taken up for some time after its end.
PAGE_TTL_S = 1.2 * (origin_table.ORIGIN_TTL_S + origin_table.RENEWAL_S)

# Eight bytes: among a million streams, one that is not recorded is taken for
# one that is with a probability below 1e-13.
KEY_BYTES = 8
KEY_TYPE = 'Q'


def stream_key(request_id: str) -> int:
    """Return the number by which pages name the request of a stream."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=KEY_BYTES)
    return int.from_bytes(digest.digest(), 'little')


@attrs.frozen
class OriginPage:
    """Origins of some streams.

    Attributes
    ----------
    written_at : float
        Unix time in seconds.
    streams : dict of StreamOrigin to array
        Keys of the requests that began streams, by the origin of these.
    """

    written_at: float
    streams: dict[stream_origin.StreamOrigin, array.array] = attrs.field(
        factory=dict
    )

    @classmethod
    def of(
        cls,
        origins: Mapping[str, stream_origin.StreamOrigin],
        written_at: float,
    ) -> 'OriginPage':
        """Build a page from origins by the request that began the stream."""
        streams: dict[stream_origin.StreamOrigin, array.array] = {}
        for request_id, origin in origins.items():
            keys = streams.setdefault(origin, array.array(KEY_TYPE))
            keys.append(stream_key(request_id))
        return cls(written_at, streams)

    @classmethod
    def decode(cls, value: dict[str, Any]) -> 'OriginPage':
        """Build a page from its stored value.

        Raises
        ------
        KeyError, TypeError, ValueError
            A field is missing or malformed.
        """
        streams = {}
        for part in value['origins']:
            origin = stream_origin.StreamOrigin(
                str(part['service']), str(part['software'])
            )
            keys = array.array(KEY_TYPE)
            keys.frombytes(base64.b64decode(part['streams'], validate=True))
            streams[origin] = in_stored_order(keys)
        return cls(float(value['written_at']), streams)

    def encode(self) -> dict[str, Any]:
        """Return the value to store."""
        return {
            'written_at': self.written_at,
            'origins': [
                {
                    'service': origin.service,
                    'software': origin.software,
                    'streams': base64.b64encode(
                        in_stored_order(keys).tobytes()
                    ).decode(),
                }
                for origin, keys in self.streams.items()
            ],
        }


def in_stored_order(keys: array.array) -> array.array:
    """Return keys between the byte order of this VM and that of pages."""
    if sys.byteorder == 'little':
        return keys
    swapped = array.array(KEY_TYPE, keys)
    swapped.byteswap()
    return swapped
