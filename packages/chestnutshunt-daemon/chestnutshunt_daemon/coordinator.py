"""Coordinates one training run while its lease is held.

A trainer pulls steps by number. A request for a step shows that the trainer
has not received it, so two coordinators agree on the next step without asking
the platform. The manifest of a step is created once on the platform before
the step is handed over, so that a successor can hand over the same bytes.
"""

import logging
import threading

import attrs
from returns import result

from chestnutshunt.config import run_settings
from chestnutshunt import errors
from chestnutshunt.lease import lease
from chestnutshunt.rollout import batch
from chestnutshunt.rollout import manifest
from chestnutshunt import steps
from chestnutshunt.store import object_store
from chestnutshunt.store import put_with_readback
from chestnutshunt_daemon import bulk
from chestnutshunt_daemon import node
from chestnutshunt_daemon import step_maker
from chestnutshunt_daemon import weight_loader

__all__ = ['Coordinator']

LOG = logging.getLogger(__name__)

IDLE_PERIOD_S = 0.5
# Earlier steps kept once the trainer has asked for a later one.
KEPT_STEP_COUNT = 2


@attrs.define(eq=False)
class ReadyStep:
    """A step that can be handed over.

    Attributes
    ----------
    content : Batch
        The samples of the step.
    data : bytes
        The encoded samples, as handed over to the trainer.
    version : int
        Store version of the manifest, 0 if it could not be written.
    """

    content: batch.Batch
    data: bytes = attrs.field(repr=False)
    version: int = object_store.ABSENT


