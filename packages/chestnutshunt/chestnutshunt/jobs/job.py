"""A batch job as it was submitted."""

import attrs

from chestnutshunt.jobs import item

__all__ = ['Job']


@attrs.frozen
class Job:
    """A set of items that run together and are listed in one log.

    Attributes
    ----------
    id : str
        Job id; a repeated submission of the job has the same id.
    host, path : str
        Select the route in the configuration that is in force when an
        item runs.
    workspace : str
        Workspace that submitted the job; empty if none are configured.
    submitted_at : float
        Unix time of the submission in seconds.
    items : tuple of Item
        The items, in the order of the submission.
    step : int
        Training step; 0 for a job without a trainer.
    model : str
        Model that generates the text; empty for a job without a trainer.
    minimum_version : int
        Oldest weight version that may generate any of the tokens.
    wanted_groups : int
        Number of complete groups that the trainer waits for.
    """

    id: str
    host: str
    path: str
    workspace: str
    submitted_at: float
    items: tuple[item.Item, ...] = attrs.field(repr=False)
    step: int = 0
    model: str = ''
    minimum_version: int = 0
    wanted_groups: int = 0

    @property
    def held_bytes(self) -> int:
        """About the memory that its items take, in bytes."""
        return sum(entry.held_bytes for entry in self.items)
