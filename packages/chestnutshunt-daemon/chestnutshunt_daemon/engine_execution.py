"""Runs a request at model engines, resuming streams that break off."""

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
RECLAIMING = 'reclaiming'


@attrs.define(eq=False)
class EngineExecution(execution.Execution):
    """Streams an engine's lines as they come.

    A stream that breaks off is resumed at another engine after the tokens
    that were passed on; each line names the version that made it.
    """

    request_fields: dict[str, Any] = attrs.field(factory=dict)
    tokens: list[str] = attrs.field(factory=list)
    complete: bool = False
    checked_revision: int = -1

    def __attrs_post_init__(self) -> None:
        self.request_fields = parse_body(self.request.body)
        self.affinity = self.request_fields['prompt'][:AFFINITY_CHARACTERS]

    def cost(self) -> float:
        """Return the tokens the request may make, prompt included."""
        made = self.request_fields.get('max_tokens', DEFAULT_MAX_TOKENS)
        return float(made) + len(self.request_fields['prompt']) / 4

    def used_tokens(self) -> float:
        """Return the tokens that were made, prompt included."""
        return len(self.tokens) + len(self.request_fields['prompt']) / 4

    def body_to_send(self) -> bytes:
        """Return the request, with the tokens that are already there."""
        if not self.tokens:
            return self.request.body
        return json.dumps(
            {**self.request_fields, 'resume': self.tokens}
        ).encode()

    def forward_response(
        self, answer: target_call.TargetResponse
    ) -> Iterator[execution.Part]:
        """Yield whole lines as they come and check that the end was said."""
        if answer.head.status != 200:
            yield from super().pass_on(answer)
            return
        if self.current_attempt.head is None:
            yield answer.head
        pending = b''
        for chunk in answer.body():
            self.check_key()
            self.leave_reclaimed(answer)
            lines, separator, pending = (pending + chunk).rpartition(b'\n')
            if len(pending) > MAX_LINE_BYTES:
                raise self.broken(answer, 'sent an endless line')
            if separator:
                self.read_lines(answer, lines)
                yield lines + separator
        if not self.complete:
            raise self.broken(answer, 'ended without saying so')
        self.current_attempt.advance(progress.Progress.RAN)

    def leave_reclaimed(self, answer: target_call.TargetResponse) -> None:
        """Move on if the engine is about to be reclaimed."""
        revision = self.state.mirror.revision
        if revision == self.checked_revision:
            return
        self.checked_revision = revision
        listed = self.state.targets(self.request.service)
        states = {item.name: item.state for item in listed}
        if states.get(answer.target_name) != RECLAIMING:
            return
        if 'running' in states.values():
            raise target_error.TargetError(
                f'{answer.target_name} is about to be reclaimed.',
                progress.Progress.MAY_HAVE_RUN,
                moved=True,
            )

    def read_lines(
        self, answer: target_call.TargetResponse, lines: bytes
    ) -> None:
        """Collect the tokens of some lines."""
        for line in lines.split(b'\n'):
            try:
                fields = json.loads(line)
            except ValueError as exc:
                raise self.broken(answer, 'sent a malformed line') from exc
            if not isinstance(fields, dict):
                raise self.broken(answer, 'sent a malformed line')
            self.read_line(answer, fields)

    def read_line(
        self, answer: target_call.TargetResponse, fields: dict[str, Any]
    ) -> None:
        """Collect a token, or note the end of the answer."""
        if 'token' in fields:
            self.tokens.append(fields['token'])
        elif fields.get('done'):
            self.complete = True
            self.count_usage()

    def broken(
        self, answer: target_call.TargetResponse, reason: str
    ) -> target_error.TargetError:
        """Return the error of a stream that cannot be used further."""
        return target_error.TargetError(
            f'{answer.target_name} {reason}.', progress.Progress.MAY_HAVE_RUN
        )

    def may_retry(self, failure: target_error.TargetError) -> bool:
        """Allow a retry in mid-stream, since the stream is resumed."""
        self.refuse_quarantined()
        return self.state.clock.monotonic() < self.request.deadline


def parse_body(body: bytes) -> dict[str, Any]:
    """Return the fields of an engine request, raising `BadRequest`."""
    try:
        asked = json.loads(body)
    except ValueError as exc:
        raise errors.BadRequest('The body is not JSON.') from exc
    if not isinstance(asked, dict):
        raise errors.BadRequest('The body is not a JSON object.')
    if not isinstance(asked.get('prompt'), str):
        raise errors.BadRequest(
            'The field "prompt" is missing or no text.',
            'Send {"prompt": TEXT, "max_tokens": COUNT}.',
        )
    count = asked.get('max_tokens', DEFAULT_MAX_TOKENS)
    if type(count) is not int or not 0 < count <= 131_072:
        raise errors.BadRequest(
            'The field "max_tokens" is not a count.',
            'Send a whole number from 1 to 131072.',
        )
    return asked
