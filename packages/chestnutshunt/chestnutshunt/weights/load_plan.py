"""Plans which targets load a new weight version next."""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools

import attrs

from chestnutshunt.replicas import replica
from chestnutshunt.routing import rendezvous
from chestnutshunt.weights import model_demand

__all__ = ['WeightLoad', 'assign_models', 'next_loads', 'target_counts']

# Share of a service's targets that can load at one time without slowing
# down: 2 of 5 or 6, 9 of 23, 10 of 24.
MAX_LOADING_RATIO = 0.4


# A model keeps a target unless another one is short of this part of a target
# more, since each change costs a load.
KEEP_RATIO = 0.4

# Least number of items that a model counts for.
MIN_ITEMS = 0.5

NO_DEMAND = model_demand.ModelDemand()

Demands = Mapping[str, model_demand.ModelDemand]


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


def target_counts(
    total: int,
    demands: Demands,
    present: Mapping[str, int],
) -> dict[str, int]:
    """Divide a number of targets among models by their demand.

    Each model gets at least one, if there are enough.

    Parameters
    ----------
    total : int
        Number of targets.
    demands : mapping of str to ModelDemand
        Demand of each trained model.
    present : mapping of str to int
        Number of targets that each model has now.
    """
    models = sorted(demands)
    items = {m: max(demands[m].items, MIN_ITEMS) for m in models}
    whole = sum(items.values())
    wanted = {m: total * items[m] / whole for m in models}
    counts = dict.fromkeys(models, 1 if total >= len(models) else 0)

    def shortage(model: str) -> float:
        keeps = counts[model] < present.get(model, 0)
        return wanted[model] - counts[model] + KEEP_RATIO * keeps

    while sum(counts.values()) < total:
        counts[max(models, key=shortage)] += 1
    return counts


def present_counts(
    targets: Iterable[replica.Replica], newest: Mapping[str, int]
) -> dict[str, int]:
    """Return how many targets lag least on each model."""
    counts = dict.fromkeys(newest, 0)
    for target in targets:
        lags = {m: newest[m] - target.versions.get(m, 0) for m in newest}
        if len(set(lags.values())) > 1:
            counts[min(lags, key=lags.__getitem__)] += 1
    return counts


def assign_models(
    targets: Iterable[replica.Replica],
    newest: Mapping[str, int],
    demands: Demands | None = None,
) -> dict[str, str]:
    """Assign to each target the model that it keeps up to date.

    Each load has a cost, so if several models are trained, a target follows
    only one of them. Targets are divided among the models by demand, and a
    target prefers the model on which it lags least, so that it keeps its
    model from one version to the next.

    Parameters
    ----------
    targets : iterable of Replica
        Targets of one service that stay.
    newest : mapping of str to int
        Newest version of each trained model.
    demands : mapping of str to ModelDemand, optional
        Demand of each model.

    Returns
    -------
    dict of str to str
        Model of each target, by target id.
    """
    candidates = list(targets)
    models = sorted(newest)
    if not candidates or not models:
        return {}
    limits = target_counts(
        len(candidates),
        {m: (demands or {}).get(m, NO_DEMAND) for m in models},
        present_counts(candidates, newest),
    )
    pairs = sorted(
        itertools.product(candidates, models),
        key=lambda pair: (
            newest[pair[1]] - pair[0].versions.get(pair[1], 0),
            rendezvous.score(pair[1], pair[0].id),
        ),
    )
    assigned: dict[str, str] = {}
    for target, model in pairs:
        if target.id not in assigned and limits[model] > 0:
            assigned[target.id] = model
            limits[model] -= 1
    return assigned


def next_loads(
    targets: Iterable[replica.Replica],
    newest: Mapping[str, int],
    loading: frozenset[str],
    demands: Demands | None = None,
    postponed: frozenset[str] = frozenset(),
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
    demands : mapping of str to ModelDemand, optional
        Demand of each model.
    postponed : frozenset of str, optional
        Models whose targets are not to load now, except those that lag by
        more than one version.
    """
    candidates = list(targets)
    assigned = assign_models(candidates, newest, demands)
    limit = max(1, int(MAX_LOADING_RATIO * len(candidates))) - len(loading)
    loads = []
    for model in sorted(newest):
        pool = [item for item in candidates if assigned.get(item.id) == model]
        behind = sorted(
            (
                item
                for item in pool
                if item.versions.get(model, 0)
                < newest[model] - (model in postponed)
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
