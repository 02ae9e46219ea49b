"""The schemas of the block `distribution` in a server's block `fleet`, and in a voter's file."""

from typing import Annotated

from pydantic import Field, field_validator, model_validator

from pumicenotch.config.schema import Schema
from pumicenotch.distribution.data.records import MAX_KEY_PART_LENGTH
from pumicenotch.distribution.data.subscription import MAX_SCOPES
from pumicenotch.distribution.data.tables import TABLES
from pumicenotch.distribution.instance_settings import InstanceSettings, NewestForm, ScopesOfTable
from pumicenotch.distribution.settings import DEFAULTS, Settings

SERVICE_TABLES = ("routes", "policies")  # keyed by service
CELL_TABLES = ("homes", "tenants")  # keyed by cell

Scope = Annotated[str, Field(pattern=rf"^[A-Za-z0-9._-]{{1,{MAX_KEY_PART_LENGTH}}}$")]


def known_table(name: str) -> str:
    if name not in TABLES:
        raise ValueError(f"there is no table {name!r}: allowed: {', '.join(TABLES)}")
    return name


class TableBlock(Schema):
    """`table "NAME" { newest_form = N }`: takes records of forms beyond those that this program knows."""

    name: str
    newest_form: Annotated[int, Field(ge=1, le=1000)]

    @field_validator("name")
    @classmethod
    def names_a_table(cls, name: str) -> str:
        return known_table(name)


class SubscribeBlock(Schema):
    """`subscribe "TABLE" { scopes = [...] }`, or `all = true`."""

    name: str
    scopes: Annotated[tuple[Scope, ...], Field(max_length=MAX_SCOPES)] = ()
    all: bool = False

    @field_validator("name")
    @classmethod
    def names_a_table(cls, name: str) -> str:
        return known_table(name)

    @model_validator(mode="after")
    def names_scopes_or_all(self) -> "SubscribeBlock":
        if self.all == bool(self.scopes):
            raise ValueError("either scopes = [...] or all = true is wanted")
        return self


class LimitsBlock(Schema):
    """What one process spends on serving others."""

    children: Annotated[int, Field(ge=1, le=4096)] = DEFAULTS.max_children
    transfers: Annotated[int, Field(ge=1, le=1024)] = DEFAULTS.max_transfers
    bytes_per_second: Annotated[float, Field(ge=10_000.0, le=1e9)] = DEFAULTS.bytes_per_second
    bytes_burst: Annotated[float, Field(ge=100_000.0, le=1e9)] = DEFAULTS.bytes_burst
    push_bytes: Annotated[int, Field(ge=0, le=32 * 1024)] = DEFAULTS.max_push_bytes
    push_window: Annotated[int, Field(ge=1, le=1024)] = DEFAULTS.push_window
    log_versions: Annotated[int, Field(ge=1, le=100_000)] = DEFAULTS.max_log_versions
    log_bytes: Annotated[int, Field(ge=100_000, le=256 * 1024 * 1024)] = DEFAULTS.max_log_bytes


class SourceBlock(Schema):
    """What servers and voters have in common."""

    relays: Annotated[int, Field(ge=1, le=16)] = DEFAULTS.relays
    table: tuple[TableBlock, ...] = ()
    limits: LimitsBlock = LimitsBlock()

    @model_validator(mode="after")
    def names_each_table_once(self) -> "SourceBlock":
        check_unique("table", [block.name for block in self.table])
        return self

    def settings(self) -> Settings:
        limits = self.limits
        return DEFAULTS._replace(
            relays=self.relays,
            max_children=limits.children,
            max_transfers=limits.transfers,
            bytes_per_second=limits.bytes_per_second,
            bytes_burst=limits.bytes_burst,
            max_push_bytes=limits.push_bytes,
            push_window=limits.push_window,
            max_log_versions=limits.log_versions,
            max_log_bytes=limits.log_bytes,
        )

    def newest_forms(self) -> tuple[NewestForm, ...]:
        return tuple(NewestForm(block.name, block.newest_form) for block in self.table)


class VoterDistributionBlock(SourceBlock):
    """Of a voter: it holds all tables."""

    def instance_settings(self) -> InstanceSettings:
        return InstanceSettings(newest_forms=self.newest_forms(), settings=self.settings())


class DistributionBlock(SourceBlock):
    """Of a server."""

    relay: bool = True
    subscribe: tuple[SubscribeBlock, ...] = ()

    @model_validator(mode="after")
    def subscribes_to_each_table_once(self) -> "DistributionBlock":
        check_unique("subscribe", [block.name for block in self.subscribe])
        return self

    def instance_settings(self, services: tuple[str, ...], cell: str) -> InstanceSettings:
        """`services` and `cell` are what the server is for: what it subscribes to unless the block says
        otherwise.
        """
        subscribed = tuple(
            ScopesOfTable(block.name, None if block.all else block.scopes)
            for block in self.subscribe
        )
        return InstanceSettings(
            subscription=subscribed or default_subscription(services, cell),
            relay=self.relay,
            newest_forms=self.newest_forms(),
            settings=self.settings(),
        )


def default_subscription(services: tuple[str, ...], cell: str) -> tuple[ScopesOfTable, ...]:
    found = [ScopesOfTable(table, services) for table in SERVICE_TABLES if services]
    found += [ScopesOfTable(table, (cell,)) for table in CELL_TABLES if cell]
    return tuple(found)


def check_unique(kind: str, names: list[str]) -> None:
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"{kind} {name!r} stands twice: once is allowed")
