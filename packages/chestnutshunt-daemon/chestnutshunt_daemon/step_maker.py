"""Generates and scores all samples of a step, in the order of groups."""

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

RETRY_DELAY_S = 0.2
STRAGGLER_CHECK_PERIOD_S = 0.1


@attrs.define(eq=False)
class RunningSample:
    """One copy of a sample that is queued or being generated.

    Attributes
    ----------
    sample_key : SampleId
        Id of the sample.
    started_at : float
        Monotonic seconds of its start, 0.0 while it is queued.
    has_copy : bool
        Whether it has a second copy or is one.
    cancelled : Event
        Ends the generation.
    """

    sample_key: sample_id.SampleId
    started_at: float = 0.0
    has_copy: bool = False
    cancelled: threading.Event = attrs.field(factory=threading.Event)


@attrs.define(eq=False)
class StepMaker:
    """Generates the samples of one step.

    Attributes
    ----------
    state : Node
        State of the daemon.
    run : str
        Training run.
    step : int
        Step number.
    settings : RunSettings
        Settings of the run.
    samples : dict of SampleId to Sample
        Complete samples, at first those kept from a discarded step.
    loader : WeightLoader
        Knows the weight versions of the engines.
    oldest_version : callable
        Returns the oldest weight version that may be handed over.
    stopped : Event
        Ends the work without a result.
    """

    state: node.Node
    run: str
    step: int
    settings: run_settings.RunSettings
    samples: dict[sample_id.SampleId, sample.Sample]
    loader: weight_loader.WeightLoader
    oldest_version: Callable[[], int]
    stopped: threading.Event
    running_samples: dict[sample_id.SampleId, RunningSample] = attrs.field(
        factory=dict
    )
    pending_futures: dict[futures.Future, RunningSample] = attrs.field(
        factory=dict
    )

    def make(self) -> batch.Batch | None:
        """Return the complete step, or ``None`` if the work was stopped."""
        sample_keys = self.sample_keys()
        rule = straggler_rule.StragglerRule(len(sample_keys))
        worker_count = self.settings.concurrency
        with futures.ThreadPoolExecutor(worker_count, 'sample') as pool:
            for sample_key in sample_keys:
                if sample_key not in self.samples:
                    self.submit(pool, RunningSample(sample_key))
            while self.pending_futures and not self.stopped.is_set():
                done, _ = futures.wait(
                    self.pending_futures,
                    STRAGGLER_CHECK_PERIOD_S,
                    futures.FIRST_COMPLETED,
                )
                for future in done:
                    self.collect_result(pool, rule, future)
                self.copy_stragglers(pool, rule)
            self.cancel_all()
        if self.stopped.is_set():
            return None
        samples = [self.samples[sample_key] for sample_key in sample_keys]
        if self.settings.scorer:
            samples = self.score(samples)
        return batch.Batch.from_samples(self.run, self.step, samples)

    def sample_keys(self) -> list[sample_id.SampleId]:
        """Return the ids of the step's samples, in the order of work."""
        return [
            sample_id.SampleId(self.run, self.step, group, index)
            for group in range(self.settings.groups)
            for index in range(self.settings.group_size)
        ]

    def submit(
        self, pool: futures.ThreadPoolExecutor, running: RunningSample
    ) -> None:
        """Queue a sample for generation."""
        self.running_samples.setdefault(running.sample_key, running)
        self.pending_futures[pool.submit(self.make_sample, running)] = running

    def make_sample(
        self, running: RunningSample
    ) -> tuple[sample.Sample, float]:
        """Generate a sample within the staleness bound, with retries.

        Returns
        -------
        tuple of Sample and float
            The sample and the seconds that it took.

        Raises
        ------
        NotReady
            The step was stopped or the sample cancelled.
        """
        started_at = running.started_at = self.state.clock.monotonic()
        while True:
            if self.stopped.is_set() or running.cancelled.is_set():
                raise errors.NotReady(
                    'The step was stopped or the sample cancelled.'
                )
            try:
                finished = sample_maker.make_sample(
                    self.state,
                    self.settings,
                    running.sample_key,
                    running.cancelled,
                    self.loader,
                    self.oldest_version(),
                )
                if finished.oldest_version >= self.oldest_version():
                    return finished, self.state.clock.monotonic() - started_at
                LOG.info(
                    'Sample %s is too old and is retried', running.sample_key
                )
            except errors.ChestnutshuntError as exc:
                LOG.info(
                    'Sample %s failed and is retried: %s',
                    running.sample_key,
                    exc,
                )
            running.cancelled.wait(RETRY_DELAY_S)

    def collect_result(
        self,
        pool: futures.ThreadPoolExecutor,
        rule: straggler_rule.StragglerRule,
        future: futures.Future,
    ) -> None:
        """Store a sample; its first complete copy cancels the others."""
        running = self.pending_futures.pop(future)
        if running.sample_key in self.samples:
            return
        try:
            finished, duration_s = future.result()
        except errors.ChestnutshuntError:
            self.submit(pool, RunningSample(running.sample_key))
            return
        self.samples[running.sample_key] = finished
        rule.add_duration(duration_s)
        for other in self.pending_futures.values():
            if other.sample_key == running.sample_key:
                other.cancelled.set()

    def copy_stragglers(
        self,
        pool: futures.ThreadPoolExecutor,
        rule: straggler_rule.StragglerRule,
    ) -> None:
        """Start a second copy of each sample that holds up the step."""
        now = self.state.clock.monotonic()
        for running in list(self.pending_futures.values()):
            if not running.started_at or running.has_copy:
                continue
            if rule.allow_copy(now - running.started_at):
                running.has_copy = True
                second_copy = RunningSample(running.sample_key, has_copy=True)
                self.submit(pool, second_copy)

    def cancel_all(self) -> None:
        """Cancel all samples that are queued or running."""
        for running in self.pending_futures.values():
            running.cancelled.set()

    def score(self, samples: list[sample.Sample]) -> list[sample.Sample]:
        """Return the samples with rewards, group by group."""
        group_size = self.settings.group_size
        groups = [
            samples[start : start + group_size]
            for start in range(0, len(samples), group_size)
        ]
        with futures.ThreadPoolExecutor(
            self.settings.concurrency, 'score'
        ) as pool:
            scored = list(pool.map(self.score_group, groups))
        return [item for group in scored for item in group]

    def score_group(self, group: list[sample.Sample]) -> list[sample.Sample]:
        """Score a group, retrying until the scorer answers.

        A group whose scoring was stopped is returned without rewards.
        """
        while not self.stopped.is_set():
            try:
                return scoring.score_group(self.state, self.settings, group)
            except errors.ChestnutshuntError as exc:
                LOG.warning(
                    'Run %s: scoring a group failed: %s', self.run, exc
                )
                self.stopped.wait(RETRY_DELAY_S)
        return group
