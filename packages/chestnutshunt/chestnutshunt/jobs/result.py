"""The outcome of one item."""

from typing import Any

import attrs

__all__ = ['Result']


@attrs.frozen
class Result:
    """Text and score of an item, or the fact that it was given up.

    Attributes
    ----------
    id : str
        Id of the item.
    complete : bool
        False if the item was given up.
    text : str
        Data of all events in order, separated by line feeds.
    versions : tuple of int
        Weight versions that generated an event of the text, in order of
        first appearance.
    score : str
        Signature of the scoring response; empty if there is none.
    """

    id: str
    complete: bool
    text: str = attrs.field(default='', repr=False)
    versions: tuple[int, ...] = ()
    score: str = ''

    def encode(self) -> dict[str, Any]:
        """Return the JSON form that is stored in the result log."""
        return {
            'id': self.id,
            'complete': self.complete,
            'text': self.text,
            'versions': list(self.versions),
            'score': self.score,
        }

    @classmethod
    def decode(cls, value: dict[str, Any]) -> 'Result':
        """Build a result from its JSON form."""
        return cls(
            value['id'],
            value['complete'],
            value['text'],
            tuple(value['versions']),
            value['score'],
        )
