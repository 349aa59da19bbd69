"""Origins of streams in pages, and the index of them."""

import array
import sys

import pytest

from chestnutshunt.streams import origin_index
from chestnutshunt.streams import origin_page
from chestnutshunt.streams import stream_origin

V1, V2 = (stream_origin.StreamOrigin('s', name) for name in ('v1', 'v2'))


def make_page(origins, written_at=1.0):
    value = origin_page.OriginPage.of(origins, written_at).encode()
    return origin_page.OriginPage.decode(value)


def test_an_index_finds_what_pages_say():
    pages = [
        make_page({f'{number}-{n}': (V1, V2)[n % 2] for n in range(100)})
        for number in range(5)
    ]
    index = origin_index.OriginIndex(pages)
    for number in range(5):
        assert index.find(f'{number}-6') == V1
        assert index.find(f'{number}-7') == V2
    assert index.find('other') is None
    assert len(index) == 500


# Guards against ORDER: a stream is not joined from two if pages differ.
def test_a_stream_with_two_origins_is_in_doubt():
    index = origin_index.OriginIndex(
        [make_page({'a': V1, 'b': V1}), make_page({'a': V2, 'b': V1})]
    )
    assert index.find('a') is None
    assert index.find('b') == V1


def test_the_newest_pages_count_if_there_are_too_many(monkeypatch):
    monkeypatch.setattr(origin_index, 'MAX_STREAM_COUNT', 3)
    pages = [
        make_page({f'{at}-{n}': V1 for n in range(2)}, at) for at in (1, 3, 2)
    ]
    index = origin_index.OriginIndex(pages)
    assert index.find('3-0') == V1
    assert index.find('2-0') is None
    assert len(index) == 2


def test_pages_have_the_same_bytes_on_every_machine(monkeypatch):
    page = origin_page.OriginPage(1.0, {V1: array.array('Q', [1])})
    value = page.encode()
    assert value['origins'][0]['streams'] == 'AQAAAAAAAAA='
    monkeypatch.setattr(sys, 'byteorder', 'big')
    keys = array.array('Q', [1 << 56])
    assert origin_page.OriginPage(1.0, {V1: keys}).encode() == value
    assert origin_page.OriginPage.decode(value).streams[V1] == keys


@pytest.mark.parametrize(
    'value',
    [
        {},
        {'written_at': 1, 'origins': [{'service': 's', 'software': 'v'}]},
        {
            'written_at': 1,
            'origins': [{'service': 's', 'software': 'v', 'streams': 'AAA'}],
        },
        {
            'written_at': 1,
            'origins': [{'service': 's', 'software': 'v', 'streams': 'AAAA'}],
        },
        {'written_at': None, 'origins': []},
        {'written_at': 1, 'origins': 3},
    ],
)
def test_a_malformed_page_is_refused(value):
    with pytest.raises((KeyError, TypeError, ValueError)):
        origin_page.OriginPage.decode(value)
