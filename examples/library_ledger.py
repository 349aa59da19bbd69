"""Embeds the ledger as a library: two writers claim one identity.

Run with ``python -m examples.library_ledger``.
"""

from chestnutshunt.ledger import entry
from chestnutshunt.ledger import ledger
from chestnutshunt.store import memory_store
from chestnutshunt import system_clock

__all__ = ['main']


def main() -> None:
    """Claim an identity from two writers and print who may run it."""
    store = memory_store.MemoryStore()
    clock = system_clock.SystemClock()
    for name in ('one', 'two'):
        writer_ledger = ledger.Ledger(store, clock)
        claim = entry.Entry(
            identity='0123456789abcdef',
            nonce=f'execution-of-{name}',
            owner=f'{name}/1',
            address='127.0.0.1:7001',
            body='digest-of-the-body',
            expires_at=clock.wall() + 3600,
        )
        reply = writer_ledger.claim(claim).unwrap()
        print(name, 'may run it' if reply.granted else 'may not', end='; ')
        print('claimed by', reply.holder.owner)


if __name__ == '__main__':
    main()
