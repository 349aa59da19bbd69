"""Serves one request from the targets of its route's service."""

from collections.abc import Callable
import hashlib
import logging
import random

from chestnutshunt.attempts import progress
from chestnutshunt.deployment import route
from chestnutshunt import errors
from chestnutshunt.replicas import replica
from chestnutshunt_daemon.fleet import fleet_state
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

OFFER_SHARE = 0.2
"""Share of a route's goal within which busy targets are tried again; a
refusal within a quarter leaves time to come again."""

BUSY_PAUSE_S = 0.015
"""Seconds between two tries when all targets are busy."""

HEDGE_SHARE = 0.55
"""Share of a route's goal after which another target is asked beside a silent
one, so that a whole ordinary run still fits."""

MIN_READ_S = 0.02
"""Seconds that are left to read an answer that has begun at the deadline."""


class Forwarder:
    """Chooses targets, sends, retries, and says truly what has run.

    Parameters
    ----------
    state : FleetState
        The daemon.
    exchanger : Exchanger
        Sends single attempts.
    rng : Random
        Spreads retries and splits.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        exchanger: exchange.Exchanger,
        chance: random.Random,
    ) -> None:
        self.state = state
        self.exchanger = exchanger
        self.rng = chance

    def forward(
        self,
        request: target_request.TargetRequest,
        taken: route.Route,
        cutting: cancel_token.CancelToken,
        may_send: Callable[[], bool],
    ) -> forwarded_response.ForwardedResponse:
        """Return a target's whole answer.

        Parameters
        ----------
        request : TargetRequest
            What to send.
        taken : Route
            Its route.
        cutting : Cutter
            Knows whether the caller has left.
        may_send : callable
            Is asked right before each attempt whether the request is still
            allowed.

        Raises
        ------
        NoTarget, DeadlineTooShort
            The request has not run and will not.
        TargetFailed, OutcomeUnknown
            It may have run.
        """
        digest = request_digest(request)
        if self.state.quarantine.refuses(digest):
            raise errors.Quarantined('The request has crashed targets.')
        sending = forward_state.ForwardState(
            request=request,
            route=taken,
            service=taken.service_for(self.rng.random()),
            digest=digest,
            cancel_token=cutting,
            started_at=self.state.clock.monotonic(),
        )
        try:
            while True:
                self.start_attempt(sending, may_send)
                found = self.await_response(sending)
                if found is not None:
                    return found
        finally:
            for begun in list(sending.open_exchanges):
                self.close_exchange(sending, begun)

    def start_attempt(
        self, sending: forward_state.ForwardState, may_send: Callable[[], bool]
    ) -> None:
        """Send the request once more if that is due and possible.

        Raises if nothing is under way and nothing can be.
        """
        while True:
            if sending.cancel_token.cancelled.is_set():
                raise cancel_token.CallerLeft('The caller left.')
            if not may_send():
                if sending.open_exchanges:
                    self.postpone_hedge(sending)
                    return
                raise self.final_error(sending, 'It is no longer allowed.')
            chosen = self.choose_target(sending)
            if chosen is not None:
                if self.send(sending, chosen):
                    return
            elif sending.open_exchanges:
                self.postpone_hedge(sending)
                return
            else:
                self.wait_or_refuse(sending)

    def postpone_hedge(self, sending: forward_state.ForwardState) -> None:
        """Look for another target only after a while."""
        sending.sent_at = self.state.clock.monotonic()

    def choose_target(
        self, sending: forward_state.ForwardState
    ) -> replica.Replica | None:
        """Return the target of the next attempt, ``None`` if there is none."""
        if sending.may_have_run and not sending.is_idempotent:
            return None
        if self.state.quarantine.refuses(sending.digest):
            return None
        view = self.state.replicas
        if len(sending.reached_ids) < sending.route.attempts:
            fresh = view.choose(
                sending.service, sending.unavailable_ids | sending.reached_ids
            )
            if fresh is not None:
                return fresh
        if (
            sending.open_exchanges
            or len(sending.reached_ids) + sending.resend_count
            >= sending.route.attempts
        ):
            return None
        # All others are busy or gone: one that failed may be asked again.
        again = [
            held
            for held in view.serving(sending.service)
            if held.id in sending.reached_ids
            and held.id not in sending.unavailable_ids
        ]
        if not again:
            return None
        sending.resend_count += 1
        return min(again, key=view.cost)

    def send(
        self, sending: forward_state.ForwardState, chosen: replica.Replica
    ) -> bool:
        """Send the request to a target; return False if that failed."""
        self.state.replicas.begin(chosen)
        self.state.count_request(sending.request.workspace, 1)
        try:
            begun = self.exchanger.begin(
                chosen,
                sending.request,
                sending.is_idempotent,
                sending.cancel_token,
            )
        except target_error.TargetError as exc:
            self.state.replicas.end(chosen)
            if exc.progress is progress.Progress.NOT_SENT:
                self.state.count_request(sending.request.workspace, -1)
            self.record_failure(sending, chosen, exc)
            return False
        except BaseException:
            self.state.replicas.end(chosen)
            self.state.count_request(sending.request.workspace, -1)
            raise
        sending.may_have_run = True
        sending.reached_ids.add(chosen.id)
        sending.open_exchanges.append(begun)
        sending.sent_at = self.state.clock.monotonic()
        return True

    def await_response(
        self, sending: forward_state.ForwardState
    ) -> forwarded_response.ForwardedResponse | None:
        """Wait until a target answers or another is to be asked as well."""
        now = self.state.clock.monotonic()
        left = sending.request.deadline - now
        if left <= 0:
            raise errors.OutcomeUnknown('No target answered in time.')
        pause = left
        if self.may_hedge(sending):
            due = sending.sent_at + HEDGE_SHARE * sending.route.goal_s
            pause = min(left, max(due - now, 0.0))
        for begun in exchange.wait_any(sending.open_exchanges, pause):
            found = self.read_response(sending, begun)
            if found is not None:
                return found
        return None

    def may_hedge(self, sending: forward_state.ForwardState) -> bool:
        """Tell whether another target may be asked beside a silent one."""
        if (
            not sending.is_idempotent
            or len(sending.reached_ids) >= sending.route.attempts
        ):
            return False
        busy = sending.unavailable_ids | sending.reached_ids
        return self.state.replicas.choose(sending.service, busy) is not None

    def read_response(
        self,
        sending: forward_state.ForwardState,
        begun: open_exchange.OpenExchange,
    ) -> forwarded_response.ForwardedResponse | None:
        """Read an answer that has begun; return one that ends the request."""
        left = sending.request.deadline - self.state.clock.monotonic()
        try:
            answer = self.exchanger.read_head(begun, max(left, MIN_READ_S))
            found = forwarded_response.ForwardedResponse(
                answer.head, answer.headers, answer.body()
            )
        except target_error.TargetError as exc:
            self.close_exchange(sending, begun)
            self.record_failure(sending, begun.replica, exc)
            return None
        self.close_exchange(sending, begun)
        return self.check_response(sending, begun.replica, found)

    def close_exchange(
        self,
        sending: forward_state.ForwardState,
        begun: open_exchange.OpenExchange,
    ) -> None:
        """End an exchange."""
        sending.open_exchanges.remove(begun)
        self.exchanger.finish(begun)
        self.state.replicas.end(begun.replica)

    def wait_or_refuse(self, sending: forward_state.ForwardState) -> None:
        """Let busy targets be tried again for a while, or raise."""
        waited = self.state.clock.monotonic() - sending.started_at
        known = bool(self.state.replicas.serving(sending.service))
        if sending.may_have_run or not known:
            raise self.final_error(
                sending, f'No target of {sending.service} is left.'
            )
        if (
            not sending.unavailable_ids
            or waited > OFFER_SHARE * sending.route.goal_s
        ):
            raise self.final_error(
                sending, f'All targets of {sending.service} are busy.'
            )
        sending.unavailable_ids.clear()
        self.state.clock.sleep(BUSY_PAUSE_S)

    def final_error(
        self, sending: forward_state.ForwardState, message: str
    ) -> errors.ChestnutshuntError:
        """Return the error that ends a request."""
        if sending.may_have_run:
            return errors.TargetFailed(message)
        return refusals.no_target(message, self.rng)

    def record_failure(
        self,
        sending: forward_state.ForwardState,
        chosen: replica.Replica,
        exc: target_error.TargetError,
    ) -> None:
        """Note an attempt without a whole answer."""
        if sending.cancel_token.cancelled.is_set():
            raise cancel_token.CallerLeft(
                'The caller left while a target worked.'
            )
        sent = exc.progress is not progress.Progress.NOT_SENT
        self.log_attempt(
            sending, chosen, 'failed', error=exc.message, sent=sent
        )
        self.state.metrics.attempts.labels('failed').inc()
        if sent:
            sending.may_have_run = True
        if exc.stale:
            # The kept connection had ended; the target itself is sound.
            sending.reached_ids.discard(chosen.id)
            return
        self.state.replicas.state(chosen).breaker.failed()
        if not sent:
            sending.unavailable_ids.add(chosen.id)
            return
        sending.reached_ids.add(chosen.id)
        if exc.crashed:
            self.state.quarantine.note_crash(sending.digest, chosen.start)

    def check_response(
        self,
        sending: forward_state.ForwardState,
        chosen: replica.Replica,
        found: forwarded_response.ForwardedResponse,
    ) -> forwarded_response.ForwardedResponse | None:
        """Return an answer that ends the request."""
        view = self.state.replicas
        facts = found.head
        view.note_load(chosen, facts.running, facts.waiting)
        if facts.not_run:
            view.note_full(chosen)
            self.state.count_request(sending.request.workspace, -1)
            sending.unavailable_ids.add(chosen.id)
            sending.reached_ids.discard(chosen.id)
            sending.may_have_run = bool(sending.reached_ids)
            self.log_attempt(sending, chosen, 'not run', status=facts.status)
            self.state.metrics.attempts.labels('not_run').inc()
            return None
        if not facts.signature:
            self.log_attempt(sending, chosen, 'unsigned', status=facts.status)
            self.state.metrics.attempts.labels('unsigned').inc()
            return None
        seconds = self.state.clock.monotonic() - sending.sent_at
        self.log_attempt(
            sending,
            chosen,
            'answered',
            status=facts.status,
            seconds=round(seconds, 4),
        )
        self.state.metrics.attempts.labels('answered').inc()
        if facts.status < 500:
            view.state(chosen).breaker.succeeded()
        for begun in sending.open_exchanges:
            # It was asked earlier and is still silent.
            view.state(begun.replica).breaker.failed()
        return found

    def log_attempt(
        self,
        sending: forward_state.ForwardState,
        chosen: replica.Replica,
        outcome: str,
        **fields: object,
    ) -> None:
        """Log the outcome of an attempt and what it was decided by."""
        LOG.info(
            'Attempt',
            extra={
                'request': sending.request.id,
                'target': chosen.id,
                'load': self.state.replicas.load(chosen),
                'targets_age_s': round(self.state.replicas.mirror.age_s, 3),
                'outcome': outcome,
                **fields,
            },
        )


def request_digest(request: target_request.TargetRequest) -> str:
    """Return what identifies a request that is sent again."""
    made = hashlib.blake2b(digest_size=12)
    for part in (request.method, request.path, request.workspace):
        made.update(part.encode())
        made.update(b'\0')
    made.update(request.body)
    return made.hexdigest()
