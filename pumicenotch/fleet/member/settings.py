"""What a file of ours says of one process in a fleet. Checked by whoever reads the file; plain values
here.
"""

from typing import Any, NamedTuple

from pumicenotch.errors import InputError
from pumicenotch.fleet.drains.budgets import Budget, Member


class InvalidSettingsError(InputError):
    """It was not written by this program's own reader."""


class FleetSettings(NamedTuple):
    """A member's, and with `names` a voter's."""

    fleet: str
    name: str
    listen: str  # among instances
    voters: tuple[str, ...]  # their addresses
    seeds: tuple[str, ...] = ()  # to join by; none: the voters
    zone: str = ""
    region: str = ""
    cell: str = ""
    serves: tuple[str, ...] = ()
    uses: tuple[str, ...] = ()
    capacity: float = 1.0
    names: tuple[tuple[str, str], ...] = ()  # voters by name and address
    budgets: tuple[Budget, ...] = ()
    manual_members: tuple[Member, ...] = ()
    advertise: str = ""  # where others reach it, if not where it listens

    @property
    def address(self) -> str:
        return self.advertise or self.listen

    def member(self, life: str) -> Member:
        return Member(
            self.name,
            life,
            self.zone,
            self.region,
            self.cell,
            self.serves,
            self.uses,
            self.capacity,
            bool(self.names),
        )


def settings_of(told: Any) -> FleetSettings | None:
    """A server's, from the compiled plan, where it has one. Raises InvalidSettingsError."""
    if told is None:
        return None
    try:
        values: dict[str, Any] = {
            key: tuple(value) if isinstance(value, list) else value for key, value in told.items()
        }
        made = FleetSettings(**values)
        if not all(
            isinstance(each, str) for each in (made.fleet, made.name, made.listen, *made.voters)
        ):
            raise TypeError("texts are wanted")
        return made
    except (TypeError, AttributeError) as error:
        raise InvalidSettingsError(f"fleet: {error}") from None
