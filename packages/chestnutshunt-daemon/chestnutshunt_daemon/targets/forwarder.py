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
from chestnutshunt_daemon.targets import begun_exchange
from chestnutshunt_daemon.targets import cutter
from chestnutshunt_daemon.targets import exchange
from chestnutshunt_daemon.targets import forwarded
from chestnutshunt_daemon.targets import forwarding
from chestnutshunt_daemon.targets import refusals
from chestnutshunt_daemon.targets import target_request

__all__ = ['Forwarder', 'digest_of']

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
    chance : Random
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
        self.chance = chance

    def forward(
        self,
        request: target_request.TargetRequest,
        taken: route.Route,
        cutting: cutter.Cutter,
        may_send: Callable[[], bool],
    ) -> forwarded.Forwarded:
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
        digest = digest_of(request)
        if self.state.quarantine.refuses(digest):
            raise errors.Quarantined('The request has crashed targets.')
        sending = forwarding.Forwarding(
            request=request,
            route=taken,
            service=taken.service_for(self.chance.random()),
            digest=digest,
            cutter=cutting,
            began=self.state.clock.monotonic(),
        )
        try:
            while True:
                self.start_attempt(sending, may_send)
                found = self.await_answer(sending)
                if found is not None:
                    return found
        finally:
            for begun in list(sending.open):
                self.close(sending, begun)

    def start_attempt(
        self, sending: forwarding.Forwarding, may_send: Callable[[], bool]
    ) -> None:
        """Send the request once more if that is due and possible.

        Raises if nothing is under way and nothing can be.
        """
        while True:
            if sending.cutter.left.is_set():
                raise cutter.CallerLeft('The caller left.')
            if not may_send():
                if sending.open:
                    self.put_off(sending)
                    return
                raise self.refusal(sending, 'It is no longer allowed.')
            chosen = self.choose(sending)
            if chosen is not None:
                if self.send(sending, chosen):
                    return
            elif sending.open:
                self.put_off(sending)
                return
            else:
                self.wait_or_refuse(sending)

    def put_off(self, sending: forwarding.Forwarding) -> None:
        """Look for another target only after a while."""
        sending.sent_at = self.state.clock.monotonic()

    def choose(self, sending: forwarding.Forwarding) -> replica.Replica | None:
        """Return the target of the next attempt, ``None`` if there is none."""
        if sending.may_have_run and not sending.repeatable:
            return None
        if self.state.quarantine.refuses(sending.digest):
            return None
        view = self.state.replicas
        if len(sending.reached) < sending.route.attempts:
            fresh = view.choose(
                sending.service, sending.refused | sending.reached
            )
            if fresh is not None:
                return fresh
        if (
            sending.open
            or len(sending.reached) + sending.resent >= sending.route.attempts
        ):
            return None
        # All others are busy or gone: one that failed may be asked again.
        again = [
            held
            for held in view.serving(sending.service)
            if held.id in sending.reached and held.id not in sending.refused
        ]
        if not again:
            return None
        sending.resent += 1
        return min(again, key=view.cost)

    def send(
        self, sending: forwarding.Forwarding, chosen: replica.Replica
    ) -> bool:
        """Send the request to a target; return False if that failed."""
        self.state.replicas.begin(chosen)
        self.state.count_request(sending.request.workspace, 1)
        try:
            begun = self.exchanger.begin(
                chosen, sending.request, sending.repeatable, sending.cutter
            )
        except target_error.TargetError as exc:
            self.state.replicas.end(chosen)
            if exc.attempt_progress is progress.Progress.NOT_SENT:
                self.state.count_request(sending.request.workspace, -1)
            self.note_failure(sending, chosen, exc)
            return False
        except BaseException:
            self.state.replicas.end(chosen)
            self.state.count_request(sending.request.workspace, -1)
            raise
        sending.may_have_run = True
        sending.reached.add(chosen.id)
        sending.open.append(begun)
        sending.sent_at = self.state.clock.monotonic()
        return True

    def await_answer(
        self, sending: forwarding.Forwarding
    ) -> forwarded.Forwarded | None:
        """Wait until a target answers or another is to be asked as well."""
        now = self.state.clock.monotonic()
        left = sending.request.deadline - now
        if left <= 0:
            raise errors.OutcomeUnknown('No target answered in time.')
        pause = left
        if self.may_hedge(sending):
            due = sending.sent_at + HEDGE_SHARE * sending.route.goal_s
            pause = min(left, max(due - now, 0.0))
        for begun in exchange.wait_any(sending.open, pause):
            found = self.read(sending, begun)
            if found is not None:
                return found
        return None

    def may_hedge(self, sending: forwarding.Forwarding) -> bool:
        """Tell whether another target may be asked beside a silent one."""
        if (
            not sending.repeatable
            or len(sending.reached) >= sending.route.attempts
        ):
            return False
        busy = sending.refused | sending.reached
        return self.state.replicas.choose(sending.service, busy) is not None

    def read(
        self, sending: forwarding.Forwarding, begun: begun_exchange.Begun
    ) -> forwarded.Forwarded | None:
        """Read an answer that has begun; return one that ends the request."""
        left = sending.request.deadline - self.state.clock.monotonic()
        try:
            answer = self.exchanger.answer(begun, max(left, MIN_READ_S))
            found = forwarded.Forwarded(
                answer.facts, answer.headers, answer.body()
            )
        except target_error.TargetError as exc:
            self.close(sending, begun)
            self.note_failure(sending, begun.replica, exc)
            return None
        self.close(sending, begun)
        return self.judge(sending, begun.replica, found)

    def close(
        self, sending: forwarding.Forwarding, begun: begun_exchange.Begun
    ) -> None:
        """End an exchange."""
        sending.open.remove(begun)
        self.exchanger.finish(begun)
        self.state.replicas.end(begun.replica)

    def wait_or_refuse(self, sending: forwarding.Forwarding) -> None:
        """Let busy targets be tried again for a while, or raise."""
        waited = self.state.clock.monotonic() - sending.began
        known = bool(self.state.replicas.serving(sending.service))
        if sending.may_have_run or not known:
            raise self.refusal(
                sending, f'No target of {sending.service} is left.'
            )
        if not sending.refused or waited > OFFER_SHARE * sending.route.goal_s:
            raise self.refusal(
                sending, f'All targets of {sending.service} are busy.'
            )
        sending.refused.clear()
        self.state.clock.sleep(BUSY_PAUSE_S)

    def refusal(
        self, sending: forwarding.Forwarding, message: str
    ) -> errors.ChestnutshuntError:
        """Return the error that ends a request."""
        if sending.may_have_run:
            return errors.TargetFailed(message)
        return refusals.not_run(message, self.chance)

    def note_failure(
        self,
        sending: forwarding.Forwarding,
        chosen: replica.Replica,
        exc: target_error.TargetError,
    ) -> None:
        """Note an attempt without a whole answer."""
        if sending.cutter.left.is_set():
            raise cutter.CallerLeft('The caller left while a target worked.')
        sent = exc.attempt_progress is not progress.Progress.NOT_SENT
        self.log(sending, chosen, 'failed', error=exc.message, sent=sent)
        self.state.metrics.attempts.labels('failed').inc()
        if sent:
            sending.may_have_run = True
        if exc.stale:
            # The kept connection had ended; the target itself is sound.
            sending.reached.discard(chosen.id)
            return
        self.state.replicas.state(chosen).breaker.failed()
        if not sent:
            sending.refused.add(chosen.id)
            return
        sending.reached.add(chosen.id)
        if exc.crashed:
            self.state.quarantine.note_crash(sending.digest, chosen.start)

    def judge(
        self,
        sending: forwarding.Forwarding,
        chosen: replica.Replica,
        found: forwarded.Forwarded,
    ) -> forwarded.Forwarded | None:
        """Return an answer that ends the request."""
        view = self.state.replicas
        facts = found.facts
        view.note_load(chosen, facts.running, facts.waiting)
        if facts.not_run:
            view.note_full(chosen)
            self.state.count_request(sending.request.workspace, -1)
            sending.refused.add(chosen.id)
            sending.reached.discard(chosen.id)
            sending.may_have_run = bool(sending.reached)
            self.log(sending, chosen, 'not run', status=facts.status)
            self.state.metrics.attempts.labels('not_run').inc()
            return None
        if not facts.signature:
            self.log(sending, chosen, 'unsigned', status=facts.status)
            self.state.metrics.attempts.labels('unsigned').inc()
            return None
        seconds = self.state.clock.monotonic() - sending.sent_at
        self.log(
            sending,
            chosen,
            'answered',
            status=facts.status,
            seconds=round(seconds, 4),
        )
        self.state.metrics.attempts.labels('answered').inc()
        if facts.status < 500:
            view.state(chosen).breaker.succeeded()
        for begun in sending.open:
            # It was asked earlier and is still silent.
            view.state(begun.replica).breaker.failed()
        return found

    def log(
        self,
        sending: forwarding.Forwarding,
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


def digest_of(request: target_request.TargetRequest) -> str:
    """Return what identifies a request that is sent again."""
    made = hashlib.blake2b(digest_size=12)
    for part in (request.method, request.path, request.workspace):
        made.update(part.encode())
        made.update(b'\0')
    made.update(request.body)
    return made.hexdigest()
