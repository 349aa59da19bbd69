"""Origins of the streams that pages name, held compactly."""

import array
import bisect
from collections.abc import Iterable

from chestnutshunt.streams import origin_page
from chestnutshunt.streams import stream_origin

__all__ = ['OriginIndex']

# Streams that are held; 8 bytes each.
MAX_STREAM_COUNT = 1_000_000


class OriginIndex:
    """Finds the origin of a stream among those of pages.

    Parameters
    ----------
    pages : iterable of OriginPage
        The pages; the newest ones count if there are too many streams.
    """

    def __init__(self, pages: Iterable[origin_page.OriginPage] = ()) -> None:
        self.streams: dict[stream_origin.StreamOrigin, array.array] = {}
        self.count = 0
        newest_first = sorted(pages, key=lambda x: x.written_at, reverse=True)
        for page in newest_first:
            page_count = sum(map(len, page.streams.values()))
            if self.count + page_count > MAX_STREAM_COUNT:
                break
            self.count += page_count
            for origin, keys in page.streams.items():
                self.streams.setdefault(origin, array.array('Q')).extend(keys)
        for origin, keys in self.streams.items():
            self.streams[origin] = array.array('Q', sorted(keys))

    def find(self, request_id: str) -> stream_origin.StreamOrigin | None:
        """Return the origin of a stream.

        ``None`` if it is not known, or in doubt because pages differ.
        """
        key = origin_page.stream_key(request_id)
        found = [
            origin
            for origin, keys in self.streams.items()
            if (at := bisect.bisect_left(keys, key)) < len(keys)
            and keys[at] == key
        ]
        return found[0] if len(found) == 1 else None

    def __len__(self) -> int:
        return self.count
