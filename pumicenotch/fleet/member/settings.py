"""What a configuration file says of one process in a fleet.

`config` checks it; these are plain values. The compiled plan of a server stores them by the names
of the fields, which therefore never change.
"""

from typing import Any, NamedTuple

from pumicenotch.errors import InputError
from pumicenotch.fleet.drains.budgets import Budget, Member


class InvalidSettingsError(InputError):
    """A compiled plan whose fleet settings this program's own reader did not write."""


class FleetSettings(NamedTuple):
    """The settings of a member's process, and with `names` those of a voter's."""

    fleet: str
    name: str
    listen: str  # for other instances
    voters: tuple[str, ...]  # their addresses
    seeds: tuple[str, ...] = ()  # addresses to join the membership by; none: the voters
    zone: str = ""
    region: str = ""
    cell: str = ""
    serves: tuple[str, ...] = ()
    uses: tuple[str, ...] = ()
    capacity: float = 1.0
    names: tuple[tuple[str, str], ...] = ()  # the voters by name and address
    budgets: tuple[Budget, ...] = ()
    manual_members: tuple[Member, ...] = ()
    advertise: str = ""  # where others reach it, if not where it listens

    @property
    def address(self) -> str:
        """Where others reach this process."""
        return self.advertise or self.listen

    def member(self, process_id: str) -> Member:
        """Returns what the fleet is to count of the process with this id."""
        return Member(
            self.name,
            process_id,
            zone=self.zone,
            region=self.region,
            cell=self.cell,
            serves=self.serves,
            uses=self.uses,
            capacity=self.capacity,
            voter=bool(self.names),
        )


def read_settings(value: Any) -> FleetSettings | None:
    """Returns a server's settings from the compiled plan; None if it is in no fleet.

    Raises:
        InvalidSettingsError: they are not in the form that a plan has.
    """
    if value is None:
        return None
    try:
        fields: dict[str, Any] = {
            key: tuple(item) if isinstance(item, list) else item for key, item in value.items()
        }
        settings = FleetSettings(**fields)
        texts = (settings.fleet, settings.name, settings.listen, *settings.voters)
        if not all(isinstance(text, str) for text in texts):
            raise TypeError("texts are wanted")
    except (TypeError, AttributeError) as error:
        raise InvalidSettingsError(str(error), place="fleet") from None
    return settings
