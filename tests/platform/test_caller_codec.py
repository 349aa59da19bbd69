"""Malformed submissions of jobs are answered with bad request."""

import io
import json

import pytest

from chestnutshunt import errors
from chestnutshunt_platform import caller_codec

ITEM = {'id': 'i', 'path': '/p/', 'body': 'eA=='}


@pytest.mark.parametrize(
    'value',
    [
        None,
        [],
        {},
        {'items': None},
        {'items': ['i']},
        {'items': [None]},
        {'items': [{**ITEM, 'headers': 'none'}]},
        {'items': [{**ITEM, 'body': 'x'}]},
        {'items': [{**ITEM, 'scorer': 'none'}]},
        {'items': [{'path': '/p/'}]},
        {'items': [ITEM], 'minVersion': '1'},
        {'items': [ITEM], 'step': None},
        {'items': [ITEM], 'desired': 1.5},
        {'items': [ITEM], 'model': 7},
        {'items': [{**ITEM, 'id': 7}]},
        {'items': [{**ITEM, 'group': []}]},
    ],
)
def test_malformed_job_is_a_bad_request(value):
    codec = caller_codec.PlatformCallerCodec()
    with pytest.raises(errors.BadRequest):
        body = io.BytesIO(json.dumps(value).encode())
        codec.decode_job(body, 'j', 'h', '/p/', 0.0)


def test_malformed_json_is_a_bad_request():
    with pytest.raises(errors.BadRequest):
        caller_codec.PlatformCallerCodec().decode_job(
            io.BytesIO(b'\xff{'), 'j', 'h', '/p/', 0.0
        )
