"""Connects to the platform through the installed adapter package."""

from importlib import metadata

import attrs

from chestnutshunt.duties import duty_platform
from chestnutshunt import errors
from chestnutshunt.store import followed_store
from chestnutshunt.store import watched_store

__all__ = ['Platform', 'connect']

# Entry points in which an adapter registers its clients, as 'store' and
# 'duties'.
ENTRY_POINT_GROUP = 'chestnutshunt.platform'


@attrs.frozen
class Platform:
    """Clients of the platform that a daemon uses.

    Attributes
    ----------
    store : FollowedStore
        Client of the object store.
    duties : DutyPlatform
        Client for the calls that only the holder of a duty makes.
    """

    store: followed_store.FollowedStore
    duties: duty_platform.DutyPlatform

    @classmethod
    def from_clients(
        cls,
        store: watched_store.WatchedStore,
        duties: duty_platform.DutyPlatform,
    ) -> 'Platform':
        """Build the platform, wrapping the store in a `FollowedStore`."""
        return cls(followed_store.FollowedStore(store), duties)


# Operators and daemons may be far from the store.
DEFAULT_CALL_TIMEOUT_S = 3.0


def connect(
    store_url: str,
    duty_url: str = '',
    timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
) -> Platform:
    """Return clients for the platform at the given addresses.

    Parameters
    ----------
    store_url : str
        Base address of the store, such as ``http://10.0.0.1:7000``.
    duty_url : str, optional
        Base address of the duty calls; by default that of the store.
    timeout_s : float, optional
        Timeout of a call in seconds.

    Raises
    ------
    AdapterMissing
        No package that implements the platform's protocol is installed.
    """
    entry_points = {
        entry_point.name: entry_point
        for entry_point in metadata.entry_points(group=ENTRY_POINT_GROUP)
    }
    if not {'store', 'duties'} <= set(entry_points):
        raise errors.AdapterMissing(
            'No adapter to the platform is installed.',
            'Install the package in the folder platform/.',
        )
    return Platform.from_clients(
        entry_points['store'].load()(host_and_port(store_url), timeout_s),
        entry_points['duties'].load()(
            host_and_port(duty_url or store_url), timeout_s
        ),
    )


def host_and_port(url: str) -> str:
    """Return the ``HOST:PORT`` of a base address."""
    return url.rpartition('//')[2].rstrip('/')
