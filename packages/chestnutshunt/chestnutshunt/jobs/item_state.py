"""Progress of one item of a running job."""

import attrs

from chestnutshunt.jobs import item
from chestnutshunt.jobs import version_rule
from chestnutshunt.streams import stream_origin

__all__ = ['ItemState']


@attrs.define(eq=False)
class ItemState:
    """Progress of an item at the daemon that runs its job.

    Attributes
    ----------
    item : Item
        The item as submitted.
    texts : list of str
        Data of the events received so far.
    last_event : int or None
        Id of the last event received.
    origin : StreamOrigin or None
        Origin of the text; ``None`` without one.
    blocked_since : float
        Monotonic time in seconds since which no target of that origin has
        had a free slot; 0 if one had.
    versions : list of int
        Weight versions that generated one of the events, in order of first
        appearance.
    failures : int
        Failed attempts to generate the text at a target.
    score_failures : int
        Scoring calls that failed at a target.
    text_complete : bool
        True once the text is complete and only its score is missing.
    running : bool
        True while a thread works on the item.
    finished : bool
        True once the item has a result.
    not_before : float
        Monotonic time in seconds before which the item is not retried.
    moves : int
        Times the item was moved from a slow target.
    avoided_target : str
        Id of the last such target.
    """

    item: item.Item
    texts: list[str] = attrs.field(factory=list)
    last_event: int | None = None
    origin: stream_origin.StreamOrigin | None = None
    blocked_since: float = 0.0
    versions: list[int] = attrs.field(factory=list)
    failures: int = 0
    score_failures: int = 0
    text_complete: bool = False
    running: bool = False
    finished: bool = False
    not_before: float = 0.0
    moves: int = 0
    avoided_target: str = ''

    def check_version(
        self, version: int | None, rule: version_rule.VersionRule
    ) -> None:
        """Raise unless events of a weight version may follow the text.

        The text is kept, so that it can go on at suitable weights, unless
        there may be none: after a change that the rule forbids.

        Parameters
        ----------
        version : int or None
            Version that generates the next events, if known.
        rule : VersionRule
            Versions that the text may have.

        Raises
        ------
        UnsuitableVersion, ValueError
            No event of that version may be added; see `VersionRule.check`.
        """
        try:
            rule.check(version, self.versions)
        except version_rule.UnsuitableVersion as exc:
            if exc.is_change:
                self.reset()
            raise

    def add_event(
        self,
        event_id: int,
        data: str,
        version: int | None,
        rule: version_rule.VersionRule,
        origin: stream_origin.StreamOrigin | None = None,
    ) -> None:
        """Append an event.

        Parameters
        ----------
        event_id : int
            Id of the event.
        data : str
            Its data.
        version : int or None
            Weight version that generated it, if known.
        rule : VersionRule
            Versions that the text may have.
        origin : StreamOrigin, optional
            Origin of the event.

        Raises
        ------
        UnsuitableVersion, ValueError
            The event may not be part of the text; see `VersionRule.check`.
        """
        self.check_version(version, rule)
        self.texts.append(data)
        self.origin = origin
        self.last_event = event_id
        if version is not None and version not in self.versions:
            self.versions.append(version)

    def resume_from(
        self, previous: 'ItemState', rule: version_rule.VersionRule
    ) -> bool:
        """Continue from the text of the same item in an earlier job.

        Parameters
        ----------
        previous : ItemState
            State of the item in the earlier job.
        rule : VersionRule
            Versions that the text may have.

        Returns
        -------
        bool
            False if the earlier text is missing or may not be used.
        """
        if (
            previous.running
            or not previous.texts
            or previous.item != self.item
        ):
            return False
        if not rule.accepts(previous.versions):
            return False
        self.texts = list(previous.texts)
        self.versions = list(previous.versions)
        self.last_event = previous.last_event
        self.origin = previous.origin
        self.text_complete = previous.text_complete
        return True

    def reset(self) -> None:
        """Discard the text so far, so that the item starts over."""
        self.texts.clear()
        self.versions.clear()
        self.last_event = None
        self.origin = None
        self.blocked_since = 0.0
        self.text_complete = False
