"""Stand-in for the platform in its published form: store and duty calls."""

import argparse
import threading
import time
from typing import Any

from returns import result

from chestnutshunt import errors
from chestnutshunt.fleet import order
from chestnutshunt.routing import target
from chestnutshunt.store import followed_store
from chestnutshunt.store import listing
from chestnutshunt.store import memory_store
from chestnutshunt.store import stored_object
from chestnutshunt_standins import http

__all__ = ['PlatformApplication']

PAGE_OBJECT_COUNT = 500
"""Objects in one page of a list."""

STATES = {'start': 'running', 'stop': 'stopped', 'leave': 'leaving'}
"""State that each order leads to."""


class PlatformApplication(http.Application):
    """Objects with revisions, and a log of duty calls.

    It also does what operators of targets do: it carries out the orders that
    daemons write for targets.

    Faults: ``down`` (bool), ``delay`` (s), ``lose_replies`` (count of writes
    that take effect without a reply), ``silent_watches`` (bool),
    ``start_delay`` (s until an ordered target runs).
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = memory_store.MemoryStore()
        self.known = followed_store.FollowedStore(self.store)
        self.fences: dict[str, int] = {}
        self.counts = {'read': 0, 'write': 0, 'watch': 0}

    def handle(self, request: http.Request) -> tuple[int, Any]:
        """Serve one call, under the faults that are on."""
        if request.path == '/counts':
            return 200, self.counts
        if request.path == '/reclaim':
            return self.reclaim(request.json())
        if self.faults.get('down'):
            return 503, {'error': 'outage'}
        time.sleep(float(self.faults.get('delay', 0)))
        status, value = self.dispatch(request)
        if request.method != 'GET' and self.faults.get('lose_replies', 0):
            self.faults['lose_replies'] -= 1
            raise ConnectionAbortedError('reply lost')
        return status, value

    def dispatch(self, request: http.Request) -> tuple[int, Any]:
        """Find what a call asks for."""
        if request.path in ('/usage', '/scale'):
            return self.note_duty(request)
        parts = request.path_parts()
        if parts[:2] != ['v1', 'objects'] or len(parts) < 3:
            return 404, {}
        if request.method != 'GET':
            self.counts['write'] += 1
            return self.write(request, *parts[2:])
        if 'watch' in request.query:
            return self.watch(request, parts[2])
        self.counts['read'] += 1
        if len(parts) == 3:
            return self.page(parts[2], request.query.get('after', ''))
        found = self.store.get(parts[2], parts[3]).unwrap()
        return (200, encode_object(found)) if found else (404, {})

    def note_duty(self, request: http.Request) -> tuple[int, Any]:
        """Log what the holder of a duty sends."""
        self.counts['write'] += 1
        self.log.add(
            request.path.strip('/'),
            holder=request.header('X-Duty-Holder'),
            fence=int(request.header('X-Fence-Token')),
            report=request.json(),
        )
        return 200, {}

    def page(self, kind: str, after: str) -> tuple[int, Any]:
        """Return a page of a list."""
        listed = self.store.list_kind(kind).unwrap()
        left = [held for held in listed.objects if held.name > after]
        return 200, {
            'items': [
                encode_object(held) for held in left[:PAGE_OBJECT_COUNT]
            ],
            'hasMore': len(left) > PAGE_OBJECT_COUNT,
            'currentRev': listed.revision,
        }

    def watch(self, request: http.Request, kind: str) -> tuple[int, Any]:
        """Wait for changes; ``silent_watches`` never answer."""
        self.counts['watch'] += 1
        wait_s = min(int(request.query['waitMs']), 30_000) / 1e3
        after = int(request.query['watch'])
        changes = self.store.watch_kind(kind, after, wait_s)
        if self.faults.get('silent_watches'):
            time.sleep(wait_s)
            raise ConnectionAbortedError('silent')
        match changes:
            case result.Success(listing.Listing() as found):
                events = [
                    {'object': encode_object(held), 'deleted': held.deleted}
                    for held in found.objects
                ]
                return 200, {'events': events, 'currentRev': found.revision}
        return 410, {}

    def write(
        self, request: http.Request, kind: str, *names: str
    ) -> tuple[int, Any]:
        """Create, replace or delete an object."""
        if request.method == 'DELETE':
            expected = int(request.query['revision'])
            gone = self.store.delete(kind, names[0], expected)
            return self.answer(kind, names[0], gone.map(lambda _: None))
        sent = request.json()
        name = sent['metadata']['name']
        expected = sent['metadata'].get('revision', 0)
        if len(names) == 2:
            made = self.store.put_status(kind, name, sent['status'], expected)
        else:
            made = self.store.put(kind, name, sent['spec'], expected)
        if kind == order.ORDER_KIND and isinstance(made, result.Success):
            self.carry_out(sent['spec'])
        return self.answer(kind, name, made)

    def answer(
        self, kind: str, name: str, made: result.Result
    ) -> tuple[int, Any]:
        """Return status and JSON value of a write."""
        match made:
            case result.Success(stored_object.StoredObject() as held):
                return 200, encode_object(held)
            case result.Success(_):
                return 200, {}
            case result.Failure(errors.Conflict()):
                found = self.store.get(kind, name).unwrap()
                return (409, encode_object(found)) if found else (404, {})
        return 503, {}

    def carry_out(self, wanted: dict[str, Any]) -> None:
        """Carry out an order unless its fencing number is old."""
        scope = wanted['scope']
        stale = wanted['fence'] < self.fences.get(scope, 0)
        self.fences[scope] = max(wanted['fence'], self.fences.get(scope, 0))
        self.log.add('order', order=wanted, stale=stale)
        chosen = self.target(wanted['target'])
        if chosen is None or (stale and chosen.value.get('fenced', True)):
            return
        state = STATES[wanted['action']]
        delay = float(self.faults.get('start_delay', 0))
        if state == 'running' and delay:
            self.set_state(chosen, 'starting')
            threading.Timer(
                delay, self.change, (wanted['target'], state)
            ).start()
        else:
            self.set_state(chosen, state)

    def reclaim(self, asked: dict[str, Any]) -> tuple[int, Any]:
        """Give notice to all cheap targets of a data centre."""
        found = []
        for held in self.known.list_kind(target.TARGET_KIND).unwrap().objects:
            cheap = held.value.get('cheap')
            if cheap and held.value['datacentre'] == asked['datacentre']:
                self.set_state(held, 'reclaiming')
                found.append(held.name)
        self.log.add('reclaim', targets=found)
        return 200, {'targets': found}

    def target(self, name: str) -> stored_object.StoredObject | None:
        """Return a registered target."""
        return self.known.get(target.TARGET_KIND, name).unwrap()

    def change(self, name: str, state: str) -> None:
        """Finish an order whose effect takes time."""
        chosen = self.target(name)
        if chosen is not None:
            self.set_state(chosen, state)

    def set_state(
        self, chosen: stored_object.StoredObject, state: str
    ) -> None:
        """Write a target's new state."""
        value = {**chosen.value, 'state': state}
        self.known.put(chosen.kind, chosen.name, value, chosen.version)


def encode_object(held: stored_object.StoredObject) -> dict[str, Any]:
    """Return the published form of an object."""
    return {
        'metadata': {
            'name': held.name,
            'revision': held.version,
            'created': held.version,
            'finalizers': [],
            'isDeleting': False,
        },
        'spec': held.value,
        'status': held.status or None,
    }


if __name__ == '__main__':
    http.main(
        lambda args: PlatformApplication(),
        argparse.ArgumentParser(description=__doc__),
        threads=256,
    )
