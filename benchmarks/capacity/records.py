"""The slopes file: one measurement a line, as JSON, read strictly and written in a fixed order."""

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any

from pumicenotch.errors import InputError

MEASURES: dict[str, str] = {
    "state": "bytes",
    "memory": "bytes",
    "text": "bytes",
    "sent": "bytes/s",
    "received": "bytes/s",
    "sent_messages": "messages/s",
    "received_messages": "messages/s",
    "processor": "s/s",
    "longest_step": "ms",
    "start": "ms",
    "agree": "ms",
    "in_force": "ms",
    "detected_by_first": "ms",
    "detected_by_all": "ms",
    "settled": "ms",
    "false_deaths": "count",
}
GROWS: dict[str, str] = {
    "servers": "servers in the fleet",
    "callers": "open connections of callers at one server",
    "services": "services in the configuration",
    "routes": "routes in the configuration",
    "tenants_known": "tenants that are configured",
    "tenants_seen": "tenants that have sent since the server's start, in turn at 256 requests/s",
    "tenants_active": "tenants with a request in the last second at one server",
    "tenants_held": "tenants whose records one server subscribes to",
    "zones": "zones",
    "requests_per_s": "requests a second at one server",
    "changes_per_s": "publications or other agreed changes a second",
    "changes_per_day": "whole configurations read a day",
    "failures_per_day": "members that fall silent and come back a day",
    "restarts_per_day": "members that leave and come back a day",
    "children": "replicas of one zone, beside its relays",
    "records_per_publication": "records of one publication",
    "rack_lost": "servers in the fleet, a rack of which stops at once",
    "switch_lost": "servers in the fleet, those behind one switch are cut off",
    "zone_lost": "servers in the fleet, a zone of which stops at once",
    "region_cut": "servers in the fleet, a region of which is cut off for a minute",
    "zone_returning": "servers in the fleet, a zone of which joins at once",
    "zone_joining": "servers in the fleet, all but the voters hollow, a zone of which joins at once",
    "rolling_restarts": "servers in the fleet, restarted at 2,900 a day with changes on top",
}


class InvalidSlopesError(InputError):
    """A line that is no measurement; the text says where, what is wrong and what is allowed."""


@dataclass(frozen=True)
class Measurement:
    """One value, measured at one size."""

    role: str
    measure: str
    unit: str
    by: str
    size: float
    value: float
    seed: int
    commit: str

    @property
    def key(self) -> tuple[str, str, str, float, int]:
        return (self.role, self.by, self.measure, self.size, self.seed)


FIELDS = tuple(field.name for field in fields(Measurement))


def checked(raw: Any, roles: Iterable[str], place: str) -> Measurement:
    """The measurement that a parsed line holds. Raises InvalidSlopesError."""

    def wrong(problem: str, allowed: str) -> InvalidSlopesError:
        return InvalidSlopesError(f"{place}: {problem}; allowed: {allowed}")

    if not isinstance(raw, dict):
        raise wrong("no JSON object", f"an object with {', '.join(FIELDS)}")
    for name in FIELDS:
        if name not in raw:
            raise wrong(f"{name} is missing", ", ".join(FIELDS))
    for name in raw:
        if name not in FIELDS:
            raise wrong(f"{name!r} is unknown", ", ".join(FIELDS))
    known = list(roles)
    if raw["role"] not in known:
        raise wrong(f"role {raw['role']!r} is unknown", ", ".join(known))
    if raw["measure"] not in MEASURES:
        raise wrong(f"measure {raw['measure']!r} is unknown", ", ".join(MEASURES))
    if raw["unit"] != MEASURES[raw["measure"]]:
        raise wrong(f"unit {raw['unit']!r} of {raw['measure']}", MEASURES[raw["measure"]])
    if raw["by"] not in GROWS:
        raise wrong(f"by {raw['by']!r} is unknown", ", ".join(GROWS))
    for name, least in (("size", 0.0), ("value", 0.0)):
        value = raw[name]
        finite = type(value) in (int, float) and least <= value < float("inf")
        if not finite or (name == "size" and value == 0):
            raise wrong(
                f"{name} {value!r}", "a number above 0" if name == "size" else "a number from 0 on"
            )
    if type(raw["seed"]) is not int:
        raise wrong(f"seed {raw['seed']!r}", "a whole number")
    if not isinstance(raw["commit"], str) or not raw["commit"]:
        raise wrong(f"commit {raw['commit']!r}", "the commit that was measured")
    return Measurement(**raw)


def parse(text: str, roles: Iterable[str], name: str) -> list[Measurement]:
    """All measurements of a slopes file. Raises InvalidSlopesError for the first wrong line."""
    known = list(roles)
    found: dict[tuple[Any, ...], Measurement] = {}
    for number, line in enumerate(text.splitlines(), 1):
        place = f"{name}:{number}"
        try:
            raw = json.loads(line)
        except ValueError:
            raise InvalidSlopesError(f"{place}: no JSON; allowed: one object a line") from None
        made = checked(raw, known, place)
        if made.key in found:
            raise InvalidSlopesError(
                f"{place}: measured twice; allowed: one line for a role, by, measure, size and seed"
            )
        found[made.key] = made
    return list(found.values())


def read(path: Path, roles: Iterable[str]) -> list[Measurement]:
    """The measurements of a file; none where there is no such file yet. Raises InvalidSlopesError."""
    if not path.exists():
        return []
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSlopesError(
            f"{path}:1: {error}; allowed: a readable file of UTF-8 text"
        ) from None
    return parse(text, roles, str(path))


def line(measurement: Measurement) -> str:
    return json.dumps(asdict(measurement))


def merged(old: Iterable[Measurement], new: Iterable[Measurement]) -> list[Measurement]:
    """Old and new ones in the file's order; a new one replaces the old one of the same key."""
    found = {each.key: each for each in old} | {each.key: each for each in new}
    return [found[key] for key in sorted(found)]


def write(path: Path, measurements: Iterable[Measurement]) -> None:
    """Replaces the file in one step."""
    path.parent.mkdir(parents=True, exist_ok=True)
    draft = path.with_suffix(".draft")
    draft.write_text("".join(line(each) + "\n" for each in measurements), encoding="utf-8")
    draft.replace(path)
