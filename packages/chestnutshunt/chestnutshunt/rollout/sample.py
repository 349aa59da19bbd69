"""A complete sample and its encoding as a JSON line."""

import json

import attrs

from chestnutshunt.rollout import sample_id
from chestnutshunt.rollout import version_range

__all__ = ['Sample']


@attrs.frozen
class Sample:
    """Tokens of a sample and the weight versions that generated them.

    Attributes
    ----------
    id : SampleId
        Position of the sample in its run.
    prompt : str
        Prompt that the tokens continue.
    tokens : tuple of str, shape (n,)
        Generated tokens, in order.
    versions : tuple of VersionRange
        Consecutive ranges that cover all tokens.
    reward : float or None
        Reward from the scoring service; ``None`` if the run has none.
    """

    id: sample_id.SampleId
    prompt: str
    tokens: tuple[str, ...]
    versions: tuple[version_range.VersionRange, ...]
    reward: float | None = None

    @property
    def oldest_version(self) -> int:
        """Oldest weight version that generated any of the tokens."""
        return min(item.version for item in self.versions)

    def encode(self) -> bytes:
        """Return the sample as a JSON line."""
        fields = {
            **attrs.asdict(self.id),
            'prompt': self.prompt,
            'tokens': list(self.tokens),
            'versions': [
                [item.version, item.first, item.count]
                for item in self.versions
            ],
            'reward': self.reward,
        }
        return json.dumps(fields).encode() + b'\n'

    @classmethod
    def decode(cls, line: bytes) -> 'Sample':
        """Build a sample from its JSON line."""
        fields = json.loads(line)
        return cls(
            id=sample_id.SampleId(
                fields['run'],
                fields['step'],
                fields['group'],
                fields['index'],
            ),
            prompt=fields['prompt'],
            tokens=tuple(fields['tokens']),
            versions=tuple(
                version_range.VersionRange(*item)
                for item in fields['versions']
            ),
            reward=fields['reward'],
        )
