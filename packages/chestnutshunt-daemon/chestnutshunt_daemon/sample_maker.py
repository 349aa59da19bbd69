"""Makes one sample at the engines of a run."""

import json
import threading

import attrs

from chestnutshunt.admission import grant
from chestnutshunt.attempts import attempt
from chestnutshunt.attempts import progress
from chestnutshunt.config import run_settings
from chestnutshunt import errors
from chestnutshunt.rollout import sample
from chestnutshunt.rollout import sample_id
from chestnutshunt.rollout import version_range
from chestnutshunt_daemon import caller_request
from chestnutshunt_daemon import engine_execution
from chestnutshunt_daemon import node
from chestnutshunt_daemon import target_call
from chestnutshunt_daemon import target_error
from chestnutshunt_daemon import weight_loader

__all__ = ['make_sample', 'request_for']


@attrs.define(eq=False)
class SampleExecution(engine_execution.EngineExecution):
    """Collects which version made each token.

    Attributes
    ----------
    cancelled : Event
        Set when another copy of the sample is whole.
    loader : WeightLoader
        Is told which version each engine runs.
    """

    cancelled: threading.Event = attrs.field(factory=threading.Event)
    loader: weight_loader.WeightLoader | None = None
    versions: list[int] = attrs.field(factory=list)

    def check_key(self) -> None:
        """Stop when another copy has won."""
        if self.cancelled.is_set():
            raise errors.NotReady('Another copy of the sample is whole.')

    def read_line(
        self, answer: target_call.TargetResponse, fields: dict
    ) -> None:
        """Collect a token, which must name its version."""
        if 'token' in fields and type(fields.get('version')) is not int:
            raise target_error.TargetError(
                f'{answer.target_name} does not say which version it runs.',
                progress.Progress.MAY_HAVE_RUN,
            )
        super().read_line(answer, fields)
        if 'token' not in fields:
            return
        if not self.versions or self.versions[-1] != fields['version']:
            self.loader.observe(answer.target_name, fields['version'])
        self.versions.append(fields['version'])


def make_sample(
    held: node.Node,
    settings: run_settings.RunSettings,
    place: sample_id.SampleId,
    cancelled: threading.Event,
    loader: weight_loader.WeightLoader,
    oldest: int,
) -> sample.Sample:
    """Make a sample, waiting for an engine in the queue of its service.

    Parameters
    ----------
    state : Node
        The daemon.
    settings : RunSettings
        What the run wants.
    place : SampleId
        Which sample.
    cancelled : Event
        Stops the work when it is set.
    loader : WeightLoader
        Knows the versions of the engines.
    oldest : int
        Oldest version that the sample may have.

    Raises
    ------
    ChestnutshuntError
        The engines gave no whole answer that names its versions.
    """
    prompts = settings.prompts or ('',)
    prompt = prompts[
        (place.step * settings.groups + place.group) % len(prompts)
    ]
    body = {
        'prompt': prompt,
        'seed': place.seed,
        'max_tokens': settings.max_tokens,
    }
    request = request_for(
        held, settings.service, settings.call_path, json.dumps(body).encode()
    )
    given = workspace_grant(held, settings.workspace)
    running = attempt.Attempt('', request.id)
    made = SampleExecution(
        held, request, given, running, cancelled=cancelled, loader=loader
    )
    made.tried_targets.update(loader.older_than(oldest))
    for _ in made.parts():
        pass
    if running.state is not progress.Progress.RAN or not made.versions:
        raise errors.TargetFailed('The engine refused the sample.')
    ranges = version_range.ranges_of(made.versions)
    return sample.Sample(place, prompt, tuple(made.tokens), ranges)


def request_for(
    held: node.Node, service: str, path: str, body: bytes
) -> caller_request.CallerRequest:
    """Return a request that the daemon makes for itself."""
    settings = held.current_tree().settings(f'services/{service}')
    return caller_request.CallerRequest(
        id='own',
        service=service,
        settings=settings,
        method='POST',
        path=path,
        headers={'content-type': 'application/json'},
        body=body,
        deadline=held.clock.monotonic() + settings.timeout_s,
    )


def workspace_grant(held: node.Node, workspace: str) -> grant.Grant:
    """Return the grant under which a run's own requests are made."""
    settings = held.current_tree().settings(f'workspaces/{workspace}')
    return grant.Grant(workspace, '', settings)
