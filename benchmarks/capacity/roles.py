"""All roles, and the slopes that are measured of each."""

from benchmarks.capacity import (
    agent,
    bad_hours,
    configuration,
    connections,
    decisions,
    distribution,
    members,
    resident,
    router,
)
from benchmarks.capacity.mechanisms import FORMER
from benchmarks.capacity.slope import Slope
from pumicenotch.errors import InputError

SLOPES: tuple[Slope, ...] = (
    *decisions.SLOPES,
    *connections.SLOPES,
    *configuration.SLOPES,
    *resident.SLOPES,
    *members.SLOPES,
    *bad_hours.SLOPES,
    *agent.SLOPES,
    *router.SLOPES,
    *distribution.SLOPES,
)
ROLES: tuple[str, ...] = tuple(sorted({role for slope in SLOPES for role in slope.roles}))
RECORDED: tuple[str, ...] = tuple(sorted((*ROLES, *FORMER)))  # in the slopes file
GROUPS: tuple[str, ...] = tuple(sorted({role.split(".")[0] for role in ROLES}))


class UnknownRoleError(InputError):
    """The text names the roles that there are."""


def named(wanted: list[str]) -> set[str]:
    """The roles of these names; `server` stands for all `server.…`. None named: all."""
    found: set[str] = set()
    for name in wanted:
        matches = {role for role in ROLES if role == name or role.startswith(f"{name}.")}
        if not matches:
            raise UnknownRoleError(
                f"role {name!r} is unknown; allowed: {', '.join(dict.fromkeys((*GROUPS, *ROLES)))}"
            )
        found |= matches
    return found or set(ROLES)
