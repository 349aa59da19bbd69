"""Settings of a service."""

import attrs

from chestnutshunt.config import field

__all__ = ['ServiceSettings']


@attrs.frozen
class ServiceSettings:
    """How the requests of a service are forwarded, retried and queued."""

    protocol: str = field.setting(
        'plain',
        'what the targets speak',
        choices=('engine', 'plain'),
    )
    open: bool = field.setting(False, 'serve callers that bring no key')
    cut_off: str = field.setting(
        'serve',
        'what to do with keys that cannot be checked',
        choices=('serve', 'refuse'),
    )
    timeout_s: float = field.setting(
        30.0, 'longest time for a request', 's', 0.1, 3600
    )
    progress_timeout_s: float = field.setting(
        5.0, 'longest silence of a target', 's', 0.05, 600
    )
    max_attempts: int = field.setting(
        3, 'attempts for a call that may be repeated', '', 1, 10
    )
    retry_share: float = field.setting(
        0.1, 'retries allowed for each request', '', 0, 1
    )
    target_concurrency: int = field.setting(
        16, 'requests in flight to one target', '', 1, 4096
    )
    queue_length: int = field.setting(
        64, 'waiting requests of one workspace', '', 0, 100_000
    )
    identity_header: str = field.setting(
        'Idempotency-Key', 'header that identifies a request'
    )
    once_calls: tuple[str, ...] = field.setting(
        (), 'calls that may not be repeated, as "METHOD /path/*"'
    )
    once_window_s: float = field.setting(
        3600.0, 'how long an identity is kept', 's', 60, 604_800
    )
    max_body_bytes: int = field.setting(
        1_048_576, 'largest request body', 'bytes', 0, 67_108_864
    )
