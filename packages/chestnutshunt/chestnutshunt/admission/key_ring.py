"""Authentication of API keys against the settings tree in force."""

from collections.abc import Callable
import hmac

from returns import result

from chestnutshunt.admission import credential
from chestnutshunt.admission import grant
from chestnutshunt.config import service_settings
from chestnutshunt.config import tree
from chestnutshunt.config import workspace_settings
from chestnutshunt import errors

__all__ = ['OPEN_WORKSPACE', 'KeyRing']

OPEN_WORKSPACE = '(open)'
BEARER = 'bearer '


class KeyRing:
    """Authenticates requests and authorizes calls of services.

    Parameters
    ----------
    current_tree : callable
        Returns the settings tree in force.
    """

    def __init__(self, current_tree: Callable[[], tree.Tree]) -> None:
        self.current_tree = current_tree

    def authorize(
        self,
        authorization: str,
        service: str,
        settings: service_settings.ServiceSettings,
    ) -> result.Result[grant.Grant, errors.ChestnutshuntError]:
        """Return the grant of a request if it may call the service.

        Parameters
        ----------
        authorization : str
            Value of the Authorization header; empty if absent.
        service : str
            Name of the called service.
        settings : ServiceSettings
            Settings of the service.

        Returns
        -------
        Result
            The grant, or `Unauthorized` or `Forbidden`.
        """
        if settings.open and not authorization:
            defaults = workspace_settings.WorkspaceSettings()
            return result.Success(grant.Grant(OPEN_WORKSPACE, '', defaults))
        return self.authenticate(authorization).bind(
            lambda key_grant: require_service(key_grant, service)
        )

    def authenticate(
        self, authorization: str
    ) -> result.Result[grant.Grant, errors.ChestnutshuntError]:
        """Return the grant of a key, or `Unauthorized`."""
        if not authorization.lower().startswith(BEARER):
            return result.Failure(errors.Unauthorized('No key was sent.'))
        parts = credential.parse_token(authorization[len(BEARER) :].strip())
        if parts is None:
            return result.Failure(errors.Unauthorized('Malformed key.'))
        workspace, key_id, secret = parts
        key_path = f'workspaces/{workspace}/keys/{key_id}'
        current = self.current_tree()
        if not self.secret_matches(current, key_path, secret):
            return result.Failure(errors.Unauthorized('Key not in force.'))
        owner = f'workspaces/{workspace}'
        if owner not in current.nodes:
            return result.Failure(errors.Unauthorized('Key not in force.'))
        settings = current.settings(owner)
        return result.Success(grant.Grant(workspace, key_path, settings))

    def secret_matches(
        self, current: tree.Tree, key_path: str, secret: str
    ) -> bool:
        """Return whether the key is in force and has this secret."""
        if key_path not in current.nodes:
            return False
        key = current.settings(key_path)
        digest = credential.digest_secret(key.salt, secret)
        same = hmac.compare_digest(digest, key.digest)
        return same and not key.withdrawn

    def is_in_force(self, key_grant: grant.Grant) -> bool:
        """Return whether a grant's key still works; for open streams."""
        if not key_grant.key_path:
            return True
        current = self.current_tree()
        if key_missing(current, key_grant):
            return False
        return not current.settings(key_grant.key_path).withdrawn


def key_missing(current: tree.Tree, key_grant: grant.Grant) -> bool:
    """Return whether the key or its workspace was removed."""
    owner = f'workspaces/{key_grant.workspace}'
    return (
        key_grant.key_path not in current.nodes or owner not in current.nodes
    )


def require_service(
    key_grant: grant.Grant, service: str
) -> result.Result[grant.Grant, errors.ChestnutshuntError]:
    """Return the grant, or `Forbidden` if the service is not allowed."""
    allowed = key_grant.settings.services
    if '*' in allowed or service in allowed:
        return result.Success(key_grant)
    message = f'Workspace {key_grant.workspace} may not call {service}.'
    return result.Failure(errors.Forbidden(message))
