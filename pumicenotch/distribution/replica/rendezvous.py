"""Rendezvous hashing: every instance makes the same choice among the same candidates, and a candidate that
comes or goes moves only its own share.
"""

from collections.abc import Callable, Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import TypeVar

Candidate = TypeVar("Candidate")
SCORES_KEPT = 4096


@lru_cache(maxsize=SCORES_KEPT)
def score(subject: str, candidate: str) -> int:
    """The higher, the better this candidate is for that subject."""
    told = blake2b(f"{subject}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(told, "big")


def ranked(
    subject: str, candidates: Iterable[Candidate], name: Callable[[Candidate], str]
) -> list[Candidate]:
    """The candidates, the best one first."""
    return sorted(candidates, key=lambda each: (-score(subject, name(each)), name(each)))
