"""Embeds the ledger: two writers claim the same identity.

Run with ``python -m examples.library_ledger``.
"""

from chestnutshunt.ledger import entry
from chestnutshunt.ledger import ledger
from chestnutshunt.store import memory_store
from chestnutshunt import system_clock

__all__ = ['main']


def main() -> None:
    """Claim an identity from two writers and print who may run it."""
    platform = memory_store.MemoryStore()
    clock = system_clock.SystemClock()
    for name in ('one', 'two'):
        book = ledger.Ledger(platform, clock)
        wanted = entry.Entry(
            identity='0123456789abcdef',
            nonce=f'execution-of-{name}',
            owner=f'{name}/1',
            address='127.0.0.1:7001',
            body='digest-of-the-body',
            expires_at=clock.wall() + 3600,
        )
        outcome = book.claim(wanted).unwrap()
        print(name, 'may run it' if outcome.granted else 'may not', end='; ')
        print('claimed by', outcome.holder.owner)


if __name__ == '__main__':
    main()
