"""Tests that an error in a settings file names its remedy."""

import pytest

from chestnutshunt import errors
from chestnutshunt_daemon import settings

VALID_SETTINGS = """
name = "one"
datacentre = "marmara-a"
caller_address = "127.0.0.1:7000"
peer_address = "127.0.0.1:7001"
admin_address = "127.0.0.1:7002"
platform_url = "http://127.0.0.1:7100"
"""


def test_good_file(tmp_path):
    path = tmp_path / 'one.toml'
    path.write_text(VALID_SETTINGS)
    assert settings.load_settings(str(path)).name == 'one'


@pytest.mark.parametrize(
    ('text', 'message'),
    [
        (VALID_SETTINGS + 'hartbeat_s = 1.0', "Did you mean 'heartbeat_s'?"),
        (VALID_SETTINGS + 'threads = "many"', 'type int'),
        (VALID_SETTINGS + 'threads = 1', 'at least 4'),
        (VALID_SETTINGS + 'log_format = "xml"', 'text, json'),
        (VALID_SETTINGS.replace('127.0.0.1:7001', 'nowhere'), 'IP:PORT'),
        (VALID_SETTINGS.replace('name = "one"', ''), 'Add name'),
        ('= 3', 'not TOML'),
    ],
)
def test_bad_files_name_the_remedy(tmp_path, text, message):
    path = tmp_path / 'one.toml'
    path.write_text(text)
    with pytest.raises(errors.BadSetting) as raised:
        settings.load_settings(str(path))
    assert message in str(raised.value)


def test_missing_file():
    with pytest.raises(errors.BadSetting, match='cannot be read'):
        settings.load_settings('/nonexistent/one.toml')
