"""Steps of a training run when daemons, engines or the platform fail."""

import collections

import pytest

from chestnutshunt.rollout import sample_id
from chestnutshunt_standins import cluster
from chestnutshunt_standins import engine

RUN = 'coats'
STALENESS_BOUND = 2
GROUP_COUNT = 3
GROUP_SIZE = 3
TOKEN_COUNT = 8
PROMPTS = ['wool', 'waxed', 'cotton', 'poncho']
STEPS = [
    'run.before_samples',
    'run.after_samples',
    'run.after_copies',
    'run.after_manifest',
    'run.before_hand_over',
]


@pytest.fixture
def deployment(tmp_path):
    with cluster.cluster(tmp_path) as started:
        started.engines = [
            started.target('engine', 'model', 'marmara-a', f'engine-{number}')
            for number in range(3)
        ]
        started.scorer = started.target(
            'scorer', 'scores', 'marmara-a', 'scorer'
        )
        started.editor.set(
            'services/model',
            {
                'protocol': 'engine',
                'progress_timeout_s': 0.5,
                'retry_share': 1.0,
            },
        )
        started.editor.set('services/scores', {})
        started.token = started.workspace('workshop')
        started.editor.set(
            f'runs/{RUN}',
            {
                'service': 'model',
                'scorer': 'scores',
                'workspace': 'workshop',
                'groups': GROUP_COUNT,
                'group_size': GROUP_SIZE,
                'max_tokens': TOKEN_COUNT,
                'staleness_bound': STALENESS_BOUND,
                'prompts': PROMPTS,
            },
        )
        for name in ('one', 'two', 'three'):
            started.daemon(name)
        started.wait_ready()
        yield started


def start_trainer(deployment, steps=6, train_time=0.1):
    return deployment.standin(
        'trainer',
        'trainer',
        '--run',
        RUN,
        '--key',
        deployment.token,
        '--daemons',
        ','.join(item.caller for item in deployment.daemons),
        '--steps',
        str(steps),
        '--train-time',
        str(train_time),
    )


def find_coordinator(deployment):
    """Return whichever daemon coordinates the run, or None."""
    for item in deployment.daemons:
        if not item.ended() and RUN in item.dump()['coordinates']:
            return item
    return None


def check_steps(trainer, steps):
    """Check every guarantee for the steps that the trainer received."""
    received = trainer.log('step')
    assert [e['step'] for e in received] == list(range(1, steps + 1))
    sample_counts = collections.Counter()
    for event in received:
        assert len(event['samples']) == GROUP_COUNT * GROUP_SIZE
        assert event['staleness'] <= STALENESS_BOUND
        for item in event['samples']:
            check_sample(item, event['step'])
            sample_counts[(item['step'], item['group'], item['index'])] += 1
    assert set(sample_counts.values()) == {1}
    assert len(sample_counts) == steps * GROUP_COUNT * GROUP_SIZE


def check_sample(item, step):
    expected_id = sample_id.SampleId(RUN, step, item['group'], item['index'])
    assert (item['run'], item['step']) == (RUN, step)
    assert item['reward'] is not None
    versions = [
        version for version, _, count in item['versions'] for _ in range(count)
    ]
    assert len(item['tokens']) == len(versions) == TOKEN_COUNT
    for index, token in enumerate(item['tokens']):
        assert token == engine.expected_token(
            item['prompt'], expected_id.seed, index, versions[index]
        )


def wait_trained(trainer, limit=60.0):
    cluster.wait_until(lambda: trainer.log('trained'), 'trained', limit)


def test_plain_run(deployment):
    trainer = start_trainer(deployment)
    wait_trained(trainer)
    check_steps(trainer, 6)
    versions = {e['version'] for e in deployment.engines[0].log('version')}
    assert versions


