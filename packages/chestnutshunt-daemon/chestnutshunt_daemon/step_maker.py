"""Makes all samples of a step, oldest group first."""

from collections.abc import Callable
from concurrent import futures
import logging
import threading

import attrs

from chestnutshunt.config import run_settings
from chestnutshunt import errors
from chestnutshunt.rollout import batch
from chestnutshunt.rollout import sample
from chestnutshunt.rollout import sample_id
from chestnutshunt.rollout import straggler_rule
from chestnutshunt_daemon import node
from chestnutshunt_daemon import sample_maker
from chestnutshunt_daemon import scoring
from chestnutshunt_daemon import weight_loader

__all__ = ['StepMaker']

LOG = logging.getLogger(__name__)

RETRY_DELAY = 0.2
REVIEW_PERIOD = 0.1


@attrs.define(eq=False)
class Running:
    """A sample that is being made."""

    place: sample_id.SampleId
    started_at: float = 0.0
    copied: bool = False
    cancelled: threading.Event = attrs.field(factory=threading.Event)


@attrs.define(eq=False)
class StepMaker:
    """Makes one step.

    Attributes
    ----------
    state : Node
        The daemon.
    run : str
        Training run.
    step : int
        Step number.
    settings : RunSettings
        What the run wants.
    kept : dict of SampleId to Sample
        Samples that need not be made again.
    loader : WeightLoader
        Knows the versions of the engines.
    oldest_version : callable
        Returns the oldest version that may be handed over.
    stopped : Event
        Ends the work without a result.
    """

    state: node.Node
    run: str
    step: int
    settings: run_settings.RunSettings
    kept: dict[sample_id.SampleId, sample.Sample]
    loader: weight_loader.WeightLoader
    oldest_version: Callable[[], int]
    stopped: threading.Event
    running: dict[sample_id.SampleId, Running] = attrs.field(factory=dict)
    pending: dict[futures.Future, Running] = attrs.field(factory=dict)

    def make(self) -> batch.Batch | None:
        """Return the whole step, or ``None`` if the work was stopped."""
        places = self.places()
        rule = straggler_rule.StragglerRule(len(places))
        workers = self.settings.concurrency
        with futures.ThreadPoolExecutor(workers, 'sample') as pool:
            for place in places:
                if place not in self.kept:
                    self.start(pool, Running(place))
            while self.pending and not self.stopped.is_set():
                done, _ = futures.wait(
                    self.pending, REVIEW_PERIOD, futures.FIRST_COMPLETED
                )
                for item in done:
                    self.finish(pool, rule, item)
                self.copy_stragglers(pool, rule)
            self.cancel_all()
        if self.stopped.is_set():
            return None
        samples = [self.kept[place] for place in places]
        if self.settings.scorer:
            samples = self.score(samples)
        return batch.Batch.of(self.run, self.step, samples)

    def places(self) -> list[sample_id.SampleId]:
        """Return the ids of the step's samples, in the order of work."""
        return [
            sample_id.SampleId(self.run, self.step, group, index)
            for group in range(self.settings.groups)
            for index in range(self.settings.group_size)
        ]

    def start(
        self, pool: futures.ThreadPoolExecutor, running: Running
    ) -> None:
        """Queue the making of a sample."""
        self.running.setdefault(running.place, running)
        self.pending[pool.submit(self.make_one, running)] = running

    def make_one(self, running: Running) -> tuple[sample.Sample, float]:
        """Make a sample that is fresh; return it and its seconds."""
        began = running.started_at = self.state.clock.monotonic()
        while True:
            if self.stopped.is_set() or running.cancelled.is_set():
                raise errors.NotReady('The step is no longer being made.')
            try:
                made = sample_maker.make_sample(
                    self.state,
                    self.settings,
                    running.place,
                    running.cancelled,
                    self.loader,
                    self.oldest_version(),
                )
                if made.oldest_version >= self.oldest_version():
                    return made, self.state.clock.monotonic() - began
                LOG.info('Sample %s is too old', running.place)
            except errors.ChestnutshuntError as exc:
                LOG.info('Sample %s failed: %s', running.place, exc)
            running.cancelled.wait(RETRY_DELAY)

    def finish(
        self,
        pool: futures.ThreadPoolExecutor,
        rule: straggler_rule.StragglerRule,
        ended: futures.Future,
    ) -> None:
        """Take a sample over; the first whole copy wins."""
        running = self.pending.pop(ended)
        if running.place in self.kept:
            return
        try:
            made, seconds = ended.result()
        except errors.ChestnutshuntError:
            self.start(pool, Running(running.place))
            return
        self.kept[running.place] = made
        rule.finished(seconds)
        for other in self.pending.values():
            if other.place == running.place:
                other.cancelled.set()

    def copy_stragglers(
        self,
        pool: futures.ThreadPoolExecutor,
        rule: straggler_rule.StragglerRule,
    ) -> None:
        """Start second copies of samples that stall the step."""
        now = self.state.clock.monotonic()
        for running in list(self.pending.values()):
            if not running.started_at or running.copied:
                continue
            if rule.wants_copy(now - running.started_at):
                running.copied = True
                copy = Running(running.place, copied=True)
                self.start(pool, copy)

    def cancel_all(self) -> None:
        """Stop what is still running."""
        for running in self.pending.values():
            running.cancelled.set()

    def score(self, samples: list[sample.Sample]) -> list[sample.Sample]:
        """Return the samples with rewards, group by group."""
        size = self.settings.group_size
        groups = [
            samples[start : start + size]
            for start in range(0, len(samples), size)
        ]
        with futures.ThreadPoolExecutor(
            self.settings.concurrency, 'score'
        ) as pool:
            scored = list(pool.map(self.score_one, groups))
        return [item for group in scored for item in group]

    def score_one(self, group: list[sample.Sample]) -> list[sample.Sample]:
        """Score a group, again until the scorer answers."""
        while not self.stopped.is_set():
            try:
                return scoring.score_group(self.state, self.settings, group)
            except errors.ChestnutshuntError as exc:
                LOG.warning('Scoring failed: %s', exc)
                self.stopped.wait(RETRY_DELAY)
        return group
