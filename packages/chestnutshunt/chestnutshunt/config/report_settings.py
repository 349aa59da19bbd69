"""Settings of the usage reports."""

import attrs

from chestnutshunt.config import field

__all__ = ['ReportSettings']


@attrs.frozen
class ReportSettings:
    """How usage is counted and reported."""

    window_s: float = field.setting(
        300.0, 'length of a window', 's', 1, 86_400
    )
    grace_s: float = field.setting(
        3.0, 'wait for counts after the end of a window', 's', 0.1, 600
    )
