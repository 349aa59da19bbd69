"""Decides which slow samples of a step get a second copy."""

import statistics

import attrs

__all__ = ['StragglerRule']

# Finished samples, relative to the step, before any copy is started.
MIN_FINISHED_RATIO = 0.5

# Running time of a straggler, relative to the median of finished samples.
STRAGGLER_RATIO = 2.5

# Copies of a step, relative to its samples; one copy is always allowed.
MAX_COPY_RATIO = 0.1


@attrs.define
class StragglerRule:
    """Predicts from finished samples which running ones stall a step.

    Attributes
    ----------
    total : int
        Number of samples in the step.
    durations : list of float
        Durations of the finished samples in seconds.
    copies : int
        Copies allowed so far.
    """

    total: int
    durations: list[float] = attrs.field(factory=list)
    copies: int = 0

    def add_duration(self, duration_s: float) -> None:
        """Record how long a finished sample took."""
        self.durations.append(duration_s)

    def allow_copy(self, elapsed_s: float) -> bool:
        """Return True if a sample running for `elapsed_s` gets a copy.

        Each True counts against the limit of copies.
        """
        if len(self.durations) < self.total * MIN_FINISHED_RATIO:
            return False
        if self.copies >= max(self.total * MAX_COPY_RATIO, 1):
            return False
        if elapsed_s < STRAGGLER_RATIO * statistics.median(self.durations):
            return False
        self.copies += 1
        return True
