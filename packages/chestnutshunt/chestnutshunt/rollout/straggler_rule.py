"""When a slow sample is given a second copy."""

import statistics

import attrs

__all__ = ['StragglerRule']

DONE_SHARE = 0.5
SLOWNESS = 2.5
COPY_SHARE = 0.1


@attrs.define
class StragglerRule:
    """Predicts from finished samples which running ones stall a step.

    Attributes
    ----------
    total : int
        Samples in the step.
    durations : list of float
        Seconds that the finished samples took.
    copies : int
        Second copies made so far.
    """

    total: int
    durations: list[float] = attrs.field(factory=list)
    copies: int = 0

    def add_duration(self, duration: float) -> None:
        """Note a finished sample."""
        self.durations.append(duration)

    def allow_copy(self, elapsed: float) -> bool:
        """Tell whether a sample that has run for `elapsed` s is a straggler.

        A copy that is wanted counts as made.
        """
        if len(self.durations) < self.total * DONE_SHARE:
            return False
        if self.copies >= max(self.total * COPY_SHARE, 1):
            return False
        if elapsed < SLOWNESS * statistics.median(self.durations):
            return False
        self.copies += 1
        return True
