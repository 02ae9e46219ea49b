"""The compiled form of a server's file: one line of JSON.

Written by the process that reads HCL; servers read it with the standard library only.
"""

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

if TYPE_CHECKING:  # a server without a fleet does not import these packages
    from pumicenotch.distribution.instance_settings import InstanceSettings
    from pumicenotch.fleet.member.settings import FleetSettings

# A server refuses a line of another version.
FORMAT_VERSION = 1


class InvalidConfigError(InputError):
    """A file or a compiled line is invalid. The text has one line for each error."""


class InstanceConfig(NamedTuple):
    """The content of a server's file.

    Attributes:
        plan: The pools; None without pools.
        node: This node's name in the cell map.
        map: The path of the cell map; "" without cells.
        fleet: The server's place in a fleet; None outside of one.
        distribution: Which distributed configuration the server takes; None for none.
    """

    plan: PoolsPlan | None = None
    node: str = ""
    map: str = ""
    fleet: "FleetSettings | None" = None
    distribution: "InstanceSettings | None" = None


def dump(config: InstanceConfig) -> str:
    """Returns the compiled line."""
    plan = encode_plan(config.plan) if config.plan is not None else None
    fleet = config.fleet._asdict() if config.fleet is not None else None
    cells = {"node": config.node, "map": config.map}
    distribution = None
    if config.distribution is not None:
        from pumicenotch.distribution.instance_settings import encode

        distribution = encode(config.distribution)
    return json.dumps(
        {
            "form": FORMAT_VERSION,
            "plan": plan,
            "cells": cells,
            "fleet": fleet,
            "distribution": distribution,
        }
    )


def load(text: str, name: str) -> InstanceConfig:
    """Parses a compiled line.

    Args:
        text: The line.
        name: The name of the source in errors, such as the path.

    Raises:
        InvalidConfigError: The text was not written by `dump` in a known version.
    """
    try:
        document = json.loads(text)
        if document["form"] != FORMAT_VERSION:
            raise InvalidConfigError(
                f"{name}:1: form: {document['form']!r} is unknown, {FORMAT_VERSION} is allowed: compile it anew"
            )
        node, map_file = document["cells"]["node"], document["cells"]["map"]
        if not isinstance(node, str) or not isinstance(map_file, str):
            raise TypeError("node and map must be text")
        fleet = None
        if document.get("fleet") is not None:
            from pumicenotch.fleet.member.settings import read_settings

            fleet = read_settings(document["fleet"])
        distribution = None
        if document.get("distribution") is not None:
            from pumicenotch.distribution.instance_settings import decode_instance_settings

            distribution = decode_instance_settings(document["distribution"])
        if document["plan"] is None:
            return InstanceConfig(None, node, map_file, fleet, distribution)
        plan = decode_plan(document["plan"])
    except InvalidPoolsPlanError as error:
        raise InvalidConfigError(f"{name}:1: plan: {error}") from None
    except (ValueError, KeyError, TypeError) as error:
        if isinstance(error, InvalidConfigError):
            raise
        raise InvalidConfigError(
            f"{name}:1: no compiled plan ({type(error).__name__}): compile it anew"
        ) from None
    return InstanceConfig(plan, node, map_file, fleet, distribution)


def compile_command(path: str) -> list[str]:
    """Returns the command of a process that compiles the file.

    The memory for reading HCL is freed when the process ends.
    """
    return [sys.executable, "-m", "pumicenotch.config", path]


def parse_compiler_output(path: str, status: int, out: bytes, errors: bytes) -> InstanceConfig:
    """Returns the result of the process of `compile_command`.

    Raises:
        InvalidConfigError: The process failed; the text is what it printed to standard error.
    """
    if status:
        raise InvalidConfigError(
            errors.decode(errors="replace").strip()[:4000]
            or f"{path}:1: its reader failed ({status})"
        )
    return load(out.decode(errors="replace"), path)


def load_file(path: str) -> InstanceConfig:
    """Reads a compiled file, which has the suffix `.json`. Raises InvalidConfigError."""
    try:
        with open(path, encoding="utf-8") as file:
            return load(file.read(), path)
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidConfigError(
            f"{path}:1: cannot be read: {getattr(error, 'strerror', None) or error}"
        ) from None


def environment(path: str, config: InstanceConfig) -> dict[str, str]:
    """Returns the environment for starting a server whose file has already been read."""
    return {**os.environ, "PUMICENOTCH_CONFIG": path, "PUMICENOTCH_PLAN": dump(config)}


def describe(config: InstanceConfig, stages: list[str]) -> dict[str, Any]:
    """Returns a description of the file for operators.

    Args:
        config: The content of the file.
        stages: The names of all known request classes; empty if they are not known.
    """
    plan = config.plan
    cells = f"node {config.node} by the map {config.map}" if config.map else ""
    settings = config.fleet
    fleet = (
        f"{settings.name} of {settings.fleet}, among instances on {settings.listen}"
        if settings is not None
        else ""
    )
    if config.distribution is not None:
        fleet += f"; takes published configuration of {config.distribution.meaning()}"
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
