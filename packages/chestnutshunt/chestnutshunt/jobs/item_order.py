"""Start order of a job's items."""

from collections.abc import Iterable

from chestnutshunt.jobs import item
from chestnutshunt.jobs import item_state

__all__ = ['start_order']

# Output length assumed for an item without a length hint.
DEFAULT_LENGTH_TOKENS = 256


def start_order(
    states: Iterable[item_state.ItemState],
) -> list[item_state.ItemState]:
    """Return the items in the order in which they are to start.

    The group with the longest expected output goes first, and the items of a
    group stay together. While there are slots for all items, a step takes as
    long as its longest item, and a target prefills a shared prompt once.
    """
    pending = list(states)
    longest: dict[str, int] = {}
    for state in pending:
        group = state.item.prompt_group
        longest[group] = max(
            longest.get(group, 0), expected_tokens(state.item)
        )
    return sorted(
        pending,
        key=lambda state: (
            -longest[state.item.prompt_group],
            state.item.group,
            -expected_tokens(state.item),
        ),
    )


def expected_tokens(entry: item.Item) -> int:
    """Return the expected output length of an item in tokens."""
    return entry.length_hint or DEFAULT_LENGTH_TOKENS
