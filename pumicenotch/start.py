"""Parses and validates the start values of a server, given as lines or as nested JSON.

This module maps the names and values of settings to the types of the program. Times are in
microseconds in the settings and in milliseconds in the parsed values.
"""

import re
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from pumicenotch.control import ControllerSettings
from pumicenotch.control.gauges import CORE_UTILIZATION, OPEN_CONNECTIONS, RUNNABLE
from pumicenotch.errors import InputError
from pumicenotch.interface import (
    CancelMode,
    DependencyKind,
    Idempotency,
    LoadFeedback,
    RequestClass,
    Tenant,
)

Parsed = TypeVar("Parsed")
Default = TypeVar("Default")

# The words that settings use for the values of enumerations.
IDEMPOTENCY_WORDS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.NONE,
}
CANCEL_MODE_WORDS = {
    "off": CancelMode.NONE,
    "drop": CancelMode.KILL,
    "pause": CancelMode.SUSPEND,
}
LOAD_FEEDBACK_WORDS = {
    "off": LoadFeedback.NONE,
    "min_rank": LoadFeedback.MIN_PRIORITY,
    "tokens": LoadFeedback.TOKENS,
    "bias": LoadFeedback.WEIGHT,
}
DEPENDENCY_WORDS = {
    "off": DependencyKind.NONE,
    "common": DependencyKind.SHARED,
    "next_hop": DependencyKind.NEXT_TIER,
}
BOOLEAN_WORDS = {"true": True, "false": False}
# The settings' names of the gauges that the controller reads. Other gauges keep their names and are
# ignored.
GAUGE_WORDS = {
    "core_use": CORE_UTILIZATION,
    "on_cores": RUNNABLE,
    "links": OPEN_CONNECTIONS,
}

HOST_PATTERN = re.compile(
    r"[0-9a-zA-Z_-]+(\.[0-9a-zA-Z_-]+)*|[0-9a-fA-F.]*:[0-9a-fA-F:.]*(%[0-9a-zA-Z]+)?", re.ASCII
)
MAX_PORT = 65535
# Replaces a weight of 0, because weights are divisors.
MIN_PRIORITY_WEIGHT = 1e-6


class InvalidStartValueError(InputError):
    """A missing, malformed or out-of-range start value; the message names its path."""


class SettingField:
    """A field of `ControllerSettings` and the parser of its text.

    Attributes:
        name: the name of the field.
        parse: converts the text of the setting to the field's value.
    """

    __slots__ = ("name", "parse")

    def __init__(self, name: str, parse: Callable[[str], Any]) -> None:
        self.name = name
        self.parse = parse


class Range:
    """The smallest and the largest value that is valid in any deployment."""

    __slots__ = ("maximum", "minimum")

    def __init__(self, minimum: float, maximum: float) -> None:
        self.minimum = minimum
        self.maximum = maximum


def parse_microseconds(text: str) -> float:
    """Parses a time in microseconds and returns it in milliseconds."""
    return float(text) / 1000.0


def parse_floats(text: str) -> list[float]:
    """Parses numbers that are separated by commas."""
    return [float(number) for number in text.split(",")]


def choice_parser(choices: Mapping[str, Parsed]) -> Callable[[str], Parsed]:
    """Returns a parser that accepts only the keys of `choices` and returns their values."""

    def parse(text: str) -> Parsed:
        if text not in choices:
            raise InputError(f"give one of {', '.join(choices)}")
        return choices[text]

    return parse


SETTING_FIELDS = {
    "caps.max-retry-after": SettingField("max_retry_after_ms", parse_microseconds),
    "caps.retry-after": SettingField("retry_after_supported", choice_parser(BOOLEAN_WORDS)),
    "family-info.below": SettingField("dependency_kind", choice_parser(DEPENDENCY_WORDS)),
    "family-info.call-share": SettingField("dependency_quota", float),
    "family-info.callers": SettingField("callers", int),
    "family-info.cold": SettingField("starts_cold", choice_parser(BOOLEAN_WORDS)),
    "family-info.cores": SettingField("cores", int),
    "family-info.dep-window": SettingField("dependency_window_ms", parse_microseconds),
    "family-info.entry-kb": SettingField("key_memory_kb", float),
    "family-info.halt": SettingField("cancel_mode", choice_parser(CANCEL_MODE_WORDS)),
    "family-info.idle": SettingField("idle_timeout_ms", parse_microseconds),
    "family-info.memory-kb": SettingField("memory_kb", float),
    "family-info.readiness": SettingField("listed_by_health", choice_parser(BOOLEAN_WORDS)),
    "family-info.run-factor": SettingField("run_memory_factor", float),
    "family-info.signal": SettingField("load_feedback", choice_parser(LOAD_FEEDBACK_WORDS)),
    "family-info.stays-for": SettingField("dependency_linger_ms", parse_microseconds),
    "rules.cold-share": SettingField("initial_speed", float),
    "rules.fall-multiple": SettingField("crash_load_factor", float),
    "rules.stop-sending-within": SettingField("drain_grace_ms", parse_microseconds),
    "rules.warm-after": SettingField("warm_up_ms", parse_microseconds),
    "servers": SettingField("servers", int),
}

