"""Looks, in a process of hollow instances, at what each serves of the configuration, and holds it against the
record of what was published: never at what an instance says of itself.
"""

import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Protocol

from pumicenotch.lab.published import Reader, ScopeName, digest_of


class Served(Protocol):
    """The configuration in force at an instance. Immutable: another version is another object."""

    @property
    def version(self) -> int: ...

    def scope(self, table: str, scope: str) -> Mapping[str, str]: ...


class Watched:
    """One life of an instance."""

    def __init__(self, number: int, generation: int, subscription: dict[str, list[str]]) -> None:
        self.number, self.generation = number, generation
        self.scopes: set[ScopeName] = {
            (table, scope) for table, some in subscription.items() for scope in some
        }
        self.view: Served | None = None


class Observer:
    def __init__(self, journal: Path) -> None:
        self.record = Reader(journal)
        self.unread: list[
            tuple[Watched, int, Served]
        ] = []  # served before the record of it was read
        self.cpu_s = 0.0  # spent on looking, which no server would
        self.begin()

    def begin(self) -> None:
        """What is told from now on."""
        self.switches: list[list[Any]] = []  # number, generation, version, when
        self.mixed: list[list[Any]] = []  # number, version, table, scope
        self.backward: list[list[Any]] = []  # number, from, to
        self.checked = 0

    def look(self, watched: Watched, view: Served) -> None:
        if view is watched.view:
            return
        before = watched.view.version if watched.view is not None else 0
        if view.version < before:
            self.backward.append([watched.number, before, view.version])
        watched.view = view
        if view.version:
            self.switches.append(
                [watched.number, watched.generation, view.version, time.monotonic()]
            )
            self.unread.append((watched, before, view))

    def check(self) -> None:
        """What was seen, against the record: all scopes of a first view, of later ones those that changed."""
        began = time.thread_time()
        self.record.read()
        waiting, self.unread = self.unread, []
        for watched, before, view in waiting:
            if view.version > self.record.newest:
                self.unread.append((watched, before, view))
            else:
                self.check_scopes(watched, view, self.touched(watched, before, view.version))
        self.cpu_s += time.thread_time() - began

    def touched(self, watched: Watched, before: int, version: int) -> set[ScopeName]:
        if not before or version < before:
            return watched.scopes
        changed = (self.record.changed.get(each, set()) for each in range(before + 1, version + 1))
        return watched.scopes & set().union(*changed)

    def check_scopes(self, watched: Watched, view: Served, scopes: set[ScopeName]) -> None:
        for table, scope in scopes:
            self.checked += 1
            if digest_of(view.scope(table, scope)) != self.record.digest(
                (table, scope), view.version
            ):
                self.mixed.append([watched.number, view.version, table, scope])

    def verify(self, watched: Watched) -> bool:
        """All of its scopes once more, at the end; whether it serves the newest version."""
        self.record.read()
        view = watched.view
        if view is None or view.version != self.record.newest:
            return False
        before = len(self.mixed)
        self.check_scopes(watched, view, watched.scopes)
        return len(self.mixed) == before
