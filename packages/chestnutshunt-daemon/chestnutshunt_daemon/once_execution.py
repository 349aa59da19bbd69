"""Runs a request that may not be repeated, at most once."""

from collections.abc import Iterator
import logging

import attrs
import grpc
from returns import result

from chestnutshunt.attempts import progress
from chestnutshunt import errors
from chestnutshunt.ledger import claim
from chestnutshunt.ledger import entry
from chestnutshunt import steps
from chestnutshunt_daemon import execution
from chestnutshunt_daemon import peer_codec
from chestnutshunt_daemon import remote_answer
from chestnutshunt_daemon import target_error

__all__ = ['OnceExecution', 'identity_reused']

LOG = logging.getLogger(__name__)

CLAIM_MARGIN = 60.0
"""Seconds a claim outlives the deadline of its request, at least."""

CLAIM_TIMEOUT = 2.0
"""Seconds for a claim made by the home of the shard."""


@attrs.define(eq=False)
class OnceExecution(execution.Execution):
    """Claims the request in the ledger before it is sent.

    Only attempts that did not connect are repeated, under the same claim. A
    claim that was not used is released, and a resend that finds another
    execution's claim gets that execution's answer.
    """

    claimed: bool = False

    def reported_progress(self) -> progress.Progress:
        """Return what a refusal may truthfully say of the request.

        Until the claim is granted, an earlier send of the same request may
        have run at another daemon.
        """
        if self.claimed:
            return self.current_attempt.state
        return self.current_attempt.state.most(progress.Progress.MAY_HAVE_RUN)

    def try_targets(self) -> Iterator[execution.Part]:
        """Run the request here, or pass on the answer of its runner."""
        self.choose_target()
        holder = self.claim_request()
        if holder is not None:
            yield from self.answer_of(holder)
            return
        steps.reach('once.claimed')
        try:
            yield from self.run_claimed()
        finally:
            if self.current_attempt.state is progress.Progress.NOT_SENT:
                self.release()

    def run_claimed(self) -> Iterator[execution.Part]:
        """Send the request until a target has taken the connection."""
        for _ in range(self.request.settings.max_attempts):
            chosen = self.choose_target()
            try:
                with self.open_response(chosen, reuse=False) as answer:
                    yield from self.forward_response(answer)
                self.count_attempt(chosen, 'answered')
                return
            except target_error.TargetError as exc:
                self.record_failure(chosen, exc)
                if exc.attempt_progress is not progress.Progress.NOT_SENT:
                    raise errors.OutcomeUnknown(exc.message) from exc
                failure = exc
        raise errors.NoTarget(failure.message, retry_after=1.0)

    def claim_request(self) -> entry.Entry | None:
        """Claim the request; return the entry of another execution.

        Raises
        ------
        LedgerUnavailable
            The claim could not be recorded, so the request is not run.
        """
        steps.reach('once.identity_seen')
        wanted = self.make_entry(self.current_attempt.nonce)
        for _ in range(2):
            outcome = self.claim_at_home(wanted)
            if outcome.granted:
                self.claimed = True
                return None
            if outcome.held.body != self.digest:
                raise identity_reused()
            if not self.is_abandoned(outcome.held):
                return outcome.held
            unused = attrs.evolve(outcome.held, released=True)
            self.claim_at_home(unused)
        return outcome.held

    def make_entry(self, nonce: str) -> entry.Entry:
        """Return this execution's claim.

        It outlives the deadline, after which the request is not sent, so that
        a runner that was paused cannot run what has been claimed anew.
        """
        remaining = self.request.deadline - self.state.clock.monotonic()
        window = max(
            self.request.settings.once_window_s, remaining + CLAIM_MARGIN
        )
        return entry.Entry(
            identity=self.current_attempt.identity,
            nonce=nonce,
            owner=self.state.own.owner,
            address=self.state.own.address,
            body=self.digest,
            expires_at=self.state.clock.wall() + window,
        )

    def claim_at_home(self, wanted: entry.Entry) -> claim.Claim:
        """Have the home of the shard write an entry, or write it here.

        Writing here is as safe: the home only saves conflicts.
        """
        shard = self.state.ledger.shard_of(wanted.identity)
        home = self.state.directory.home_of(f'ledger/{shard}')
        if home.name != self.state.own.name:
            try:
                reply = self.state.peers.stub(home.address).Claim(
                    peer_codec.encode_entry(wanted), timeout=CLAIM_TIMEOUT
                )
                if not reply.failure:
                    return peer_codec.decode_claim(reply)
            except grpc.RpcError as exc:
                LOG.warning('Home %s failed: %s', home.name, exc.code())
                self.state.directory.suspect(home.name)
        written = self.state.ledger.claim(wanted)
        match written:
            case result.Success(outcome):
                return outcome
        self.state.attempts.abandon(wanted.nonce)
        raise written.failure()

    def release(self) -> None:
        """Give up a claim that was never used."""
        self.state.attempts.abandon(self.current_attempt.nonce)
        unused = attrs.evolve(
            self.make_entry(self.current_attempt.nonce), released=True
        )
        try:
            self.claim_at_home(unused)
        except errors.LedgerUnavailable as exc:
            LOG.warning('Claim not released: %s', exc)

    def is_abandoned(self, other: entry.Entry) -> bool:
        """Tell whether the holder of a claim says it was never used."""
        if other.owner == self.state.own.owner:
            return self.state.attempts.is_abandoned(other.nonce)
        return remote_answer.never_sent(self.state.peers, other)

    def answer_of(self, other: entry.Entry) -> Iterator[execution.Part]:
        """Yield the answer of the execution that holds the claim."""
        self.current_attempt.advance(progress.Progress.MAY_HAVE_RUN)
        remaining = self.request.deadline - self.state.clock.monotonic()
        if other.owner == self.state.own.owner:
            parts = self.local_parts(other, remaining)
        else:
            parts = remote_answer.answer_parts(
                self.state.peers, other, remaining
            )
        for part in parts:
            self.check_key()
            yield part
        self.current_attempt.advance(progress.Progress.RAN)

    def local_parts(
        self, other: entry.Entry, timeout: float
    ) -> Iterator[execution.Part]:
        """Yield the answer of another execution of this daemon."""
        local = self.state.attempts.find(other.identity, other.nonce)
        if local is None or local is self.current_attempt:
            raise errors.OutcomeUnknown('The answer is no longer kept.')
        yield local.wait_head(timeout)
        yield from local.follow(timeout)


def identity_reused() -> errors.BadRequest:
    """Return the error of a request under another request's identity."""
    error = errors.BadRequest(
        'The identity was used for another request.',
        'Send a new request under an identity of its own.',
    )
    error.ran = progress.Progress.NOT_SENT
    return error