# About thirty years in microseconds. Sums and ratios of such values stay finite.
MAX_VALUE = 1e15
MIN_POSITIVE = 1e-9
NOT_NEGATIVE = Range(0, MAX_VALUE)
AT_LEAST_ONE = Range(1, MAX_VALUE)
SETTING_RANGES = {
    "caps.max-retry-after": NOT_NEGATIVE,
    "family-info.call-share": NOT_NEGATIVE,
    "family-info.callers": NOT_NEGATIVE,
    "family-info.cores": AT_LEAST_ONE,
    "family-info.dep-window": NOT_NEGATIVE,
    "family-info.entry-kb": NOT_NEGATIVE,
    "family-info.idle": NOT_NEGATIVE,
    "family-info.memory-kb": Range(MIN_POSITIVE, MAX_VALUE),
    "family-info.run-factor": AT_LEAST_ONE,
    "family-info.stays-for": NOT_NEGATIVE,
    "rules.cold-share": Range(0, 1),
    "rules.fall-multiple": Range(MIN_POSITIVE, MAX_VALUE),
    "rules.stop-sending-within": NOT_NEGATIVE,
    "rules.warm-after": NOT_NEGATIVE,
    "servers": AT_LEAST_ONE,
}
CLASS_RANGES = {
    "aim-stretch": NOT_NEGATIVE,
    "deadline": AT_LEAST_ONE,
    "late-value": NOT_NEGATIVE,
    "memory-span": NOT_NEGATIVE,
    "target": AT_LEAST_ONE,
    "worth": NOT_NEGATIVE,
}
TENANT_RANGES = {"allowance-per-s": NOT_NEGATIVE, "share": NOT_NEGATIVE}


def read_value(
    path: str, pairs: dict[str, str], parse: Callable[[str], Parsed], default: Default
) -> Parsed | Default:
    """Returns the parsed value of a path, or the default if the path is absent.

    Raises:
        InvalidStartValueError: The text cannot be parsed.
    """
    if path not in pairs:
        return default
    try:
        return parse(pairs[path])
    except InputError as error:
        remedy = f"; {error}"
    except ValueError:
        remedy = ""
    raise InvalidStartValueError(f"malformed start value {path}={pairs[path]!r}{remedy}")


