"""Kinds of the platform's stored objects that daemons mirror."""

from collections.abc import Callable
from typing import Any

import attrs

from chestnutshunt.deployment import deployment
from chestnutshunt.replicas import replica
from chestnutshunt.store import stored_object

__all__ = ['StoreSchema']


@attrs.frozen
class StoreSchema:
    """Kinds of objects and their decoders, supplied by the adapter.

    Attributes
    ----------
    config_kind, config_name : str
        Kind and name of the object that holds the configuration.
    decode_config : callable
        Builds a `Deployment` from the value of that object. Raises
        `KeyError`, `TypeError` or `ValueError` if it is malformed.
    replica_kind : str
        Kind of the registrations of targets.
    decode_replica : callable
        Builds a `Replica` from a registration; ``None`` if it is malformed.
    version_kind : str
        Kind of the objects in which trainers announce weight versions.
    decode_version : callable
        Returns the model and its newest version.
    retirement_kind : str
        Kind of the requests to empty a VM.
    emptied_status : dict
        Status written to such a request once the VM is empty.
    """

    config_kind: str
    config_name: str
    decode_config: Callable[[dict[str, Any]], deployment.Deployment]
    replica_kind: str
    decode_replica: Callable[
        [stored_object.StoredObject], replica.Replica | None
    ]
    version_kind: str
    decode_version: Callable[[stored_object.StoredObject], tuple[str, int]]
    retirement_kind: str
    emptied_status: dict[str, Any]
