"""Response of a request that another daemon runs."""

from collections.abc import Iterator

import grpc

from chestnutshunt.attempts import answer_head
from chestnutshunt import errors
from chestnutshunt.ledger import entry
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon import silence_limit
from chestnutshunt_daemon.wire import peer_pb2

__all__ = ['answer_parts', 'never_sent']

# Interval of keepalive messages while a response is awaited.
HEARTBEAT_S = 0.5

# An owner that sends no message for this long is considered lost.
SILENCE_LIMIT_S = 3.0

CLAIM_QUERY_TIMEOUT_S = 2.0


def never_sent(
    peers: peer_clients.PeerClients, claim_entry: entry.Entry
) -> bool:
    """Ask a claim's owner whether it promises never to send the request.

    Returns False if the owner does not answer.
    """
    request = peer_pb2.JoinRequest(
        identity=claim_entry.identity,
        nonce=claim_entry.nonce,
        timeout_s=CLAIM_QUERY_TIMEOUT_S,
    )
    call = peers.stub(claim_entry.address).Join(
        request, timeout=CLAIM_QUERY_TIMEOUT_S
    )
    try:
        first = next(iter(call), None)
    except grpc.RpcError:
        return False
    finally:
        call.cancel()
    never_sent_state = peer_pb2.AnswerPart.NEVER_SENT
    return first is not None and first.state == never_sent_state


def answer_parts(
    peers: peer_clients.PeerClients, claim_entry: entry.Entry, timeout_s: float
) -> Iterator[answer_head.AnswerHead | bytes]:
    """Yield the response head and body chunks from a claim's owner.

    Raises
    ------
    OutcomeUnknown
        The owner is unreachable, silent or no longer has the response.
    """
    request = peer_pb2.JoinRequest(
        identity=claim_entry.identity,
        nonce=claim_entry.nonce,
        timeout_s=timeout_s,
    )
    call = peers.stub(claim_entry.address).Join(
        request, timeout=max(timeout_s, 0.01)
    )
    try:
        for part in silence_limit.cancel_when_silent(call, SILENCE_LIMIT_S):
            if part.state == peer_pb2.AnswerPart.HEAD:
                pairs = tuple((item.name, item.value) for item in part.headers)
                yield answer_head.AnswerHead(part.status, pairs)
            elif part.state == peer_pb2.AnswerPart.BODY:
                if part.body:
                    yield part.body
            elif part.state == peer_pb2.AnswerPart.WHOLE:
                return
            else:
                reason = part.failure or 'the response is no longer available'
                raise errors.OutcomeUnknown(f'{claim_entry.owner}: {reason}.')
    except grpc.RpcError as exc:
        message = f'{claim_entry.owner} does not answer ({exc.code()}).'
        raise errors.OutcomeUnknown(message) from exc
    finally:
        call.cancel()
    raise errors.OutcomeUnknown(
        f'{claim_entry.owner} ended the response early.'
    )
