"""The distribution settings of one process, from its configuration file."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.data.tables import TABLES, Table
from pumicenotch.distribution.settings import DEFAULTS, Settings
from pumicenotch.errors import InputError


class ScopesOfTable(NamedTuple):
    """The scopes of a table that an instance needs; None stands for all scopes."""

    table: str
    scopes: tuple[str, ...] | None


class NewestForm(NamedTuple):
    """Overrides the newest form of a table's records that this program reads."""

    table: str
    form: int


class InstanceSettings(NamedTuple):
    """The distribution settings of one process. Voters need no subscription: they have all scopes.

    Attributes:
        subscription: the scopes that the instance needs, by table.
        relay: whether the instance may be a relay.
        newest_forms: overrides of the newest forms that the instance reads.
        settings: times and limits.
    """

    subscription: tuple[ScopesOfTable, ...] = ()
    relay: bool = True
    newest_forms: tuple[NewestForm, ...] = ()
    settings: Settings = DEFAULTS

    def subscribed(self) -> Subscription:
        """Returns the scopes that the instance needs."""
        return Subscription(dict(self.subscription))

    def meaning(self) -> str:
        """Returns a readable description of the subscription."""
        parts = [
            f"{table} (all)" if scopes is None else f"{table} ({', '.join(scopes)})"
            for table, scopes in self.subscription
        ]
        return ", ".join(parts) or "no table"

    def tables(self) -> Mapping[str, Table]:
        """Returns the tables, with the newest forms that the instance reads."""
        newest = dict(self.newest_forms)
        return {
            name: table._replace(form=newest.get(name, table.form))
            for name, table in TABLES.items()
        }


class InvalidInstanceSettingsError(InputError):
    """The distribution settings in a compiled plan are not in the form that `encode` returns."""


# Keys in a compiled plan that differ from the names of the fields of `Settings`.
_LIMIT_KEYS: Mapping[str, str] = {
    "max_children": "children_most",
    "source_lag_ms": "source_behind_ms",
    "min_leave_ms": "leave_least_ms",
    "max_leave_ms": "leave_most_ms",
    "min_announce_ms": "announce_least_ms",
    "min_acknowledge_ms": "acknowledge_least_ms",
    "max_push_bytes": "push_bytes_most",
    "max_retry_ms": "retry_most_ms",
    "max_attempts": "tries_most",
    "max_fetches": "fetches_most",
    "max_transfers": "transfers_most",
    "max_log_versions": "log_versions_most",
    "max_log_bytes": "log_bytes_most",
    "max_queue_bytes": "queue_bytes_most",
}


def encode(settings: InstanceSettings) -> dict[str, object]:
    """Returns settings for JSON. Limits are keyed by name, as other versions may have more."""
    limits = {
        _LIMIT_KEYS.get(field, field): value for field, value in settings.settings._asdict().items()
    }
    return {**settings._asdict(), "settings": limits}


def decode_instance_settings(encoded: Any) -> InstanceSettings | None:
    """Returns the settings that `encode` encoded, after they were read from JSON; None for None.

    Raises:
        InvalidInstanceSettingsError: the value is not in the form that `encode` returns.
    """
    if encoded is None:
        return None
    try:
        values = dict(encoded["settings"].items())
        keys = {field: _LIMIT_KEYS.get(field, field) for field in Settings._fields}
        limits = {field: values[key] for field, key in keys.items() if key in values}
        if not all(isinstance(value, int | float) for value in limits.values()):
            raise TypeError("limits are numbers")
        return InstanceSettings(
            tuple(map(_scopes_of_table, encoded["subscription"])),
            bool(encoded["relay"]),
            tuple(NewestForm(str(table), int(form)) for table, form in encoded["newest_forms"]),
            DEFAULTS._replace(**limits),
        )
    except (TypeError, ValueError, KeyError, AttributeError) as error:
        raise InvalidInstanceSettingsError(
            f"distribution: {type(error).__name__} {error}"
        ) from None


def _scopes_of_table(encoded: Any) -> ScopesOfTable:
    table, scopes = encoded
    return ScopesOfTable(str(table), None if scopes is None else tuple(map(str, scopes)))
