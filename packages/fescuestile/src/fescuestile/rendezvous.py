"""Rendezvous hashing: daemons make the same choice without messages."""

import collections.abc

import xxhash


def score(key: str, name: str) -> int:
    """Return the score of a name for a key; the highest score is chosen."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def choose(
    key: str, names: collections.abc.Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the names with the highest scores, highest first.

    :param key: key that the names are chosen for
    :param names: candidates, in any order
    :param count: largest number of names to return
    """
    ranked = sorted(names, key=lambda name: (score(key, name), name))
    return tuple(reversed(ranked[-count:]))
