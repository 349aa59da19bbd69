"""Settings of a data centre."""

import attrs

from chestnutshunt.config import field

__all__ = ['DatacentreSettings']


@attrs.frozen
class DatacentreSettings:
    """Where a data centre is and how its targets are run."""

    region: str = field.setting('', 'region the data centre is in')
    min_targets: int = field.setting(
        1, 'targets of a service kept running', '', 0, 10_000
    )
    scale_down_after_s: float = field.setting(
        30.0, 'time of little demand before a target is let go', 's', 0, 86_400
    )
    max_targets: int = field.setting(
        1000, 'targets of a service run at most', '', 0, 10_000
    )
