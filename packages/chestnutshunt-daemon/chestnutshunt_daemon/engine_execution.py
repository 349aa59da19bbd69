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

    asked: dict[str, Any] = attrs.field(factory=dict)
    tokens: list[str] = attrs.field(factory=list)
    whole: bool = False
    revision: int = -1

    def __attrs_post_init__(self) -> None:
        self.asked = parse_body(self.request.body)
        self.affinity = self.asked['prompt'][:AFFINITY_CHARACTERS]

    def cost(self) -> float:
        """Return the tokens the request may make, prompt included."""
        made = self.asked.get('max_tokens', DEFAULT_MAX_TOKENS)
        return float(made) + len(self.asked['prompt']) / 4

    def made(self) -> float:
        """Return the tokens that were made, prompt included."""
        return len(self.tokens) + len(self.asked['prompt']) / 4

    def body_to_send(self) -> bytes:
        """Return the request, with the tokens that are already there."""
        if not self.tokens:
            return self.request.body
        return json.dumps({**self.asked, 'resume': self.tokens}).encode()

    def pass_on(
        self, answer: target_call.TargetAnswer
    ) -> Iterator[execution.Part]:
        """Yield whole lines as they come and check that the end was said."""
        if answer.head.status != 200:
            yield from super().pass_on(answer)
            return
        if self.running.head is None:
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
        if not self.whole:
            raise self.broken(answer, 'ended without saying so')
        self.running.advance(progress.Progress.RAN)

    def leave_reclaimed(self, answer: target_call.TargetAnswer) -> None:
        """Move on if the engine is about to be reclaimed."""
        revision = self.held.mirror.revision
        if revision == self.revision:
            return
        self.revision = revision
        listed = self.held.targets(self.request.service)
        states = {item.name: item.state for item in listed}
        if states.get(answer.name) != RECLAIMING:
            return
        if 'running' in states.values():
            raise target_error.TargetError(
                f'{answer.name} is about to be reclaimed.',
                progress.Progress.MAY_HAVE_RUN,
                moved=True,
            )

    def read_lines(
        self, answer: target_call.TargetAnswer, lines: bytes
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
        self, answer: target_call.TargetAnswer, fields: dict[str, Any]
    ) -> None:
        """Collect a token, or note the end of the answer."""
        if 'token' in fields:
            self.tokens.append(fields['token'])
        elif fields.get('done'):
            self.whole = True
            self.count_usage()

    def broken(
        self, answer: target_call.TargetAnswer, reason: str
    ) -> target_error.TargetError:
        """Return the error of a stream that cannot be used further."""
        return target_error.TargetError(
            f'{answer.name} {reason}.', progress.Progress.MAY_HAVE_RUN
        )

    def may_retry(self, failure: target_error.TargetError) -> bool:
        """Allow a retry in mid-stream, since the stream is resumed."""
        self.refuse_quarantined()
        return self.held.clock.monotonic() < self.request.deadline


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
