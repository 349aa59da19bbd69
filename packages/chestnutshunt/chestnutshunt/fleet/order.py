"""An order to start, drain or stop a target.

An order is an object that whoever runs the target reads; the conditional
write and the fencing number in it keep an earlier holder from ordering.
"""

from typing import Any

import attrs
from returns import result

from chestnutshunt import errors
from chestnutshunt.store import object_store

__all__ = ['ORDER_KIND', 'Order', 'place']

ORDER_KIND = 'target-order'


@attrs.frozen
class Order:
    """What the platform is told to do with a target.

    Attributes
    ----------
    target : str
        Name of the target.
    action : str
        ``start``, ``leave`` or ``stop``.
    reason : str
        Why, for the log.
    """

    target: str
    action: str
    reason: str

    def encode(self, scope: str, fence: int) -> dict[str, Any]:
        """Return the JSON form with the fencing number of a scope."""
        return {
            'target': self.target,
            'action': self.action,
            'scope': scope,
            'fence': fence,
        }


def place(
    store: object_store.ObjectStore, wanted: Order, scope: str, fence: int
) -> result.Result[None, object_store.StoreError]:
    """Write an order unless a later holder has ordered.

    Parameters
    ----------
    store : ObjectStore
        Where orders are kept.
    wanted : Order
        The order.
    scope : str
        What the fencing numbers are compared within.
    fence : int
        Fencing number of the holder's lease.

    Returns
    -------
    Result
        `Conflict` if another holder ordered meanwhile.
    """
    match store.get(ORDER_KIND, wanted.target):
        case result.Success(held):
            pass
        case failure:
            return failure
    if held is not None and held.value['fence'] > fence:
        message = f'{wanted.target} has an order of a later holder.'
        return result.Failure(errors.Conflict(message))
    version = held.version if held else object_store.ABSENT
    value = wanted.encode(scope, fence)
    written = store.put(ORDER_KIND, wanted.target, value, version)
    return written.map(lambda _: None)
