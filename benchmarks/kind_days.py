"""Writes a scenario (a day) for each kind of fault or planned work.

A day has entries of its kind at three times, in variants where there are any.
Days named ``-alone`` have no others; in those named ``-over`` a store outage
begins a second before each. Run one with ``fleetbench run SITE FILE``.
"""

import argparse
import pathlib
from typing import Any

__all__ = ['write_days']

# Early, in the middle and late in a day of 42 s.
TIMES_S = (4.0, 17.0, 29.0)

OUTAGE_S = 4.0
OUTAGE_VARIANTS = ('silent', 'busy', 'reset lapse')

Entry = dict[str, Any]
Variants = tuple[Entry, Entry, Entry]


def same(**fields: Any) -> Variants:
    """Return one entry for all three times."""
    return (fields, fields, fields)


def with_how(*how_values: str, **fields: Any) -> Variants:
    """Return entries that differ in their ``how`` field."""
    first, second, third = (
        {**fields, **({'how': how} if how else {})} for how in how_values
    )
    return (first, second, third)


# Faults by kind.
FAULTS: dict[str, Variants] = {
    'srv_crash': with_how('dark', '', 'gone', share=0.2, for_s=4.0),
    'srv_slow': same(share=0.3, x=4.0, for_s=6.0),
    'srv_cut': with_how('', 'one_way', 'fronts reset', share=0.3, for_s=5.0),
    'scale_in': (
        {'share': 0.2},
        {'share': 0.2, 'x': 2.0, 'how': 'spot'},
        {'x': 2.5, 'for_s': 6.0, 'how': 'reclaim'},
    ),
    'answer_lost': with_how('', 'reset', '', share=0.5, x=0.05, for_s=5.0),
    'garble': with_how(
        'extra', 'unframed', 'early', share=0.5, x=0.03, for_s=5.0
    ),
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
    'replace_core': with_how('', 'leader', 'planned', x=1.0),
    'after_ack_kill': with_how('', 'kill', 'taken', for_s=3.0),
    'after_ack_wipe': with_how('', 'taken', 'timed', for_s=2.0),
    'core_cut': with_how('all', 'leader one_way', 'split', count=1, for_s=5.0),
    'node_cut': with_how('', 'all', 'servers reset', share=0.3, for_s=5.0),
    'cloud_slow': same(x=60.0, for_s=6.0),
    'cloud_down': with_how('silent', 'busy', 'reset', for_s=5.0),
    'platform_down': (
        {'for_s': 5.0, 'how': 'silent lapse'},
        {'for_s': 5.0, 'how': 'nodes many revoke', 'share': 0.4},
        {'for_s': 5.0, 'how': 'busy'},
    ),
    'platform_slow': same(x=60.0, for_s=6.0),
    'platform_lost': with_how('', 'late', 'late', x=0.4, for_s=6.0),
    'platform_compact': with_how('', 'drain', '', x=5.0, for_s=6.0),
    'applied_late': with_how('orders', 'all', '', x=0.5, for_s=6.0),
    'burst': same(x=3.0, for_s=4.0),
    'give_up': with_how('', 'once', 'prompt', share=0.3, x=300.0, for_s=5.0),
    'srv_grey': with_how(
        'errors', 'hang', 'reset', share=0.3, x=0.4, for_s=5.0
    ),
    'srv_grey_2': with_how(
        'shed', 'mute', 'busy', share=0.3, x=0.4, for_s=5.0
    ),
    'replace_with_reuse': with_how('', 'dark', 'drain', share=0.2),
    'scale_out': same(share=0.3, gap_s=1.0),
    'node_slow': same(share=0.3, x=5.0, for_s=5.0),
    'herd_kill': with_how('', 'power', 'power', share=0.6, for_s=2.0),
    'clock_step': with_how(
        'back', 'ahead', '', share=0.4, x=2400.0, for_s=5.0
    ),
    'reset_conns': same(share=0.4, x=0.6),
}

# Planned work by kind.
PLANS: dict[str, Variants] = {
    'release': same(share=0.5, x=1.0, gap_s=1.0),
    'roll_term': with_how('', 'busy', 'leader', share=0.5, x=1.0, gap_s=1.3),
    'add_nodes': same(count=1),
    'hup': same(share=1.0, gap_s=1.0),
    'config_change': with_how('route', 'weights', 'tenant'),
    'config_storm': same(count=6, gap_s=0.4),
    'revoke': with_how('', 'last', '', count=2, gap_s=0.5),
    'retire': with_how('', 'wipe', '', for_s=8.0),
}


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
        for at, how in zip(TIMES_S, OUTAGE_VARIANTS, strict=True)
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
            for suffix, added in (('alone', []), ('over', outages)):
                day = f'{name}-{suffix}'
                text = render_day(day, plan, faults + added)
                (folder / f'{day}.toml').write_text(text)
                count += 1
    return count


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('folder', type=pathlib.Path)
    print(f'{write_days(parser.parse_args().folder)} days')
