"""Rendezvous hashing, which every daemon computes alike."""

from collections.abc import Iterable
import hashlib

__all__ = ['rank']


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names by descending score for a key."""
    return sorted(names, key=lambda name: score(key, name), reverse=True)


def score(key: str, name: str) -> bytes:
    """Return the rendezvous score of a name for a key."""
    text = f'{key}\0{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
