"""Runs items of jobs at targets and has their texts scored."""

import logging
import random

from chestnutshunt.attempts import progress
from chestnutshunt.deployment import deployment
from chestnutshunt.deployment import route
from chestnutshunt import errors
from chestnutshunt.jobs import event
from chestnutshunt.jobs import event_reader
from chestnutshunt.jobs import item
from chestnutshunt.jobs import item_state
from chestnutshunt.jobs import result
from chestnutshunt.jobs import score_call
from chestnutshunt.jobs import version_rule
from chestnutshunt.replicas import replica
from chestnutshunt.replicas import replica_view
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.jobs import job_run
from chestnutshunt_daemon import target_error
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import exchange
from chestnutshunt_daemon.targets import forwarded_response
from chestnutshunt_daemon.targets import forwarder
from chestnutshunt_daemon.targets import target_request
from chestnutshunt_daemon.targets import target_response
from chestnutshunt_daemon.targets import target_slot

__all__ = ['ItemRunner']

LOG = logging.getLogger(__name__)

# Time without an event after which an attempt is broken off. Loading new
# weights interrupts the events for about 1 s, even if another target loads
# at the same time.
EVENT_TIMEOUT_S = 1.3

# Time in which a part of a text must arrive whole, and the trailer after it.
PART_TIMEOUT_S = 2 * EVENT_TIMEOUT_S

# Events that are read from a slow target before an item is moved from there.
MIN_SLOW_EVENT_COUNT = 6

# Moves of one item: each makes a target read its text again.
MAX_MOVE_COUNT = 3

# Longest time of one attempt to run an item of a route without a lifetime of
# items.
ATTEMPT_TIMEOUT_S = 3600.0

# Least time of an attempt, also at the end of the lifetime.
MIN_ATTEMPT_S = 0.1

SCORING_TIMEOUT_S = 3.0

# Delay before the next attempt if the target was busy, the attempt broke off,
# the weights were too old, or the scorer answered with an error.
BUSY_RETRY_S = 0.05

# Delay before the next attempt after any other failure.
FAILURE_RETRY_S = 0.2

# Longest text of an item; the store would not take a longer result.
MAX_TEXT_BYTES = 1_048_576

# Status by which a target says that it will never run the item.
UNPROCESSABLE_STATUS = 422


class SlowTarget(Exception):
    """The item is to go on at another target, which is faster."""


