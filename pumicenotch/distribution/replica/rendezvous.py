"""Rendezvous hashing.

Every instance chooses the same among the same candidates, and a candidate that joins or leaves
moves only its own share.
"""

from collections.abc import Callable, Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import TypeVar

Candidate = TypeVar("Candidate")
MAX_CACHED_SCORES = 4096


@lru_cache(maxsize=MAX_CACHED_SCORES)
def score(subject: str, candidate: str) -> int:
    """Return the score of a candidate for a subject; the highest is chosen."""
    digest = blake2b(f"{subject}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def ranked(
    subject: str, candidates: Iterable[Candidate], name: Callable[[Candidate], str]
) -> list[Candidate]:
    """Return the candidates, the best one first."""
    return sorted(candidates, key=lambda each: (-score(subject, name(each)), name(each)))
