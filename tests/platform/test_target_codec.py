"""Decoding of response heads of targets."""

import pytest

from chestnutshunt_platform import target_codec


@pytest.mark.parametrize(
    ('text', 'rate'),
    [
        ('1.0', 1.0),
        ('0.25', 0.25),
        ('12', 12.0),
        ('0', 0.0),
        ('-1', None),
        ('nan', None),
        ('inf', None),
        ('fast', None),
        ('', None),
    ],
)
def test_rate_limit(text, rate):
    codec = target_codec.PlatformTargetCodec()
    head = codec.decode_head(200, {'Server-Limit': text})
    assert head.rate_limit == rate


def test_no_rate_limit():
    assert (
        target_codec.PlatformTargetCodec().decode_head(200, {}).rate_limit
        is None
    )
