"""Chooses which targets load a new version next."""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools

import attrs

from chestnutshunt.replicas import replica
from chestnutshunt.routing import rendezvous

__all__ = ['WeightLoad', 'assign_models', 'next_loads']

LOADING_SHARE = 0.4
"""Share of a service's targets that load at one time without slowing down;
2 of 5 or 6 do, 9 of 23 and 10 of 24."""


@attrs.frozen
class WeightLoad:
    """A target and the version it is to load.

    Attributes
    ----------
    target : Replica
        Target to order.
    model : str
        Model to change.
    version : int
        Version to load.
    """

    target: replica.Replica
    model: str
    version: int


def assign_models(
    targets: Iterable[replica.Replica], newest: Mapping[str, int]
) -> dict[str, str]:
    """Give each target the model that it keeps up to date.

    Each load costs, so where several models are trained a target follows only
    one. A target stays with the model on which it lags least, as long as the
    models' shares are even.

    Parameters
    ----------
    targets : iterable of Replica
        Targets of one service that stay.
    newest : mapping of str to int
        Newest version of each trained model.

    Returns
    -------
    dict of str to str
        Model of each target, by target id.
    """
    held = list(targets)
    models = sorted(newest)
    if not held or not models:
        return {}
    most = -(-len(held) // len(models))
    pairs = sorted(
        itertools.product(held, models),
        key=lambda pair: (
            newest[pair[1]] - pair[0].versions.get(pair[1], 0),
            rendezvous.score(pair[1], pair[0].id),
        ),
    )
    given: dict[str, str] = {}
    counts = dict.fromkeys(models, 0)
    spare = len(held) - len(models) * (len(held) // len(models))
    for chosen, model in pairs:
        if chosen.id in given:
            continue
        is_full = counts[model] >= len(held) // len(models)
        if is_full and (spare <= 0 or counts[model] >= most):
            continue
        spare -= is_full
        given[chosen.id] = model
        counts[model] += 1
    return given


def next_loads(
    targets: Iterable[replica.Replica],
    newest: Mapping[str, int],
    loading: frozenset[str],
) -> list[WeightLoad]:
    """Return the loads to begin now.

    At most the share that loads at full speed is in progress at one time, and
    of the targets of one model at most half, so that the others serve.

    Parameters
    ----------
    targets : iterable of Replica
        Targets of one service that stay.
    newest : mapping of str to int
        Newest version of each trained model.
    loading : frozenset of str
        Ids of targets that are loading now.
    """
    held = list(targets)
    given = assign_models(held, newest)
    room = max(1, int(LOADING_SHARE * len(held))) - len(loading)
    chosen = []
    for model in sorted(newest):
        pool = [item for item in held if given.get(item.id) == model]
        behind = sorted(
            (x for x in pool if x.versions.get(model, 0) < newest[model]),
            key=lambda item: (item.versions.get(model, 0), item.id),
        )
        busy = sum(item.id in loading for item in pool)
        free = max(1, len(pool) // 2) - busy
        ready = [item for item in behind if item.id not in loading]
        chosen.extend(
            WeightLoad(item, model, newest[model])
            for item in ready[: max(free, 0)]
        )
    return chosen[: max(room, 0)]
