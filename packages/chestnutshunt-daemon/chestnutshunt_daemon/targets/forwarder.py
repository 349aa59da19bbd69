"""Forwards requests to the targets of a service."""

from collections.abc import Callable
import hashlib
import logging
import random

from chestnutshunt.attempts import progress
from chestnutshunt.deployment import route
from chestnutshunt import errors
from chestnutshunt.replicas import replica
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import target_call
from chestnutshunt_daemon import target_error
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import exchange
from chestnutshunt_daemon.targets import forward_state
from chestnutshunt_daemon.targets import forwarded_response
from chestnutshunt_daemon.targets import open_exchange
from chestnutshunt_daemon.targets import refusals
from chestnutshunt_daemon.targets import target_request

__all__ = ['Forwarder', 'request_digest']

LOG = logging.getLogger(__name__)

# Part of a route's latency goal within which busy targets are tried again. A
# caller that is refused within a quarter of the goal has time for a retry.
BUSY_RETRY_RATIO = 0.2

# Delay before the next try when all targets are busy.
BUSY_RETRY_S = 0.015

# Part of a route's latency goal after which a hedged request is sent; the rest
# is enough for an ordinary run.
HEDGE_RATIO = 0.55

# Least time to read a response that has begun, even at the deadline.
MIN_READ_S = 0.02

# Longest time to read a response that has begun while another target could be
# asked instead, in seconds or as a part of the route's latency goal.
MAX_READ_S = 1.0
READ_RATIO = 4.0


