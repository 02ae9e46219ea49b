"""The configuration that an experiment publishes, and an independent record of it: what each scope holds at
each version, by digests that the product does not know.
"""

import json
import random
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator, Mapping
from hashlib import sha256
from pathlib import Path
from typing import NamedTuple

from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.data.tables import canonical
from pumicenotch.lab.world import Configuration

CLASSES = ("gold", "silver", "bronze")
RECORDS_MOST = 8  # changed by one publication
TENANTS_PART = 0.7  # of the publications; the others change routes
DELETED_PART = 0.05  # of the changes
STRIDE, SERVICE_STRIDE = 37, 151  # spread instances' services over all of them

ScopeName = tuple[str, str]  # table and scope


def digest_of(records: Mapping[str, str]) -> str:
    """Of what a scope holds, by name; empty where it holds nothing."""
    text = "\n".join(f"{name}={records[name]}" for name in sorted(records))
    return sha256(text.encode()).hexdigest() if records else ""


class Dataset:
    """Which records there are, and what each instance needs of them."""

    def __init__(self, configuration: Configuration, zones: int) -> None:
        self.configuration, self.zones = configuration, zones
        self.cells_a_zone = max(1, configuration.cells // zones)

    def tenant_key(self, number: int) -> str:
        return f"c{number % self.configuration.cells:03d}/t{number:05d}"

    def route_key(self, number: int) -> str:
        return f"s{number % self.configuration.services:04d}/r{number:05d}"

    def initial(self) -> Iterator[list[Change]]:
        """Publications that make the whole: tenants, then routes."""
        tenants = range(self.configuration.tenants)
        yield [Change("tenants", self.tenant_key(at), tenant_value(at, 0)) for at in tenants]
        routes = range(self.configuration.routes)
        yield [Change("routes", self.route_key(at), route_value(at, 0)) for at in routes]

    def change(self, chance: random.Random, serial: int) -> list[Change]:
        """One publication's: some records of one scope."""
        tenants = chance.random() < TENANTS_PART
        whole = self.configuration.tenants if tenants else self.configuration.routes
        groups = self.configuration.cells if tenants else self.configuration.services
        group, found = chance.randrange(groups), dict[str, Change]()
        for _ in range(chance.randint(1, RECORDS_MOST)):
            number = group + groups * chance.randrange(max(1, whole // groups))
            if number >= whole:
                continue
            table, key = (
                ("tenants", self.tenant_key(number))
                if tenants
                else ("routes", self.route_key(number))
            )
            value = tenant_value(number, serial) if tenants else route_value(number, serial)
            found[key] = Change(table, key, None if chance.random() < DELETED_PART else value)
        return list(found.values()) or [
            Change("tenants", self.tenant_key(0), tenant_value(0, serial))
        ]

    def everything(self) -> dict[str, list[str]]:
        """All scopes that records are published in."""
        return {
            "tenants": [f"c{at:03d}" for at in range(self.configuration.cells)],
            "routes": [f"s{at:04d}" for at in range(self.configuration.services)],
        }

    def subscription(self, number: int) -> dict[str, list[str]]:
        """Of an instance: its cell of its zone, its services."""
        zone = number % self.zones
        cell = (
            zone * self.cells_a_zone + number // self.zones % self.cells_a_zone
        ) % self.configuration.cells
        services = self.configuration.services
        named = {
            (number * STRIDE + at * SERVICE_STRIDE) % services
            for at in range(self.configuration.services_each)
        }
        return {"tenants": [f"c{cell:03d}"], "routes": [f"s{at:04d}" for at in sorted(named)]}


def tenant_value(number: int, serial: int) -> str:
    return canonical({"class": CLASSES[number % len(CLASSES)], "weight": number % 97 + serial})


def route_value(number: int, serial: int) -> str:
    return canonical({"timeout_ms": 200 + number % 800, "upstream": f"u{number % 300}-{serial}"})


class Version(NamedTuple):
    """A line of the record: the scopes that a version has changed, with their digests from then on."""

    version: int
    scopes: dict[ScopeName, str]

    def dump(self) -> str:
        told = [[table, scope, digest] for (table, scope), digest in self.scopes.items()]
        return json.dumps([self.version, told]) + "\n"

    @classmethod
    def load(cls, line: str) -> "Version":
        version, told = json.loads(line)
        return cls(version, {(table, scope): digest for table, scope, digest in told})


class Writer:
    """The publisher's side: each version is written before it is asked for: none is in force unknown."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.held: defaultdict[ScopeName, dict[str, str]] = defaultdict(dict)

    def write(self, version: int, changes: list[Change]) -> None:
        touched = set()
        for change in changes:
            scope, _, name = change.key.partition("/")
            touched.add((change.table, scope))
            if change.value is None:
                self.held[change.table, scope].pop(name, None)
            else:
                self.held[change.table, scope][name] = change.value
        self.file.write(
            Version(version, {each: digest_of(self.held[each]) for each in touched}).dump()
        )
        self.file.flush()

    def close(self) -> None:
        self.file.close()


class Reader:
    """The observers' side."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.at = 0  # bytes read
        self.newest = 0
        self.changed: dict[int, set[ScopeName]] = {}  # by version
        self.versions: defaultdict[ScopeName, list[int]] = defaultdict(list)
        self.digests: defaultdict[ScopeName, list[str]] = defaultdict(list)

    def read(self) -> None:
        """What has come since."""
        if self.path.stat().st_size == self.at:
            return
        with self.path.open() as file:
            file.seek(self.at)
            text = file.read()
        whole = text[: text.rfind("\n") + 1]
        self.at += len(whole.encode())
        for line in whole.splitlines():
            found = Version.load(line)
            self.newest = found.version
            self.changed[found.version] = set(found.scopes)
            for scope, digest in found.scopes.items():
                self.versions[scope].append(found.version)
                self.digests[scope].append(digest)

    def digest(self, scope: ScopeName, version: int) -> str:
        """What the scope's digest is at that version."""
        at = bisect_right(self.versions[scope], version)
        return self.digests[scope][at - 1] if at else ""
