"""A job is accepted exactly once, even if replies to writes are lost."""

import json

import attrs
from returns import result as outcome

from chestnutshunt import errors
from chestnutshunt.jobs import acceptance
from chestnutshunt.jobs import item
from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_codec
from chestnutshunt.jobs import score_call
from chestnutshunt.store import memory_store
from tests import late_store


def make_job(items=3, size=10):
    call = score_call.ScoreCall('s', 'h', '/p/', b'\x00\xff')
    entries = tuple(
        item.Item(f'i{n}', '/p/', {'A': 'b'}, b'x' * size, 'g', 5, call)
        for n in range(items)
    )
    return job.Job('j', 'h', '/p/', 'w', 12.5, entries, 4, 'm', 3, 2)


def test_an_accepted_job_is_read_back_unchanged():
    store = memory_store.MemoryStore()
    submitted = make_job()
    assert acceptance.accept(store, submitted).unwrap() is True
    value = store.get(job_codec.JOB_KIND, 'j').unwrap().value
    assert acceptance.read_job(store, value).unwrap() == submitted


def test_a_second_submission_reports_that_it_was_accepted_before():
    store = memory_store.MemoryStore()
    acceptance.accept(store, make_job()).unwrap()
    assert acceptance.accept(store, make_job()).unwrap() is False


def test_a_large_job_is_stored_in_parts():
    store = memory_store.MemoryStore()
    submitted = make_job(items=5, size=300_000)
    acceptance.accept(store, submitted).unwrap()
    value = store.get(job_codec.JOB_KIND, 'j').unwrap().value
    assert value['parts'] > 1
    assert acceptance.read_job(store, value).unwrap() == submitted


# The store takes objects of up to 1 MiB: a job with a larger item was refused
# however often it was submitted.
def test_an_item_larger_than_an_object_is_stored_in_pieces():
    store = memory_store.MemoryStore()
    sizes = (10, 2_500_000, 10, 700_000, 1_200_000)
    entries = tuple(
        item.Item(f'i{n}', '/p/', {'A': '"\\'}, b'x' * size, 'g')
        for n, size in enumerate(sizes)
    )
    entries += (item.Item('q', '/p/', {'A': '"' * 900_000}, b''),)
    submitted = attrs.evolve(make_job(), items=entries)
    assert acceptance.accept(store, submitted).unwrap() is True
    value = store.get(job_codec.JOB_KIND, 'j').unwrap().value
    assert acceptance.read_job(store, value).unwrap() == submitted
    parts = store.list_kind(job_codec.items_kind('j')).unwrap().objects
    assert len(parts) == value['parts']
    assert all(len(json.dumps(part.value)) < 1_048_000 for part in parts)


def test_a_refused_job_is_not_stored():
    store = memory_store.MemoryStore()
    store.down = True
    match acceptance.accept(store, make_job()):
        case outcome.Failure(errors.PlatformUnavailable()):
            pass
        case other:
            raise AssertionError(other)
    store.down = False
    assert store.get(job_codec.JOB_KIND, 'j').unwrap() is None


def test_a_lost_reply_is_resolved_by_a_second_create():
    store = late_store.LateStore()
    submitted = make_job()
    kind = job_codec.items_kind('j')
    value = {'items': job_codec.encode_items(submitted.items)}
    store.put(kind, '0000', value, 0).unwrap()
    original = store.put

    def delay_acceptance(kind, name, value, expected):
        if kind == job_codec.JOB_KIND and not store.late:
            store.hold_next = True
        return original(kind, name, value, expected)

    store.put = delay_acceptance
    assert acceptance.accept(store, submitted).unwrap() is True
    before = store.get(job_codec.JOB_KIND, 'j').unwrap()
    store.release()
    assert store.get(job_codec.JOB_KIND, 'j').unwrap() == before


def test_an_unresolved_create_is_reported_as_uncertain():
    store = late_store.LateStore()
    original = store.put

    def delay_acceptance(kind, name, value, expected):
        store.hold_next = kind == job_codec.JOB_KIND
        return original(kind, name, value, expected)

    store.put = delay_acceptance
    match acceptance.accept(store, make_job()):
        case outcome.Failure(errors.PlatformUncertain()):
            pass
        case other:
            raise AssertionError(other)


def test_a_lost_reply_for_the_items_does_not_refuse_the_job():
    """Refusing the job for this made a trainer wait 3.5 s for it."""
    store = memory_store.MemoryStore()
    store.lose_replies = 1
    assert acceptance.accept(store, make_job()).unwrap() is True


def test_two_lost_replies_for_the_acceptance_are_resolved():
    store = late_store.LateStore()
    original = store.put
    delayed = []

    def delay_two(kind, name, value, expected):
        if kind == job_codec.JOB_KIND and len(delayed) < 2:
            delayed.append(name)
            store.hold_next = True
        return original(kind, name, value, expected)

    store.put = delay_two
    assert acceptance.accept(store, make_job()).unwrap() is True
