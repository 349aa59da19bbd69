import pytest

from tests import fake_target


@pytest.fixture
def target():
    targets = []

    def make(name, *script):
        targets.append(fake_target.FakeTarget(name, *script))
        return targets[-1]

    yield make
    for fake in targets:
        fake.close()
