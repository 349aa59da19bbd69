"""Settings of a training run."""

import attrs

from chestnutshunt.config import field

__all__ = ['RunSettings']


@attrs.frozen
class RunSettings:
    """What a training run wants of its rollouts."""

    service: str = field.setting('', 'engine service that makes the samples')
    scorer: str = field.setting(
        '', 'service that scores whole groups; empty for none'
    )
    workspace: str = field.setting('', 'workspace that is charged')
    groups: int = field.setting(4, 'groups in a step', '', 1, 4096)
    group_size: int = field.setting(4, 'samples in a group', '', 1, 256)
    max_tokens: int = field.setting(
        32, 'tokens in a sample', 'tokens', 1, 131_072
    )
    staleness_bound: int = field.setting(
        2, 'weight versions a sample may lag behind', '', 0, 1000
    )
    steps_ahead: int = field.setting(
        1, 'steps made before they are asked for', '', 0, 16
    )
    concurrency: int = field.setting(
        16, 'samples made at one time', '', 1, 1024
    )
    call_path: str = field.setting(
        '/v1/generate', 'path of the call that makes a sample'
    )
    prompts: tuple[str, ...] = field.setting(
        ('Begin.',), 'prompts that the groups take in turn'
    )
