"""Which scopes an instance needs. Its state, its traffic and its work follow this, not the fleet's total."""

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from typing import Any

from pumicenotch.distribution.data.records import KEY_PART, ScopeId
from pumicenotch.distribution.errors import InvalidSubscriptionError

SCOPES_MOST = 1024  # named in one subscription: beyond that, a whole table is asked for
TABLES_MOST = 16
ALL = None  # in place of a table's scopes: every scope that it has or will have

PLACE = "subscription"


class Subscription:
    """For each table a set of scopes, or ALL. Immutable and hashable."""

    __slots__ = ("_ordered", "_tables")

    def __init__(self, tables: Mapping[str, Iterable[str] | None]) -> None:
        self._tables: dict[str, frozenset[str] | None] = {
            table: ALL if scopes is None else frozenset(scopes)
            for table, scopes in sorted(tables.items())
            if scopes is None or scopes
        }
        self._ordered: dict[str, list[str]] = {}

    @property
    def tables(self) -> Mapping[str, frozenset[str] | None]:
        return self._tables

    def contains(self, table: str, scope: str) -> bool:
        if table not in self._tables:
            return False
        scopes = self._tables[table]
        return scopes is None or scope in scopes

    def covers(self, other: "Subscription") -> bool:
        """Whether every scope of the other is one of this, now and later."""
        return all(self._covers_table(table, scopes) for table, scopes in other._tables.items())

    def _covers_table(self, table: str, scopes: frozenset[str] | None) -> bool:
        if table not in self._tables:
            return False
        held = self._tables[table]
        return held is None or (scopes is not None and scopes <= held)

    def named_after(self, table: str, after: str) -> list[str]:
        """The scopes that it names of that table and that come after that one, in order."""
        ordered = self._ordered.get(table)
        if ordered is None:
            ordered = self._ordered[table] = sorted(self._tables.get(table) or ())
        return ordered[bisect_right(ordered, after) :]

    def union(self, other: "Subscription") -> "Subscription":
        """Both; a table of which that names too many scopes is taken whole."""
        return union_of((self, other))

    def intersection(self, other: "Subscription") -> "Subscription":
        """What both contain."""
        shared: dict[str, frozenset[str] | None] = {}
        for table, scopes in self._tables.items():
            if table in other._tables:
                others = other._tables[table]
                both = others if scopes is None else scopes if others is None else scopes & others
                shared[table] = both
        return Subscription(shared)

    def scopes(self) -> list[ScopeId]:
        """The scopes that it names; those of tables taken whole are not among them."""
        return [
            ScopeId(table, scope)
            for table, scopes in self._tables.items()
            if scopes is not None
            for scope in sorted(scopes)
        ]

    def plain(self) -> list[list[Any]]:
        return [
            [table, None if scopes is None else sorted(scopes)]
            for table, scopes in self._tables.items()
        ]

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Subscription) and self._tables == other._tables

    def __hash__(self) -> int:
        return hash(tuple(self._tables.items()))

    def __repr__(self) -> str:
        return f"Subscription({self._tables!r})"


class _Everything(Subscription):
    """Of a voter: whatever tables there are or will be."""

    __slots__ = ()

    def contains(self, table: str, scope: str) -> bool:
        return True

    def covers(self, other: Subscription) -> bool:
        return True


NOTHING = Subscription({})
EVERYTHING = _Everything({})


def union_of(subscriptions: Iterable[Subscription]) -> Subscription:
    """All of them; tables of which they name too many scopes are taken whole."""
    merged: dict[str, set[str] | None] = {}
    for subscription in subscriptions:
        for table, scopes in subscription.tables.items():
            held = merged.setdefault(table, set())
            if scopes is None or held is None:
                merged[table] = ALL
            else:
                held.update(scopes)
    while sum(len(scopes) for scopes in merged.values() if scopes is not None) > SCOPES_MOST:
        largest = max(
            (len(scopes), table) for table, scopes in merged.items() if scopes is not None
        )[1]
        merged[largest] = ALL
    return Subscription(merged)


def subscription_of(told: Any) -> Subscription:
    """From what `plain` gives. Raises InvalidSubscriptionError."""
    if not isinstance(told, list | tuple) or len(told) > TABLES_MOST:
        raise InvalidSubscriptionError(
            PLACE, "no list of tables", f"name up to {TABLES_MOST} tables"
        )
    tables: dict[str, Iterable[str] | None] = {}
    count = 0
    for pair in told:
        if not isinstance(pair, list | tuple) or len(pair) != 2 or not _is_key_part(pair[0]):
            raise InvalidSubscriptionError(
                PLACE, f"{pair!r:.80} is no table with its scopes", "give a pair of them"
            )
        table, scopes = pair
        if scopes is not None:
            _check_scopes(table, scopes)
            count += len(scopes)
        tables[table] = scopes
    if count > SCOPES_MOST:
        raise InvalidSubscriptionError(
            PLACE, f"{count} scopes are named", f"name up to {SCOPES_MOST}, or take a table whole"
        )
    return Subscription(tables)


def _check_scopes(table: str, scopes: Any) -> None:
    if not isinstance(scopes, list | tuple | set | frozenset) or not all(map(_is_key_part, scopes)):
        raise InvalidSubscriptionError(
            PLACE,
            f"the scopes of {table} are no list of names",
            "use the characters A-Z a-z 0-9 . _ -",
        )


def _is_key_part(told: Any) -> bool:
    return isinstance(told, str) and KEY_PART.match(told) is not None
