"""Servicer of the peer protocol, and the heartbeat messages."""

from collections.abc import Iterator
import logging

import grpc
from returns import result

from chestnutshunt.attempts import attempt
from chestnutshunt import errors
from chestnutshunt.mirror import mirror
from chestnutshunt.rollout import batch
from chestnutshunt_daemon import bulk
from chestnutshunt_daemon import node
from chestnutshunt_daemon import peer_codec
from chestnutshunt_daemon import remote_answer
from chestnutshunt_daemon.wire import peer_pb2
from chestnutshunt_daemon.wire import peer_pb2_grpc

__all__ = ['PeerService', 'apply_heartbeat', 'make_heartbeat', 'pull_from']

LOG = logging.getLogger(__name__)

PULL_TIMEOUT_S = 3.0
MAX_NAME_LENGTH = 256
MAX_REPORT_COUNT = 10_000
MAX_BULK_BYTES = 134_217_728


class PeerService(peer_pb2_grpc.PeerServicer):
    """Handles the calls of other daemons.

    Parameters
    ----------
    state : Node
        Shared state of the daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state

    def Beat(
        self, request: peer_pb2.Frame, context: grpc.ServicerContext
    ) -> peer_pb2.Frame:
        """Apply a heartbeat and reply with one of this daemon."""
        if not is_valid_heartbeat(request):
            context.abort(
                grpc.StatusCode.INVALID_ARGUMENT,
                'The heartbeat is malformed; name, incarnation, '
                'datacentre and address are required.',
            )
        apply_heartbeat(self.state, request)
        return make_heartbeat(self.state)

    def Pull(
        self, request: peer_pb2.PullRequest, context: grpc.ServicerContext
    ) -> Iterator[peer_pb2.ObjectBatch]:
        """Send the platform objects changed since the caller's revision."""
        changes = self.state.mirror.changes_since(request.revision)
        yield from peer_codec.encode_changes(changes)

    def Claim(
        self, request: peer_pb2.ClaimRequest, context: grpc.ServicerContext
    ) -> peer_pb2.ClaimReply:
        """Write a ledger entry as the daemon responsible for its shard."""
        candidate = peer_codec.decode_entry(request)
        try:
            outcome = self.state.ledger.claim(candidate)
        except ValueError:
            return peer_pb2.ClaimReply(failure='The identity is malformed.')
        match outcome:
            case result.Success(written):
                return peer_codec.encode_claim(written)
        return peer_pb2.ClaimReply(failure=str(outcome.failure()))

    def Join(
        self, request: peer_pb2.JoinRequest, context: grpc.ServicerContext
    ) -> Iterator[peer_pb2.AnswerPart]:
        """Send the response of an attempt of this daemon.

        Empty parts are sent as keepalives until the response begins.
        """
        attempts = self.state.attempts
        if attempts.is_abandoned(request.nonce):
            yield peer_pb2.AnswerPart(state=peer_pb2.AnswerPart.NEVER_SENT)
            return
        known_attempt = attempts.find(request.identity, request.nonce)
        if known_attempt is None:
            yield peer_pb2.AnswerPart(state=peer_pb2.AnswerPart.UNKNOWN)
            return
        deadline = self.state.clock.monotonic() + request.timeout_s
        yield peer_pb2.AnswerPart()
        while not known_attempt.wait_begun(remote_answer.HEARTBEAT_S):
            if self.state.clock.monotonic() >= deadline:
                break
            yield peer_pb2.AnswerPart()
        yield from answer_parts(known_attempt, request.timeout_s)

    def Fetch(
        self, request: peer_pb2.FetchRequest, context: grpc.ServicerContext
    ) -> Iterator[peer_pb2.Bytes]:
        """Send a stored batch in chunks."""
        data = self.state.batch_store.get(request.digest)
        if data is None:
            context.abort(
                grpc.StatusCode.NOT_FOUND, 'The batch is not stored here.'
            )
        for chunk in bulk.split_chunks(data):
            yield peer_pb2.Bytes(data=chunk)

    def Store(
        self,
        request_iterator: Iterator[peer_pb2.StoreRequest],
        context: grpc.ServicerContext,
    ) -> peer_pb2.StoreReply:
        """Store a replica of another daemon's batch.

        It is refused if it is too large or does not match its digest.
        """
        digest = ''
        parts: list[bytes] = []
        size = 0
        for request in request_iterator:
            digest = request.digest
            size += len(request.data)
            if size > MAX_BULK_BYTES:
                return peer_pb2.StoreReply(stored=False)
            parts.append(request.data)
        data = b''.join(parts)
        if batch.digest_of(data) != digest:
            return peer_pb2.StoreReply(stored=False)
        return peer_pb2.StoreReply(
            stored=self.state.batch_store.put(digest, data)
        )

    def KeepTallies(
        self, request: peer_pb2.TallyBatch, context: grpc.ServicerContext
    ) -> peer_pb2.TallyReply:
        """Store copies of another daemon's usage tallies."""
        self.state.usage.book.merge(peer_codec.decode_tallies(request))
        return peer_pb2.TallyReply()

    def GetTallies(
        self, request: peer_pb2.TallyRequest, context: grpc.ServicerContext
    ) -> peer_pb2.TallyBatch:
        """Send the usage tallies since the oldest window of the request."""
        tallies = self.state.usage.book.tallies_since(request.oldest_window)
        return peer_codec.encode_tallies(tallies)

    def GetStep(
        self, request: peer_pb2.StepRequest, context: grpc.ServicerContext
    ) -> Iterator[peer_pb2.StepPart]:
        """Send a step that this daemon coordinates.

        WAITING parts are sent as keepalives until the step is ready.
        """
        coordinator = self.state.coordinators.get(request.run)
        if coordinator is None:
            yield peer_pb2.StepPart(state=peer_pb2.StepPart.NOT_HERE)
            return
        deadline = self.state.clock.monotonic() + request.timeout_s
        data = None
        while data is None:
            if self.state.clock.monotonic() >= deadline:
                yield peer_pb2.StepPart(
                    state=peer_pb2.StepPart.FAILED,
                    failure='The step is not ready yet.',
                )
                return
            try:
                data = coordinator.hand_over(
                    request.step,
                    request.version,
                    request.cut_off,
                    remote_answer.HEARTBEAT_S,
                )
            except errors.NotHolder as exc:
                yield peer_pb2.StepPart(
                    state=peer_pb2.StepPart.NOT_HERE, failure=exc.message
                )
                return
            if data is None:
                yield peer_pb2.StepPart(state=peer_pb2.StepPart.WAITING)
        for chunk in bulk.split_chunks(data):
            yield peer_pb2.StepPart(data=chunk)
        yield peer_pb2.StepPart(state=peer_pb2.StepPart.WHOLE)


