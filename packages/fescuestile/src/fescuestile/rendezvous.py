"""Rendezvous hashing: the same choice on every daemon, without messages."""

import collections.abc

import xxhash


def score(key: str, name: str) -> int:
    """Return the score of a name for a key; the highest is chosen."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def choose(
    key: str, names: collections.abc.Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the names that score highest, best first.

    :param key: what is chosen for
    :param names: candidates, in any order
    :param count: how many to return at most
    """
    ranked = sorted(names, key=lambda name: (score(key, name), name))
    return tuple(reversed(ranked[-count:]))
