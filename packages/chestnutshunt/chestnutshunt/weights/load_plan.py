"""Plans which targets load a new weight version next."""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools

import attrs

from chestnutshunt.replicas import replica
from chestnutshunt.routing import rendezvous

__all__ = ['WeightLoad', 'assign_models', 'next_loads']

# Share of a service's targets that can load at one time without slowing
# down: 2 of 5 or 6, 9 of 23, 10 of 24.
MAX_LOADING_RATIO = 0.4


@attrs.frozen
class WeightLoad:
    """A planned load of a weight version at a target.

    Attributes
    ----------
    target : Replica
        Target that is to load.
    model : str
        Model whose weights are loaded.
    version : int
        Version to load.
    """

    target: replica.Replica
    model: str
    version: int


def assign_models(
    targets: Iterable[replica.Replica], newest: Mapping[str, int]
) -> dict[str, str]:
    """Assign to each target the model that it keeps up to date.

    Each load has a cost, so if several models are trained, a target follows
    only one of them. Targets are divided evenly among the models, and a
    target prefers the model on which it lags least, so that it keeps its
    model from one version to the next.

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
    candidates = list(targets)
    models = sorted(newest)
    if not candidates or not models:
        return {}
    max_count = -(-len(candidates) // len(models))
    pairs = sorted(
        itertools.product(candidates, models),
        key=lambda pair: (
            newest[pair[1]] - pair[0].versions.get(pair[1], 0),
            rendezvous.score(pair[1], pair[0].id),
        ),
    )
    assigned: dict[str, str] = {}
    counts = dict.fromkeys(models, 0)
    spare = len(candidates) - len(models) * (len(candidates) // len(models))
    for target, model in pairs:
        if target.id in assigned:
            continue
        is_full = counts[model] >= len(candidates) // len(models)
        if is_full and (spare <= 0 or counts[model] >= max_count):
            continue
        spare -= is_full
        assigned[target.id] = model
        counts[model] += 1
    return assigned


def next_loads(
    targets: Iterable[replica.Replica],
    newest: Mapping[str, int],
    loading: frozenset[str],
) -> list[WeightLoad]:
    """Return the loads to start now.

    At most `MAX_LOADING_RATIO` of the targets load at one time, and at most
    half of the targets of one model, so that the others go on serving; but
    always at least one.

    Parameters
    ----------
    targets : iterable of Replica
        Targets of one service that stay.
    newest : mapping of str to int
        Newest version of each trained model.
    loading : frozenset of str
        Ids of targets that are loading now.
    """
    candidates = list(targets)
    assigned = assign_models(candidates, newest)
    limit = max(1, int(MAX_LOADING_RATIO * len(candidates))) - len(loading)
    loads = []
    for model in sorted(newest):
        pool = [item for item in candidates if assigned.get(item.id) == model]
        behind = sorted(
            (
                item
                for item in pool
                if item.versions.get(model, 0) < newest[model]
            ),
            key=lambda item: (item.versions.get(model, 0), item.id),
        )
        loading_count = sum(item.id in loading for item in pool)
        model_limit = max(1, len(pool) // 2) - loading_count
        idle = [item for item in behind if item.id not in loading]
        loads.extend(
            WeightLoad(item, model, newest[model])
            for item in idle[: max(model_limit, 0)]
        )
    return loads[: max(limit, 0)]
