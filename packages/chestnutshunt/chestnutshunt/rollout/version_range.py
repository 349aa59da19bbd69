"""Which weight version made which tokens."""

import attrs

__all__ = ['VersionRange', 'ranges_of']


@attrs.frozen
class VersionRange:
    """A run of tokens made by one version.

    Attributes
    ----------
    version : int
        Weight version, as the engine said.
    first, count : int
        First token and number of tokens.
    """

    version: int
    first: int
    count: int


def ranges_of(versions: list[int]) -> tuple[VersionRange, ...]:
    """Return the ranges of tokens whose versions are given in order."""
    found: list[VersionRange] = []
    for place, version in enumerate(versions):
        if found and found[-1].version == version:
            last = found[-1]
            found[-1] = attrs.evolve(last, count=last.count + 1)
        else:
            found.append(VersionRange(version, place, 1))
    return tuple(found)
