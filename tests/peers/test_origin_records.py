"""Origins of streams that hubs write to the store, and read from it."""

import pytest

from chestnutshunt import manual_clock
from chestnutshunt.replicas import replica
from chestnutshunt.store import memory_store
from chestnutshunt.streams import stream_origin
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.peers import origin_reader
from chestnutshunt_daemon.peers import origin_recorder
from tests import fleet_parts
from tests import late_store

V1, V2 = (stream_origin.StreamOrigin('s', name) for name in ('v1', 'v2'))
KIND = fleet_state.ORIGIN_KIND


class Hub:
    """The parts of one hub that record origins."""

    def __init__(self, store, clock=None, software=('v1', 'v2')):
        self.clock = clock or manual_clock.ManualClock()
        self.state = fleet_parts.make_state(self.clock)
        self.store = store
        self.recorder = origin_recorder.OriginRecorder(self.state, store)
        self.reader = origin_reader.OriginReader(self.state, store)
        self.register(*software)

    def register(self, *software):
        fleet_parts.register(
            self.state,
            *(
                replica.Replica(f't-{x}', 's', '127.0.0.1:1', 'a', software=x)
                for x in software
            ),
        )

    def write(self, **origins):
        self.recorder.add(origins)
        self.recorder.write_once()

    def found(self, *names):
        return [self.reader.find(name) for name in names]

    def pages(self):
        return self.store.list_kind(KIND).unwrap().objects


@pytest.fixture
def store():
    return memory_store.MemoryStore()


# Guards against LOST: after the loss of all daemons, nobody knew at which of
# two software versions a stream had begun.
def test_a_new_process_finds_what_others_wrote(store):
    Hub(store).write(a=V1, b=V2)
    Hub(store).write(c=V2)
    assert Hub(store).found('a', 'b', 'c', 'd') == [V1, V2, V2, None]


def test_nothing_is_written_while_one_version_serves(store):
    hub = Hub(store, software=['v1'])
    hub.write(a=V1)
    assert store.calls == 0
    # Its streams may still run when another version comes.
    hub.register('v1', 'v2')
    hub.write()
    assert Hub(store).found('a') == [V1]


def test_streams_are_written_for_a_minute_after_a_version_left(store):
    hub = Hub(store)
    hub.register('v2')
    hub.clock.advance(59.0)
    hub.write(a=V2)
    assert len(hub.pages()) == 1
    hub.clock.advance(2.0)
    hub.write(b=V2)
    assert len(hub.pages()) == 1


def test_an_outage_of_the_store_only_delays(store):
    hub = Hub(store)
    store.down = True
    hub.write(a=V1)
    assert hub.found('a') == [None]
    store.down = False
    hub.write(b=V2)
    # It is asked again only after a while.
    assert hub.found('a') == [None]
    hub.clock.advance(origin_reader.RETRY_S)
    assert hub.found('a', 'b') == [V1, V2]


def test_a_lost_reply_writes_a_page_once(store):
    hub = Hub(store)
    store.lose_replies = 1
    hub.write(a=V1)
    hub.write(b=V1)
    assert len(hub.pages()) == 2
    assert hub.found('a', 'b') == [V1, V1]


# A write without a reply takes effect after the next one was tried, or after
# its process has ended.
@pytest.mark.parametrize('is_ended', [False, True])
def test_a_late_write_replaces_nothing(is_ended):
    store = late_store.LateStore()
    hub = Hub(store)
    store.hold_next = True
    hub.write(a=V1)
    assert hub.pages() == ()
    next_hub = Hub(store) if is_ended else hub
    if is_ended:
        next_hub.write(b=V2)
    store.release()
    next_hub.write(b=V2, c=V2)
    assert Hub(store).found('a', 'b', 'c') == [V1, V2, V2]


def test_pages_are_bounded_in_number_and_size(store, monkeypatch):
    monkeypatch.setattr(origin_recorder, 'PAGE_COUNT', 3)
    monkeypatch.setattr(origin_recorder, 'MAX_PAGE_STREAMS', 2)
    hub = Hub(store)
    hub.write(**{f's{n}': V1 for n in range(5)})
    assert len(hub.recorder.unwritten) == 3
    for _ in range(2):
        hub.recorder.write_once()
    assert Hub(store).found(*(f's{n}' for n in range(5))) == [V1] * 5
    hub.write(new=V2)
    assert len(hub.pages()) == 3
    assert Hub(store).found('s0', 's4', 'new') == [None, V1, V2]


def test_a_page_that_was_deleted_is_written_anew(store, monkeypatch):
    monkeypatch.setattr(origin_recorder, 'PAGE_COUNT', 1)
    hub = Hub(store)
    hub.write(a=V1)
    (page,) = hub.pages()
    store.delete(KIND, page.name, page.version).unwrap()
    hub.write(b=V2)
    assert hub.found('a', 'b') == [None, V2]


def test_the_store_is_read_for_unknown_streams_and_seldom(store):
    hub = Hub(store)
    hub.write(a=V1)
    hub.found('a')
    calls = store.calls
    hub.found(*['a', 'unknown'] * 50)
    assert store.calls == calls
    Hub(store, hub.clock).write(b=V2)
    hub.clock.advance(origin_reader.PERIOD_S + 0.1)
    assert hub.found('a', 'b', 'unknown') == [V1, V2, None]


# Guards against a hub whose threads all wait for one read of the store.
def test_the_questions_of_leaves_do_not_wait_for_a_read(store):
    hub = Hub(store)
    hub.write(a=V1)
    with hub.reader.lock:
        assert hub.reader.find_for_leaf('a') is None
    assert hub.reader.find_for_leaf('a') == V1


def test_a_malformed_page_hides_no_others(store, caplog):
    store.put(KIND, 'odd', {'origins': 'x'}, 0).unwrap()
    hub = Hub(store)
    hub.write(a=V1)
    assert hub.found('a') == [V1]
    assert 'Malformed page of origins ignored' in caplog.messages
