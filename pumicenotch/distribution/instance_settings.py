"""What a configuration file says of one process's part in the distribution, as plain values."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.data.tables import TABLES, Table
from pumicenotch.distribution.settings import DEFAULTS, Settings
from pumicenotch.errors import InputError


class ScopesOfTable(NamedTuple):
    table: str
    scopes: tuple[str, ...] | None  # None: all of them


class NewestForm(NamedTuple):
    """Records of that table are taken up to this form, whatever the program knows by itself."""

    table: str
    form: int


class InstanceSettings(NamedTuple):
    """A voter has no subscription: it holds all."""

    subscription: tuple[ScopesOfTable, ...] = ()
    relay: bool = True
    newest_forms: tuple[NewestForm, ...] = ()
    settings: Settings = DEFAULTS

    def subscribed(self) -> Subscription:
        return Subscription(dict(self.subscription))

    def meaning(self) -> str:
        """For a person."""
        parts = [
            f"{table} (all)" if scopes is None else f"{table} ({', '.join(scopes)})"
            for table, scopes in self.subscription
        ]
        return ", ".join(parts) or "no table"

    def tables(self) -> Mapping[str, Table]:
        newest = dict(self.newest_forms)
        return {
            name: table._replace(form=newest.get(name, table.form))
            for name, table in TABLES.items()
        }


class InvalidInstanceSettingsError(InputError):
    """The compiled plan was not written by this program's own reader."""


def plain(settings: InstanceSettings) -> dict[str, Any]:
    """What JSON carries: the limits by name, so that another version of the program may have others."""
    return {**settings._asdict(), "settings": settings.settings._asdict()}


def instance_settings_of(told: Any) -> InstanceSettings | None:
    """What `plain` gave, read from JSON again; None as it is. Raises InvalidInstanceSettingsError."""
    if told is None:
        return None
    try:
        limits = {
            name: value for name, value in told["settings"].items() if name in Settings._fields
        }
        if not all(isinstance(value, int | float) for value in limits.values()):
            raise TypeError("limits are numbers")
        return InstanceSettings(
            tuple(scopes_of_table(each) for each in told["subscription"]),
            bool(told["relay"]),
            tuple(NewestForm(str(table), int(form)) for table, form in told["newest_forms"]),
            DEFAULTS._replace(**limits),
        )
    except (TypeError, ValueError, KeyError, AttributeError) as error:
        raise InvalidInstanceSettingsError(
            f"distribution: {type(error).__name__} {error}"
        ) from None


def scopes_of_table(told: Any) -> ScopesOfTable:
    table, scopes = told
    return ScopesOfTable(str(table), None if scopes is None else tuple(map(str, scopes)))
