"""Runs one request at its targets, with retries, to its whole answer."""

from collections.abc import Iterator
import contextlib
import logging
import random

import attrs

from chestnutshunt.admission import grant
from chestnutshunt.attempts import answer_head
from chestnutshunt.attempts import attempt
from chestnutshunt.attempts import identity
from chestnutshunt.attempts import progress
from chestnutshunt.attempts import retry_budget
from chestnutshunt import errors
from chestnutshunt.routing import target
from chestnutshunt.usage import count
from chestnutshunt_daemon import caller_request
from chestnutshunt_daemon import node
from chestnutshunt_daemon import target_call
from chestnutshunt_daemon import target_error

__all__ = ['Execution']

LOG = logging.getLogger(__name__)

MAX_BUFFERED_BYTES = 1_048_576
"""Answers up to this size are read whole before they are passed on."""

RETRY_STATUSES = frozenset((429, 502, 503))
FIRST_BACKOFF = 0.05
LONGEST_BACKOFF = 2.0

Part = answer_head.AnswerHead | bytes


@attrs.define(eq=False)
class Execution:
    """One execution of a request that may be repeated.

    Attributes
    ----------
    state : Node
        The daemon.
    request : CallerRequest
        What to run.
    key_grant : Grant
        For whom.
    current_attempt : Attempt
        Where the answer and the progress are published.
    """

    state: node.Node
    request: caller_request.CallerRequest
    key_grant: grant.Grant
    current_attempt: attempt.Attempt
    tried_targets: set[str] = attrs.field(factory=set)
    digest: str = ''
    affinity: str = ''

    def parts(self) -> Iterator[Part]:
        """Yield the head of the answer, then its body as it comes.

        Raises
        ------
        ChestnutshuntError
            `current_attempt` tells how far the request had got.
        """
        settings = self.request.settings
        self.digest = identity.body_digest(
            self.request.service, self.request.path, self.request.body
        )
        self.refuse_quarantined()
        queue = self.state.queue(self.request.service, self.slot_count())
        with contextlib.ExitStack() as stack:
            reserved = stack.enter_context(
                self.state.limits.admitted(self.key_grant, self.cost())
            )
            stack.enter_context(
                queue.slot(
                    self.key_grant.workspace,
                    self.key_grant.settings.weight,
                    self.cost(),
                    self.request.deadline,
                    settings.queue_length,
                )
            )
            yield from self.try_targets()
            reserved.made = self.used_tokens()

    def refuse_quarantined(self) -> None:
        """Raise if the request has crashed too many targets."""
        if self.state.quarantine.refuses(self.digest):
            raise errors.Quarantined('This request has crashed targets.')

    def reported_progress(self) -> progress.Progress:
        """Return what a refusal may truthfully say of the request."""
        return self.current_attempt.state

    def slot_count(self) -> int:
        """Return how many requests this daemon may have in flight.

        That is its even part of what the targets can take on, or what it has
        now and its even part of what nobody uses, whichever is more.
        """
        running = [
            item
            for item in self.state.targets(self.request.service)
            if item.state == 'running'
        ]
        daemons = len(self.state.directory.live())
        total = len(running) * self.request.settings.target_concurrency
        used = sum(self.state.loads.in_flight(x.name) for x in running)
        own = sum(self.state.loads.of(x.name).own for x in running)
        unused = max(total - used, 0)
        return max(-(-total // daemons), own + unused // daemons, 1)

    def cost(self) -> float:
        """Return the request's expected cost for the fair queue."""
        return 1.0

    def used_tokens(self) -> float:
        """Return the tokens that were made, 0.0 for a plain service."""
        return 0.0

    def try_targets(self) -> Iterator[Part]:
        """Make attempts until one gives an answer."""
        service = self.request.service
        budget = self.state.budget(self.key_grant.workspace, service)
        budget.earn(self.request.settings.retry_share)
        limit = self.request.settings.max_attempts
        number = 1
        while True:
            chosen = self.choose_target()
            try:
                yield from self.attempt_at(chosen, number == limit)
                self.count_attempt(chosen, 'answered')
                return
            except target_error.TargetError as exc:
                if exc.moved:
                    self.tried_targets.add(chosen.name)
                    self.count_attempt(chosen, 'moved')
                    continue
                self.record_failure(chosen, exc)
                if number == limit or not self.may_retry(exc):
                    raise
                self.spend_retry(budget, exc)
                self.back_off(number, exc)
                number += 1

    def spend_retry(
        self,
        budget: retry_budget.RetryBudget,
        failure: target_error.TargetError,
    ) -> None:
        """Spend a retry, or raise `RetryBudgetSpent`."""
        if budget.spend():
            return
        message = f'No retry is left after: {failure.message}'
        raise errors.RetryBudgetSpent(message, retry_after=1.0) from failure

    def attempt_at(self, chosen: target.Target, last: bool) -> Iterator[Part]:
        """Make one attempt; a kept connection that is closed costs none."""
        try:
            yield from self.attempt_once(chosen, last, reuse=True)
        except target_error.TargetError as exc:
            if not exc.stale:
                raise
            yield from self.attempt_once(chosen, last, reuse=False)

    def attempt_once(
        self, chosen: target.Target, last: bool, reuse: bool
    ) -> Iterator[Part]:
        """Send the request to a target and yield its answer."""
        with self.open_response(chosen, reuse) as answer:
            self.refuse_busy(answer, last)
            yield from self.forward_response(answer)

    @contextlib.contextmanager
    def open_response(
        self, chosen: target.Target, reuse: bool
    ) -> Iterator[target_call.TargetResponse]:
        """Hold a target's answer, counting the request in flight."""
        self.state.loads.started(chosen.name)
        try:
            with target_call.open_response(
                self.state.connections,
                self.state.clock,
                chosen,
                self.request,
                self.current_attempt,
                self.body_to_send(),
                reuse,
            ) as answer:
                yield answer
        finally:
            self.state.loads.finished(chosen.name)

    def body_to_send(self) -> bytes:
        """Return the body of the next attempt."""
        return self.request.body

    def refuse_busy(
        self, answer: target_call.TargetResponse, last: bool
    ) -> None:
        """Raise for an answer that says to try elsewhere."""
        if answer.head.status not in RETRY_STATUSES or last:
            return
        message = f'{answer.target_name} answered {answer.head.status}.'
        busy = target_error.TargetError(
            message, progress.Progress.MAY_HAVE_RUN
        )
        busy.retry_after = answer.retry_after_s
        raise busy

    def forward_response(
        self, answer: target_call.TargetResponse
    ) -> Iterator[Part]:
        """Yield a small answer once it is whole, a large one as it comes."""
        kept: list[bytes] = []
        size = 0
        passing = False
        for chunk in answer.body():
            self.check_key()
            if passing:
                yield chunk
                continue
            kept.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                passing = True
                yield answer.head
                yield b''.join(kept)
        self.current_attempt.advance(progress.Progress.RAN)
        self.count_usage()
        if not passing:
            yield answer.head
            yield b''.join(kept)

    def count_usage(self) -> None:
        """Count a request that a target has reported as done."""
        tokens = int(self.used_tokens())
        used = count.Count(1, tokens)
        self.state.usage.record(self.key_grant.workspace, used)

    def check_key(self) -> None:
        """Raise if the key was withdrawn since the request came."""
        if not self.state.keys.in_force(self.key_grant):
            raise errors.Unauthorized('The key was withdrawn.')

    def choose_target(self) -> target.Target:
        """Choose the target of the next attempt."""
        chosen = self.state.chooser.choose(
            self.state.targets(self.request.service),
            self.state.place(),
            self.request.settings.target_concurrency,
            frozenset(self.tried_targets),
            self.affinity,
        )
        if chosen is None and self.tried_targets:
            self.tried_targets.clear()
            return self.choose_target()
        if chosen is None:
            message = f'{self.request.service} has no running target.'
            raise errors.NoTarget(message, retry_after=1.0)
        return chosen

    def may_retry(self, failure: target_error.TargetError) -> bool:
        """Tell whether another attempt is allowed and useful."""
        if self.current_attempt.head is not None:
            return False
        self.refuse_quarantined()
        wait = failure.retry_after or 0.0
        return self.state.clock.monotonic() + wait < self.request.deadline

    def back_off(self, number: int, failure: target_error.TargetError) -> None:
        """Wait before the next attempt; Retry-After is a lower bound."""
        if failure.attempt_progress is progress.Progress.NOT_SENT:
            return
        longest = min(FIRST_BACKOFF * 2 ** (number - 1), LONGEST_BACKOFF)
        pause = random.uniform(0, longest) + (failure.retry_after or 0.0)
        remaining = self.request.deadline - self.state.clock.monotonic()
        self.state.clock.sleep(max(min(pause, remaining), 0.0))

    def count_attempt(self, chosen: target.Target, outcome: str) -> None:
        """Count the end of an attempt."""
        self.state.metrics.attempts.labels(self.request.service, outcome).inc()
        if outcome == 'answered':
            self.state.loads.of(chosen.name).guard.succeeded()

    def record_failure(
        self, chosen: target.Target, failure: target_error.TargetError
    ) -> None:
        """Count a failed attempt against its target and its request."""
        self.tried_targets.add(chosen.name)
        self.state.loads.of(chosen.name).guard.failed()
        if failure.crashed and self.is_running(chosen):
            self.state.quarantine.note_crash(self.digest, chosen.name)
        self.count_attempt(chosen, 'crashed' if failure.crashed else 'failed')
        LOG.warning(
            'Attempt failed: %s',
            failure.message,
            extra={
                'request': self.request.id,
                'workspace': self.key_grant.workspace,
                'service': self.request.service,
                'target': chosen.name,
                'kind': failure.kind,
            },
        )

    def is_running(self, chosen: target.Target) -> bool:
        """Tell whether a target is not known to be leaving."""
        listed = self.state.targets(self.request.service)
        return any(
            item.name == chosen.name and item.state == 'running'
            for item in listed
        )
