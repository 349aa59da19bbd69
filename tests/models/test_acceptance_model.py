"""Model of job acceptance with every outcome of each write.

One job is submitted to two daemons, one after the other. Each write succeeds
(made), succeeds without a reply (lost), takes effect later without a reply
(late) or is refused; the list of outcomes repeats if there are more writes.
Late writes take effect between the submissions or at the end. If a submission
is accepted, the complete job must be stored; if both are refused as not
accepted, the job object must not exist in the end.
"""

import itertools

from returns import result

from chestnutshunt import errors
from chestnutshunt.jobs import acceptance
from chestnutshunt.jobs import job_codec
from chestnutshunt.store import memory_store
from tests.jobs import test_acceptance

OUTCOMES = ('made', 'lost', 'late', 'refused')

# Most writes of one submission: two of the items, three of the job object.
MAX_WRITE_COUNT = 5


class ScriptedStore(memory_store.MemoryStore):
    """Store whose writes have the outcomes given in a list."""

    def __init__(self, write_outcomes):
        super().__init__()
        self.write_outcomes = itertools.cycle(write_outcomes)
        self.late = []

    def put(self, kind, name, value, expected):
        write_outcome = next(self.write_outcomes)
        if write_outcome == 'refused':
            return result.Failure(errors.PlatformUnavailable('Refused.'))
        if write_outcome == 'late':
            self.late.append((kind, name, value, expected))
            return result.Failure(errors.PlatformUncertain('No reply.'))
        reply = super().put(kind, name, value, expected)
        if write_outcome == 'lost':
            return result.Failure(errors.PlatformUncertain('No reply.'))
        return reply

    def apply_late(self):
        for arguments in self.late:
            super().put(*arguments)
        self.late.clear()


def is_refusal(outcome):
    """Return whether an outcome states that the job is not accepted."""
    match outcome:
        case result.Failure(errors.PlatformUncertain()):
            return False
        case result.Failure(_):
            return True
    return False


def is_consistent(write_outcomes, apply_between, accept=acceptance.accept):
    store = ScriptedStore(write_outcomes)
    submitted = test_acceptance.make_job()
    outcomes = [accept(store, submitted)]
    if apply_between:
        store.apply_late()
    outcomes.append(accept(store, submitted))
    store.apply_late()
    stored = store.get(job_codec.JOB_KIND, submitted.id).unwrap()
    if any(isinstance(x, result.Success) for x in outcomes):
        if stored is None:
            return False
        return acceptance.read_job(store, stored.value) == result.Success(
            submitted
        )
    if all(is_refusal(x) for x in outcomes):
        return stored is None
    return True


def histories():
    return itertools.product(
        itertools.product(OUTCOMES, repeat=MAX_WRITE_COUNT), (False, True)
    )


def test_every_outcome_of_every_write():
    for write_outcomes, apply_between in histories():
        assert is_consistent(write_outcomes, apply_between), (
            write_outcomes,
            apply_between,
        )


def accept_lost_as_refused(store, submitted):
    """Accept a job, but treat a missing reply as a refusal."""
    outcome = acceptance.accept(store, submitted)
    match outcome:
        case result.Failure(errors.PlatformUncertain() as exc):
            return result.Failure(errors.PlatformUnavailable(exc.message))
    return outcome


def accept_before_items(store, submitted):
    """Accept a job by writing the job object before its items."""
    value = job_codec.encode_job(submitted, 1, ended=False)
    outcome = store.put(job_codec.JOB_KIND, submitted.id, value, 0)
    items = {'items': job_codec.encode_items(submitted.items)}
    store.put(job_codec.items_kind(submitted.id), '0000', items, 0)
    match outcome:
        case result.Failure(errors.Conflict()):
            return result.Success(False)
    return outcome.map(lambda _: True)


def test_the_model_detects_faulty_acceptance():
    for accept in (accept_lost_as_refused, accept_before_items):
        consistent = (
            is_consistent(*history, accept) for history in histories()
        )
        assert not all(consistent), accept
