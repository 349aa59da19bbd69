import pytest

from chestnutshunt import errors
from chestnutshunt_daemon import settings

GOOD = """
name = "one"
datacentre = "marmara-a"
caller_address = "127.0.0.1:7000"
peer_address = "127.0.0.1:7001"
admin_address = "127.0.0.1:7002"
platform_url = "http://127.0.0.1:7100"
"""


def test_good_file(tmp_path):
    file = tmp_path / 'one.toml'
    file.write_text(GOOD)
    assert settings.load_settings(str(file)).name == 'one'


@pytest.mark.parametrize(
    ('text', 'part'),
    [
        (GOOD + 'hartbeat_s = 1.0', "Did you mean 'heartbeat_s'?"),
        (GOOD + 'threads = "many"', 'type int'),
        (GOOD + 'threads = 1', 'at least 4'),
        (GOOD + 'log_format = "xml"', 'text, json'),
        (GOOD.replace('127.0.0.1:7001', 'nowhere'), 'IP:PORT'),
        (GOOD.replace('name = "one"', ''), 'Add name'),
        ('= 3', 'not TOML'),
    ],
)
def test_bad_files_name_the_remedy(tmp_path, text, part):
    file = tmp_path / 'one.toml'
    file.write_text(text)
    with pytest.raises(errors.BadSetting) as caught:
        settings.load_settings(str(file))
    assert part in str(caught.value)


def test_missing_file():
    with pytest.raises(errors.BadSetting, match='cannot be read'):
        settings.load_settings('/nonexistent/one.toml')
