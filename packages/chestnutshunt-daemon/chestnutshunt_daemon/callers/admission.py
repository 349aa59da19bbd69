"""Which route a request takes, and for which workspace."""

from chestnutshunt.deployment import deployment
from chestnutshunt import errors
from chestnutshunt_daemon.callers import request_grant
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['Admission']

RECENT_S = 1.5
"""Seconds; a configuration confirmed within them is taken to be in force, so
that what it does not know is unknown. Below the 2.5 that a change may take."""

KEY_MARGIN_S = 0.6
"""Seconds of a key's bound that are left for a request's way to a target."""


class Admission:
    """Checks requests against the configuration in force.

    Parameters
    ----------
    state : FleetState
        Holds the configuration and its age.
    revoke_s : float
        Seconds within which a withdrawn key stops working.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        revoke_s: float,
    ) -> None:
        self.state = state
        self.revoke_s = revoke_s

    def current_deployment(self) -> deployment.Deployment:
        """Return the configuration in force; raises `NotReady`."""
        found = self.state.deployment
        if found is None:
            raise errors.NotReady(
                'No configuration is known yet.', retry_after=0.3
            )
        return found

    def admit(
        self, host: str, path: str, key: str
    ) -> request_grant.RequestGrant:
        """Return what a request may do.

        Raises
        ------
        RouteUnknown, Unauthorized
            The configuration in force does not allow the request.
        NotReady, CutOff
            It is not known what is in force.
        """
        found = self.current_deployment()
        taken = found.route_of(host, path)
        if taken is None:
            self.require_recent_config()
            raise errors.RouteUnknown(f'No route for {host}{path}.')
        if not found.keyed or taken.open:
            return request_grant.RequestGrant(taken, '', found.version)
        return request_grant.RequestGrant(
            taken, self.workspace(key), found.version
        )

    def workspace(self, key: str) -> str:
        """Return the workspace of a key; raises as `admit`."""
        found = self.current_deployment()
        if not found.keyed:
            return ''
        workspace = found.workspace_of(key)
        if workspace is None:
            self.require_recent_config()
            raise errors.Unauthorized('The key is not in force.')
        if not self.keys_confirmed():
            raise errors.CutOff(
                'The store has not confirmed the keys for '
                f'{self.state.config_age_s():.1f} s.',
                retry_after=0.5,
            )
        return workspace

    def keys_confirmed(self) -> bool:
        """Tell whether no key can have been withdrawn for too long."""
        return self.state.config_age_s() < self.revoke_s - KEY_MARGIN_S

    def require_recent_config(self) -> None:
        """Raise `NotReady` if a newer configuration may be in force."""
        if self.state.config_age_s() > RECENT_S:
            raise errors.NotReady(
                'A newer configuration may be in force.', retry_after=0.3
            )

    def is_still_admitted(
        self,
        before: request_grant.RequestGrant,
        host: str,
        path: str,
        key: str,
    ) -> bool:
        """Tell whether a request may still be sent."""
        try:
            now = self.admit(host, path, key)
        except errors.ChestnutshuntError:
            return False
        return (
            now.route.name == before.route.name
            and now.workspace == before.workspace
        )
