"""Rendezvous hashing: all hosts rank candidates equally without communication."""

from collections.abc import Iterable

import xxhash


def score(key: str, candidate: str) -> int:
    """Return a candidate's score for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode())


def highest(key: str, candidates: Iterable[str]) -> str | None:
    """Return the highest-ranked candidate for a key, or None if there is none."""
    return max(candidates, key=lambda c: (score(key, c), c), default=None)
