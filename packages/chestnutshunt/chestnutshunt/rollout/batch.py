"""All samples of a step, in the form that a trainer receives."""

import hashlib

import attrs

from chestnutshunt.rollout import sample

__all__ = ['Batch', 'digest_of']


@attrs.frozen
class Batch:
    """The samples of a step, ordered by id.

    Attributes
    ----------
    run : str
        Training run.
    step : int
        Step number.
    samples : tuple of Sample
        All samples of the step.
    """

    run: str
    step: int
    samples: tuple[sample.Sample, ...]

    @classmethod
    def from_samples(
        cls, run: str, step: int, samples: list[sample.Sample]
    ) -> 'Batch':
        """Build a batch from samples in any order."""
        ordered = sorted(samples, key=lambda item: item.id)
        return cls(run, step, tuple(ordered))

    @property
    def oldest_version(self) -> int:
        """Oldest weight version that generated any token of the step."""
        return min(item.oldest_version for item in self.samples)

    def older_than(self, version: int) -> list[sample.Sample]:
        """Return the samples with any token from an older weight version."""
        return [item for item in self.samples if item.oldest_version < version]

    def encode(self) -> bytes:
        """Return the samples as JSON lines."""
        return b''.join(item.encode() for item in self.samples)

    @classmethod
    def decode(cls, run: str, step: int, data: bytes) -> 'Batch':
        """Build a batch from JSON lines."""
        samples = [sample.Sample.decode(line) for line in data.splitlines()]
        return cls(run, step, tuple(samples))


def digest_of(data: bytes) -> str:
    """Return the digest under which an encoded step is stored."""
    return hashlib.blake2b(data, digest_size=20).hexdigest()
