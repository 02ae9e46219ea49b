"""Settings like those of accra-east at its first size, and the files of servers and agents."""

# ruff: noqa: D103, PLR0913

import json
import random
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pumicenotch.config.versions import version_of
from review.common.rig import (
    ROOT,
    SERVER_COMMAND,
    Fleet,
    free_address,
)

# Mean work in ms on one core, within the ranges of the brief.
WORK_MS = {"preview": 200.0, "bake": 460.0, "final-submit": 330.0}
LIMIT_MS = {"preview": 6300.0, "bake": 8400.0, "final-submit": 13_000.0}
WINDOW_MS = 37_794.0
SLACK_MS = 80.0 + 50.0  # of the site, and of sockets


def settings(servers: int, gateways: int, window_ms: float = WINDOW_MS) -> dict[str, Any]:
    return {
        "classes": [
            {"name": "preview", "target": 2_500_000, "deadline": 6_300_000, "effect": "repeatable"},
            {"name": "bake", "target": 3_400_000, "deadline": 8_400_000, "effect": "repeatable"},
            {
                "name": "final-submit",
                "target": 5_000_000,
                "deadline": 13_000_000,
                "effect": "by_key",
                "memory-span": round(window_ms * 1000.0),
                "worth": 3,
            },
        ],
        "family-info": {
            "cores": 6,
            "memory-kb": 90_000.0,
            "run-factor": 8.0,
            "cold": False,
            "meters": ["core_use", "on_cores", "heap_share", "links"],
            "signal": "bias",
            "halt": "off",
            "below": "off",
            "tells-gone": True,
            "callers": gateways,
            "idle": 30_000_000,
        },
        "rules": {"fall-multiple": 8.0, "stop-sending-within": 2_000_000},
        "caps": {"max-retry-after": 1_000_000, "retry-after": True},
        "servers": servers,
        "tenants": [{"name": "osu-design", "share": 0.6}, {"name": "tema-visual", "share": 0.4}],
    }


def work_ms(stage: str) -> float:
    """Draws the work of a run: lognormal, with a coefficient of variation of 0.5."""
    return WORK_MS[stage] * random.lognormvariate(-0.112, 0.472)


def server_file(
    folder: Path,
    name: str,
    *,
    pool: str,
    stop_ms: float,
    values: dict[str, Any],
    registry: str = "",
    listen: str = "",
) -> tuple[Path, str]:
    """Writes a server's start values; returns the file and the address on which it will listen."""
    listen = listen or free_address()
    start = {
        "name": name,
        "listen": listen,
        "pool": pool,
        "seed": "8c1f30d27a5be964",
        "stop_ms": stop_ms,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": values,
    }
    if registry:
        start["registry"] = registry
    path = folder / f"{name}.json"
    path.write_text(json.dumps(start))
    return path, listen


def agent_file(
    folder: Path,
    name: str,
    *,
    fleet: Fleet,
    version: str,
    start_values: Path,
    member: str,
) -> Path:
    """Writes an agent's file, and the file of its server that makes it a member."""
    (folder / f"{name}.hcl").write_text(member)
    home = folder / f"home-{name}"
    home.mkdir(exist_ok=True)
    environment = [
        "PYTHONPATH={program}",
        f"LB_CONFIG={start_values}",
        f"PUMICENOTCH_CONFIG={folder / f'{name}.hcl'}",
    ]
    path = folder / f"agent-{name}.hcl"
    path.write_text(
        f'fleet = "{fleet.name}"\nmember = "{name}"\n'
        f'home = "{home}"\nsource = "{folder / "source"}"\n'
        f"voters = {json.dumps(list(fleet.voters.values()))}\n"
        f"command = {json.dumps(SERVER_COMMAND)}\n"
        f"environment = {json.dumps(environment)}\n"
        f'slot "program" {{ version = "{version}" }}\n'
    )
    return path


def make_version(folder: Path, mark: str, add: Callable[[Path], None] = lambda _: None) -> str:
    """Puts the program as a version into the folder from which agents fetch; returns its name.

    A file with the mark tells the version from others. `add` may put more beside the program.
    """
    made = folder / f"made-{mark}"
    ignored = shutil.ignore_patterns("__pycache__", "lab")
    shutil.copytree(ROOT / "pumicenotch", made / "pumicenotch", ignore=ignored)
    (made / "VERSION").write_text(mark)
    add(made)
    version = version_of(made)
    (folder / "source").mkdir(exist_ok=True)
    made.rename(folder / "source" / version)
    return version


def utrecht_settings() -> dict[str, Any]:
    """Returns settings like those of utrecht-centraal at its first size."""
    classes = [
        {"name": "free-slots", "effect": "repeatable", "worth": 1},
        {"name": "set-hours", "effect": "repeatable", "worth": 1},
        {"name": "book-slot", "effect": "by_key", "worth": 10, "memory-span": 13_470_000},
    ]
    times = {"target": 1_800_000, "deadline": 4_500_000}
    return {
        "classes": [{**each, **times} for each in classes],
        "family-info": {
            "cores": 2,
            "memory-kb": 60_000.0,
            "run-factor": 16.0,
            "cold": False,
            "meters": ["core_use", "on_cores", "heap_share", "links"],
            "signal": "bias",
            "halt": "pause",
            "below": "off",
            "tells-gone": False,
            "callers": 12,
            "idle": 30_000_000,
        },
        "rules": {"fall-multiple": 6.0, "stop-sending-within": 2_500_000},
        "caps": {"max-retry-after": 1_000_000, "retry-after": True},
        "servers": 2,
        "tenants": [
            {"name": "kapsalon-dijk", "share": 0.55},
            {"name": "fietsmaker-vos", "share": 0.31},
            {"name": "tandarts-linde", "share": 0.14},
        ],
    }
