"""Steps of a training run, under failing daemons, engines and platform."""

import collections

import pytest

from chestnutshunt.rollout import sample_id
from chestnutshunt_standins import cluster
from chestnutshunt_standins import engine

RUN = 'coats'
BOUND = 2
GROUPS = 3
GROUP_SIZE = 3
TOKENS = 8
PROMPTS = ['wool', 'waxed', 'cotton', 'poncho']
STEPS = [
    'run.before_samples',
    'run.after_samples',
    'run.after_copies',
    'run.after_manifest',
    'run.before_hand_over',
]


@pytest.fixture
def farm(tmp_path):
    with cluster.cluster(tmp_path) as made:
        made.engines = [
            made.target('engine', 'model', 'marmara-a', f'engine-{number}')
            for number in range(3)
        ]
        made.scorer = made.target('scorer', 'scores', 'marmara-a', 'scorer')
        made.editor.set(
            'services/model',
            {
                'protocol': 'engine',
                'progress_timeout_s': 0.5,
                'retry_share': 1.0,
            },
        )
        made.editor.set('services/scores', {})
        made.token = made.workspace('workshop')
        made.editor.set(
            f'runs/{RUN}',
            {
                'service': 'model',
                'scorer': 'scores',
                'workspace': 'workshop',
                'groups': GROUPS,
                'group_size': GROUP_SIZE,
                'max_tokens': TOKENS,
                'staleness_bound': BOUND,
                'prompts': PROMPTS,
            },
        )
        for name in ('one', 'two', 'three'):
            made.daemon(name)
        made.wait_ready()
        yield made


def start_trainer(farm, steps=6, train_time=0.1):
    return farm.standin(
        'trainer',
        'trainer',
        '--run',
        RUN,
        '--key',
        farm.token,
        '--daemons',
        ','.join(item.caller for item in farm.daemons),
        '--steps',
        str(steps),
        '--train-time',
        str(train_time),
    )


def coordinator(farm):
    """Return the daemon that coordinates, whichever took the lease first."""
    for item in farm.daemons:
        if not item.ended() and RUN in item.dump()['coordinates']:
            return item
    return None


def check(trainer, steps):
    """Hold what the trainer received against every promise."""
    received = trainer.log('step')
    assert [e['step'] for e in received] == list(range(1, steps + 1))
    seen = collections.Counter()
    for event in received:
        assert len(event['samples']) == GROUPS * GROUP_SIZE
        assert event['staleness'] <= BOUND
        for item in event['samples']:
            check_sample(item, event['step'])
            seen[(item['step'], item['group'], item['index'])] += 1
    assert set(seen.values()) == {1}
    assert len(seen) == steps * GROUPS * GROUP_SIZE


def check_sample(item, step):
    place = sample_id.SampleId(RUN, step, item['group'], item['index'])
    assert (item['run'], item['step']) == (RUN, step)
    assert item['reward'] is not None
    versions = [
        version for version, _, count in item['versions'] for _ in range(count)
    ]
    assert len(item['tokens']) == len(versions) == TOKENS
    for index, token in enumerate(item['tokens']):
        assert token == engine.expected_token(
            item['prompt'], place.seed, index, versions[index]
        )


def wait_trained(trainer, limit=60.0):
    cluster.wait_until(lambda: trainer.log('trained'), 'trained', limit)


def test_plain_run(farm):
    trainer = start_trainer(farm)
    wait_trained(trainer)
    check(trainer, 6)
    versions = {e['version'] for e in farm.engines[0].log('version')}
    assert versions


@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('fault', ['kill', 'freeze'])
def test_coordinator_fails_at(farm, step, fault):
    trainer = start_trainer(farm)
    cluster.wait_until(lambda: trainer.log('step'), 'a first step')
    held = cluster.wait_until(lambda: coordinator(farm), 'a coordinator')
    held.arm(step)
    held.wait_step(step)
    if fault == 'kill':
        held.kill()
    else:
        held.freeze()
    reached = len(trainer.log('step'))
    cluster.wait_until(
        lambda: len(trainer.log('step')) > reached, 'a further step'
    )
    if fault == 'freeze':
        held.thaw()
        held.release(step)
    wait_trained(trainer)
    check(trainer, 6)


def test_platform_away_longer_than_a_lease(farm):
    trainer = start_trainer(farm, steps=12, train_time=0.4)
    cluster.wait_until(lambda: trainer.log('step'), 'a first step')
    cluster.wait_until(lambda: coordinator(farm), 'a coordinator')
    farm.platform.set_faults(down=True)
    before = len(trainer.log('step'))
    cluster.wait_until(
        lambda: len(trainer.log('step')) >= before + 3,
        'steps during the outage',
        15.0,
    )
    orphan = cluster.wait_until(
        lambda: any(
            item['orphaned']
            for d in farm.daemons
            for item in d.dump()['coordinates'].values()
        ),
        'the lease has lapsed',
    )
    assert orphan
    farm.platform.set_faults(down=False)
    wait_trained(trainer)
    check(trainer, 12)


def test_engines_killed(farm):
    trainer = start_trainer(farm)
    cluster.wait_until(lambda: trainer.log('step'), 'a first step')
    farm.engines[0].kill()
    farm.engines[1].kill()
    wait_trained(trainer)
    check(trainer, 6)


def test_swap_in_mid_sample(farm):
    for item in farm.engines:
        item.set_faults(token_time=0.03)
    trainer = start_trainer(farm, steps=8, train_time=0.05)
    wait_trained(trainer)
    check(trainer, 8)
    mixed = [
        item
        for event in trainer.log('step')
        for item in event['samples']
        if len(item['versions']) > 1
    ]
    assert mixed


def test_failed_swap_leaves_truthful_names_and_no_stale_sample(farm):
    farm.engines[0].set_faults(swap_fails=True)
    farm.engines[1].set_faults(swap_time=0.3)
    trainer = start_trainer(farm, steps=8)
    wait_trained(trainer)
    check(trainer, 8)


def test_engine_that_hides_its_version_makes_no_sample(farm):
    farm.engines[0].set_faults(hide_version=True)
    trainer = start_trainer(farm)
    wait_trained(trainer)
    check(trainer, 6)


def test_scorer_fails_for_a_while(farm):
    farm.scorer.set_faults(status=500)
    trainer = start_trainer(farm)
    cluster.wait_until(lambda: farm.scorer.log('score'), 'scoring is tried')
    farm.scorer.set_faults(status=200)
    wait_trained(trainer)
    check(trainer, 6)


def test_same_step_again_gives_the_same_bytes(farm):
    path = f'/v1/runs/{RUN}/steps/1?version=1'
    answers = {
        daemon.call(path, key=farm.token, method='GET').data
        for daemon in farm.daemons * 2
    }
    assert len(answers) == 1
    held = cluster.wait_until(lambda: coordinator(farm), 'a coordinator')
    held.kill()
    farm.daemons.remove(held)
    again = farm.daemons[0].call(path, key=farm.token, method='GET')
    assert {again.data} == answers


def test_run_of_another_workspace_is_refused(farm):
    other = farm.workspace('other')
    farm.wait_config()
    answer = farm.daemons[0].call(
        f'/v1/runs/{RUN}/steps/1', key=other, method='GET'
    )
    assert answer.json()['error']['kind'] == 'forbidden'
