"""How far one item of a running job is."""

import attrs

from chestnutshunt.jobs import item

__all__ = ['ItemState']


@attrs.define(eq=False)
class ItemState:
    """Progress of an item at the daemon that runs its job.

    Attributes
    ----------
    item : Item
        The item.
    texts : list of str
        Data of the events so far.
    last_event : int or None
        Id of the last of them.
    versions : list of int
        Weight versions that generated one of them, in order of appearance.
    failures : int
        Runs that failed at a target.
    score_failures : int
        Scoring calls that failed at a target.
    text_complete : bool
        True once the text is whole and only its score is missing.
    running : bool
        True while a thread works on it.
    finished : bool
        True once it has a result.
    not_before : float
        Monotonic time in seconds before which it is not tried again.
    """

    item: item.Item
    texts: list[str] = attrs.field(factory=list)
    last_event: int | None = None
    versions: list[int] = attrs.field(factory=list)
    failures: int = 0
    score_failures: int = 0
    text_complete: bool = False
    running: bool = False
    finished: bool = False
    not_before: float = 0.0

    def add_event(self, number: int, data: str, version: int | None) -> None:
        """Add an event."""
        self.texts.append(data)
        self.last_event = number
        if version is not None and version not in self.versions:
            self.versions.append(version)

    def resume_from(self, before: 'ItemState', minimum_version: int) -> bool:
        """Take over the text of the same item in an earlier job.

        Parameters
        ----------
        before : ItemState
            The item there.
        minimum_version : int
            Oldest weight version that may have generated it.

        Returns
        -------
        bool
            False if there is none that may be used.
        """
        if before.running or not before.texts or before.item != self.item:
            return False
        if min(before.versions, default=-1) < minimum_version:
            return False
        self.texts = list(before.texts)
        self.versions = list(before.versions)
        self.last_event = before.last_event
        self.text_complete = before.text_complete
        return True

    def reset(self) -> None:
        """Drop the text so far."""
        self.texts.clear()
        self.versions.clear()
        self.last_event = None
        self.text_complete = False
