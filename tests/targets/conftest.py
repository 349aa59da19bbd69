import pytest

from tests import fake_target


@pytest.fixture
def target():
    made = []

    def make(name, *script):
        made.append(fake_target.FakeTarget(name, *script))
        return made[-1]

    yield make
    for item in made:
        item.close()
