"""What a tally is kept by."""

import attrs

__all__ = ['TallyKey']


@attrs.frozen(order=True)
class TallyKey:
    """A window of a workspace, as one daemon counted it.

    Attributes
    ----------
    window : int
        Number of the window since the epoch.
    owner : str
        Counting daemon, with its incarnation.
    workspace : str
        Whose usage it is.
    """

    window: int
    owner: str
    workspace: str
