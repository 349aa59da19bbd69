"""The answer of a request that another daemon runs."""

from collections.abc import Iterator

import grpc

from chestnutshunt.attempts import answer_head
from chestnutshunt import errors
from chestnutshunt.ledger import entry
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon import silence_limit
from chestnutshunt_daemon.wire import peer_pb2

__all__ = ['never_sent', 'answer_parts']

HEARTBEAT_S = 0.5
"""Seconds between the signs of life of an answer that is awaited."""

SILENCE_LIMIT = 3.0
"""Seconds without a sign of life after which the owner is given up."""

ASK_TIMEOUT = 2.0
"""Seconds until a daemon that does not say anything is given up."""


def never_sent(peers: peer_clients.PeerClients, held: entry.Entry) -> bool:
    """Ask a claim's owner whether it promises never to run it."""
    asked = peer_pb2.JoinRequest(
        identity=held.identity, nonce=held.nonce, timeout_s=ASK_TIMEOUT
    )
    call = peers.stub(held.address).Join(asked, timeout=ASK_TIMEOUT)
    try:
        first = next(iter(call), None)
    except grpc.RpcError:
        return False
    finally:
        call.cancel()
    never = peer_pb2.AnswerPart.NEVER_SENT
    return first is not None and first.state == never


def answer_parts(
    peers: peer_clients.PeerClients, held: entry.Entry, timeout: float
) -> Iterator[answer_head.AnswerHead | bytes]:
    """Yield head and body of the answer that a claim's owner has.

    Raises
    ------
    OutcomeUnknown
        The owner is gone, silent or has forgotten the answer.
    """
    asked = peer_pb2.JoinRequest(
        identity=held.identity, nonce=held.nonce, timeout_s=timeout
    )
    call = peers.stub(held.address).Join(asked, timeout=max(timeout, 0.01))
    try:
        for part in silence_limit.cancel_when_silent(call, SILENCE_LIMIT):
            if part.state == peer_pb2.AnswerPart.HEAD:
                pairs = tuple((item.name, item.value) for item in part.headers)
                yield answer_head.AnswerHead(part.status, pairs)
            elif part.state == peer_pb2.AnswerPart.BODY:
                if part.body:
                    yield part.body
            elif part.state == peer_pb2.AnswerPart.WHOLE:
                return
            else:
                reason = part.failure or 'its answer is no longer kept'
                raise errors.OutcomeUnknown(f'{held.owner}: {reason}.')
    except grpc.RpcError as exc:
        message = f'{held.owner} does not answer ({exc.code()}).'
        raise errors.OutcomeUnknown(message) from exc
    finally:
        call.cancel()
    raise errors.OutcomeUnknown(f'{held.owner} broke off.')
