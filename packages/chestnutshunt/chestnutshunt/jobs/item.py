"""One item of a batch job."""

import attrs

from chestnutshunt.jobs import score_call

__all__ = ['Item']

# Memory of an item beside its body and the texts of its headers.
ITEM_BYTES = 384


@attrs.frozen
class Item:
    """A generation request that runs as part of a job.

    Attributes
    ----------
    id : str
        Item id, also sent to the target as the request id.
    path : str
        Request path at the target.
    headers : dict of str to str
        Request headers.
    body : bytes
        Request body.
    group : str
        Items with the same group share a prompt; empty for none.
    length_hint : int
        Expected number of output tokens; 0 if unknown.
    scoring : ScoreCall or None
        Request that scores the complete text.
    """

    id: str
    path: str
    headers: dict[str, str]
    body: bytes = attrs.field(repr=False)
    group: str = ''
    length_hint: int = 0
    scoring: score_call.ScoreCall | None = None

    @property
    def held_bytes(self) -> int:
        """About the memory that the item takes, in bytes."""
        size = ITEM_BYTES + len(self.body)
        size += sum(len(text) for text in self.headers.values())
        if self.scoring is not None:
            size += ITEM_BYTES + len(self.scoring.body)
        return size

    @property
    def prompt_group(self) -> str:
        """Key of the items that share this item's prompt; its id if alone."""
        return self.group or self.id
