"""Writes a day for each kind of trouble, alone and under store outages.

Each day has its kind at three times, in variants where it has some; the days
named ``-over`` have an outage of the store begin a second before each. Play
one with ``fleetbench run SITE FILE``.
"""

import argparse
import pathlib
from typing import Any

__all__ = ['write_days']

TIMES_S = (4.0, 17.0, 29.0)
"""Seconds of a day of 42: early, in the middle, and late."""

OUTAGE_S = 4.0
OUTAGES = ('silent', 'busy', 'reset lapse')

Entry = dict[str, Any]
Variants = tuple[Entry, Entry, Entry]


def same(**fields: Any) -> Variants:
    """Return one entry for all three times."""
    return (fields, fields, fields)


def ways(*ways_: str, **fields: Any) -> Variants:
    """Return entries that differ in how the trouble shows."""
    first, second, third = (
        {**fields, **({'how': how} if how else {})} for how in ways_
    )
    return (first, second, third)


FAULTS: dict[str, Variants] = {
    'srv_crash': ways('dark', '', 'gone', share=0.2, for_s=4.0),
    'srv_slow': same(share=0.3, x=4.0, for_s=6.0),
    'srv_cut': ways('', 'one_way', 'fronts reset', share=0.3, for_s=5.0),
    'scale_in': (
        {'share': 0.2},
        {'share': 0.2, 'x': 2.0, 'how': 'spot'},
        {'x': 2.5, 'for_s': 6.0, 'how': 'reclaim'},
    ),
    'answer_lost': ways('', 'reset', '', share=0.5, x=0.05, for_s=5.0),
    'garble': ways('extra', 'unframed', 'early', share=0.5, x=0.03, for_s=5.0),
    'node_kill': (
        {'share': 0.3},
        {'share': 0.3, 'how': 'power', 'for_s': 3.0},
        {'on': 'core', 'count': 1, 'how': 'leader race', 'for_s': 3.0},
    ),
    'node_freeze': (
        {'share': 0.2, 'for_s': 3.0},
        {'on': 'core', 'count': 1, 'for_s': 4.0, 'how': 'leader'},
        {'on': 'core', 'count': 1, 'for_s': 4.0, 'how': 'renewed'},
    ),
    'replace_core': ways('', 'leader', 'planned', x=1.0),
    'after_ack_kill': ways('', 'kill', 'taken', for_s=3.0),
    'after_ack_wipe': ways('', 'taken', 'timed', for_s=2.0),
    'core_cut': ways('all', 'leader one_way', 'split', count=1, for_s=5.0),
    'node_cut': ways('', 'all', 'servers reset', share=0.3, for_s=5.0),
    'cloud_slow': same(x=60.0, for_s=6.0),
    'cloud_down': ways('silent', 'busy', 'reset', for_s=5.0),
    'platform_down': (
        {'for_s': 5.0, 'how': 'silent lapse'},
        {'for_s': 5.0, 'how': 'nodes many revoke', 'share': 0.4},
        {'for_s': 5.0, 'how': 'busy'},
    ),
    'platform_slow': same(x=60.0, for_s=6.0),
    'platform_lost': ways('', 'late', 'late', x=0.4, for_s=6.0),
    'platform_compact': ways('', 'drain', '', x=5.0, for_s=6.0),
    'applied_late': ways('orders', 'all', '', x=0.5, for_s=6.0),
    'burst': same(x=3.0, for_s=4.0),
    'give_up': ways('', 'once', 'prompt', share=0.3, x=300.0, for_s=5.0),
    'srv_grey': ways('errors', 'hang', 'reset', share=0.3, x=0.4, for_s=5.0),
    'srv_grey_2': ways('shed', 'mute', 'busy', share=0.3, x=0.4, for_s=5.0),
    'replace_with_reuse': ways('', 'dark', 'drain', share=0.2),
    'scale_out': same(share=0.3, gap_s=1.0),
    'node_slow': same(share=0.3, x=5.0, for_s=5.0),
    'herd_kill': ways('', 'power', 'power', share=0.6, for_s=2.0),
    'clock_step': ways('back', 'ahead', '', share=0.4, x=2400.0, for_s=5.0),
    'reset_conns': same(share=0.4, x=0.6),
}
"""Troubles by kind."""

PLANS: dict[str, Variants] = {
    'release': same(share=0.5, x=1.0, gap_s=1.0),
    'roll_term': ways('', 'busy', 'leader', share=0.5, x=1.0, gap_s=1.3),
    'add_nodes': same(count=1),
    'hup': same(share=1.0, gap_s=1.0),
    'config_change': ways('route', 'weights', 'tenant'),
    'config_storm': same(count=6, gap_s=0.4),
    'revoke': ways('', 'last', '', count=2, gap_s=0.5),
    'retire': ways('', 'wipe', '', for_s=8.0),
}
"""Planned work by kind."""


def render(kind: str, at: float, fields: Entry) -> str:
    """Return an entry of a day as TOML."""
    parts = [f'at = {at}', f'kind = "{kind}"']
    for name, value in fields.items():
        text = f'"{value}"' if isinstance(value, str) else str(value)
        parts.append(f'{name} = {text}')
    return '  { ' + ', '.join(parts) + ' },\n'


def render_day(name: str, plan: list[str], faults: list[str]) -> str:
    """Return a day as TOML."""
    return (
        f'name = "{name}"\nslot = "trouble"\n'
        f'plan = [\n{"".join(plan)}]\nfaults = [\n{"".join(faults)}]\n'
    )


def write_days(folder: pathlib.Path) -> int:
    """Write all days into a folder; return how many there are."""
    folder.mkdir(parents=True, exist_ok=True)
    outages = [
        render('platform_down', at - 1.0, {'for_s': OUTAGE_S, 'how': how})
        for at, how in zip(TIMES_S, OUTAGES, strict=True)
    ]
    count = 0
    for table, is_plan in ((FAULTS, False), (PLANS, True)):
        for name, variants in table.items():
            kind = name.removesuffix('_2')
            own = [
                render(kind, at, fields)
                for at, fields in zip(TIMES_S, variants, strict=True)
            ]
            plan = own if is_plan else []
            faults = [] if is_plan else own
            for suffix, over in (('alone', []), ('over', outages)):
                day = f'{name}-{suffix}'
                text = render_day(day, plan, faults + over)
                (folder / f'{day}.toml').write_text(text)
                count += 1
    return count


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('folder', type=pathlib.Path)
    print(f'{write_days(parser.parse_args().folder)} days')
