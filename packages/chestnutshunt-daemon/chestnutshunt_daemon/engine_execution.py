"""Execution of requests at model engines, with stream resumption."""

from collections.abc import Iterator
import json
from typing import Any

import attrs

from chestnutshunt.attempts import progress
from chestnutshunt import errors
from chestnutshunt_daemon import execution
from chestnutshunt_daemon import target_call
from chestnutshunt_daemon import target_error

__all__ = ['EngineExecution']

MAX_LINE_BYTES = 65_536
AFFINITY_CHARACTERS = 64
DEFAULT_MAX_TOKENS = 16
MAX_TOKEN_COUNT = 131_072
RECLAIMING = 'reclaiming'


@attrs.define(eq=False)
class EngineExecution(execution.Execution):
    """Streams the lines of an engine's response to the caller.

    An interrupted stream is resumed at another engine after the tokens that
    were already forwarded. Each line names the model version that generated
    its token.

    Attributes
    ----------
    request_fields : dict
        Decoded request body.
    tokens : list of str
        Tokens received so far, sent as ``resume`` to the next engine.
    complete : bool
        True once an engine has reported the end of the response.
    checked_revision : int
        Revision of the mirror at which the engine's state was last checked.
    """

    request_fields: dict[str, Any] = attrs.field(factory=dict)
    tokens: list[str] = attrs.field(factory=list)
    complete: bool = False
    checked_revision: int = -1

    def __attrs_post_init__(self) -> None:
        self.request_fields = parse_body(self.request.body)
        self.affinity = self.request_fields['prompt'][:AFFINITY_CHARACTERS]

    @property
    def max_tokens(self) -> int:
        """Largest number of tokens of the response."""
        return self.request_fields.get('max_tokens', DEFAULT_MAX_TOKENS)

    def cost(self) -> float:
        """Return the largest number of tokens, with the estimated prompt."""
        return float(self.max_tokens) + len(self.request_fields['prompt']) / 4

    def used_tokens(self) -> float:
        """Return the tokens generated, with the estimated prompt."""
        return len(self.tokens) + len(self.request_fields['prompt']) / 4

    def body_to_send(self) -> bytes:
        """Return the request body, with any tokens to resume after."""
        if not self.tokens:
            return self.request.body
        return json.dumps(
            {**self.request_fields, 'resume': self.tokens}
        ).encode()

    def forward_response(
        self, response: target_call.TargetResponse
    ) -> Iterator[execution.Part]:
        """Yield complete lines; the end of the stream must be reported."""
        if response.head.status != 200:
            yield from super().forward_response(response)
            return
        if self.current_attempt.head is None:
            yield response.head
        pending = b''
        for chunk in response.body():
            self.check_key()
            self.leave_reclaimed(response)
            lines, separator, pending = (pending + chunk).rpartition(b'\n')
            if len(pending) > MAX_LINE_BYTES:
                raise self.stream_error(
                    response, f'sent a line longer than {MAX_LINE_BYTES} bytes'
                )
            if separator:
                self.read_lines(response, lines)
                yield lines + separator
        if not self.complete:
            raise self.stream_error(
                response, 'ended the stream without reporting its end'
            )
        self.current_attempt.advance(progress.Progress.RAN)

    def leave_reclaimed(self, response: target_call.TargetResponse) -> None:
        """Leave an engine that is about to be reclaimed.

        Raises
        ------
        TargetError
            The engine is being reclaimed and another one is running.
        """
        revision = self.state.mirror.revision
        if revision == self.checked_revision:
            return
        self.checked_revision = revision
        targets = self.state.targets(self.request.service)
        states = {item.name: item.state for item in targets}
        if states.get(response.target_name) != RECLAIMING:
            return
        if 'running' in states.values():
            raise target_error.TargetError(
                f'{response.target_name} is about to be reclaimed.',
                progress.Progress.MAY_HAVE_RUN,
                moved=True,
            )

    def read_lines(
        self, response: target_call.TargetResponse, lines: bytes
    ) -> None:
        """Decode complete lines and collect their tokens."""
        for line in lines.split(b'\n'):
            try:
                fields = json.loads(line)
            except ValueError as exc:
                raise self.stream_error(
                    response, 'sent a malformed line'
                ) from exc
            if not isinstance(fields, dict):
                raise self.stream_error(response, 'sent a malformed line')
            self.read_line(response, fields)

    def read_line(
        self, response: target_call.TargetResponse, fields: dict[str, Any]
    ) -> None:
        """Collect a token or record the end of the response."""
        if 'token' in fields:
            if len(self.tokens) >= self.max_tokens:
                raise self.stream_error(
                    response, f'sent more than {self.max_tokens} tokens'
                )
            self.tokens.append(fields['token'])
        elif fields.get('done'):
            self.complete = True
            self.count_usage()

    def stream_error(
        self, response: target_call.TargetResponse, reason: str
    ) -> target_error.TargetError:
        """Return the error for a stream that cannot be continued."""
        return target_error.TargetError(
            f'{response.target_name} {reason}.', progress.Progress.MAY_HAVE_RUN
        )

    def may_retry(self, failure: target_error.TargetError) -> bool:
        """Allow retries after the head was sent, since streams are resumed."""
        self.refuse_quarantined()
        return self.state.clock.monotonic() < self.request.deadline


def parse_body(body: bytes) -> dict[str, Any]:
    """Decode and validate an engine request; raises `BadRequest`."""
    try:
        fields = json.loads(body)
    except ValueError as exc:
        raise errors.BadRequest('The request body is not valid JSON.') from exc
    if not isinstance(fields, dict):
        raise errors.BadRequest('The request body is not a JSON object.')
    if not isinstance(fields.get('prompt'), str):
        raise errors.BadRequest(
            'The field "prompt" is missing or not a string.',
            'Send {"prompt": TEXT, "max_tokens": COUNT}.',
        )
    count = fields.get('max_tokens', DEFAULT_MAX_TOKENS)
    if type(count) is not int or not 0 < count <= MAX_TOKEN_COUNT:
        raise errors.BadRequest(
            'The field "max_tokens" is not an integer from 1 to 131072.',
            'Send an integer from 1 to 131072.',
        )
    return fields
