"""Interface of the platform calls that the holder of a duty makes."""

import abc

from returns import result

from chestnutshunt import errors

__all__ = ['DutyPlatform']


class DutyPlatform(abc.ABC):
    """Receives usage reports and orders for targets.

    Every call names the holder and its fencing number, which grows with each
    new lease. `PlatformUncertain` means that the call may have taken effect;
    it may be repeated unchanged, as calls are idempotent.
    """

    @abc.abstractmethod
    def report_usage(
        self, holder: str, fence: int, window: int, counts: dict[str, int]
    ) -> result.Result[None, errors.ChestnutshuntError]:
        """Report the number of requests of each workspace in a window."""

    @abc.abstractmethod
    def order_targets(
        self,
        holder: str,
        fence: int,
        service: str,
        datacentre: str,
        count: int,
        cheap: bool,
    ) -> result.Result[None, errors.ChestnutshuntError]:
        """Order the number of targets of a service in a data centre."""
