"""The settings of one process in a fleet.

`config` reads and checks them in the configuration file; these are plain values. A server's
compiled plan stores them under the names of the fields, which therefore never change.
"""

from typing import Any, NamedTuple

from pumicenotch.errors import InputError
from pumicenotch.fleet.drains.budgets import Budget, Member


class InvalidSettingsError(InputError):
    """The fleet settings of a compiled plan are not in the form that `config` writes."""


class FleetSettings(NamedTuple):
    """The settings of a member's process. A voter's settings also have `names`."""

    fleet: str
    name: str
    listen: str  # the address of the listener for other instances
    voters: tuple[str, ...]  # addresses
    seeds: tuple[str, ...] = ()  # addresses through which to join the membership; none: the voters
    zone: str = ""
    region: str = ""
    cell: str = ""
    serves: tuple[str, ...] = ()
    uses: tuple[str, ...] = ()
    capacity: float = 1.0
    names: tuple[tuple[str, str], ...] = ()  # the voters' names and addresses
    budgets: tuple[Budget, ...] = ()
    manual_members: tuple[Member, ...] = ()
    advertise: str = ""  # the address for other instances, if it differs from `listen`

    @property
    def address(self) -> str:
        """The address at which other instances reach this process."""
        return self.advertise or self.listen

    def member(self, process_id: str) -> Member:
        """Returns the member as which the fleet counts the process with this id."""
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
    """Returns the fleet settings of a compiled plan; None if the server is in no fleet.

    Raises:
        InvalidSettingsError: the settings are not in the form of a compiled plan.
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
            raise TypeError("a name or address is not a string")
    except (TypeError, AttributeError) as error:
        raise InvalidSettingsError(str(error), place="fleet") from None
    return settings
