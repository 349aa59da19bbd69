"""Scores whole groups at a scoring service."""

import json

import attrs

from chestnutshunt.attempts import answer_head
from chestnutshunt.attempts import attempt
from chestnutshunt.config import run_settings
from chestnutshunt import errors
from chestnutshunt.rollout import sample
from chestnutshunt_daemon import execution
from chestnutshunt_daemon import node
from chestnutshunt_daemon import sample_maker

__all__ = ['score_group']

SCORE_PATH = '/score'


def score_group(
    state: node.Node,
    settings: run_settings.RunSettings,
    group: list[sample.Sample],
) -> list[sample.Sample]:
    """Return the samples of a group with their rewards.

    Raises
    ------
    ChestnutshuntError
        The scoring service gave no reward for each sample.
    """
    body = {
        'prompt': group[0].prompt,
        'answers': [list(item.tokens) for item in group],
    }
    request = sample_maker.request_for(
        state, settings.scorer, SCORE_PATH, json.dumps(body).encode()
    )
    given = sample_maker.workspace_grant(state, settings.workspace)
    running = attempt.Attempt('', request.id)
    made = execution.Execution(state, request, given, running)
    data = b''.join(
        part
        for part in made.parts()
        if not isinstance(part, answer_head.AnswerHead)
    )
    return [
        attrs.evolve(item, reward=reward)
        for item, reward in zip(
            group, parse_rewards(data, len(group)), strict=True
        )
    ]


def parse_rewards(data: bytes, count: int) -> list[float]:
    """Return the rewards in an answer, raising `TargetFailed`."""
    try:
        rewards = [float(item) for item in json.loads(data)['rewards']]
    except (ValueError, TypeError, KeyError) as exc:
        raise errors.TargetFailed('The scorer sent no rewards.') from exc
    if len(rewards) != count:
        raise errors.TargetFailed('The scorer sent too few rewards.')
    return rewards
