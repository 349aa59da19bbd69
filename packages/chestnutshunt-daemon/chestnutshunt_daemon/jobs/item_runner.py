"""Runs one item at targets until it has a result."""

import logging
import random

from chestnutshunt.attempts import progress
from chestnutshunt.deployment import deployment
from chestnutshunt.deployment import route
from chestnutshunt import errors
from chestnutshunt.jobs import event_reader
from chestnutshunt.jobs import item_state
from chestnutshunt.jobs import result
from chestnutshunt.jobs import score_call
from chestnutshunt.replicas import replica
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.jobs import job_run
from chestnutshunt_daemon import target_error
from chestnutshunt_daemon.targets import cutter
from chestnutshunt_daemon.targets import exchange
from chestnutshunt_daemon.targets import forwarded
from chestnutshunt_daemon.targets import forwarder
from chestnutshunt_daemon.targets import target_answer
from chestnutshunt_daemon.targets import target_request
from chestnutshunt_daemon.targets import target_slot

__all__ = ['ItemRunner']

LOG = logging.getLogger(__name__)

SILENCE_S = 1.3
"""Seconds between two events after which a target is left; a load of new
weights takes about 1, also beside another."""

ITEM_S = 60.0
"""Seconds that a target may work on one item."""

SCORE_S = 3.0
"""Seconds that a scoring call may take."""

BUSY_S = 0.05
"""Seconds until an item that was refused is tried again."""

FAILED_S = 0.2
"""Seconds until an item whose run failed is tried again."""

REFUSED_STATUS = 422
"""The target will never run the item."""


