"""Reaches the platform through the adapter that is installed."""

from importlib import metadata

import attrs

from chestnutshunt.duties import duty_platform
from chestnutshunt import errors
from chestnutshunt.store import followed_store
from chestnutshunt.store import watched_store

__all__ = ['Platform', 'connect']

ENTRY_POINTS = 'chestnutshunt.platform'
"""Group under which an adapter names its two clients."""


@attrs.frozen
class Platform:
    """What a daemon needs of the platform.

    Attributes
    ----------
    store : FollowedStore
        Everything that lasts.
    duties : DutyPlatform
        Calls that the holder of a duty makes.
    """

    store: followed_store.FollowedStore
    duties: duty_platform.DutyPlatform

    @classmethod
    def from_clients(
        cls,
        store: watched_store.WatchedStore,
        duties: duty_platform.DutyPlatform,
    ) -> 'Platform':
        """Put a plain store and the duty calls together."""
        return cls(followed_store.FollowedStore(store), duties)


CALL_S = 3.0
"""Seconds; operators and daemons elsewhere may be far from the store."""


def connect(
    store_url: str, duty_url: str = '', call_s: float = CALL_S
) -> Platform:
    """Return clients of the platform at an address.

    Parameters
    ----------
    store_url : str
        Base address of the store, such as ``http://10.0.0.1:7000``.
    duty_url : str, optional
        Base address of the duty calls; that of the store by default.
    call_s : float, optional
        Seconds that a call may take.

    Raises
    ------
    AdapterMissing
        No package that speaks the platform's form is installed.
    """
    found = {
        item.name: item for item in metadata.entry_points(group=ENTRY_POINTS)
    }
    if not {'store', 'duties'} <= set(found):
        raise errors.AdapterMissing(
            'No adapter to the platform is installed.',
            'Install the package in the folder platform/.',
        )
    return Platform.from_clients(
        found['store'].load()(address_of(store_url), call_s),
        found['duties'].load()(address_of(duty_url or store_url), call_s),
    )


def address_of(url: str) -> str:
    """Return ``IP:PORT`` of a base address."""
    return url.rpartition('//')[2].rstrip('/')
