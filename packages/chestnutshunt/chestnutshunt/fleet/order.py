"""An order to start, drain or stop a target."""

from typing import Any

import attrs

__all__ = ['Order']


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