class Forwarder:
    """Chooses targets, sends requests, and retries or hedges them.

    An error tells the caller whether the request may have run. Thread-safe.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    exchanger : Exchanger
        Sends single attempts.
    rng : Random
        Draws the split between services and the jitter of retries.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        exchanger: exchange.Exchanger,
        rng: random.Random,
    ) -> None:
        self.state = state
        self.exchanger = exchanger
        self.rng = rng

    def forward(
        self,
        request: target_request.TargetRequest,
        route: route.Route,
        token: cancel_token.CancelToken,
        may_send: Callable[[], bool],
        is_owed: bool = False,
    ) -> forwarded_response.ForwardedResponse:
        """Return the complete response of a target.

        Parameters
        ----------
        request : TargetRequest
            Request to send.
        route : Route
            Route of the request.
        token : CancelToken
            Is cancelled when the caller disconnects.
        may_send : callable
            Called before each attempt; tells whether the request is still
            allowed.
        is_owed : bool, optional
            Whether the request belongs to work that has been accepted for
            later. It is never taken for the cause of crashes.

        Raises
        ------
        NoTarget, Quarantined
            The request has not run and will not.
        TargetFailed, OutcomeUnknown
            The request may have run.
        CallerLeft
            The caller disconnected.
        """
        digest = request_digest(request)
        if not is_owed and self.state.quarantine.refuses(digest):
            raise errors.Quarantined('The request has crashed targets.')
        pending = forward_state.ForwardState(
            request=request,
            route=route,
            service=route.service_for(self.rng.random()),
            digest=digest,
            cancel_token=token,
            started_at=self.state.clock.monotonic(),
            is_owed=is_owed,
        )
        try:
            while True:
                self.start_attempt(pending, may_send)
                response = self.await_response(pending)
                if response is not None:
                    return response
        finally:
            for attempt in list(pending.open_exchanges):
                self.close_exchange(pending, attempt)

    def start_attempt(
        self, pending: forward_state.ForwardState, may_send: Callable[[], bool]
    ) -> None:
        """Send the request to another target if there is one.

        Raises
        ------
        ChestnutshuntError
            No attempt is in progress and none is possible.
        """
        while True:
            if pending.cancel_token.cancelled.is_set():
                raise cancel_token.CallerLeft('The caller disconnected.')
            if not may_send():
                if pending.open_exchanges:
                    self.postpone_hedge(pending)
                    return
                raise self.final_error(
                    pending, 'The request is no longer allowed.'
                )
            target = self.choose_target(pending)
            if target is not None:
                if self.send(pending, target):
                    return
            elif pending.open_exchanges:
                self.postpone_hedge(pending)
                return
            else:
                self.wait_or_refuse(pending)

    def postpone_hedge(self, pending: forward_state.ForwardState) -> None:
        """Restart the hedging delay, as no other target can be asked now."""
        pending.sent_at = self.state.clock.monotonic()

    def choose_target(
        self, pending: forward_state.ForwardState
    ) -> replica.Replica | None:
        """Return the target of the next attempt, ``None`` if there is none."""
        if pending.may_have_run and not pending.is_idempotent:
            return None
        if not pending.is_owed and self.state.quarantine.refuses(
            pending.digest
        ):
            return None
        view = self.state.replicas
        stale_target, pending.stale_target = pending.stale_target, None
        if stale_target in view.serving(pending.service):
            return stale_target
        if len(pending.reached_ids) < pending.route.max_attempts:
            untried = view.choose(
                pending.service, pending.unavailable_ids | pending.reached_ids
            )
            if untried is not None:
                return untried
        if (
            pending.open_exchanges
            or len(pending.reached_ids) + pending.resend_count
            >= pending.route.max_attempts
        ):
            return None
        # No other target is available: one that failed may be tried again.
        candidates = [
            candidate
            for candidate in view.serving(pending.service)
            if candidate.id in pending.reached_ids
            and candidate.id not in pending.unavailable_ids
        ]
        if not candidates:
            return None
        pending.resend_count += 1
        return min(candidates, key=view.cost)

    def send(
        self, pending: forward_state.ForwardState, target: replica.Replica
    ) -> bool:
        """Send the request to a target; return False on failure."""
        self.state.replicas.begin_request(target)
        self.state.count_request(pending.request.workspace, 1)
        try:
            attempt = self.exchanger.begin(
                target,
                pending.request,
                pending.is_idempotent
                and target.start_key not in pending.stale_keys,
                pending.cancel_token,
            )
        except target_error.TargetError as exc:
            self.state.replicas.end_request(target)
            if exc.attempt_progress is progress.Progress.NOT_SENT:
                self.state.count_request(pending.request.workspace, -1)
            self.record_failure(pending, target, exc)
            return False
        except BaseException:
            self.state.replicas.end_request(target)
            self.state.count_request(pending.request.workspace, -1)
            raise
        pending.may_have_run = True
        pending.reached_ids.add(target.id)
        pending.open_exchanges.append(attempt)
        pending.sent_at = self.state.clock.monotonic()
        return True

    def await_response(
        self, pending: forward_state.ForwardState
    ) -> forwarded_response.ForwardedResponse | None:
        """Wait for a response, at most until a hedged request is due."""
        now = self.state.clock.monotonic()
        remaining_s = pending.request.deadline - now
        if remaining_s <= 0:
            raise errors.OutcomeUnknown('No target answered in time.')
        timeout_s = remaining_s
        if self.may_hedge(pending):
            hedge_at = pending.sent_at + HEDGE_RATIO * pending.route.goal_s
            timeout_s = min(remaining_s, max(hedge_at - now, 0.0))
        for attempt in exchange.wait_any(pending.open_exchanges, timeout_s):
            response = self.read_response(pending, attempt)
            if response is not None:
                return response
        return None

    def may_hedge(self, pending: forward_state.ForwardState) -> bool:
        """Return whether a hedged request may be sent to another target."""
        if (
            not pending.is_idempotent
            or len(pending.reached_ids) >= pending.route.max_attempts
        ):
            return False
        excluded = pending.unavailable_ids | pending.reached_ids
        return (
            self.state.replicas.choose(pending.service, excluded) is not None
        )

    def read_response(
        self,
        pending: forward_state.ForwardState,
        attempt: open_exchange.OpenExchange,
    ) -> forwarded_response.ForwardedResponse | None:
        """Read a response that has begun; return it if it is final."""
        remaining_s = pending.request.deadline - self.state.clock.monotonic()
        remaining_s = max(remaining_s, MIN_READ_S)
        if self.may_hedge(pending):
            remaining_s = min(
                remaining_s, max(MAX_READ_S, READ_RATIO * pending.route.goal_s)
            )
        try:
            incoming = self.exchanger.read_head(attempt, remaining_s)
            body = incoming.body(
                remaining_s, cover=pending.request.cover_answer
            )
            response = forwarded_response.ForwardedResponse(
                incoming.head, incoming.headers, body
            )
        except target_error.TargetError as exc:
            self.close_exchange(pending, attempt)
            self.record_failure(pending, attempt.replica, exc)
            return None
        except errors.OutOfMemory as exc:
            # Its status would promise that the request has not run.
            raise errors.OutcomeUnknown(
                f'The response was dropped: {exc.message}'
            ) from exc
        self.close_exchange(pending, attempt)
        return self.check_response(pending, attempt.replica, response)

    def close_exchange(
        self,
        pending: forward_state.ForwardState,
        attempt: open_exchange.OpenExchange,
    ) -> None:
        """Finish an exchange and release its target."""
        pending.open_exchanges.remove(attempt)
        self.exchanger.finish(attempt)
        self.state.replicas.end_request(attempt.replica)

    def wait_or_refuse(self, pending: forward_state.ForwardState) -> None:
        """Make busy targets eligible again after a delay, or raise."""
        waited_s = self.state.clock.monotonic() - pending.started_at
        view = self.state.replicas
        has_targets = bool(view.serving(pending.service))
        if pending.may_have_run or not has_targets:
            raise self.final_error(
                pending, f'No target of {pending.service} is left.'
            )
        limited = [
            target
            for target in view.candidates(
                pending.service, pending.unavailable_ids
            )
            if self.state.rate_gate.is_limited(target)
        ]
        left_s = BUSY_RETRY_RATIO * pending.route.goal_s - waited_s
        if left_s < 0 or not (pending.unavailable_ids or limited):
            raise self.final_error(
                pending, f'All targets of {pending.service} are busy.'
            )
        pending.unavailable_ids.clear()
        if limited:
            self.state.rate_gate.wait(limited, pending.request.id, left_s)
        else:
            self.state.clock.sleep(BUSY_RETRY_S)

    def final_error(
        self, pending: forward_state.ForwardState, message: str
    ) -> errors.ChestnutshuntError:
        """Return the error that ends a request."""
        if pending.may_have_run:
            return errors.TargetFailed(message)
        return refusals.no_target(
            message, self.rng, self.state.permit_delay_s(pending.service)
        )

    def record_failure(
        self,
        pending: forward_state.ForwardState,
        target: replica.Replica,
        exc: target_error.TargetError,
    ) -> None:
        """Record an attempt without a complete response."""
        if pending.cancel_token.cancelled.is_set():
            raise cancel_token.CallerLeft(
                'The caller disconnected while a target worked.'
            )
        sent = exc.attempt_progress is not progress.Progress.NOT_SENT
        self.log_attempt(
            pending, target, 'failed', error=exc.message, sent=sent
        )
        self.state.metrics.attempts.labels('failed').inc()
        if sent:
            pending.may_have_run = True
        if exc.withheld:
            pending.unavailable_ids.add(target.id)
            return
        pending.reached_ids.update({target.id} if sent else ())
        if exc.stale:
            pending.stale_keys.add(target.start_key)
            pending.stale_target = target
            return
        self.state.replicas.state(target).breaker.record_failure()
        if exc.unreachable and target.start_key in pending.stale_keys:
            self.record_crash(pending, target)
        elif target_call.may_have_crashed(exc, target.id, target.address):
            self.record_crash(pending, target)
        if not sent:
            pending.unavailable_ids.add(target.id)

    def record_crash(
        self, pending: forward_state.ForwardState, target: replica.Replica
    ) -> None:
        """Record that a target crashed while it ran the request."""
        self.log_attempt(pending, target, 'crashed')
        if not pending.is_owed:
            self.state.quarantine.record_crash(
                pending.digest, target.start_key
            )

    def check_response(
        self,
        pending: forward_state.ForwardState,
        target: replica.Replica,
        response: forwarded_response.ForwardedResponse,
    ) -> forwarded_response.ForwardedResponse | None:
        """Return a response if it is final, ``None`` if not."""
        view = self.state.replicas
        head = response.head
        view.record_load(target, head.running, head.waiting)
        if head.not_run:
            if head.other_process and target.start_key in pending.stale_keys:
                self.record_crash(pending, target)
            view.record_rejection(target)
            self.state.count_request(pending.request.workspace, -1)
            pending.unavailable_ids.add(target.id)
            if target.start_key not in pending.stale_keys:
                pending.reached_ids.discard(target.id)
            pending.may_have_run = bool(pending.reached_ids)
            self.log_attempt(pending, target, 'not run', status=head.status)
            self.state.metrics.attempts.labels('not_run').inc()
            return None
        if not head.signature:
            self.log_attempt(pending, target, 'unsigned', status=head.status)
            self.state.metrics.attempts.labels('unsigned').inc()
            return None
        seconds = self.state.clock.monotonic() - pending.sent_at
        self.log_attempt(
            pending,
            target,
            'answered',
            status=head.status,
            seconds=round(seconds, 4),
        )
        self.state.metrics.attempts.labels('answered').inc()
        self.state.quarantine.record_served(pending.digest)
        if head.status < 500:
            view.state(target).breaker.record_success()
        for attempt in pending.open_exchanges:
            # Its target was tried earlier and has not answered yet.
            view.state(attempt.replica).breaker.record_failure()
        return response

    def log_attempt(
        self,
        pending: forward_state.ForwardState,
        target: replica.Replica,
        outcome: str,
        **fields: object,
    ) -> None:
        """Log the outcome of an attempt and the load that led to it."""
        LOG.info(
            'Attempt',
            extra={
                'request': pending.request.id,
                'target': target.id,
                'load': self.state.replicas.load(target),
                'targets_age_s': round(self.state.replicas.mirror.age_s, 3),
                'outcome': outcome,
                **fields,
            },
        )


def request_digest(request: target_request.TargetRequest) -> str:
    """Return a digest that is the same when a caller sends it again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.method, request.path, request.workspace):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()
