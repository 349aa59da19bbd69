"""Orders of `chestnutshuntd` to load weights, and the engines' replies."""

import contextlib

from chestnutshunt.routing import target as routing_target
from chestnutshunt_daemon import weight_loader
from tests import daemon_parts
from tests import fake_target
from tests import response_heads


class HeldLease:
    """Lease that is held."""

    def require_fence(self):
        return 1


def loaded_version(step):
    """Return the version that an engine is taken to run after an order."""
    loader = weight_loader.WeightLoader(
        daemon_parts.make_node(), 's', HeldLease()
    )
    loader.request_version(7)
    fake = fake_target.FakeTarget('t1', step)
    with contextlib.closing(fake):
        loader.send_load_order(
            routing_target.Target('t1', 's', fake.address, 'near')
        )
    return loader.loaded_versions.get('t1')


# Guards against samples of other weights than the engine is said to run.
def test_a_malformed_reply_confirms_no_order():
    step = response_heads.respond(response_heads.BASE, b'{}')
    assert loaded_version(step) == 7
    wrong = [
        name
        for name, lines in response_heads.MALFORMED.items()
        if loaded_version(response_heads.respond(lines, b'{}'))
    ]
    assert not wrong
