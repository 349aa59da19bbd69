"""Execution of one request at its targets, with retries."""

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

# Responses up to this size are read completely before they are forwarded.
MAX_BUFFERED_BYTES = 1_048_576

RETRY_STATUSES = frozenset((429, 502, 503))
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0

Part = answer_head.AnswerHead | bytes


@attrs.define(eq=False)
class Execution:
    """One execution of a request that may be repeated.

    Attributes
    ----------
    state : Node
        Shared state of the daemon.
    request : CallerRequest
        Request to run.
    key_grant : Grant
        Access rights of the caller's key.
    current_attempt : Attempt
        Publishes the response and the progress, also to joined resends.
    tried_targets : set of str
        Names of targets that have failed and are avoided.
    digest : str
        Digest of the request for the quarantine.
    affinity : str
        Text by which similar requests are routed to the same target.
    """

    state: node.Node
    request: caller_request.CallerRequest
    key_grant: grant.Grant
    current_attempt: attempt.Attempt
    tried_targets: set[str] = attrs.field(factory=set)
    digest: str = ''
    affinity: str = ''

    def parts(self) -> Iterator[Part]:
        """Run the request; yield the response head, then body chunks.

        Raises
        ------
        ChestnutshuntError
            The request failed; `reported_progress` tells how far it got.
        """
        settings = self.request.settings
        self.digest = identity.body_digest(
            self.request.service, self.request.path, self.request.body
        )
        self.refuse_quarantined()
        queue = self.state.queue(self.request.service, self.slot_count())
        with contextlib.ExitStack() as stack:
            reservation = stack.enter_context(
                self.state.limits.admit(self.key_grant, self.cost())
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
            reservation.used_tokens = self.used_tokens()

    def refuse_quarantined(self) -> None:
        """Raise `Quarantined` if the request has crashed too many targets."""
        if self.state.quarantine.refuses(self.digest):
            raise errors.Quarantined('This request has crashed targets.')

    def reported_progress(self) -> progress.Progress:
        """Return the progress to report to the caller in an error."""
        return self.current_attempt.state

    def slot_count(self) -> int:
        """Return how many requests this daemon may have in flight.

        The larger of two values: an equal share of the total capacity of the
        targets; the requests now in flight here plus an equal share of the
        unused capacity.
        """
        running = [
            item
            for item in self.state.targets(self.request.service)
            if item.state == 'running'
        ]
        daemons = len(self.state.directory.live_members())
        total = len(running) * self.request.settings.target_concurrency
        in_flight = sum(
            self.state.load_view.in_flight(item.name) for item in running
        )
        own_in_flight = sum(
            self.state.load_view.load_of(item.name).own_in_flight
            for item in running
        )
        unused = max(total - in_flight, 0)
        return max(-(-total // daemons), own_in_flight + unused // daemons, 1)

    def cost(self) -> float:
        """Return the expected cost for the limits and the fair queue."""
        return 1.0

    def used_tokens(self) -> float:
        """Return the number of tokens used, 0.0 for a plain service."""
        return 0.0

    def try_targets(self) -> Iterator[Part]:
        """Make attempts until a target responds or no retry is allowed."""
        service = self.request.service
        budget = self.state.budget(self.key_grant.workspace, service)
        budget.earn(self.request.settings.retry_share)
        limit = self.request.settings.max_attempts
        attempt_number = 1
        while True:
            chosen_target = self.choose_target()
            try:
                yield from self.attempt_at(
                    chosen_target, attempt_number == limit
                )
                self.count_attempt(chosen_target, 'answered')
                return
            except target_error.TargetError as exc:
                if exc.moved:
                    self.tried_targets.add(chosen_target.name)
                    self.count_attempt(chosen_target, 'moved')
                    continue
                self.record_failure(chosen_target, exc)
                if attempt_number == limit or not self.may_retry(exc):
                    raise
                self.spend_retry(budget, exc)
                self.back_off(attempt_number, exc)
                attempt_number += 1

    def spend_retry(
        self,
        budget: retry_budget.RetryBudget,
        failure: target_error.TargetError,
    ) -> None:
        """Take a retry from the budget, or raise `RetryBudgetSpent`."""
        if budget.spend():
            return
        message = f'The retry budget is spent. Last failure: {failure.message}'
        raise errors.RetryBudgetSpent(message, retry_after_s=1.0) from failure

    def attempt_at(
        self, chosen_target: target.Target, is_last: bool
    ) -> Iterator[Part]:
        """Make one attempt; repeat it if a pooled connection was stale."""
        try:
            yield from self.attempt_once(chosen_target, is_last, reuse=True)
        except target_error.TargetError as exc:
            if not exc.stale:
                raise
            try:
                yield from self.attempt_once(
                    chosen_target, is_last, reuse=False
                )
            except target_error.TargetError as second:
                second.crashed = second.crashed or second.unreachable
                raise

    def attempt_once(
        self, chosen_target: target.Target, is_last: bool, reuse: bool
    ) -> Iterator[Part]:
        """Send the request to a target and yield its response."""
        with self.open_response(chosen_target, reuse) as response:
            self.refuse_busy(response, is_last)
            yield from self.forward_response(response)

    @contextlib.contextmanager
    def open_response(
        self, chosen_target: target.Target, reuse: bool
    ) -> Iterator[target_call.TargetResponse]:
        """Open a target's response and count the request as in flight."""
        self.state.load_view.record_start(chosen_target.name)
        try:
            with target_call.open_response(
                self.state.connections,
                self.state.clock,
                chosen_target,
                self.request,
                self.current_attempt,
                self.body_to_send(),
                reuse,
            ) as response:
                yield response
        finally:
            self.state.load_view.record_finish(chosen_target.name)

    def body_to_send(self) -> bytes:
        """Return the request body for the next attempt."""
        return self.request.body

    def refuse_busy(
        self, response: target_call.TargetResponse, is_last: bool
    ) -> None:
        """Raise `TargetError` for a retryable status before the last try."""
        if response.head.status not in RETRY_STATUSES or is_last:
            return
        message = f'{response.target_name} answered {response.head.status}.'
        error = target_error.TargetError(
            message, progress.Progress.MAY_HAVE_RUN
        )
        error.retry_after_s = response.retry_after_s
        raise error

    def forward_response(
        self, response: target_call.TargetResponse
    ) -> Iterator[Part]:
        """Buffer a small response until it is complete; stream a large one."""
        chunks: list[bytes] = []
        size = 0
        streaming = False
        for chunk in response.body():
            self.check_key()
            if not streaming and (
                self.state.clock.monotonic() > self.request.deadline
            ):
                raise target_error.TargetError(
                    f'{response.target_name} was too slow with its response.',
                    progress.Progress.MAY_HAVE_RUN,
                )
            if streaming:
                yield chunk
                continue
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                streaming = True
                yield response.head
                yield b''.join(chunks)
        self.current_attempt.advance(progress.Progress.RAN)
        self.count_usage()
        if not streaming:
            yield response.head
            yield b''.join(chunks)

    def count_usage(self) -> None:
        """Record the usage of a completed request."""
        tokens = int(self.used_tokens())
        usage = count.Count(1, tokens)
        self.state.usage.record(self.key_grant.workspace, usage)

    def check_key(self) -> None:
        """Raise `Unauthorized` if the key has been withdrawn meanwhile."""
        if not self.state.key_ring.is_in_force(self.key_grant):
            raise errors.Unauthorized('The key was withdrawn.')

    def choose_target(self) -> target.Target:
        """Choose the target of the next attempt.

        Targets that have failed are tried again once no other is left.

        Raises
        ------
        NoTarget
            The service has no running target.
        """
        chosen_target = self.state.chooser.choose(
            self.state.targets(self.request.service),
            self.state.place(),
            self.request.settings.target_concurrency,
            frozenset(self.tried_targets),
            self.affinity,
        )
        if chosen_target is None and self.tried_targets:
            self.tried_targets.clear()
            return self.choose_target()
        if chosen_target is None:
            message = f'{self.request.service} has no running target.'
            raise errors.NoTarget(message, retry_after_s=1.0)
        return chosen_target

    def may_retry(self, failure: target_error.TargetError) -> bool:
        """Return whether another attempt is allowed before the deadline."""
        if self.current_attempt.head is not None:
            return False
        self.refuse_quarantined()
        wait_s = failure.retry_after_s or 0.0
        return self.state.clock.monotonic() + wait_s < self.request.deadline

    def back_off(
        self, attempt_number: int, failure: target_error.TargetError
    ) -> None:
        """Wait before the next attempt, with exponential backoff and jitter.

        Retry-After is a lower bound. There is no wait if nothing was sent.
        """
        if failure.attempt_progress is progress.Progress.NOT_SENT:
            return
        max_delay_s = min(
            FIRST_BACKOFF_S * 2 ** (attempt_number - 1), MAX_BACKOFF_S
        )
        delay_s = random.uniform(0, max_delay_s) + (
            failure.retry_after_s or 0.0
        )
        remaining_s = self.request.deadline - self.state.clock.monotonic()
        self.state.clock.sleep(max(min(delay_s, remaining_s), 0.0))

    def count_attempt(
        self, chosen_target: target.Target, outcome: str
    ) -> None:
        """Count the outcome of an attempt in metrics and circuit breaker."""
        self.state.metrics.attempts.labels(self.request.service, outcome).inc()
        if outcome == 'answered':
            self.state.quarantine.record_served(self.digest)
            self.state.load_view.load_of(
                chosen_target.name
            ).circuit_breaker.record_success()

    def record_failure(
        self, chosen_target: target.Target, failure: target_error.TargetError
    ) -> None:
        """Record a failed attempt for its target and for the request.

        A crash of a target that is leaving is not held against the request.
        """
        self.tried_targets.add(chosen_target.name)
        self.state.load_view.load_of(
            chosen_target.name
        ).circuit_breaker.record_failure()
        if failure.crashed and self.is_running(chosen_target):
            self.state.quarantine.record_crash(self.digest, chosen_target.name)
        self.count_attempt(
            chosen_target, 'crashed' if failure.crashed else 'failed'
        )
        LOG.warning(
            'Attempt at a target failed: %s',
            failure.message,
            extra={
                'request': self.request.id,
                'workspace': self.key_grant.workspace,
                'service': self.request.service,
                'target': chosen_target.name,
                'kind': failure.kind,
            },
        )

    def is_running(self, chosen_target: target.Target) -> bool:
        """Return whether a target is listed as running."""
        targets = self.state.targets(self.request.service)
        return any(
            item.name == chosen_target.name and item.state == 'running'
            for item in targets
        )
