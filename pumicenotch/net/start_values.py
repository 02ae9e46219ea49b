"""Reads the start values of a server from the JSON file named by LB_CONFIG."""

import json
import os
from pathlib import Path
from typing import NamedTuple

from pumicenotch import start
from pumicenotch.control import ControllerSettings

PATH_VARIABLE = "LB_CONFIG"
MOVABLE_PARTIES = ("pool", "db", "registry")  # Parties whose addresses a reload can change.
DEFAULT_MEMORY_MB = 192.0
DEFAULT_DESCRIPTORS = 1024
RANGES = {
    "stop_ms": start.Range(0.0, 1e9),
    "limits.memory_mb": start.Range(8.0, 1e9),
    "limits.sockets": start.Range(48.0, 1e9),
}

Address = tuple[str, int]


class StartValues(NamedTuple):
    """The values of the file; times are in ms."""

    name: str  # Name of this server in the registry.
    listen: Address
    addresses: dict[str, Address]  # By party; only parties named in the file.
    seed: int
    memory_mb: float
    shutdown_ms: float
    max_descriptors: int
    hint_shape: str  # Kind of load hint that callers receive.
    controller: ControllerSettings
    class_indexes: dict[str, int]
    tenant_indexes: dict[str, int]
    pairs: dict[str, str]  # Unparsed values by path in the file.


def read_start_values() -> StartValues:
    """Reads the file; raises ValueError with the path and problem of an invalid value."""
    pairs = read_pairs()
    settings = start.settings_of(pairs)
    addresses = read_addresses(pairs)
    listen = start.read_value("listen", pairs, start.parse_address, None)
    if listen is None:
        raise start.InvalidStartValueError("missing start value listen")
    if "pool" not in addresses:
        raise start.InvalidStartValueError("missing start value pool")
    shutdown_ms = start.read_value("stop_ms", pairs, float, None)
    values = StartValues(
        name=pairs.get("name", ""),
        listen=listen,
        addresses=addresses,
        seed=start.read_value("seed", pairs, lambda text: int(text, 16), 0),
        memory_mb=start.read_value("limits.memory_mb", pairs, float, DEFAULT_MEMORY_MB),
        shutdown_ms=shutdown_ms or 0.0,
        max_descriptors=start.read_value("limits.sockets", pairs, int, DEFAULT_DESCRIPTORS),
        hint_shape=start.feedback_shape(settings),
        controller=start.controller_settings(settings),
        class_indexes=start.unique_index_by_name(settings, "classes"),
        tenant_indexes=start.unique_index_by_name(settings, "tenants"),
        pairs=pairs,
    )
    if not values.class_indexes:
        raise start.InvalidStartValueError(
            "missing start value settings.classes: requests could not be told apart"
        )
    if shutdown_ms is None:
        raise start.InvalidStartValueError(
            "missing start value stop_ms: the time from the notice to the end, in ms"
        )
    start.check_ranges(pairs, RANGES)
    return values


def read_pairs() -> dict[str, str]:
    """Reads the file and returns the unparsed values by path."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise start.InvalidStartValueError(f"{PATH_VARIABLE} is not set")
    try:
        with Path(path).open(encoding="utf-8") as file:
            return start.flatten(json.load(file))
    except (OSError, ValueError, RecursionError) as error:
        raise start.InvalidStartValueError(f"{PATH_VARIABLE} {path}: {error}") from None


def read_addresses(pairs: dict[str, str]) -> dict[str, Address]:
    """Returns the addresses of the parties that the file names."""
    addresses = {}
    for party in MOVABLE_PARTIES:
        address = start.read_value(party, pairs, start.parse_peer_address, None)
        if address is not None:
            addresses[party] = address
    return addresses
