"""Decides which weight versions may generate the text of an item."""

from collections.abc import Sequence

import attrs

from chestnutshunt.deployment import route
from chestnutshunt.jobs import job

__all__ = ['UnsuitableVersion', 'VersionRule', 'rule_for']


class UnsuitableVersion(ValueError):
    """Events of a weight version may not follow a text.

    Parameters
    ----------
    message : str
        Reason.
    is_change : bool
        True if the version is suitable by itself, but not after the text.
    """

    def __init__(self, message: str, is_change: bool = False) -> None:
        super().__init__(message)
        self.is_change = is_change


@attrs.frozen
class VersionRule:
    """Weight versions that may generate events of one text.

    Attributes
    ----------
    minimum : int
        Oldest version.
    single : bool
        True if one version must generate the whole text.
    named : bool
        True if the version of each event must be known.
    """

    minimum: int = 0
    single: bool = False
    named: bool = False

    def check(self, version: int | None, versions: Sequence[int]) -> None:
        """Raise unless events of a version may follow a text.

        Parameters
        ----------
        version : int or None
            Version that generates the next events; ``None`` if unknown.
        versions : sequence of int
            Versions that generated the text so far.

        Raises
        ------
        UnsuitableVersion
            The next events may not be added to the text.
        ValueError
            The version has to be known and is not.
        """
        if version is None:
            if self.named:
                raise ValueError('No weight version is named.')
            return
        if version < self.minimum:
            raise UnsuitableVersion(
                f'Weight version {version} is below {self.minimum}.'
            )
        if self.single and any(before != version for before in versions):
            raise UnsuitableVersion(
                f'Weight version {version} would follow {list(versions)}.',
                is_change=True,
            )

    def accepts(self, versions: Sequence[int]) -> bool:
        """Return whether a whole text may have these versions."""
        if not versions:
            return not self.named
        if self.single and len(versions) > 1:
            return False
        return min(versions) >= self.minimum


def rule_for(job: job.Job, route: route.Route) -> VersionRule:
    """Return the rule for the texts of a job.

    Parameters
    ----------
    job : Job
        The job.
    route : Route
        Its route in the configuration that is in force.
    """
    return VersionRule(
        job.minimum_version, route.single_version, bool(job.model)
    )