@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('fault', ['kill', 'freeze'])
def test_coordinator_fails_at(deployment, step, fault):
    trainer = start_trainer(deployment)
    cluster.wait_until(lambda: trainer.log('step'), 'a first step')
    coordinator = cluster.wait_until(
        lambda: find_coordinator(deployment), 'a coordinator'
    )
    coordinator.arm(step)
    coordinator.wait_step(step)
    if fault == 'kill':
        coordinator.kill()
    else:
        coordinator.freeze()
    reached = len(trainer.log('step'))
    cluster.wait_until(
        lambda: len(trainer.log('step')) > reached, 'a further step'
    )
    if fault == 'freeze':
        coordinator.thaw()
        coordinator.release(step)
    wait_trained(trainer)
    check_steps(trainer, 6)


def test_platform_away_longer_than_a_lease(deployment):
    trainer = start_trainer(deployment, steps=12, train_time=0.4)
    cluster.wait_until(lambda: trainer.log('step'), 'a first step')
    cluster.wait_until(lambda: find_coordinator(deployment), 'a coordinator')
    deployment.platform.set_faults(down=True)
    before = len(trainer.log('step'))
    cluster.wait_until(
        lambda: len(trainer.log('step')) >= before + 3,
        'steps during the outage',
        15.0,
    )
    has_orphan = cluster.wait_until(
        lambda: any(
            item['orphaned']
            for d in deployment.daemons
            for item in d.dump()['coordinates'].values()
        ),
        'the lease has lapsed',
    )
    assert has_orphan
    deployment.platform.set_faults(down=False)
    wait_trained(trainer)
    check_steps(trainer, 12)


def test_engines_killed(deployment):
    trainer = start_trainer(deployment)
    cluster.wait_until(lambda: trainer.log('step'), 'a first step')
    deployment.engines[0].kill()
    deployment.engines[1].kill()
    wait_trained(trainer)
    check_steps(trainer, 6)


def test_swap_in_mid_sample(deployment):
    for item in deployment.engines:
        item.set_faults(token_time=0.03)
    trainer = start_trainer(deployment, steps=8, train_time=0.05)
    wait_trained(trainer)
    check_steps(trainer, 8)
    mixed = [
        item
        for event in trainer.log('step')
        for item in event['samples']
        if len(item['versions']) > 1
    ]
    assert mixed


def test_failed_swap_leaves_truthful_names_and_no_stale_sample(deployment):
    deployment.engines[0].set_faults(swap_fails=True)
    deployment.engines[1].set_faults(swap_time=0.3)
    trainer = start_trainer(deployment, steps=8)
    wait_trained(trainer)
    check_steps(trainer, 8)


def test_engine_that_hides_its_version_makes_no_sample(deployment):
    deployment.engines[0].set_faults(hide_version=True)
    trainer = start_trainer(deployment)
    wait_trained(trainer)
    check_steps(trainer, 6)


def test_scorer_fails_for_a_while(deployment):
    deployment.scorer.set_faults(status=500)
    trainer = start_trainer(deployment)
    cluster.wait_until(
        lambda: deployment.scorer.log('score'), 'a scoring call is made'
    )
    deployment.scorer.set_faults(status=200)
    wait_trained(trainer)
    check_steps(trainer, 6)


def test_same_step_again_gives_the_same_bytes(deployment):
    path = f'/v1/runs/{RUN}/steps/1?version=1'
    answers = {
        daemon.call(path, key=deployment.token, method='GET').data
        for daemon in deployment.daemons * 2
    }
    assert len(answers) == 1
    coordinator = cluster.wait_until(
        lambda: find_coordinator(deployment), 'a coordinator'
    )
    coordinator.kill()
    deployment.daemons.remove(coordinator)
    again = deployment.daemons[0].call(
        path, key=deployment.token, method='GET'
    )
    assert {again.data} == answers


def test_run_of_another_workspace_is_refused(deployment):
    other = deployment.workspace('other')
    deployment.wait_config()
    answer = deployment.daemons[0].call(
        f'/v1/runs/{RUN}/steps/1', key=other, method='GET'
    )
    assert answer.json()['error']['kind'] == 'forbidden'
