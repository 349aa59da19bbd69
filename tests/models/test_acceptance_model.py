"""Acceptance of a job, whatever becomes of each write.

One job is submitted at two daemons, one after the other; the fates of the
writes come again in turn where there are more of them. Each write is made,
made without a reply, made seconds later, or refused; late ones take effect
between the submissions or at the end. A submission that was accepted is kept
whole; if every one was refused as not done, nothing is there in the end.
"""

import itertools

from returns import result

from chestnutshunt import errors
from chestnutshunt.jobs import acceptance
from chestnutshunt.jobs import job_codec
from chestnutshunt.store import memory_store
from tests.jobs import test_acceptance

FATES = ('made', 'lost', 'late', 'refused')

FIRST_WRITES = 5
"""Writes of one submission at most: items and acceptance, each repeated."""


class FatedStore(memory_store.MemoryStore):
    """Store whose writes fare as a list says."""

    def __init__(self, fates):
        super().__init__()
        self.fates = itertools.cycle(fates)
        self.late = []

    def put(self, kind, name, value, expected):
        fate = next(self.fates)
        if fate == 'refused':
            return result.Failure(errors.PlatformUnavailable('Refused.'))
        if fate == 'late':
            self.late.append((kind, name, value, expected))
            return result.Failure(errors.PlatformUncertain('No reply.'))
        made = super().put(kind, name, value, expected)
        if fate == 'lost':
            return result.Failure(errors.PlatformUncertain('No reply.'))
        return made

    def take_effect(self):
        for arguments in self.late:
            super().put(*arguments)
        self.late.clear()


def is_refusal(outcome):
    """Tell whether an outcome promises that nothing will run."""
    match outcome:
        case result.Failure(errors.PlatformUncertain()):
            return False
        case result.Failure(_):
            return True
    return False


def is_kept(fates, effect_between, accept=acceptance.accept):
    store = FatedStore(fates)
    held = test_acceptance.make_job()
    outcomes = [accept(store, held)]
    if effect_between:
        store.take_effect()
    outcomes.append(accept(store, held))
    store.take_effect()
    found = store.get(job_codec.JOB_KIND, held.id).unwrap()
    if any(isinstance(x, result.Success) for x in outcomes):
        if found is None:
            return False
        return acceptance.read_job(store, found.value) == result.Success(held)
    if all(is_refusal(x) for x in outcomes):
        return found is None
    return True


def histories():
    return itertools.product(
        itertools.product(FATES, repeat=FIRST_WRITES), (False, True)
    )


def test_every_fate_of_every_write():
    for fates, effect_between in histories():
        assert is_kept(fates, effect_between), (fates, effect_between)


def trusting(store, held):
    """Accept a job, but take a missing reply for a refusal."""
    outcome = acceptance.accept(store, held)
    match outcome:
        case result.Failure(errors.PlatformUncertain() as exc):
            return result.Failure(errors.PlatformUnavailable(exc.message))
    return outcome


def hasty(store, held):
    """Accept a job by its acceptance alone, without waiting for its items."""
    value = job_codec.encode_job(held, 1, ended=False)
    outcome = store.put(job_codec.JOB_KIND, held.id, value, 0)
    items = {'items': job_codec.encode_items(held.items)}
    store.put(job_codec.items_kind(held.id), '0000', items, 0)
    match outcome:
        case result.Failure(errors.Conflict()):
            return result.Success(False)
    return outcome.map(lambda _: True)


def test_the_model_notices_what_is_left_out():
    for accept in (trusting, hasty):
        kept = (is_kept(*history, accept) for history in histories())
        assert not all(kept), accept