class ItemRunner:
    """Runs items; called from the threads of a pool.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    exchanger : Exchanger
        Sends single attempts.
    forwarder : Forwarder
        Sends scoring calls.
    rng : Random
        Source of the jitter of retry delays.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        exchanger: exchange.Exchanger,
        forwarder: forwarder.Forwarder,
        rng: random.Random,
    ) -> None:
        self.state = state
        self.exchanger = exchanger
        self.forwarder = forwarder
        self.rng = rng

    def run(
        self,
        run: job_run.JobRun,
        entry: item_state.ItemState,
        route: route.Route,
        slot: target_slot.TargetSlot | None,
    ) -> None:
        """Run an item, have its text scored and pass the result to the job.

        Parameters
        ----------
        run : JobRun
            Job of the item.
        entry : ItemState
            State of the item.
        route : Route
            Route of the job.
        slot : TargetSlot or None
            Slot of the target to run it at; ``None`` if the text is complete
            and only its score is missing.
        """
        token = cancel_token.CancelToken()
        run.cancel_tokens[entry.item.id] = token
        try:
            if run.ended.is_set():
                return
            if slot is None or self.run_at_target(
                run, entry, route, slot, token
            ):
                self.score(run, entry, route, token)
        except cancel_token.CallerLeft:
            LOG.info(
                'Item cancelled',
                extra={'job': run.job.id, 'request': entry.item.id},
            )
        except Exception:
            LOG.exception(
                'Unexpected error while running item %s', entry.item.id
            )
            entry.not_before = self.state.clock.monotonic() + FAILURE_RETRY_S
        finally:
            if slot is not None:
                slot.release()
            run.cancel_tokens.pop(entry.item.id, None)
            entry.running = False

    def run_at_target(
        self,
        run: job_run.JobRun,
        entry: item_state.ItemState,
        route: route.Route,
        slot: target_slot.TargetSlot,
        token: cancel_token.CancelToken,
    ) -> bool:
        """Run the item at a target; return True if its text is complete."""
        target = slot.replica
        request = target_request.TargetRequest(
            id=entry.item.id,
            method='POST',
            path=entry.item.path,
            host=run.job.host,
            headers=self.item_headers(entry.item),
            body=entry.item.body,
            workspace=run.job.workspace,
            deadline=self.state.clock.monotonic()
            + self.attempt_timeout_s(run, route),
        )
        started_at = self.state.clock.monotonic()
        if not self.is_routed_to(run, target.service):
            LOG.info(
                'Item not sent, as its route has changed',
                extra={'request': entry.item.id, 'job': run.job.id},
            )
            return False
        if entry.origin != target.origin:
            entry.reset()
        resume_after = entry.last_event
        call = entry.item.scoring
        outcome = 'whole'
        try:
            with self.exchanger.exchange(
                target, request, EVENT_TIMEOUT_S, True, token, resume_after
            ) as response:
                if not self.check_head(run, entry, route, target, response):
                    outcome = f'status {response.head.status} not used'
                    return False
                if not self.may_go_on(entry, target, response):
                    outcome = 'another process'
                    return False
                self.read_events(run, entry, route, target, response)
            entry.text_complete = True
            self.state.replicas.state(target).breaker.record_success()
            return True
        except SlowTarget as exc:
            entry.moves += 1
            outcome = str(exc)
            return False
        except version_rule.UnsuitableVersion as exc:
            # The target is sound: it has just loaded other weights.
            entry.not_before = self.state.clock.monotonic() + BUSY_RETRY_S
            outcome = str(exc)
            return False
        except (target_error.TargetError, ValueError) as exc:
            if run.ended.is_set():
                outcome = 'stopped, its job was ended'
                raise cancel_token.CallerLeft('The job was ended.') from exc
            outcome = getattr(exc, 'message', str(exc))
            self.record_failure(entry, target, exc)
            return False
        finally:
            slot.release()
            LOG.info(
                'Item run',
                extra={
                    'request': entry.item.id,
                    'job': run.job.id,
                    'target': target.id,
                    'after': resume_after,
                    'last': entry.last_event,
                    'versions': list(entry.versions),
                    'scoring': call.id if call else '',
                    'seconds': round(
                        self.state.clock.monotonic() - started_at, 3
                    ),
                    'outcome': outcome,
                },
            )

    def attempt_timeout_s(
        self, run: job_run.JobRun, route: route.Route
    ) -> float:
        """Return the time until the result of an item is of no use."""
        if not route.item_lifetime_s:
            return ATTEMPT_TIMEOUT_S
        age_s = self.state.time.now() - run.job.submitted_at
        return max(route.item_lifetime_s - age_s, MIN_ATTEMPT_S)

    def is_routed_to(self, run: job_run.JobRun, service: str) -> bool:
        """Return whether the items of a job run at a service now."""
        current: deployment.Deployment = self.state.deployment
        found = current.match_route(run.job.host, run.job.path)
        return found is not None and found.service_for(0.0) == service

    def item_headers(self, own: item.Item) -> tuple[tuple[str, str], ...]:
        """Return the headers of an item that its target gets.

        Where a text goes on, and the caller's key, are not the item's to say.
        """
        dropped = self.exchanger.codec.position_headers | {'authorization'}
        return tuple(
            (name, value)
            for name, value in own.headers.items()
            if name.lower() not in dropped
        )

    def check_head(
        self,
        run: job_run.JobRun,
        entry: item_state.ItemState,
        route: route.Route,
        target: replica.Replica,
        response: target_response.TargetResponse,
    ) -> bool:
        """Check the head of a response; return True if its events count.

        Raises
        ------
        UnsuitableVersion
            The weights of the target are not those that the text may have.
        ValueError
            The response is not a signed stream of events.
        """
        head = response.head
        view = self.state.replicas
        view.record_load(target, head.running, head.waiting)
        now = self.state.clock.monotonic()
        if head.not_run:
            view.record_rejection(target)
            entry.not_before = now + BUSY_RETRY_S * self.rng.random()
            response.discard()
            return False
        if head.status == UNPROCESSABLE_STATUS:
            self.give_up(run, entry, 'the target rejected it as unprocessable')
            return False
        if head.status != 200:
            entry.failures += 1
            entry.not_before = now + FAILURE_RETRY_S
            if entry.failures >= route.max_attempts:
                self.give_up(run, entry, f'{entry.failures} runs failed')
            response.discard()
            return False
        if not head.signature:
            raise ValueError('The response has no signature.')
        if not response.has_events:
            raise ValueError('The response is no stream of events.')
        # None is named where no event is left to generate.
        if head.version is not None:
            view.record_version(target, run.job.model, head.version)
            entry.check_version(
                head.version, version_rule.rule_for(run.job, route)
            )
        return True

    def may_go_on(
        self,
        entry: item_state.ItemState,
        target: replica.Replica,
        response: target_response.TargetResponse,
    ) -> bool:
        """Return whether events of a response may follow those of the text.

        A new connection may belong to the next process of the target.
        """
        view = self.state.replicas
        if (
            entry.last_event is None
            or response.reused
            or view.is_current(target)
        ):
            return True
        view.record_rejection(target)
        entry.avoided_target = target.id
        entry.not_before = self.state.clock.monotonic() + BUSY_RETRY_S
        return False

    def read_events(
        self,
        run: job_run.JobRun,
        entry: item_state.ItemState,
        route: route.Route,
        target: replica.Replica,
        response: target_response.TargetResponse,
    ) -> None:
        """Read the events of a response to its end; raises `ValueError`."""
        reader = event_reader.EventReader()
        version = response.head.version
        last_event_at = self.state.clock.monotonic()
        event_count = 0
        text_bytes = sum(map(len, entry.texts))
        for data in response.chunks(part_s=PART_TIMEOUT_S):
            now = self.state.clock.monotonic()
            text_bytes += len(data)
            if text_bytes > MAX_TEXT_BYTES:
                entry.reset()
                raise ValueError(
                    f'The text has more than {MAX_TEXT_BYTES} bytes.'
                )
            events = list(reader.feed(data))
            for item_event in events:
                version = self.add_event(
                    run, entry, route, target, item_event, version
                )
            if events:
                self.state.replicas.record_event_interval(
                    target, (now - last_event_at) / len(events)
                )
                last_event_at = now
                event_count += len(events)
                if event_count >= MIN_SLOW_EVENT_COUNT:
                    self.check_speed(run, entry, route, target)
            elif now - last_event_at > EVENT_TIMEOUT_S:
                raise ValueError(f'No event for {now - last_event_at:.1f} s.')
        if reader.buffer.strip():
            raise ValueError('The stream ends inside an event.')
        if entry.last_event is None:
            raise ValueError('The stream has no events.')

    def add_event(
        self,
        run: job_run.JobRun,
        entry: item_state.ItemState,
        route: route.Route,
        target: replica.Replica,
        item_event: event.Event,
        version: int | None,
    ) -> int | None:
        """Add an event to an item's text; raises `ValueError`.

        The target may load other weights while it generates the text, also
        older ones.

        Returns
        -------
        int or None
            Weight version that generated the event, if known.
        """
        for line in item_event.other_lines:
            named = self.exchanger.codec.decode_event_version(line)
            if named is not None and named != version:
                version = named
                self.state.replicas.record_version(
                    target, run.job.model, named
                )
        if entry.last_event is not None and (
            item_event.id <= entry.last_event
        ):
            raise ValueError(f'Event {item_event.id} was repeated.')
        entry.add_event(
            item_event.id,
            item_event.data,
            version,
            version_rule.rule_for(run.job, route),
            target.origin,
        )
        return version

    def check_speed(
        self,
        run: job_run.JobRun,
        entry: item_state.ItemState,
        route: route.Route,
        target: replica.Replica,
    ) -> None:
        """Raise `SlowTarget` if another target would go on much faster.

        A step lasts as long as its slowest item, so one slow target delays
        all of it.
        """
        view = self.state.replicas
        ratio = view.relative_interval(target)
        if ratio < replica_view.SLOW_RATIO or entry.moves >= MAX_MOVE_COUNT:
            return
        other = view.choose_engine(
            target.service,
            run.job.model,
            run.job.minimum_version,
            exact=entry.versions[0] if route.single_version else None,
            avoided=target.id,
            origin=target.origin,
        )
        if (
            other is not None
            and other.id != target.id
            and view.relative_interval(other) < replica_view.SLOW_RATIO
        ):
            entry.avoided_target = target.id
            raise SlowTarget(
                f'Its events take {ratio:.1f} times as long as usual.'
            )

    def record_failure(
        self,
        entry: item_state.ItemState,
        target: replica.Replica,
        exc: Exception,
    ) -> None:
        """Record an attempt that broke off.

        The next one resumes after the last event that was read.
        """
        now = self.state.clock.monotonic()
        entry.not_before = now + BUSY_RETRY_S
        if getattr(exc, 'withheld', False):
            entry.not_before = now + FAILURE_RETRY_S
        is_target_fault = not isinstance(
            exc, target_error.TargetError
        ) or not (exc.stale or exc.withheld)
        if is_target_fault:
            self.state.replicas.state(target).breaker.record_failure()
            self.state.replicas.record_rejection(target)
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
        entry: item_state.ItemState,
        route: route.Route,
        token: cancel_token.CancelToken,
    ) -> None:
        """Have a complete text scored and pass the result to the job."""
        call = entry.item.scoring
        if call is None:
            self.complete(run, entry, '')
            return
        response = self.send_score(run, entry, token)
        if response is None:
            entry.not_before = self.state.clock.monotonic() + FAILURE_RETRY_S
        elif response.head.status < 300:
            self.complete(run, entry, response.head.signature)
        else:
            entry.score_failures += 1
            scoring_route = self.score_route(call)
            scoring_attempts = (
                scoring_route.max_attempts if scoring_route else 0
            )
            entry.not_before = self.state.clock.monotonic() + BUSY_RETRY_S
            if entry.score_failures >= max(
                route.max_attempts, scoring_attempts
            ):
                reason = f'{entry.score_failures} scoring calls failed'
                self.give_up(run, entry, reason)

    def send_score(
        self,
        run: job_run.JobRun,
        entry: item_state.ItemState,
        token: cancel_token.CancelToken,
    ) -> forwarded_response.ForwardedResponse | None:
        """Return the response of a scoring call, ``None`` without one."""
        call = entry.item.scoring
        route = self.score_route(call)
        if route is None:
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
            deadline=self.state.clock.monotonic() + SCORING_TIMEOUT_S,
        )
        try:
            return self.forwarder.forward(
                request,
                route,
                token,
                lambda: (
                    not run.ended.is_set() and self.score_route(call) == route
                ),
                is_owed=True,
            )
        except cancel_token.CallerLeft:
            raise
        except errors.ChestnutshuntError as exc:
            LOG.info(
                'Scoring call failed',
                extra={'request': call.id, 'error': exc.message},
            )
            return None

    def score_route(self, call: score_call.ScoreCall) -> route.Route | None:
        """Return the route of a scoring call, ``None`` if there is none."""
        current: deployment.Deployment = self.state.deployment
        return current.match_route(call.host, call.path.partition('?')[0])

    def complete(
        self, run: job_run.JobRun, entry: item_state.ItemState, score: str
    ) -> None:
        """Pass a complete text with its score to the job.

        The rule for its versions may have changed with the route since the
        text was generated.
        """
        if not self.has_suitable_versions(run, entry):
            return
        run.finish(
            entry,
            result.Result(
                id=entry.item.id,
                complete=True,
                text='\n'.join(entry.texts),
                versions=tuple(entry.versions),
                score=score,
            ),
        )
        self.state.metrics.items.labels('complete').inc()
        waited_s = self.state.time.now() - run.job.submitted_at
        self.state.metrics.item_seconds.observe(max(waited_s, 0.0))

    def has_suitable_versions(
        self, run: job_run.JobRun, entry: item_state.ItemState
    ) -> bool:
        """Return whether a text may be listed; discard it if not."""
        current: deployment.Deployment = self.state.deployment
        found = current.match_route(run.job.host, run.job.path)
        if found is None or version_rule.rule_for(run.job, found).accepts(
            entry.versions
        ):
            return True
        LOG.warning(
            'Text discarded because of its weight versions',
            extra={
                'request': entry.item.id,
                'job': run.job.id,
                'versions': list(entry.versions),
                'minimum': run.job.minimum_version,
                'single': found.single_version,
            },
        )
        entry.reset()
        return False

    def give_up(
        self, run: job_run.JobRun, entry: item_state.ItemState, reason: str
    ) -> None:
        """Finish an item without a text."""
        call = entry.item.scoring
        LOG.info(
            'Item given up',
            extra={
                'request': entry.item.id,
                'job': run.job.id,
                'scoring': call.id if call else '',
                'failures': entry.failures,
                'score_failures': entry.score_failures,
                'reason': reason,
            },
        )
        self.state.metrics.items.labels('given_up').inc()
        run.finish(entry, result.Result(entry.item.id, False))
