"""Stand-in for the platform's published interface: store and duty calls."""

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
MAX_WATCH_WAIT_MS = 30_000

# State of a target after each action of an order.
STATE_BY_ACTION = {'start': 'running', 'stop': 'stopped', 'leave': 'leaving'}


class PlatformApplication(http.Application):
    """Serves objects with revisions and logs duty calls.

    It also acts for the operators of targets: it executes the orders that
    daemons write for targets.

    Faults: ``down`` (bool, respond with 503), ``delay`` (s before a call
    is served), ``lose_replies`` (number of writes that take effect without a
    response), ``silent_watches`` (bool, watches get no response),
    ``start_delay`` (s until a target that was ordered to start runs).
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = memory_store.MemoryStore()
        self.followed_store = followed_store.FollowedStore(self.store)
        self.fences: dict[str, int] = {}
        self.counts = {'read': 0, 'write': 0, 'watch': 0}

    def handle(self, request: http.Request) -> tuple[int, Any]:
        """Serve one call under the faults that are on."""
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
            raise ConnectionAbortedError(
                'response dropped by the fault lose_replies'
            )
        return status, value

    def dispatch(self, request: http.Request) -> tuple[int, Any]:
        """Route a call to the method that serves it."""
        if request.path in ('/usage', '/scale'):
            return self.log_duty_call(request)
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
        stored = self.store.get(parts[2], parts[3]).unwrap()
        return (200, encode_object(stored)) if stored else (404, {})

    def log_duty_call(self, request: http.Request) -> tuple[int, Any]:
        """Log a call that the holder of a duty sends."""
        self.counts['write'] += 1
        self.log.add(
            request.path.strip('/'),
            holder=request.header('X-Duty-Holder'),
            fence=int(request.header('X-Fence-Token')),
            report=request.json(),
        )
        return 200, {}

    def page(self, kind: str, after: str) -> tuple[int, Any]:
        """Return the page of a list that follows the name ``after``."""
        whole_list = self.store.list_kind(kind).unwrap()
        remaining = [
            stored for stored in whole_list.objects if stored.name > after
        ]
        return 200, {
            'items': [
                encode_object(stored)
                for stored in remaining[:PAGE_OBJECT_COUNT]
            ],
            'hasMore': len(remaining) > PAGE_OBJECT_COUNT,
            'currentRev': whole_list.revision,
        }

    def watch(self, request: http.Request, kind: str) -> tuple[int, Any]:
        """Wait for changes; under ``silent_watches`` send no response."""
        self.counts['watch'] += 1
        wait_s = min(int(request.query['waitMs']), MAX_WATCH_WAIT_MS) / 1e3
        after = int(request.query['watch'])
        changes = self.store.watch_kind(kind, after, wait_s)
        if self.faults.get('silent_watches'):
            time.sleep(wait_s)
            raise ConnectionAbortedError(
                'watch dropped by the fault silent_watches'
            )
        match changes:
            case result.Success(listing.Listing() as changed):
                events = [
                    {
                        'object': encode_object(stored),
                        'deleted': stored.deleted,
                    }
                    for stored in changed.objects
                ]
                return 200, {'events': events, 'currentRev': changed.revision}
        return 410, {}

    def write(
        self, request: http.Request, kind: str, *names: str
    ) -> tuple[int, Any]:
        """Create, replace or delete an object."""
        if request.method == 'DELETE':
            expected = int(request.query['revision'])
            deletion = self.store.delete(kind, names[0], expected)
            return self.encode_outcome(
                kind, names[0], deletion.map(lambda _: None)
            )
        body = request.json()
        name = body['metadata']['name']
        expected = body['metadata'].get('revision', 0)
        if len(names) == 2:
            outcome = self.store.put_status(
                kind, name, body['status'], expected
            )
        else:
            outcome = self.store.put(kind, name, body['spec'], expected)
        if kind == order.ORDER_KIND and isinstance(outcome, result.Success):
            self.execute_order(body['spec'])
        return self.encode_outcome(kind, name, outcome)

    def encode_outcome(
        self, kind: str, name: str, outcome: result.Result
    ) -> tuple[int, Any]:
        """Return the status and the JSON value for the outcome of a write.

        After a conflict the value is the object as stored.
        """
        match outcome:
            case result.Success(stored_object.StoredObject() as stored):
                return 200, encode_object(stored)
            case result.Success(_):
                return 200, {}
            case result.Failure(errors.Conflict()):
                current = self.store.get(kind, name).unwrap()
                return (409, encode_object(current)) if current else (404, {})
        return 503, {}

    def execute_order(self, spec: dict[str, Any]) -> None:
        """Execute an order unless its fencing number is stale.

        A target whose field ``fenced`` is false executes stale orders too.
        """
        scope = spec['scope']
        stale = spec['fence'] < self.fences.get(scope, 0)
        self.fences[scope] = max(spec['fence'], self.fences.get(scope, 0))
        self.log.add('order', order=spec, stale=stale)
        stored = self.find_target(spec['target'])
        if stored is None or (stale and stored.value.get('fenced', True)):
            return
        state = STATE_BY_ACTION[spec['action']]
        delay_s = float(self.faults.get('start_delay', 0))
        if state == 'running' and delay_s:
            self.set_state(stored, 'starting')
            threading.Timer(
                delay_s, self.finish_order, (spec['target'], state)
            ).start()
        else:
            self.set_state(stored, state)

    def reclaim(self, body: dict[str, Any]) -> tuple[int, Any]:
        """Mark all cheap targets of a data centre as being reclaimed."""
        names = []
        for stored in (
            self.followed_store.list_kind(target.TARGET_KIND).unwrap().objects
        ):
            cheap = stored.value.get('cheap')
            if cheap and stored.value['datacentre'] == body['datacentre']:
                self.set_state(stored, 'reclaiming')
                names.append(stored.name)
        self.log.add('reclaim', targets=names)
        return 200, {'targets': names}

    def find_target(self, name: str) -> stored_object.StoredObject | None:
        """Return a registered target, ``None`` if it does not exist."""
        return self.followed_store.get(target.TARGET_KIND, name).unwrap()

    def finish_order(self, name: str, state: str) -> None:
        """Set the final state of a target after a delayed start."""
        stored = self.find_target(name)
        if stored is not None:
            self.set_state(stored, state)

    def set_state(
        self, stored: stored_object.StoredObject, state: str
    ) -> None:
        """Store the new state of a target; a conflict is ignored."""
        value = {**stored.value, 'state': state}
        self.followed_store.put(
            stored.kind, stored.name, value, stored.version
        )


def encode_object(stored: stored_object.StoredObject) -> dict[str, Any]:
    """Return an object in the platform's published form."""
    return {
        'metadata': {
            'name': stored.name,
            'revision': stored.version,
            'created': stored.version,
            'finalizers': [],
            'isDeleting': False,
        },
        'spec': stored.value,
        'status': stored.status or None,
    }


if __name__ == '__main__':
    http.main(
        lambda args: PlatformApplication(),
        argparse.ArgumentParser(description=__doc__),
        threads=256,
    )
