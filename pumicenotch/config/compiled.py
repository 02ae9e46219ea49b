"""A plan as one line of JSON, which is what a server takes: written by the reader of HCL, read without it."""

import json
import os
import sys
from typing import TYPE_CHECKING, Any, NamedTuple

from pumicenotch.errors import InputError
from pumicenotch.pools.plan import (
    InvalidPoolsPlanError,
    PoolsPlan,
    decode_plan,
    encode_plan,
    encode_pool,
    unknown_classes,
)

if TYPE_CHECKING:  # nothing of a fleet is loaded where there is none
    from pumicenotch.distribution.instance_settings import InstanceSettings
    from pumicenotch.fleet.member.settings import FleetSettings

FORM = 1  # of the line; a server refuses what it does not know


class InvalidConfigError(InputError):
    """The file or the line cannot be taken; the text says why, for each fault a line."""


class Ours(NamedTuple):
    """All that a file of ours says."""

    plan: PoolsPlan | None = None
    node: str = ""  # this node's name in the cell map
    map: str = ""  # the file of the cell map; "": the node knows of no cells
    fleet: "FleetSettings | None" = None  # its place in a fleet, if it is in one
    distribution: "InstanceSettings | None" = (
        None  # its part in distributing configuration, if it has one
    )


def dump(ours: Ours) -> str:
    plan = encode_plan(ours.plan) if ours.plan is not None else None
    fleet = ours.fleet._asdict() if ours.fleet is not None else None
    cells = {"node": ours.node, "map": ours.map}
    distribution = None
    if ours.distribution is not None:
        from pumicenotch.distribution.instance_settings import encode

        distribution = encode(ours.distribution)
    return json.dumps(
        {"form": FORM, "plan": plan, "cells": cells, "fleet": fleet, "distribution": distribution}
    )


def load(text: str, name: str) -> Ours:
    """Raises InvalidConfigError on anything that `dump` does not write."""
    try:
        told = json.loads(text)
        if told["form"] != FORM:
            raise InvalidConfigError(
                f"{name}:1: form: {told['form']!r} is unknown, {FORM} is allowed: compile it anew"
            )
        node, map_file = told["cells"]["node"], told["cells"]["map"]
        if not isinstance(node, str) or not isinstance(map_file, str):
            raise TypeError("no names")
        fleet = None
        if told.get("fleet") is not None:
            from pumicenotch.fleet.member.settings import read_settings

            fleet = read_settings(told["fleet"])
        distribution = None
        if told.get("distribution") is not None:
            from pumicenotch.distribution.instance_settings import decode_instance_settings

            distribution = decode_instance_settings(told["distribution"])
        if told["plan"] is None:
            return Ours(None, node, map_file, fleet, distribution)
        plan = decode_plan(told["plan"])
    except InvalidPoolsPlanError as error:
        raise InvalidConfigError(f"{name}:1: plan: {error}") from None
    except (ValueError, KeyError, TypeError) as error:
        if isinstance(error, InvalidConfigError):
            raise
        raise InvalidConfigError(
            f"{name}:1: no compiled plan ({type(error).__name__}): compile it anew"
        ) from None
    return Ours(plan, node, map_file, fleet, distribution)


def command(path: str) -> list[str]:
    """Reads the file in a process of its own, whose memory is given back with its end."""
    return [sys.executable, "-m", "pumicenotch.config", path]


def taken(path: str, status: int, out: bytes, errors: bytes) -> Ours:
    """What such a process made of the file. Raises InvalidConfigError with what it said."""
    if status:
        raise InvalidConfigError(
            errors.decode(errors="replace").strip()[:4000]
            or f"{path}:1: its reader failed ({status})"
        )
    return load(out.decode(errors="replace"), path)


def from_file(path: str) -> Ours:
    """A compiled plan, by its ending `.json`. Raises InvalidConfigError."""
    try:
        with open(path, encoding="utf-8") as file:
            return load(file.read(), path)
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidConfigError(
            f"{path}:1: cannot be read: {getattr(error, 'strerror', None) or error}"
        ) from None


def environment(path: str, ours: Ours) -> dict[str, str]:
    """For a server that is started by one who has read the file already."""
    return {**os.environ, "PUMICENOTCH_CONFIG": path, "PUMICENOTCH_PLAN": dump(ours)}


def describe(ours: Ours, stages: list[str]) -> dict[str, Any]:
    """What it means, for a person."""
    plan = ours.plan
    cells = f"node {ours.node} by the map {ours.map}" if ours.map else ""
    settings = ours.fleet
    fleet = (
        f"{settings.name} of {settings.fleet}, among instances on {settings.listen}"
        if settings is not None
        else ""
    )
    if ours.distribution is not None:
        fleet += f"; takes published configuration of {ours.distribution.meaning()}"
    if plan is None:
        return {
            "pools": [],
            "meaning": "no pools: all classes are as one",
            "cells": cells,
            "fleet": fleet,
        }
    return {
        "cells": cells,
        "fleet": fleet,
        "pools": [encode_pool(pool) for pool in plan.pools],
        "limits": "fixed parts" if plan.fixed_limits else "follow demand and capacity",
        "repeats": f"{plan.retry_ratio:g} for a first try while places are short, up to {plan.retry_burst:g}",
        "unmarked_repeats": f"same within {plan.duplicate_window_ms:g} ms"
        if plan.duplicate_window_ms
        else "not seen",
        "reading": f"{plan.reading_reserve:g} of what is read is kept for reserved pools while reading is behind",
        "unknown_stages": unknown_classes(plan, stages) if stages else [],
    }
