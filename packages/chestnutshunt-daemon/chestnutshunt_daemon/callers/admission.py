"""Finds the route and the workspace of a request."""

from chestnutshunt.deployment import deployment
from chestnutshunt import errors
from chestnutshunt_daemon.callers import request_grant
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['Admission']

# A configuration that was confirmed within this part of the time that a change
# may take counts as current: a route or key that it lacks does not exist.
RECENT_CONFIG_RATIO = 0.6

# Part of `revoke_s` that is reserved for a request to reach a target.
KEY_MARGIN_S = 0.6


class Admission:
    """Checks requests against the current configuration.

    Parameters
    ----------
    state : FleetState
        Provides the configuration and its age.
    revoke_s : float
        Seconds within which a withdrawn key must stop working.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        revoke_s: float,
    ) -> None:
        self.state = state
        self.revoke_s = revoke_s

    def current_deployment(self) -> deployment.Deployment:
        """Return the current configuration; raises `NotReady`."""
        current = self.state.deployment
        if current is None:
            raise errors.NotReady(
                'No configuration has been read yet.', retry_after_s=0.3
            )
        return current

    def admit(
        self, host: str, path: str, key: str
    ) -> request_grant.RequestGrant:
        """Return the route and the workspace of a request.

        Raises
        ------
        RouteUnknown, Unauthorized
            The current configuration does not allow the request.
        NotReady, CutOff
            The configuration known here may be out of date.
        """
        current = self.current_deployment()
        route = current.match_route(host, path)
        if route is None:
            self.require_recent_config()
            raise errors.RouteUnknown(f'No route for {host}{path}.')
        if not current.requires_key or route.open:
            return request_grant.RequestGrant(route, '', current.version)
        return request_grant.RequestGrant(
            route, self.workspace(key), current.version
        )

    def workspace(self, key: str) -> str:
        """Return the workspace of a key; raises the errors of `admit`."""
        current = self.current_deployment()
        if not current.requires_key:
            return ''
        workspace = current.workspace_of(key)
        if workspace is None:
            self.require_recent_config()
            raise errors.Unauthorized('The API key is unknown or withdrawn.')
        if not self.keys_confirmed():
            raise errors.CutOff(
                'The store has not confirmed the keys for '
                f'{self.state.config_age_s():.1f} s.',
                retry_after_s=0.5,
            )
        return workspace

    def keys_confirmed(self) -> bool:
        """Return whether the keys are recent enough to honour `revoke_s`."""
        return self.state.config_age_s() < self.revoke_s - KEY_MARGIN_S

    def require_recent_config(self) -> None:
        """Raise `NotReady` if a newer configuration may be in force."""
        recent_s = RECENT_CONFIG_RATIO * self.state.config.config_s
        if self.state.config_age_s() > recent_s:
            raise errors.NotReady(
                'A newer configuration may be in force.', retry_after_s=0.3
            )

    def is_still_admitted(
        self,
        earlier: request_grant.RequestGrant,
        host: str,
        path: str,
        key: str,
    ) -> bool:
        """Return whether a request has kept its route and workspace."""
        try:
            grant = self.admit(host, path, key)
        except errors.ChestnutshuntError:
            return False
        return (
            grant.route.name == earlier.route.name
            and grant.workspace == earlier.workspace
        )
