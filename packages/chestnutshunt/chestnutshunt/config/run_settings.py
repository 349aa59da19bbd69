"""Settings of a training run."""

import attrs

from chestnutshunt.config import field

__all__ = ['RunSettings']


@attrs.frozen
class RunSettings:
    """How the rollouts of a training run are generated."""

    service: str = field.setting(
        '', 'engine service that generates the samples'
    )
    scorer: str = field.setting(
        '', 'service that scores whole groups; empty for none'
    )
    workspace: str = field.setting('', 'workspace that is charged for the run')
    groups: int = field.setting(4, 'groups in a step', '', 1, 4096)
    group_size: int = field.setting(4, 'samples in a group', '', 1, 256)
    max_tokens: int = field.setting(
        32, 'maximum tokens in a sample', 'tokens', 1, 131_072
    )
    staleness_bound: int = field.setting(
        2, 'weight versions a sample may lag behind', '', 0, 1000
    )
    steps_ahead: int = field.setting(
        1, 'steps generated before they are requested', '', 0, 16
    )
    concurrency: int = field.setting(
        16, 'samples generated concurrently', '', 1, 1024
    )
    call_path: str = field.setting(
        '/v1/generate', 'path of the call that generates a sample'
    )
    prompts: tuple[str, ...] = field.setting(
        ('Begin.',), 'prompts, assigned to the groups in turn'
    )
