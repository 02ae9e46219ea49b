"""The set of scopes that an instance needs.

The memory, traffic and work of an instance depend on its subscription, not on the total size of the
configuration.
"""

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from typing import Any

from pumicenotch.distribution.data.records import KEY_PART_PATTERN, ScopeId
from pumicenotch.distribution.errors import InvalidSubscriptionError

# Number of scopes that one subscription names. With more, it contains the complete table.
MAX_SCOPES = 1024
MAX_TABLES = 16
# Stands for every scope that a table has or will have.
ALL = None

ERROR_PLACE = "subscription"


class Subscription:
    """A set of scopes, or ALL, for each table. Immutable and hashable."""

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
        """The scopes by table; None stands for all scopes of the table."""
        return self._tables

    def contains(self, table: str, scope: str) -> bool:
        """Returns whether the scope is subscribed to."""
        if table not in self._tables:
            return False
        scopes = self._tables[table]
        return scopes is None or scope in scopes

    def covers(self, subscription: "Subscription") -> bool:
        """Returns whether this contains all present and future scopes of `subscription`."""
        return all(
            self._covers_table(table, scopes) for table, scopes in subscription.tables.items()
        )

    def _covers_table(self, table: str, scopes: frozenset[str] | None) -> bool:
        if table not in self._tables:
            return False
        own_scopes = self._tables[table]
        return own_scopes is None or (scopes is not None and scopes <= own_scopes)

    def named_after(self, table: str, after: str) -> list[str]:
        """Returns the named scopes of a table that come after the scope `after`, in order."""
        if table not in self._ordered:
            self._ordered[table] = sorted(self._tables.get(table) or ())
        ordered = self._ordered[table]
        return ordered[bisect_right(ordered, after) :]

    def union(self, subscription: "Subscription") -> "Subscription":
        """Returns the union of both; see `union_of`."""
        return union_of((self, subscription))

    def intersection(self, subscription: "Subscription") -> "Subscription":
        """Returns the scopes that both subscriptions contain."""
        shared: dict[str, frozenset[str] | None] = {}
        for table, scopes in self._tables.items():
            if table not in subscription.tables:
                continue
            other_scopes = subscription.tables[table]
            if scopes is None:
                shared[table] = other_scopes
            elif other_scopes is None:
                shared[table] = scopes
            else:
                shared[table] = scopes & other_scopes
        return Subscription(shared)

    def scopes(self) -> list[ScopeId]:
        """Returns the named scopes, without those of tables with ALL."""
        return [
            ScopeId(table, scope)
            for table, scopes in self._tables.items()
            if scopes is not None
            for scope in sorted(scopes)
        ]

    def encode(self) -> list[object]:
        """Returns pairs of a table and a list of its scopes, for JSON and MessagePack."""
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
    """The subscription of a voter, which contains every present and future table."""

    __slots__ = ()

    def contains(self, table: str, scope: str) -> bool:
        """Returns True."""
        return True

    def covers(self, subscription: Subscription) -> bool:
        """Returns True."""
        return True


NOTHING = Subscription({})
EVERYTHING = _Everything({})


def union_of(subscriptions: Iterable[Subscription]) -> Subscription:
    """Returns the union. Above MAX_SCOPES named scopes, the largest tables become ALL."""
    merged: dict[str, set[str] | None] = {}
    for subscription in subscriptions:
        for table, scopes in subscription.tables.items():
            merged_scopes = merged.setdefault(table, set())
            if scopes is None or merged_scopes is None:
                merged[table] = ALL
            else:
                merged_scopes.update(scopes)
    while sum(len(scopes) for scopes in merged.values() if scopes is not None) > MAX_SCOPES:
        largest = max(
            (len(scopes), table) for table, scopes in merged.items() if scopes is not None
        )[1]
        merged[largest] = ALL
    return Subscription(merged)


def decode_subscription(encoded: Any) -> Subscription:
    """Returns the subscription that `encode` encoded.

    Raises:
        InvalidSubscriptionError: the value is not a subscription, or names too many scopes.
    """
    if not isinstance(encoded, list | tuple) or len(encoded) > MAX_TABLES:
        raise InvalidSubscriptionError(
            ERROR_PLACE, "no list of tables", f"name up to {MAX_TABLES} tables"
        )
    tables: dict[str, Iterable[str] | None] = {}
    count = 0
    for pair in encoded:
        if not isinstance(pair, list | tuple) or len(pair) != 2 or not _is_key_part(pair[0]):
            raise InvalidSubscriptionError(
                ERROR_PLACE, f"{pair!r:.80} is no table with its scopes", "give a pair of them"
            )
        table, scopes = pair
        if scopes is not None:
            _check_scopes(table, scopes)
            count += len(scopes)
        tables[table] = scopes
    if count > MAX_SCOPES:
        raise InvalidSubscriptionError(
            ERROR_PLACE,
            f"{count} scopes are named",
            f"name up to {MAX_SCOPES}, or subscribe to the complete table",
        )
    return Subscription(tables)


def _check_scopes(table: str, scopes: Any) -> None:
    if not isinstance(scopes, list | tuple | set | frozenset) or not all(map(_is_key_part, scopes)):
        raise InvalidSubscriptionError(
            ERROR_PLACE,
            f"the scopes of {table} are no list of names",
            "use the characters A-Z a-z 0-9 . _ -",
        )


def _is_key_part(value: Any) -> bool:
    return isinstance(value, str) and KEY_PART_PATTERN.match(value) is not None
