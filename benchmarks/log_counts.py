"""Counts requests beyond a target's rate limit, and joined texts, in logs.

Reads what `fleetbench run --log all` prints. The limit of a target is that of
the daemons' own log lines; each request that any daemon sent counts.
"""

import bisect
import collections
import json
import sys

import attrs

__all__ = ['Counts', 'main', 'read_lines']

# Window of the platform's rule, its tolerance, and the time that a target must
# have named a limit before it counts, in seconds and as in the rule.
WINDOW_S = 4.0
TOLERANCE_RATIO = 1.5
TOLERANCE_REQUESTS = 5
GRACE_S = 4.0

LIMIT_EVENT = 'Rate limit of a target changed'
SEND_EVENT = 'Sending request'
ORDER_EVENT = 'Weights ordered'


@attrs.define
class Counts:
    """What the log lines of all daemons say.

    Attributes
    ----------
    sends : dict of str to list of float
        Times of the requests to each target in seconds.
    limits : dict of str to list of (float, float or None)
        Times and values of each target's limit as the daemons learned them.
    software : dict of str to str
        Software version of each target.
    sent_to : dict of str to str
        Software version of the target to which each request went last.
    streams : dict of str to str
        Software version that began each stream of a caller.
    produced : dict of (str, int) to str
        Software version that generated an event, by request and event.
    joined : list of str
        Requests whose text went on at another software version.
    resumed : int
        Attempts that resumed a text.
    """

    sends: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    limits: dict[str, list[tuple[float, float | None]]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    software: dict[str, str] = attrs.field(factory=dict)
    sent_to: dict[str, str] = attrs.field(factory=dict)
    streams: dict[str, str] = attrs.field(factory=dict)
    produced: dict[tuple[str, int], str] = attrs.field(factory=dict)
    joined: list[str] = attrs.field(factory=list)
    resumed: int = 0

    def add(self, at: float, line: dict) -> None:
        """Add one log line, written at a time in seconds."""
        event = line.get('event')
        if event == SEND_EVENT:
            self.sends[line['target']].append(at)
            self.software[line['target']] = line['software']
            self.sent_to[line['request']] = line['software']
            if line['after'] is not None:
                self.resumed += 1
                before = self.produced.get((line['request'], line['after']))
                if before is not None and before != line['software']:
                    self.joined.append(line['request'])
        elif event == ORDER_EVENT:
            self.sends[line['target']].append(at)
        elif event == LIMIT_EVENT:
            target = line['target'].partition('/')[0]
            self.limits[target].append((at, line['rate']))
        elif event == 'Item run' and line['last'] != line['after']:
            key = (line['request'], line['last'])
            self.produced[key] = self.software.get(line['target'], '')
        elif event == 'Stream run' and line['last'] != line['after']:
            self.add_stream(line)

    def add_stream(self, line: dict) -> None:
        """Add a target's part of a caller's stream."""
        stream = line['begun_by'] or line['request']
        # A killed daemon has not logged the part that it had forwarded.
        begun_at = self.sent_to.get(stream, line['software'])
        before = self.streams.setdefault(stream, begun_at)
        self.resumed += line['after'] is not None
        if before != line['software']:
            self.joined.append(stream)

    def worst_window(self, target: str) -> tuple[int, float, float]:
        """Return requests, allowed requests and start of the worst window."""
        sends = sorted(self.sends[target])
        changes = sorted(self.limits[target])
        worst = (0, 0.0, 0.0)
        named_at = None
        for index, (at, rate) in enumerate(changes):
            if rate is None:
                named_at = None
                continue
            named_at = at if named_at is None else named_at
            until = changes[index + 1][0] if index + 1 < len(changes) else 1e9
            allowed = TOLERANCE_RATIO * WINDOW_S * rate + TOLERANCE_REQUESTS
            first = bisect.bisect_left(sends, max(at, named_at + GRACE_S))
            for start in sends[first:]:
                if start + WINDOW_S > until:
                    break
                count = bisect.bisect_left(
                    sends, start + WINDOW_S
                ) - bisect.bisect_left(sends, start)
                if not worst[1] or count / allowed > worst[0] / worst[1]:
                    worst = (count, allowed, start)
        return worst


def read_lines(path: str) -> Counts:
    """Return the counts of one file."""
    counts = Counts()
    with open(path) as lines:
        for text in lines:
            at, _, rest = text.strip().partition(' ')
            start = rest.find('{')
            if start < 0:
                continue
            try:
                counts.add(float(at), json.loads(rest[start:]))
            except ValueError:
                continue
    return counts


def main() -> None:
    """Print the counts of the files named on the command line."""
    for path in sys.argv[1:]:
        counts = read_lines(path)
        print(f'{path}: {counts.resumed} resumed, joined {counts.joined}')
        for target in sorted(counts.limits):
            count, allowed, start = counts.worst_window(target)
            verdict = 'BEYOND' if count > allowed else 'within'
            rates = sorted({str(rate) for _, rate in counts.limits[target]})
            print(
                f'  {target} limits {rates}: {count} requests in '
                f'{WINDOW_S:.0f} s from {start:.2f}, allowed {allowed:.1f}: '
                f'{verdict}'
            )


if __name__ == '__main__':
    main()