class Coordinator:
    """Makes and hands over the steps of a run.

    Parameters
    ----------
    state : Node
        State of the daemon.
    run : str
        Training run.
    duty_lease : Lease
        Lease of the run.
    """

    def __init__(
        self, state: node.Node, run: str, duty_lease: lease.Lease
    ) -> None:
        self.state = state
        self.run = run
        self.duty_lease = duty_lease
        self.ready_steps: dict[int, ReadyStep] = {}
        self.discarded_steps: dict[int, ReadyStep] = {}
        self.cursor: int | None = None
        self.reported_version = 0
        self.condition = threading.Condition()
        self.stopped = threading.Event()
        self.loader = weight_loader.WeightLoader(
            state, self.settings().service, duty_lease
        )
        self.threads = [
            threading.Thread(target=target, name=f'{name}-{run}', daemon=True)
            for name, target in (
                ('run', self.run_steps),
                ('weights', self.load_weights),
            )
        ]

    def start(self) -> None:
        """Start the threads of the run."""
        for thread in self.threads:
            thread.start()

    @property
    def is_alive(self) -> bool:
        """True while all threads of the run run."""
        return all(thread.is_alive() for thread in self.threads)

    def stop(self) -> None:
        """Stop the threads; no step is handed over from now on."""
        self.stopped.set()
        with self.condition:
            self.condition.notify_all()
        self.loader.wakeup.set()

    def settings(self) -> run_settings.RunSettings:
        """Return the run's current settings."""
        return self.state.current_tree().settings(f'runs/{self.run}')

    def newest_version(self) -> int:
        """Return the newest weight version known, stored or reported."""
        stored = self.state.mirror.get('weights', self.run)
        stored_version = int(stored.value.get('version', 0)) if stored else 0
        return max(stored_version, self.reported_version)

    def may_hand_over(self, cut_off: bool) -> bool:
        """Return whether this process may hand over steps of the run.

        With `cut_off`, an orphaned lease is enough.
        """
        if self.stopped.is_set():
            return False
        return self.duty_lease.is_held or (
            cut_off and self.duty_lease.is_orphaned
        )

    def hand_over(
        self, step: int, version: int, cut_off: bool, timeout_s: float
    ) -> bytes | None:
        """Return the bytes of a step, ``None`` if not ready or too old.

        Parameters
        ----------
        step : int
            Step the trainer asks for, which it has therefore not received.
        version : int
            The trainer's weight version, 0 if unknown.
        cut_off : bool
            Whether a coordinator that lost its lease only because it cannot
            reach the platform may answer.
        timeout_s : float
            Seconds to wait.

        Raises
        ------
        NotHolder
            Another daemon may coordinate the run.
        """
        with self.condition:
            self.reported_version = max(self.reported_version, version)
            self.cursor = max(self.cursor or 0, step)
            self.loader.request_version(self.newest_version())
            self.condition.notify_all()
            self.condition.wait_for(
                lambda: step in self.ready_steps or self.stopped.is_set(),
                timeout_s,
            )
            ready = self.ready_steps.get(step)
        steps.reach('run.before_hand_over')
        if not self.may_hand_over(cut_off):
            raise errors.NotHolder(f'{self.run} is not coordinated here.')
        if ready is None:
            return None
        if self.is_stale(ready.content):
            self.discard_step(step, ready)
            return None
        return ready.data

    def is_stale(self, content: batch.Batch) -> bool:
        """Return whether a sample of a step exceeds the staleness bound."""
        return bool(content.older_than(self.oldest_version()))

    def discard_step(self, step: int, ready: ReadyStep) -> None:
        """Discard a step, so that its samples that are too old are remade."""
        LOG.info('Step %s of run %s is too old and is remade', step, self.run)
        with self.condition:
            if self.ready_steps.get(step) is ready:
                del self.ready_steps[step]
                self.discarded_steps[step] = ready
                self.condition.notify_all()

    def run_steps(self) -> None:
        """Prepare the requested steps and ``steps_ahead`` more."""
        while not self.stopped.is_set():
            try:
                step = self.next_step()
                if step is not None:
                    self.prepare_step(step)
                    continue
            except errors.ChestnutshuntError as exc:
                LOG.warning('Run %s: %s', self.run, exc)
            except Exception:
                LOG.exception('Run %s: a step failed and is retried', self.run)
            with self.condition:
                self.condition.wait(IDLE_PERIOD_S)

    def load_weights(self) -> None:
        """Have the engines load each new weight version."""
        self.state.mirror.listeners.append(self.mirror_changed)
        self.loader.request_version(self.newest_version())
        try:
            self.loader.run(self.stopped)
        finally:
            self.state.mirror.listeners.remove(self.mirror_changed)

    def mirror_changed(self, changes: object) -> None:
        """Request the weight version that the mirror now shows."""
        self.loader.request_version(self.newest_version())

    def next_step(self) -> int | None:
        """Return the first step to prepare, ``None`` if there is none."""
        with self.condition:
            if self.cursor is None:
                return None
            self.drop_past_steps(self.cursor)
            ahead = self.settings().steps_ahead
            for step in range(self.cursor, self.cursor + ahead + 1):
                if step not in self.ready_steps:
                    return step
        return None

    def drop_past_steps(self, cursor: int) -> None:
        """Drop steps the trainer has passed, with bytes and manifests."""
        for step in [
            x for x in self.ready_steps if x < cursor - KEPT_STEP_COUNT
        ]:
            old = self.ready_steps.pop(step)
            self.state.batch_store.drop(batch.digest_of(old.data))
            if old.version:
                self.state.store.delete(
                    manifest.STEP_KIND,
                    manifest.manifest_name(self.run, step),
                    old.version,
                )
        for step in [x for x in self.discarded_steps if x < cursor]:
            del self.discarded_steps[step]

    def prepare_step(self, step: int) -> None:
        """Recover a step from its manifest, or make it."""
        ready = self.recover_step(step)
        if ready is None:
            ready = self.make_step(step)
        if ready is None:
            return
        with self.condition:
            self.ready_steps[step] = ready
            self.condition.notify_all()

    def recover_step(self, step: int) -> ReadyStep | None:
        """Return a step that another coordinator made, if it is intact.

        A step whose bytes no daemon holds any more counts as discarded, so
        that it is made again under the version of its manifest.
        """
        if step in self.discarded_steps:
            return None
        name = manifest.manifest_name(self.run, step)
        match self.state.store.get(manifest.STEP_KIND, name):
            case result.Success(stored) if stored is not None:
                pass
            case _:
                return None
        entry = manifest.Manifest.decode(stored.value)
        data = bulk.fetch(self.state, entry)
        if data is None:
            LOG.warning(
                'Run %s: no daemon holds the bytes of step %s', self.run, step
            )
            lost = ReadyStep(
                batch.Batch(self.run, step, ()), b'', stored.version
            )
            self.discarded_steps[step] = lost
            return None
        content = batch.Batch.decode(self.run, step, data)
        return ReadyStep(content, data, stored.version)

    def make_step(self, step: int) -> ReadyStep | None:
        """Make a step, store its bytes twice and write its manifest."""
        old = self.discarded_steps.get(step)
        oldest = self.oldest_version()
        fresh = {
            item.id: item
            for item in (old.content.samples if old else ())
            if item.oldest_version >= oldest
        }
        steps.reach('run.before_samples')
        content = step_maker.StepMaker(
            self.state,
            self.run,
            step,
            self.settings(),
            fresh,
            self.loader,
            self.oldest_version,
            self.stopped,
        ).make()
        if content is None:
            return None
        steps.reach('run.after_samples')
        data = content.encode()
        holders = bulk.store_with_replica(self.state, data)
        steps.reach('run.after_copies')
        expected = old.version if old else object_store.ABSENT
        ready = self.publish_manifest(step, content, data, holders, expected)
        steps.reach('run.after_manifest')
        self.discarded_steps.pop(step, None)
        return ready

    def publish_manifest(
        self,
        step: int,
        content: batch.Batch,
        data: bytes,
        holders: tuple[str, ...],
        expected: int,
    ) -> ReadyStep:
        """Write the manifest of a step and return the step to hand over.

        If another coordinator has written one first, its step is returned
        unless it is lost or too old.
        """
        entry = manifest.Manifest(
            batch.digest_of(data), len(data), holders, self.duty_lease.fence
        )
        name = manifest.manifest_name(self.run, step)
        written = put_with_readback.put_with_readback(
            self.state.store,
            manifest.STEP_KIND,
            name,
            entry.encode(),
            expected,
        )
        match written:
            case result.Success(stored):
                return ReadyStep(content, data, stored.version)
            case result.Failure(errors.Conflict()):
                other = self.recover_step(step)
                if other is not None and not self.is_stale(other.content):
                    return other
        return ReadyStep(content, data)

    def oldest_version(self) -> int:
        """Return the oldest weight version that may be handed over now."""
        return self.newest_version() - self.settings().staleness_bound
