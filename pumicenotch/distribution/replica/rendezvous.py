"""Rendezvous (highest random weight) hashing.

All instances make the same choice among the same candidates. A candidate that joins or leaves moves
only its own share of the subjects.
"""

from collections.abc import Callable, Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import TypeVar

Candidate = TypeVar("Candidate")
MAX_CACHED_SCORES = 4096


@lru_cache(maxsize=MAX_CACHED_SCORES)
def score(subject: str, candidate: str) -> int:
    """Returns the score of a candidate for a subject; the candidate with the highest is chosen."""
    digest = blake2b(f"{subject}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_candidates(
    subject: str, candidates: Iterable[Candidate], name: Callable[[Candidate], str]
) -> list[Candidate]:
    """Returns the candidates by descending score, ties by name."""
    return sorted(candidates, key=lambda item: (-score(subject, name(item)), name(item)))
