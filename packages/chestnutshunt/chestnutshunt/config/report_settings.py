"""Settings of the usage reports."""

import attrs

from chestnutshunt.config import field

__all__ = ['ReportSettings']


@attrs.frozen
class ReportSettings:
    """Windows in which usage is counted and reported."""

    window_s: float = field.setting(
        300.0, 'length of a usage window', 's', 1, 86_400
    )
    grace_s: float = field.setting(
        3.0, 'time to wait for late counts after a window ends', 's', 0.1, 600
    )
