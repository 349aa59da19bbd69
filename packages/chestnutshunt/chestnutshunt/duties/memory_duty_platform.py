"""In-memory implementation of duty calls, for tests and embedding."""

from returns import result

from chestnutshunt.duties import duty_platform
from chestnutshunt import errors

__all__ = ['MemoryDutyPlatform']


class MemoryDutyPlatform(duty_platform.DutyPlatform):
    """Records the calls it receives.

    Attributes
    ----------
    down : bool
        True if every call fails with `PlatformUnavailable`.
    reports : list of tuple
        Holder, fence, window and counts of each report.
    orders : list of tuple
        Holder, fence, service, data centre, count and `cheap` of each order.
    """

    def __init__(self) -> None:
        self.down = False
        self.reports: list[tuple] = []
        self.orders: list[tuple] = []

    def report_usage(
        self, holder: str, fence: int, window: int, counts: dict[str, int]
    ) -> result.Result[None, errors.ChestnutshuntError]:
        """Record a report."""
        return self.record(self.reports, (holder, fence, window, dict(counts)))

    def order_targets(
        self,
        holder: str,
        fence: int,
        service: str,
        datacentre: str,
        count: int,
        cheap: bool,
    ) -> result.Result[None, errors.ChestnutshuntError]:
        """Record an order."""
        entry = (holder, fence, service, datacentre, count, cheap)
        return self.record(self.orders, entry)

    def record(
        self, entries: list[tuple], entry: tuple
    ) -> result.Result[None, errors.ChestnutshuntError]:
        """Append an entry, or return a failure if the platform is down."""
        if self.down:
            error = errors.PlatformUnavailable('The platform is down.')
            return result.Failure(error)
        entries.append(entry)
        return result.Success(None)