def parse_lines(text: str) -> dict[str, str]:
    """Returns the values by path from text with lines `path=value`.

    Raises:
        InvalidStartValueError: A line has no '='.
    """
    pairs: dict[str, str] = {}
    for line in text.splitlines():
        if line.strip():
            path, equals, value = line.partition("=")
            if not equals:
                raise InvalidStartValueError(f"malformed start value {line!r}: no '='")
            pairs[path.strip()] = value.strip()
    return pairs


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Returns the values by path from nested JSON, in the form of `parse_lines`.

    Lists of scalars are joined by commas. The members of lists of objects are numbered from 0, and
    the length of the list is the value of `count`. Null values are omitted.
    """
    members: dict[str, Any]
    if isinstance(value, dict):
        members = {f"{path}.{key}" if path else str(key): inner for key, inner in value.items()}
    elif isinstance(value, list) and (not value or isinstance(value[0], dict)):
        members = {f"{path}.{index}": inner for index, inner in enumerate(value)}
        members[f"{path}.count"] = len(value)
    else:
        return {path: _format_value(value)}
    pairs: dict[str, str] = {}
    for name, inner in members.items():
        if inner is not None:
            pairs |= flatten(inner, name)
    return pairs


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(map(_format_value, value))
    return str(value).lower() if isinstance(value, bool) else str(value)


def settings_of(pairs: dict[str, str]) -> dict[str, str]:
    """Returns the start values below `settings.`, with that prefix removed from their paths."""
    prefix = "settings."
    return {
        path.removeprefix(prefix): text for path, text in pairs.items() if path.startswith(prefix)
    }


def parse_address(text: str) -> tuple[str, int]:
    """Returns the host and port of `host:port`, where the port may be 0.

    Raises:
        ValueError: The text is not a valid address to dial or to listen on.
    """
    host, _, digits = text.rpartition(":")
    name = host.strip("[]")
    port = int(digits)
    if not HOST_PATTERN.fullmatch(name) or not 0 <= port <= MAX_PORT:
        raise ValueError("no host:port")
    return name, port


def parse_peer_address(text: str) -> tuple[str, int]:
    """Returns the host and port of an address to dial.

    Raises:
        ValueError: The address is invalid, or its port is 0, which only listeners may use.
    """
    host, port = parse_address(text)
    if not port:
        raise ValueError("no port to dial")
    return host, port


def index_by_name(pairs: dict[str, str], kind: str) -> dict[str, int]:
    """Returns the indexes of the `classes` or `tenants`, by name; the default name is the index."""
    return {
        pairs.get(f"{kind}.{index}.name", str(index)): index for index in range(_count(pairs, kind))
    }


def unique_index_by_name(pairs: dict[str, str], kind: str) -> dict[str, int]:
    """Returns the same as `index_by_name`, if names are unique, because requests carry names.

    Raises:
        InvalidStartValueError: A name occurs twice.
    """
    indexes = index_by_name(pairs, kind)
    count = _count(pairs, kind)
    if len(indexes) < count:
        raise InvalidStartValueError(
            f"a name is there twice among {count}; give each a name of its own", place=kind
        )
    return indexes


def _count(pairs: dict[str, str], kind: str) -> int:
    return read_value(f"{kind}.count", pairs, int, 0)


def check_ranges(pairs: dict[str, str], ranges: Mapping[str, Range], prefix: str = "") -> None:
    """Checks values against their ranges, so that no decision divides by 0.

    Raises:
        InvalidStartValueError: A value is out of its range.
    """
    for name, allowed in ranges.items():
        path = prefix + name
        value = read_value(path, pairs, float, None)
        if value is not None and not allowed.minimum <= value <= allowed.maximum:
            raise InvalidStartValueError(
                f"out of range; give a value from {allowed.minimum:g} to {allowed.maximum:g}",
                place=f"{path}={pairs[path]}",
            )


def feedback_shape(pairs: dict[str, str]) -> str:
    """Returns the kind of load value that callers receive, in the terms of the operator manual.

    The kind is 'credit' if the value is the number of requests that each caller may have at this
    server, and 'share' if it is a weight, a lowest priority or if there is none.

    Raises:
        InvalidStartValueError: The kind is 'credit' but the number of callers is not set.
    """
    is_credit = pairs.get("family-info.signal") == "tokens"
    if is_credit and "family-info.callers" not in pairs:
        raise InvalidStartValueError(
            "family-info.callers is missing: a credit (family-info.signal=tokens) is divided among"
            " the callers; set their number, or report a share (bias) or a level (min_rank)"
        )
    return "credit" if is_credit else "share"


def controller_settings(pairs: dict[str, str]) -> ControllerSettings:
    """Returns the settings of a controller from a deployment's settings.

    Raises:
        InvalidStartValueError: A value is missing, malformed or out of its range.
    """
    feedback_shape(pairs)
    check_ranges(pairs, SETTING_RANGES)
    values_by_field: dict[str, Any] = {
        field.name: read_value(path, pairs, field.parse, None)
        for path, field in SETTING_FIELDS.items()
        if path in pairs
    }
    degraded_weights = read_value("family-info.class-skip-worth", pairs, parse_floats, [])
    configured_gauges = pairs.get("family-info.meters", "")
    return ControllerSettings(
        request_classes=[
            _request_class(pairs, index, degraded_weights)
            for index in range(_count(pairs, "classes"))
        ],
        tenants=[_tenant(pairs, index) for index in range(_count(pairs, "tenants"))],
        gauges=[
            GAUGE_WORDS.get(gauge, gauge)
            for gauge in configured_gauges.split(",")
            if configured_gauges
        ],
        **values_by_field,
    )


def _request_class(
    pairs: dict[str, str], index: int, degraded_weights: list[float]
) -> RequestClass:
    prefix = f"classes.{index}."
    check_ranges(pairs, CLASS_RANGES, prefix)
    timeout_ms = read_value(prefix + "deadline", pairs, parse_microseconds, None)
    if timeout_ms is None:
        raise InvalidStartValueError(f"missing start value {prefix}deadline")
    idempotency = read_value(
        prefix + "effect", pairs, choice_parser(IDEMPOTENCY_WORDS), Idempotency.NONE
    )
    window_path = prefix + "memory-span"
    window_ms = read_value(window_path, pairs, parse_microseconds, 0.0)
    if idempotency is Idempotency.KEYED and not window_ms:
        raise InvalidStartValueError(
            f"missing start value {window_path}: how long a retry by key may arrive, above 0"
        )
    weight = read_value(prefix + "worth", pairs, float, 1.0)
    return RequestClass(
        latency_objective_ms=read_value(prefix + "target", pairs, parse_microseconds, timeout_ms),
        objective_per_work=read_value(prefix + "aim-stretch", pairs, float, 0.0),
        timeout_ms=timeout_ms,
        idempotency=idempotency,
        idempotency_window_ms=window_ms,
        priority_weight=max(MIN_PRIORITY_WEIGHT, weight),
        late_weight=read_value(prefix + "late-value", pairs, float, 0.0),
        degraded_weight=degraded_weights[index] if index < len(degraded_weights) else 0.0,
    )


def _tenant(pairs: dict[str, str], index: int) -> Tenant:
    prefix = f"tenants.{index}."
    check_ranges(pairs, TENANT_RANGES, prefix)
    return Tenant(
        quota=read_value(prefix + "share", pairs, float, 1.0),
        rate_limit_per_s=read_value(prefix + "allowance-per-s", pairs, float, None),
    )
