"""An order to start, drain or stop a target.

An order is a stored object, read by whoever runs the target. The conditional
write and the fencing number in it keep a former lease holder from overwriting
the order of its successor.
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
    """An action that the platform should take on a target.

    Attributes
    ----------
    target : str
        Name of the target.
    action : str
        ``start``, ``leave`` or ``stop``.
    reason : str
        Reason, for the log only; it is not stored.
    """

    target: str
    action: str
    reason: str

    def encode(self, scope: str, fence: int) -> dict[str, Any]:
        """Return the JSON form with a fencing number and its scope."""
        return {
            'target': self.target,
            'action': self.action,
            'scope': scope,
            'fence': fence,
        }


def place(
    store: object_store.ObjectStore, new_order: Order, scope: str, fence: int
) -> result.Result[None, object_store.StoreError]:
    """Write an order unless a later lease holder has written one.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the orders.
    new_order : Order
        Order to write.
    scope : str
        Name of the lease; only fencing numbers of one scope are comparable.
    fence : int
        Fencing number of the caller's lease.

    Returns
    -------
    Result
        `Conflict` if a later holder has written an order, or any order was
        written meanwhile.
    """
    match store.get(ORDER_KIND, new_order.target):
        case result.Success(stored):
            pass
        case failure:
            return failure
    if stored is not None and stored.value['fence'] > fence:
        message = f'{new_order.target} has an order of a later lease holder.'
        return result.Failure(errors.Conflict(message))
    version = stored.version if stored else object_store.ABSENT
    value = new_order.encode(scope, fence)
    written = store.put(ORDER_KIND, new_order.target, value, version)
    return written.map(lambda _: None)
