"""Key of a usage tally."""

import attrs

__all__ = ['TallyKey']


@attrs.frozen(order=True)
class TallyKey:
    """Identifies the usage of a workspace in a window at one daemon.

    Attributes
    ----------
    window : int
        Number of the window since the Unix epoch.
    owner : str
        Name of the counting daemon, with its incarnation.
    workspace : str
        Workspace whose usage is counted.
    """

    window: int
    owner: str
    workspace: str
