"""Settings of a data centre."""

import attrs

from chestnutshunt.config import field

__all__ = ['DatacentreSettings']


@attrs.frozen
class DatacentreSettings:
    """Location of a data centre and limits on its number of targets."""

    region: str = field.setting('', 'region of the data centre')
    min_targets: int = field.setting(
        1, 'minimum number of targets of a service', '', 0, 10_000
    )
    scale_down_after_s: float = field.setting(
        30.0, 'time of low demand before a target is drained', 's', 0, 86_400
    )
    max_targets: int = field.setting(
        1000, 'maximum number of targets of a service', '', 0, 10_000
    )
