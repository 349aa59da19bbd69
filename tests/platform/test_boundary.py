"""The packages do not depend on the platform's names or on the adapter."""

import pathlib
import re

from chestnutshunt_platform import names

ROOT = pathlib.Path(__file__).parents[2]

# Replaces the platform in tests and the demo, so it uses its names.
STAND_IN = 'chestnutshunt_standins/platform.py'

WIRE_FIELDS = (
    'apiKeys',
    'bootS',
    'coldLeftMs',
    'currentRev',
    'dueMs',
    'goalMs',
    'hasMore',
    'healthPath',
    'idleTimeoutMs',
    'isDeleting',
    'itemTtlS',
    'maxAttempts',
    'maxBodyBytes',
    'maxConns',
    'minVersion',
    'nextToken',
    'pathPrefix',
    'singleVersion',
    'timeoutMs',
    'zonePrices',
)

PATHS = ('/v1/objects', '/v1/lots', '/v1/items', '/v1/order', '/v1/report')


def package_sources():
    for path in (ROOT / 'packages').rglob('*.py'):
        if '.venv' in path.parts or path.name.endswith('_pb2.py'):
            continue
        if not path.as_posix().endswith(STAND_IN):
            yield path, path.read_text()


def test_packages_contain_no_name_of_the_platform():
    headers = [
        value
        for name, value in vars(names).items()
        if name.isupper() and value.lower().startswith('x-')
    ]
    assert len(headers) > 8
    # The project's own interface responds with this common header as well.
    headers.remove(names.REQUEST_ID)
    platform_names = [*headers, *WIRE_FIELDS, *PATHS]
    pattern = re.compile(
        '|'.join(map(re.escape, platform_names)), re.IGNORECASE
    )
    found = [
        f'{path.relative_to(ROOT)}: {match.group()}'
        for path, text in package_sources()
        for match in pattern.finditer(text)
    ]
    assert found == []


def test_packages_import_neither_stand_in_nor_adapter():
    pattern = re.compile(
        'chestnutshunt_platform|chestnutshunt_standins import platform'
    )
    for path, text in package_sources():
        assert not pattern.search(text), path


def test_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines())
        for path in (ROOT / 'platform').rglob('*.py')
    )
    assert lines < 1200


def test_adapter_uses_neither_time_nor_random():
    pattern = re.compile(r'^import (time|random)$|\bsleep\(', re.MULTILINE)
    for path in (ROOT / 'platform').rglob('*.py'):
        assert not pattern.search(path.read_text()), path
