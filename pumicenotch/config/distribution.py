"""The schemas of the block `distribution` in a server's block `fleet` and in a voter's file."""

from typing import Annotated

from pydantic import Field, field_validator, model_validator

from pumicenotch.config.schema import Schema
from pumicenotch.distribution.data.records import MAX_KEY_PART_LENGTH
from pumicenotch.distribution.data.subscription import MAX_SCOPES
from pumicenotch.distribution.data.tables import TABLES
from pumicenotch.distribution.instance_settings import InstanceSettings, NewestForm, ScopesOfTable
from pumicenotch.distribution.settings import DEFAULTS, Settings

# Tables whose records are keyed by service, and by cell.
SERVICE_TABLES = ("routes", "policies")
CELL_TABLES = ("homes", "tenants")

Scope = Annotated[str, Field(pattern=rf"^[A-Za-z0-9._-]{{1,{MAX_KEY_PART_LENGTH}}}$")]


def check_table(name: str) -> str:
    """Returns the name. Raises ValueError if there is no such table."""
    if name not in TABLES:
        raise ValueError(f"unknown table {name!r}: allowed: {', '.join(TABLES)}")
    return name


class TableBlock(Schema):
    """`table "NAME" { newest_form = N }`: accepts records of newer forms than this program knows."""

    name: str
    newest_form: Annotated[int, Field(ge=1, le=1000)]

    @field_validator("name")
    @classmethod
    def check_name(cls, name: str) -> str:
        """Raises ValueError if there is no such table."""
        return check_table(name)


class SubscribeBlock(Schema):
    """`subscribe "TABLE" { scopes = [...] }`, or `all = true`."""

    name: str
    scopes: Annotated[tuple[Scope, ...], Field(max_length=MAX_SCOPES)] = ()
    all: bool = False

    @field_validator("name")
    @classmethod
    def check_name(cls, name: str) -> str:
        """Raises ValueError if there is no such table."""
        return check_table(name)

    @model_validator(mode="after")
    def check_scopes(self) -> "SubscribeBlock":
        """Raises ValueError unless exactly one of `scopes` and `all` is given."""
        if self.all == bool(self.scopes):
            raise ValueError("either scopes = [...] or all = true is wanted")
        return self


class LimitsBlock(Schema):
    """`limits { ... }`: what one process spends on serving other processes."""

    children: Annotated[int, Field(ge=1, le=4096)] = DEFAULTS.max_children
    transfers: Annotated[int, Field(ge=1, le=1024)] = DEFAULTS.max_transfers
    bytes_per_second: Annotated[float, Field(ge=10_000.0, le=1e9)] = DEFAULTS.bytes_per_second
    bytes_burst: Annotated[float, Field(ge=100_000.0, le=1e9)] = DEFAULTS.bytes_burst
    push_bytes: Annotated[int, Field(ge=0, le=32 * 1024)] = DEFAULTS.max_push_bytes
    push_window: Annotated[int, Field(ge=1, le=1024)] = DEFAULTS.push_window
    log_versions: Annotated[int, Field(ge=1, le=100_000)] = DEFAULTS.max_log_versions
    log_bytes: Annotated[int, Field(ge=100_000, le=256 * 1024 * 1024)] = DEFAULTS.max_log_bytes


class SourceBlock(Schema):
    """The settings that servers and voters have in common."""

    relays: Annotated[int, Field(ge=1, le=16)] = DEFAULTS.relays
    table: tuple[TableBlock, ...] = ()
    limits: LimitsBlock = LimitsBlock()

    @model_validator(mode="after")
    def check_tables(self) -> "SourceBlock":
        """Raises ValueError if a table is named twice."""
        check_unique("table", [block.name for block in self.table])
        return self

    def settings(self) -> Settings:
        """Returns the defaults with the values of this block."""
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
        """Returns the newest accepted form of each table that the block names."""
        return tuple(NewestForm(block.name, block.newest_form) for block in self.table)


class VoterDistributionBlock(SourceBlock):
    """`distribution { ... }` of a voter, which subscribes to all tables."""

    def instance_settings(self) -> InstanceSettings:
        """Returns the settings of the voter."""
        return InstanceSettings(newest_forms=self.newest_forms(), settings=self.settings())


class DistributionBlock(SourceBlock):
    """`distribution { ... }` of a server."""

    relay: bool = True
    subscribe: tuple[SubscribeBlock, ...] = ()

    @model_validator(mode="after")
    def check_subscriptions(self) -> "DistributionBlock":
        """Raises ValueError if a table is subscribed to twice."""
        check_unique("subscribe", [block.name for block in self.subscribe])
        return self

    def instance_settings(self, services: tuple[str, ...], cell: str) -> InstanceSettings:
        """Returns the settings of the server.

        Args:
            services: The services of the server. Unless the block has subscriptions, the server
                subscribes to their records and to those of its cell.
            cell: The cell of the server; "" without one.
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
    """Returns the subscription to the records of the services and the cell."""
    scopes = [ScopesOfTable(table, services) for table in SERVICE_TABLES if services]
    scopes += [ScopesOfTable(table, (cell,)) for table in CELL_TABLES if cell]
    return tuple(scopes)


def check_unique(kind: str, names: list[str]) -> None:
    """Raises ValueError if a name occurs twice."""
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"{kind} {name!r} is defined twice: once is allowed")
