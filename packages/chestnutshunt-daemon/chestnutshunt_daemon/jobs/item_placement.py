"""Chooses the targets at which the items of jobs run."""

from chestnutshunt.deployment import route
from chestnutshunt.jobs import item_state
from chestnutshunt.replicas import replica
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.jobs import job_run

__all__ = ['ItemPlacement']

# Longest wait for a free slot at a target of the origin of a text; then the
# item starts over at another.
MAX_BLOCKED_S = 1.0


class ItemPlacement:
    """Finds targets for items, and asks for permits where rates are limited.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    """

    def __init__(self, state: fleet_state.FleetState) -> None:
        self.state = state

    def want_permits(
        self, run: job_run.JobRun, route: route.Route, count: int
    ) -> None:
        """Ask for permits to start items at targets that limit their rate.

        Parameters
        ----------
        run : JobRun
            Job whose items wait.
        route : Route
            Route of the job.
        count : int
            Number of items that wait.
        """
        view = self.state.replicas
        gate = self.state.rate_gate
        limited = [
            target
            for target in view.free_engines(
                route.service_for(0.0), run.job.model, run.job.minimum_version
            )
            if gate.is_limited(target)
        ]
        for target in sorted(limited, key=view.cost):
            wanted = min(count, target.slots - view.load(target))
            if wanted <= 0:
                break
            gate.want(target, run.job.id, wanted)
            count -= wanted

    def choose_target(
        self,
        run: job_run.JobRun,
        entry: item_state.ItemState,
        route: route.Route,
    ) -> replica.Replica | None:
        """Return the target for an item, ``None`` if none has a slot."""
        exact_version = None
        service = route.service_for(0.0)
        if route.single_version and entry.versions:
            exact_version = entry.versions[0]
            if not self.is_loaded(service, run.job.model, exact_version):
                entry.reset()
                exact_version = None
        target = self.choose_engine(run, entry, service, exact_version)
        if target is not None:
            entry.blocked_since = 0.0
        elif entry.texts and self.is_blocked(service, entry):
            # The item starts over at a target of another origin.
            target = self.choose_engine(run, entry, service, None, False)
        return target

    def choose_engine(
        self,
        run: job_run.JobRun,
        entry: item_state.ItemState,
        service: str,
        exact_version: int | None,
        goes_on: bool = True,
    ) -> replica.Replica | None:
        """Return the target for an item, ``None`` if none has a slot.

        A text goes on only at a target of its origin, unless `goes_on` is
        False.
        """
        return self.state.replicas.choose_engine(
            service,
            run.job.model,
            run.job.minimum_version,
            run.group_targets.get(entry.item.prompt_group, ()),
            exact_version,
            entry.avoided_target,
            entry.origin if goes_on else None,
        )

    def is_blocked(self, service: str, entry: item_state.ItemState) -> bool:
        """Return whether a text has waited too long for its origin.

        That is at once if no target of that origin serves, else after
        `MAX_BLOCKED_S`.
        """
        serving = self.state.replicas.serving(service)
        if not any(item.origin == entry.origin for item in serving):
            return True
        now = self.state.clock.monotonic()
        entry.blocked_since = entry.blocked_since or now
        return now - entry.blocked_since > MAX_BLOCKED_S

    def is_loaded(self, service: str, model: str, version: int) -> bool:
        """Return whether any target has loaded exactly this weight version."""
        view = self.state.replicas
        return any(
            view.has_version(target, model, version, version)
            for target in view.serving(service)
        )