class ItemRunner:
    """Runs items in the threads of a pool.

    Parameters
    ----------
    state : FleetState
        The daemon.
    exchanger : Exchanger
        Sends single attempts.
    forwards : Forwarder
        Sends scoring calls.
    chance : Random
        Spreads retries.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        exchanger: exchange.Exchanger,
        forwards: forwarder.Forwarder,
        chance: random.Random,
    ) -> None:
        self.state = state
        self.exchanger = exchanger
        self.forwards = forwards
        self.chance = chance

    def run(
        self,
        run: job_run.JobRun,
        held: item_state.ItemState,
        taken: route.Route,
        slot: target_slot.TargetSlot | None,
    ) -> None:
        """Run an item at a target; its result is handed to the job.

        Parameters
        ----------
        run : JobRun
            Its job.
        held : ItemState
            The item.
        taken : Route
            Route of the job.
        slot : TargetSlot or None
            Where to run it; ``None`` if only its score is missing.
        """
        cutting = cutter.Cutter()
        run.cutters[held.item.id] = cutting
        try:
            if run.ended.is_set():
                return
            if slot is None or self.generate(run, held, taken, slot, cutting):
                self.score(run, held, taken, cutting)
        except cutter.CallerLeft:
            LOG.info(
                'Item stopped',
                extra={'job': run.job.id, 'request': held.item.id},
            )
        except Exception:
            LOG.exception('Item failed: %s', held.item.id)
            held.not_before = self.state.clock.monotonic() + FAILED_S
        finally:
            if slot is not None:
                slot.release()
            run.cutters.pop(held.item.id, None)
            held.running = False

    def generate(
        self,
        run: job_run.JobRun,
        held: item_state.ItemState,
        taken: route.Route,
        slot: target_slot.TargetSlot,
        cutting: cutter.Cutter,
    ) -> bool:
        """Read the item's text; return True once it is whole."""
        chosen = slot.replica
        request = target_request.TargetRequest(
            id=held.item.id,
            method='POST',
            path=held.item.path,
            host=run.job.host,
            headers=tuple(held.item.headers.items()),
            body=held.item.body,
            workspace=run.job.workspace,
            deadline=self.state.clock.monotonic() + ITEM_S,
        )
        began = self.state.clock.monotonic()
        first = held.last_event
        call = held.item.scoring
        outcome = 'whole'
        try:
            with self.exchanger.answer_of(
                chosen, request, SILENCE_S, True, cutting, first
            ) as answer:
                if not self.check_head(run, held, taken, chosen, answer):
                    outcome = f'status {answer.facts.status} not used'
                    return False
                self.read(run, held, taken, chosen, answer)
            held.text_is_whole = True
            self.state.replicas.state(chosen).breaker.succeeded()
            return True
        except (target_error.TargetError, ValueError) as exc:
            if run.ended.is_set():
                outcome = 'stopped, its job was ended'
                raise cutter.CallerLeft('The job was ended.') from exc
            outcome = getattr(exc, 'message', str(exc))
            self.note_failure(held, chosen, exc)
            return False
        finally:
            slot.release()
            LOG.info(
                'Item run',
                extra={
                    'request': held.item.id,
                    'job': run.job.id,
                    'target': chosen.id,
                    'after': first,
                    'last': held.last_event,
                    'versions': list(held.versions),
                    'scoring': call.id if call else '',
                    'seconds': round(self.state.clock.monotonic() - began, 3),
                    'outcome': outcome,
                },
            )

    def check_head(
        self,
        run: job_run.JobRun,
        held: item_state.ItemState,
        taken: route.Route,
        chosen: replica.Replica,
        answer: target_answer.Answer,
    ) -> bool:
        """Tell whether an answer's events may be used."""
        facts = answer.facts
        view = self.state.replicas
        view.note_load(chosen, facts.running, facts.waiting)
        now = self.state.clock.monotonic()
        if facts.not_run:
            view.note_full(chosen)
            held.not_before = now + BUSY_S * self.chance.random()
            answer.body()
            return False
        if facts.status == REFUSED_STATUS:
            self.give_up(run, held, 'the target will never run it')
            return False
        if facts.status != 200:
            answer.body()
            held.failures += 1
            held.not_before = now + FAILED_S
            if held.failures >= taken.attempts:
                self.give_up(run, held, f'{held.failures} runs failed')
            return False
        if not facts.signature:
            raise ValueError('The answer bears no signature.')
        if facts.version is not None and run.job.model:
            view.note_version(chosen, run.job.model, facts.version)
            if facts.version < run.job.minimum_version:
                held.not_before = now + BUSY_S
                return False
            if taken.single_version and held.versions not in (
                [],
                [facts.version],
            ):
                held.start_over()
                return False
        return True

    def read(
        self,
        run: job_run.JobRun,
        held: item_state.ItemState,
        taken: route.Route,
        chosen: replica.Replica,
        answer: target_answer.Answer,
    ) -> None:
        """Read events to the end of the stream."""
        reader = event_reader.EventReader()
        version = answer.facts.version
        dialect = self.exchanger.dialect
        at = self.state.clock.monotonic()
        for data in answer.chunks():
            now = self.state.clock.monotonic()
            events = list(reader.feed(data))
            for found in events:
                for line in found.lines:
                    version = dialect.event_version(line) or version
                if held.last_event is not None and (
                    found.id <= held.last_event
                ):
                    raise ValueError(f'Event {found.id} came again.')
                if taken.single_version and held.versions not in (
                    [],
                    [version],
                ):
                    held.start_over()
                    raise ValueError('The version changed.')
                held.add(found.id, found.data, version)
            if events:
                self.state.replicas.note_event(
                    chosen, (now - at) / len(events)
                )
                at = now
        if reader.rest.strip():
            raise ValueError('The stream ends inside an event.')
        if held.last_event is None:
            raise ValueError('The stream has no event.')

    def note_failure(
        self,
        held: item_state.ItemState,
        chosen: replica.Replica,
        exc: Exception,
    ) -> None:
        """Note a run that broke off; the next one goes on after it."""
        held.not_before = self.state.clock.monotonic() + BUSY_S
        stale = isinstance(exc, target_error.TargetError) and exc.stale
        if not stale:
            self.state.replicas.state(chosen).breaker.failed()
            self.state.replicas.note_full(chosen)
        sent = (
            not isinstance(exc, target_error.TargetError)
            or exc.attempt_progress is not progress.Progress.NOT_SENT
        )
        self.state.metrics.attempts.labels(
            'broken' if sent else 'unsent'
        ).inc()

    def score(
        self,
        run: job_run.JobRun,
        held: item_state.ItemState,
        taken: route.Route,
        cutting: cutter.Cutter,
    ) -> None:
        """Have a whole text scored and hand over the result."""
        call = held.item.scoring
        if call is None:
            self.complete(run, held, '')
            return
        found = self.send_score(run, held, cutting)
        if found is None:
            held.not_before = self.state.clock.monotonic() + FAILED_S
        elif found.facts.status < 300:
            self.complete(run, held, found.facts.signature)
        else:
            held.score_failures += 1
            other = self.score_route(call)
            allowed = other.attempts if other else 0
            held.not_before = self.state.clock.monotonic() + BUSY_S
            if held.score_failures >= max(taken.attempts, allowed):
                text = f'{held.score_failures} scoring calls failed'
                self.give_up(run, held, text)

    def send_score(
        self,
        run: job_run.JobRun,
        held: item_state.ItemState,
        cutting: cutter.Cutter,
    ) -> forwarded.Forwarded | None:
        """Return the answer of a scoring call, ``None`` without one."""
        call = held.item.scoring
        taken = self.score_route(call)
        if taken is None:
            LOG.warning(
                'No route for a scoring call',
                extra={'request': call.id, 'host': call.host},
            )
            return None
        request = target_request.TargetRequest(
            id=call.id,
            method='POST',
            path=call.path,
            host=call.host,
            headers=(),
            body=call.body,
            workspace='',
            deadline=self.state.clock.monotonic() + SCORE_S,
        )
        try:
            return self.forwards.forward(
                request, taken, cutting, lambda: not run.ended.is_set()
            )
        except cutter.CallerLeft:
            raise
        except errors.ChestnutshuntError as exc:
            LOG.info(
                'Scoring call failed',
                extra={'request': call.id, 'error': exc.message},
            )
            return None

    def score_route(self, call: score_call.ScoreCall) -> route.Route | None:
        """Return the route of a scoring call."""
        current: deployment.Deployment = self.state.deployment
        return current.route_of(call.host, call.path.partition('?')[0])

    def complete(
        self, run: job_run.JobRun, held: item_state.ItemState, score: str
    ) -> None:
        """Hand over a whole text."""
        run.finish(
            held,
            result.Result(
                id=held.item.id,
                complete=True,
                text='\n'.join(held.texts),
                versions=tuple(held.versions),
                score=score,
            ),
        )
        self.state.metrics.items.labels('complete').inc()
        waited = self.state.time.now() - run.job.submitted_at
        self.state.metrics.item_seconds.observe(max(waited, 0.0))

    def give_up(
        self, run: job_run.JobRun, held: item_state.ItemState, reason: str
    ) -> None:
        """Hand over that an item has no result."""
        call = held.item.scoring
        LOG.info(
            'Item given up',
            extra={
                'request': held.item.id,
                'job': run.job.id,
                'scoring': call.id if call else '',
                'failures': held.failures,
                'score_failures': held.score_failures,
                'reason': reason,
            },
        )
        self.state.metrics.items.labels('given_up').inc()
        run.finish(held, result.Result(held.item.id, False))
