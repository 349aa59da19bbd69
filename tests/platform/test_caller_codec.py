"""Submissions that are none are told so."""

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
    ],
)
def test_a_body_that_is_no_job_is_a_bad_request(value):
    form = caller_codec.CallerCodec()
    with pytest.raises(errors.BadRequest):
        form.decode_job(json.dumps(value).encode(), 'j', 'h', '/p/', 0.0)


def test_bytes_that_are_no_json_are_a_bad_request():
    with pytest.raises(errors.BadRequest):
        caller_codec.CallerCodec().decode_job(b'\xff{', 'j', 'h', '/p/', 0.0)
