"""Result of authenticating a request."""

import attrs

from chestnutshunt.config import workspace_settings

__all__ = ['Grant']


@attrs.frozen
class Grant:
    """The workspace of a key, with its settings when it was checked.

    Attributes
    ----------
    workspace : str
        Workspace that the request belongs to.
    key_path : str
        Path of the key's node; empty on an open route.
    settings : WorkspaceSettings
        Share and limits of the workspace.
    """

    workspace: str
    key_path: str
    settings: workspace_settings.WorkspaceSettings
