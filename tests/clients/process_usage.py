"""Memory and descriptors of a process, as the users' platform counts them."""

import contextlib
import os
import pathlib
import resource
import threading

import attrs

PERIOD_S = 0.02

# Ends a process far beyond its bound, for the sake of the machine.
KILL_RATIO = 8

LISTENING = '0A'


def resident_bytes(pid):
    """Return the resident memory of a process."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * 1024
    return 0


def inodes(pid):
    """Return the inodes of a process's sockets and its descriptor count."""
    found = set()
    names = os.listdir(f'/proc/{pid}/fd')
    for name in names:
        with contextlib.suppress(OSError):
            link = os.readlink(f'/proc/{pid}/fd/{name}')
            if link.startswith('socket:['):
                found.add(link[8:-1])
    return found, len(names)


def unread_bytes(own_inodes, port):
    """Return the bytes that have arrived for a process and were not read.

    Connections to `port` that were not accepted yet count as well.
    """
    total = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] == LISTENING:
            continue
        is_waiting = fields[9] == '0' and fields[1].endswith(f':{port:04X}')
        if is_waiting or fields[9] in own_inodes:
            total += int(fields[4].partition(':')[2], 16)
    return total


@attrs.define
class Peak:
    """The most that a process held while it was watched."""

    memory_bytes: int = 0
    unread_bytes: int = 0
    descriptors: int = 0


@contextlib.contextmanager
def watch(process, port, bound_bytes):
    """Sample a process while the context is open; yields its `Peak`."""
    peak = Peak()
    stop = threading.Event()
    pid = process.child.pid

    def sample():
        while not stop.wait(PERIOD_S):
            with contextlib.suppress(OSError):
                own_inodes, descriptors = inodes(pid)
                unread = unread_bytes(own_inodes, port)
                memory = resident_bytes(pid) + unread
                peak.memory_bytes = max(peak.memory_bytes, memory)
                peak.unread_bytes = max(peak.unread_bytes, unread)
                peak.descriptors = max(peak.descriptors, descriptors)
                if memory > KILL_RATIO * bound_bytes:
                    process.kill()
                    return

    thread = threading.Thread(target=sample, daemon=True)
    thread.start()
    try:
        yield peak
    finally:
        stop.set()
        thread.join()


@contextlib.contextmanager
def descriptor_limit(count):
    """Lower the limit that processes started in the context inherit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