def answer_parts(
    known_attempt: attempt.Attempt, timeout_s: float
) -> Iterator[peer_pb2.AnswerPart]:
    """Yield the messages of a response that has begun."""
    try:
        head = known_attempt.wait_head(0.0)
        yield peer_pb2.AnswerPart(
            state=peer_pb2.AnswerPart.HEAD,
            status=head.status,
            headers=[
                peer_pb2.Header(name=name, value=value)
                for name, value in head.headers
            ],
        )
        for chunk in known_attempt.stream_body(
            timeout_s, remote_answer.HEARTBEAT_S
        ):
            yield peer_pb2.AnswerPart(body=chunk)
    except errors.ChestnutshuntError as exc:
        yield peer_pb2.AnswerPart(
            state=peer_pb2.AnswerPart.FAILED, failure=exc.message
        )
        return
    yield peer_pb2.AnswerPart(state=peer_pb2.AnswerPart.WHOLE)


def is_valid_heartbeat(frame: peer_pb2.Frame) -> bool:
    """Return whether a heartbeat is complete and within the size limits."""
    texts = (frame.name, frame.incarnation, frame.datacentre, frame.address)
    return (
        all(0 < len(text) <= MAX_NAME_LENGTH for text in texts)
        and len(frame.counts) <= MAX_REPORT_COUNT
        and len(frame.crashes) <= MAX_REPORT_COUNT
        and frame.revision >= 0
    )


def make_heartbeat(state: node.Node) -> peer_pb2.Frame:
    """Build the heartbeat of this daemon."""
    own = state.own
    frame = peer_pb2.Frame(
        name=own.name,
        incarnation=own.incarnation,
        datacentre=own.datacentre,
        address=own.address,
        admin_address=own.admin_address,
        leaving=state.draining.is_set(),
        revision=state.mirror.revision,
        platform_age_ms=state.freshness.age_ms(),
    )
    for name, count in state.load_view.snapshot().items():
        frame.counts.add(target=name, in_flight=count)
    for service, waiting in state.queue_snapshot().items():
        frame.queues.add(service=service, waiting=waiting)
    for digest, ages in state.quarantine.snapshot().items():
        frame.crashes.add(
            digest=digest, targets=ages.keys(), ages_s=ages.values()
        )
    return frame


def apply_heartbeat(state: node.Node, frame: peer_pb2.Frame) -> None:
    """Apply a peer's heartbeat to the shared state.

    A heartbeat that names a newer revision also causes a pull.
    """
    peer = peer_codec.decode_member(frame)
    state.directory.record_heartbeat(peer, frame.leaving)
    state.freshness.merge_peer_age(frame.platform_age_ms)
    counts = {item.target: item.in_flight for item in frame.counts}
    state.load_view.record_peer_report(peer.name, counts)
    waiting = {item.service: item.waiting for item in frame.queues}
    state.queue_view.record_peer_report(peer.name, waiting)
    crashes = {
        item.digest: dict(zip(item.targets, item.ages_s, strict=False))
        for item in frame.crashes
    }
    state.quarantine.merge_peer_report(crashes)
    state.metrics.heartbeats.labels('received').inc()
    if frame.revision > state.mirror.revision:
        pull_from(state, peer.address)


def pull_from(state: node.Node, address: str) -> bool:
    """Fetch newer platform objects from a peer; return True if applied."""
    request = peer_pb2.PullRequest(revision=state.mirror.revision)
    try:
        call = state.peer_clients.stub(address).Pull(
            request, timeout=PULL_TIMEOUT_S
        )
        batches = list(call)
        objects = tuple(
            peer_codec.decode_object(message)
            for batch in batches
            for message in batch.objects
        )
    except (grpc.RpcError, ValueError) as exc:
        LOG.warning(
            'Pull of platform objects from %s failed: %s',
            address,
            type(exc).__name__,
        )
        return False
    if not batches:
        return False
    changes = mirror.Changes(batches[0].through, objects, batches[0].whole)
    return state.mirror.apply(changes)
