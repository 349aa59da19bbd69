"""Passes over the checks that KNOWN-RED.txt lists, and only those."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'


def known_red():
    """Return the tests listed; the test's id is the first word of a line."""
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[0] for line in lines if line.startswith('tests/')}


def pytest_collection_modifyitems(items):
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.skip(reason='listed in KNOWN-RED.txt'))
