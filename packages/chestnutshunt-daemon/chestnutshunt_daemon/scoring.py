"""Scores groups of samples at a scoring service."""

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

# Longest list of rewards.
MAX_REWARDS_BYTES = 1_048_576


def score_group(
    state: node.Node,
    settings: run_settings.RunSettings,
    group: list[sample.Sample],
) -> list[sample.Sample]:
    """Return the samples of a group with their rewards.

    Raises
    ------
    ChestnutshuntError
        The scoring service did not send one reward for each sample.
    """
    body = {
        'prompt': group[0].prompt,
        'answers': [list(item.tokens) for item in group],
    }
    request = sample_maker.request_for(
        state, settings.scorer, SCORE_PATH, json.dumps(body).encode()
    )
    run_grant = sample_maker.workspace_grant(state, settings.workspace)
    score_attempt = attempt.Attempt('', request.id)
    score_execution = execution.Execution(
        state, request, run_grant, score_attempt
    )
    data = b''
    for part in score_execution.parts():
        if isinstance(part, answer_head.AnswerHead):
            continue
        data += part
        if len(data) > MAX_REWARDS_BYTES:
            raise errors.TargetFailed(
                f'The scorer sent more than {MAX_REWARDS_BYTES} bytes.'
            )
    return [
        attrs.evolve(item, reward=reward)
        for item, reward in zip(
            group, parse_rewards(data, len(group)), strict=True
        )
    ]


def parse_rewards(data: bytes, count: int) -> list[float]:
    """Return the rewards of an answer, or raise `TargetFailed`."""
    try:
        rewards = [float(item) for item in json.loads(data)['rewards']]
    except (ValueError, TypeError, KeyError) as exc:
        raise errors.TargetFailed(
            'The scorer sent no list of rewards.'
        ) from exc
    if len(rewards) != count:
        raise errors.TargetFailed(
            f'The scorer sent {len(rewards)} rewards for {count} samples.'
        )
    return rewards
