"""Settings of a workspace."""

import attrs

from chestnutshunt.config import field

__all__ = ['WorkspaceSettings']


@attrs.frozen
class WorkspaceSettings:
    """Weight and rate limits of a workspace over the whole fleet."""

    weight: float = field.setting(
        1.0, 'relative share of the targets under load', '', 0.01, 1000
    )
    requests_per_s: float = field.setting(
        0.0, 'rate limit of requests; 0 for no limit', '1/s', 0, 1_000_000
    )
    tokens_per_s: float = field.setting(
        0.0, 'rate limit of tokens; 0 for no limit', '1/s', 0, 100_000_000
    )
    concurrency: int = field.setting(
        0, 'maximum concurrent requests; 0 for no limit', '', 0, 1_000_000
    )
    services: tuple[str, ...] = field.setting(
        ('*',), 'services that its keys may call; * for all'
    )
