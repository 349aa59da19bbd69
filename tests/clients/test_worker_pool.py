"""Places of threads that serve, while others wait for their clients."""

import threading
import time

import pytest

from chestnutshunt_daemon.clients import client_budget
from chestnutshunt_daemon.clients import worker_pool

TIMEOUT_S = 20.0


class Budget(client_budget.ClientBudget):
    """Records how many threads are to be freed."""

    def __init__(self, limit_bytes=1_000_000):
        super().__init__(limit_bytes)
        self.asked = []

    def free_threads(self, count):
        self.asked.append(count)


class Connection:
    """A connection that runs a function once it has a thread."""

    remote_addr = remote_port = ''

    def __init__(self, run):
        self.run = run
        self.done = threading.Event()

    def communicate(self):
        self.run()
        self.done.set()
        return False

    def close(self):
        self.done.set()


class Server:
    """What cheroot's threads need of their server."""

    def __init__(self, places):
        self.stats = {'Enabled': False, 'Worker Threads': {}}
        self.budget = Budget()
        self.requests = worker_pool.WorkerPool(self, places, self.budget)
        self.requests.start()

    def error_log(self, *arguments, **options):
        pass


@pytest.fixture
def served():
    servers = []

    def make(places):
        servers.append(Server(places))
        return servers[-1]

    yield make
    for server in servers:
        server.requests.stop(TIMEOUT_S)


def serve(server, run):
    connection = Connection(run)
    server.requests.put(connection)
    return connection


def test_a_thread_that_waits_for_its_client_lets_others_serve(served):
    server = served(1)
    leave = threading.Event()

    def wait():
        with server.requests.while_waiting():
            leave.wait(TIMEOUT_S)

    waiting = [serve(server, wait) for _ in range(3)]
    assert serve(server, lambda: None).done.wait(TIMEOUT_S)
    assert not any(connection.done.is_set() for connection in waiting)
    leave.set()
    assert all(connection.done.wait(TIMEOUT_S) for connection in waiting)
    assert serve(server, lambda: None).done.wait(TIMEOUT_S)


def test_no_more_are_served_at_one_time_than_there_are_places(served):
    server = served(2)
    running, most, lock = [], [], threading.Lock()

    def run():
        with server.requests.while_waiting():
            time.sleep(0.001)
        with lock:
            running.append(1)
            most.append(len(running))
        time.sleep(0.002)
        with lock:
            running.pop()

    connections = [serve(server, run) for _ in range(60)]
    assert all(connection.done.wait(TIMEOUT_S) for connection in connections)
    assert max(most) <= 2


def test_stalling_clients_are_named_while_others_wait(served):
    server = served(1)
    leave = threading.Event()
    entered = threading.Event()

    def hold():
        entered.set()
        leave.wait(TIMEOUT_S)

    serve(server, hold)
    assert entered.wait(TIMEOUT_S)
    server.requests.relieve()
    assert server.budget.asked == []
    waiting = serve(server, lambda: None)
    server.requests.relieve()
    assert server.budget.asked == [1]
    leave.set()
    assert waiting.done.wait(TIMEOUT_S)


# Requests waited for slots of targets that threads kept which waited for a
# place: neither went on before the deadline.
@pytest.mark.parametrize('is_urgent', [True, False])
def test_a_thread_gives_up_what_others_wait_for(served, is_urgent):
    server = served(1)
    slot = threading.Semaphore(0)
    entered = threading.Event()
    go_on = threading.Event()

    def keep_slot():
        try:
            with server.requests.while_waiting(is_urgent):
                go_on.wait(TIMEOUT_S)
                if not is_urgent:
                    raise ConnectionAbortedError
        finally:
            slot.release()

    def wait_for_slot():
        entered.set()
        assert slot.acquire(timeout=TIMEOUT_S)

    serve(server, keep_slot)
    waiting = serve(server, wait_for_slot)
    assert entered.wait(TIMEOUT_S)
    go_on.set()
    assert waiting.done.wait(TIMEOUT_S / 2)
    assert serve(server, lambda: None).done.wait(TIMEOUT_S)


def test_the_end_does_not_wait_for_threads_that_wait(served):
    server = served(1)
    leave = threading.Event()

    def wait():
        with server.requests.while_waiting():
            leave.wait(TIMEOUT_S)

    serve(server, wait)
    dropped = serve(server, lambda: None)
    assert dropped.done.wait(TIMEOUT_S)
    server.requests.stop(0.05)
    leave.set()
