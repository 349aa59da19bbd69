"""Generates one sample at the engines of a run."""

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
    """Records the weight version that generated each token.

    Attributes
    ----------
    cancelled : Event
        Set when another copy of the sample is complete.
    loader : WeightLoader
        Records the version that each engine runs.
    versions : list of int
        Weight version of each token.
    """

    cancelled: threading.Event = attrs.field(factory=threading.Event)
    loader: weight_loader.WeightLoader | None = None
    versions: list[int] = attrs.field(factory=list)

    def check_key(self) -> None:
        """Raise if the sample is cancelled."""
        if self.cancelled.is_set():
            raise errors.NotReady('Another copy of the sample is complete.')

    def read_line(
        self, answer: target_call.TargetResponse, fields: dict
    ) -> None:
        """Record the version of a token, which must name one.

        Each change of version is passed to the loader.
        """
        if 'token' in fields and type(fields.get('version')) is not int:
            raise target_error.TargetError(
                f'Target {answer.target_name} sent a token without a version.',
                progress.Progress.MAY_HAVE_RUN,
            )
        super().read_line(answer, fields)
        if 'token' not in fields:
            return
        if not self.versions or self.versions[-1] != fields['version']:
            self.loader.record_version(answer.target_name, fields['version'])
        self.versions.append(fields['version'])


def make_sample(
    state: node.Node,
    settings: run_settings.RunSettings,
    sample_key: sample_id.SampleId,
    cancelled: threading.Event,
    loader: weight_loader.WeightLoader,
    oldest_version: int,
) -> sample.Sample:
    """Generate a sample, waiting for an engine in its service's queue.

    Parameters
    ----------
    state : Node
        State of the daemon.
    settings : RunSettings
        Settings of the run.
    sample_key : SampleId
        Id of the sample.
    cancelled : Event
        Ends the generation when it is set.
    loader : WeightLoader
        Knows the weight versions of the engines.
    oldest_version : int
        Oldest weight version that the sample may have.

    Raises
    ------
    ChestnutshuntError
        No engine sent a complete answer that names its versions.
    """
    prompts = settings.prompts or ('',)
    prompt = prompts[
        (sample_key.step * settings.groups + sample_key.group) % len(prompts)
    ]
    body = {
        'prompt': prompt,
        'seed': sample_key.seed,
        'max_tokens': settings.max_tokens,
    }
    request = request_for(
        state, settings.service, settings.call_path, json.dumps(body).encode()
    )
    run_grant = workspace_grant(state, settings.workspace)
    sample_attempt = attempt.Attempt('', request.id)
    execution = SampleExecution(
        state,
        request,
        run_grant,
        sample_attempt,
        cancelled=cancelled,
        loader=loader,
    )
    execution.tried_targets.update(loader.engines_older_than(oldest_version))
    for _ in execution.parts():
        pass
    if (
        sample_attempt.state is not progress.Progress.RAN
        or not execution.versions
    ):
        raise errors.TargetFailed(
            'The engine rejected the request of the sample.'
        )
    ranges = version_range.ranges_of(execution.versions)
    return sample.Sample(sample_key, prompt, tuple(execution.tokens), ranges)


def request_for(
    state: node.Node, service: str, path: str, body: bytes
) -> caller_request.CallerRequest:
    """Return a request of the daemon itself, due in `timeout_s`."""
    settings = state.current_tree().settings(f'services/{service}')
    return caller_request.CallerRequest(
        id='own',
        service=service,
        settings=settings,
        method='POST',
        path=path,
        headers={'content-type': 'application/json'},
        body=body,
        deadline=state.clock.monotonic() + settings.timeout_s,
    )


def workspace_grant(state: node.Node, workspace: str) -> grant.Grant:
    """Return the grant under which a run's requests are made."""
    settings = state.current_tree().settings(f'workspaces/{workspace}')
    return grant.Grant(workspace, '', settings)
