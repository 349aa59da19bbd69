"""Identity of a sample, known before the sample is generated."""

import hashlib

import attrs

__all__ = ['SampleId']


@attrs.frozen(order=True)
class SampleId:
    """Position of a sample in its run.

    Attributes
    ----------
    run : str
        Training run.
    step, group, index : int
        Step, group in the step, and index in the group.
    """

    run: str
    step: int
    group: int
    index: int

    @property
    def seed(self) -> int:
        """Sampling seed; the same for every copy of the sample."""
        text = f'{self.run}\0{self.step}\0{self.group}\0{self.index}'
        digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
        return int.from_bytes(digest, 'big')
