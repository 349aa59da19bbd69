"""Execution of requests that must run at most once."""

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

# A claim outlives the deadline of its request by at least this time.
CLAIM_MARGIN_S = 60.0

# Deadline of a claim call to the daemon responsible for the shard.
CLAIM_TIMEOUT_S = 2.0


@attrs.define(eq=False)
class OnceExecution(execution.Execution):
    """Claims the request in the ledger before sending it.

    Only attempts that failed to connect are repeated, under the same claim.
    An unused claim is released. A resend that finds the claim of another
    execution gets the response of that execution.

    Attributes
    ----------
    claimed : bool
        True once this execution holds the claim.
    """

    claimed: bool = False

    def reported_progress(self) -> progress.Progress:
        """Return the progress to report to the caller in an error.

        Before the claim is granted, an earlier send of the same request may
        have run at another daemon.
        """
        if self.claimed:
            return self.current_attempt.state
        return self.current_attempt.state.furthest(
            progress.Progress.MAY_HAVE_RUN
        )

    def try_targets(self) -> Iterator[execution.Part]:
        """Run the request here, or forward the claim holder's response."""
        self.choose_target()
        holder = self.claim_request()
        if holder is not None:
            yield from self.holder_response(holder)
            return
        steps.reach('once.claimed')
        try:
            yield from self.run_claimed()
        finally:
            if self.current_attempt.state is progress.Progress.NOT_SENT:
                self.release()

    def run_claimed(self) -> Iterator[execution.Part]:
        """Try targets until a connection is established; send only once."""
        for _ in range(self.request.settings.max_attempts):
            chosen_target = self.choose_target()
            try:
                with self.open_response(
                    chosen_target, reuse=False
                ) as response:
                    yield from self.forward_response(response)
                self.count_attempt(chosen_target, 'answered')
                return
            except target_error.TargetError as exc:
                self.record_failure(chosen_target, exc)
                if exc.attempt_progress is not progress.Progress.NOT_SENT:
                    raise errors.OutcomeUnknown(exc.message) from exc
                failure = exc
        raise errors.NoTarget(failure.message, retry_after_s=1.0)

    def claim_request(self) -> entry.Entry | None:
        """Claim the request; return the entry of the holder if it is another.

        Raises
        ------
        LedgerUnavailable
            The claim could not be recorded, so the request is not run.
        """
        steps.reach('once.identity_seen')
        candidate = self.make_entry(self.current_attempt.nonce)
        for _ in range(2):
            outcome = self.write_entry(candidate)
            if outcome.granted:
                self.claimed = True
                return None
            if outcome.holder.body != self.digest:
                raise identity_reused()
            if not self.is_abandoned(outcome.holder):
                return outcome.holder
            released_entry = attrs.evolve(outcome.holder, released=True)
            self.write_entry(released_entry)
        return outcome.holder

    def make_entry(self, nonce: str) -> entry.Entry:
        """Return the ledger entry that claims the request.

        The claim outlives the deadline, after which the request is not sent.
        So an execution that was paused cannot run a request that has been
        claimed again since.
        """
        remaining_s = self.request.deadline - self.state.clock.monotonic()
        lifetime_s = max(
            self.request.settings.once_window_s, remaining_s + CLAIM_MARGIN_S
        )
        return entry.Entry(
            identity=self.current_attempt.identity,
            nonce=nonce,
            owner=self.state.own.owner,
            address=self.state.own.address,
            body=self.digest,
            expires_at=self.state.clock.wall() + lifetime_s,
        )

    def write_entry(self, candidate: entry.Entry) -> claim.Claim:
        """Write an entry through the daemon responsible for its shard.

        If that daemon fails, write it here. That is as safe: one writer for
        a shard only avoids write conflicts.
        """
        shard = self.state.ledger.shard_of(candidate.identity)
        shard_writer = self.state.directory.responsible_member(
            f'ledger/{shard}'
        )
        if shard_writer.name != self.state.own.name:
            try:
                reply = self.state.peer_clients.stub(
                    shard_writer.address
                ).Claim(
                    peer_codec.encode_entry(candidate), timeout=CLAIM_TIMEOUT_S
                )
                if not reply.failure:
                    return peer_codec.decode_claim(reply)
            except grpc.RpcError as exc:
                LOG.warning(
                    'Claim through peer %s failed: %s',
                    shard_writer.name,
                    exc.code(),
                )
                self.state.directory.mark_silent(shard_writer.name)
        claim_result = self.state.ledger.claim(candidate)
        match claim_result:
            case result.Success(outcome):
                return outcome
        self.state.attempts.abandon(candidate.nonce)
        raise claim_result.failure()

    def release(self) -> None:
        """Release the unused claim."""
        self.state.attempts.abandon(self.current_attempt.nonce)
        released_entry = attrs.evolve(
            self.make_entry(self.current_attempt.nonce), released=True
        )
        try:
            self.write_entry(released_entry)
        except errors.LedgerUnavailable as exc:
            LOG.warning('Unused claim not released: %s', exc)

    def is_abandoned(self, holder_entry: entry.Entry) -> bool:
        """Return whether the holder of a claim confirms it is unused."""
        if holder_entry.owner == self.state.own.owner:
            return self.state.attempts.is_abandoned(holder_entry.nonce)
        return remote_answer.never_sent(self.state.peer_clients, holder_entry)

    def holder_response(
        self, holder_entry: entry.Entry
    ) -> Iterator[execution.Part]:
        """Yield the response of the execution that holds the claim."""
        self.current_attempt.advance(progress.Progress.MAY_HAVE_RUN)
        remaining_s = self.request.deadline - self.state.clock.monotonic()
        if holder_entry.owner == self.state.own.owner:
            parts = self.local_parts(holder_entry, remaining_s)
        else:
            parts = remote_answer.answer_parts(
                self.state.peer_clients, holder_entry, remaining_s
            )
        for part in parts:
            self.check_key()
            yield part
        self.current_attempt.advance(progress.Progress.RAN)

    def local_parts(
        self, holder_entry: entry.Entry, timeout_s: float
    ) -> Iterator[execution.Part]:
        """Yield the response of another execution of this daemon."""
        local = self.state.attempts.find(
            holder_entry.identity, holder_entry.nonce
        )
        if local is None or local is self.current_attempt:
            raise errors.OutcomeUnknown('The response is no longer available.')
        yield local.wait_head(timeout_s)
        yield from local.stream_body(timeout_s)


def identity_reused() -> errors.BadRequest:
    """Return the error for an identity that another request has used."""
    error = errors.BadRequest(
        'The identity was already used for a different request.',
        'Send each request with an identity of its own.',
    )
    error.progress = progress.Progress.NOT_SENT
    return error
