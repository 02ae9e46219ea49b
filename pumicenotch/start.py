"""Turns the values that a server is started with, as lines or as nested JSON, into keyword arguments:
times in ms, absent keys left out.
"""

import re
from collections.abc import Callable
from typing import Any

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

EFFECTS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.NONE,
}
HALTS = {"off": CancelMode.NONE, "drop": CancelMode.KILL, "pause": CancelMode.SUSPEND}
SIGNALS = {
    "off": LoadFeedback.NONE,
    "min_rank": LoadFeedback.MIN_PRIORITY,
    "tokens": LoadFeedback.TOKENS,
    "bias": LoadFeedback.WEIGHT,
}
BELOWS = {
    "off": DependencyKind.NONE,
    "common": DependencyKind.SHARED,
    "next_hop": DependencyKind.NEXT_TIER,
}
GAUGES = {"core_use": CORE_UTILIZATION, "on_cores": RUNNABLE, "links": OPEN_CONNECTIONS}
TRUTHS = {"true": True, "false": False}


HOST = re.compile(
    r"[0-9a-zA-Z_-]+(\.[0-9a-zA-Z_-]+)*|[0-9a-fA-F.]*:[0-9a-fA-F:.]*(%[0-9a-zA-Z]+)?", re.ASCII
)


def ms(text: str) -> float:
    return float(text) / 1000.0


def floats(text: str) -> list[float]:
    return [float(part) for part in text.split(",")]


# Path on the wire -> keyword of the control and how the text is read.
KEYWORDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "caps.max-retry-after": ("max_retry_after_ms", ms),
    "caps.retry-after": ("retry_after_supported", TRUTHS.__getitem__),
    "family-info.below": ("dependency_kind", BELOWS.__getitem__),
    "family-info.call-share": ("dependency_quota", float),
    "family-info.callers": ("callers", int),
    "family-info.cold": ("starts_cold", TRUTHS.__getitem__),
    "family-info.cores": ("cores", int),
    "family-info.dep-window": ("dependency_window_ms", ms),
    "family-info.entry-kb": ("key_memory_kb", float),
    "family-info.halt": ("cancel_mode", HALTS.__getitem__),
    "family-info.idle": ("idle_timeout_ms", ms),
    "family-info.memory-kb": ("memory_kb", float),
    "family-info.readiness": ("listed_by_health", TRUTHS.__getitem__),
    "family-info.run-factor": ("run_memory_factor", float),
    "family-info.signal": ("load_feedback", SIGNALS.__getitem__),
    "family-info.stays-for": ("dependency_linger_ms", ms),
    "rules.cold-share": ("initial_speed", float),
    "rules.fall-multiple": ("crash_load_factor", float),
    "rules.stop-sending-within": ("drain_grace_ms", ms),
    "rules.warm-after": ("warm_up_ms", ms),
    "servers": ("servers", int),
}


class InvalidStartValueError(InputError):
    """A start value that cannot be read; the text names its path."""


def read(path: str, pairs: dict[str, str], kind: Callable[[str], Any], absent: Any) -> Any:
    if path not in pairs:
        return absent
    try:
        return kind(pairs[path])
    except (ValueError, KeyError):
        words = getattr(kind, "__self__", None)  # of a table that names what is allowed
        allowed = f"; give one of {', '.join(words)}" if isinstance(words, dict) else ""
        raise InvalidStartValueError(
            f"malformed start value {path}={pairs[path]!r}{allowed}"
        ) from None


def lines(text: str) -> dict[str, str]:
    """The pairs of path=value lines."""
    pairs: dict[str, str] = {}
    for line in text.splitlines():
        if line.strip():
            path, equals, value = line.partition("=")
            if not equals:
                raise InvalidStartValueError(f"malformed start value {line!r}: no '='")
            pairs[path.strip()] = value.strip()
    return pairs


def nested(value: Any, path: str = "") -> dict[str, str]:
    """The same pairs from nested JSON: plain lists joined by commas, lists of objects numbered."""
    parts: dict[str, Any]
    if isinstance(value, dict):
        parts = {f"{path}.{key}" if path else str(key): inner for key, inner in value.items()}
    elif isinstance(value, list) and (not value or isinstance(value[0], dict)):
        parts = {f"{path}.{at}": inner for at, inner in enumerate(value)}
        parts[f"{path}.count"] = len(value)
    else:
        return {path: ",".join(map(plain, value)) if isinstance(value, list) else plain(value)}
    pairs: dict[str, str] = {}
    for name, inner in parts.items():
        if inner is not None:
            pairs |= nested(inner, name)
    return pairs


def plain(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def settings(pairs: dict[str, str]) -> dict[str, str]:
    """Of all that a program is told, the settings, by their paths inside."""
    inside = "settings."
    return {
        path.removeprefix(inside): text for path, text in pairs.items() if path.startswith(inside)
    }


def address(text: str) -> tuple[str, int]:
    """Raises ValueError for what nothing can be dialled at."""
    host, _, digits = text.rpartition(":")
    name, port = host.strip("[]"), int(digits)
    if not HOST.fullmatch(name) or not 0 <= port <= 65535:
        raise ValueError("no host:port")
    return name, port


def peer(text: str) -> tuple[str, int]:
    """An address to dial: port 0 is for listeners, which the system gives one."""
    found = address(text)
    if not found[1]:
        raise ValueError("no port to dial")
    return found


def names(pairs: dict[str, str], what: str) -> dict[str, int]:
    """The places of stages or tenants by their names."""
    return {
        pairs.get(f"{what}.{at}.name", str(at)): at
        for at in range(read(f"{what}.count", pairs, int, 0))
    }


# Path -> the least and the most that a value may be: beyond them no deployment makes sense, and the decisions
# would divide by nothing or take no task at all.
Bounds = dict[str, tuple[float, float]]
FINITE = 1e15  # some thirty years in the wire's unit: sums and ratios of it stay numbers
BOUNDS: Bounds = {
    "caps.max-retry-after": (0, FINITE),
    "family-info.call-share": (0, FINITE),
    "family-info.callers": (0, FINITE),
    "family-info.cores": (1, FINITE),
    "family-info.dep-window": (0, FINITE),
    "family-info.entry-kb": (0, FINITE),
    "family-info.idle": (0, FINITE),
    "family-info.memory-kb": (1e-9, FINITE),
    "family-info.run-factor": (1, FINITE),
    "family-info.stays-for": (0, FINITE),
    "rules.cold-share": (0, 1),
    "rules.fall-multiple": (1e-9, FINITE),
    "rules.stop-sending-within": (0, FINITE),
    "rules.warm-after": (0, FINITE),
    "servers": (1, FINITE),
}
OF_STAGE: Bounds = {
    "aim-stretch": (0, FINITE),
    "deadline": (1, FINITE),
    "late-value": (0, FINITE),
    "memory-span": (0, FINITE),
    "target": (1, FINITE),
    "worth": (0, FINITE),
}
OF_TENANT: Bounds = {"allowance-per-s": (0, FINITE), "share": (0, FINITE)}
UTILITY_LEAST = 1e-6  # of a stage that is worth nothing: it goes last, and is divided by


def bounded(pairs: dict[str, str], bounds: Bounds = BOUNDS, prefix: str = "") -> None:
    for name, (least, most) in bounds.items():
        path = prefix + name
        value = read(path, pairs, float, None)
        if value is not None and not least <= value <= most:
            raise InvalidStartValueError(
                f"{path}={pairs[path]}: out of range; give a value from {least:g} to {most:g}"
            )


def named(pairs: dict[str, str], what: str) -> dict[str, int]:
    """`names`, where none may be there twice: their tasks could not be told apart."""
    found, count = names(pairs, what), read(f"{what}.count", pairs, int, 0)
    if len(found) < count:
        raise InvalidStartValueError(
            f"{what}: a name is there twice among {count}; give each a name of its own"
        )
    return found


def shape(pairs: dict[str, str]) -> str:
    """Which shape of deployment the settings describe: 'credit' where callers are told how many tasks each
    may have out here (lagos-roster, delsol-avrakning), 'share' where they are told a share or a level, as
    before the move. Settings that mix them (a credit without the number of callers) are refused by path.
    """
    credit = pairs.get("family-info.signal") == "tokens"
    if credit and "family-info.callers" not in pairs:
        raise InvalidStartValueError(
            "family-info.callers is missing: a credit (family-info.signal=tokens) is shared among the"
            " callers; name how many there are, or tell a share (bias) or a level (min_rank)"
        )
    return "credit" if credit else "share"


def controller_settings(pairs: dict[str, str]) -> ControllerSettings:
    shape(pairs)
    bounded(pairs)
    found: dict[str, Any] = {
        word: read(path, pairs, kind, None)
        for path, (word, kind) in KEYWORDS.items()
        if path in pairs
    }
    skips = read("family-info.class-skip-worth", pairs, floats, [])
    found["request_classes"] = [
        stage(pairs, at, skips) for at in range(read("classes.count", pairs, int, 0))
    ]
    found["tenants"] = [tenant(pairs, at) for at in range(read("tenants.count", pairs, int, 0))]
    meters = pairs.get("family-info.meters", "")
    words = meters.split(",") if meters else []
    found["gauges"] = [GAUGES.get(word, word) for word in words]
    return ControllerSettings(**found)


def stage(pairs: dict[str, str], at: int, skips: list[float]) -> RequestClass:
    prefix = f"classes.{at}."
    bounded(pairs, OF_STAGE, prefix)
    limit_ms = read(prefix + "deadline", pairs, ms, None)
    if limit_ms is None:
        raise InvalidStartValueError(f"missing start value {prefix}deadline")
    effect = read(prefix + "effect", pairs, EFFECTS.__getitem__, Idempotency.NONE)
    window_ms = read(prefix + "memory-span", pairs, ms, 0.0)
    if effect is Idempotency.KEYED and not window_ms:
        path = prefix + "memory-span"
        raise InvalidStartValueError(
            f"missing start value {path}: how long a task by_key may come again, above 0"
        )
    return RequestClass(
        latency_objective_ms=read(prefix + "target", pairs, ms, limit_ms),
        objective_per_work=read(prefix + "aim-stretch", pairs, float, 0.0),
        timeout_ms=limit_ms,
        idempotency=effect,
        idempotency_window_ms=window_ms,
        priority_weight=max(UTILITY_LEAST, read(prefix + "worth", pairs, float, 1.0)),
        late_weight=read(prefix + "late-value", pairs, float, 0.0),
        degraded_weight=skips[at] if at < len(skips) else 0.0,
    )


def tenant(pairs: dict[str, str], at: int) -> Tenant:
    bounded(pairs, OF_TENANT, f"tenants.{at}.")
    return Tenant(
        quota=read(f"tenants.{at}.share", pairs, float, 1.0),
        rate_limit_per_s=read(f"tenants.{at}.allowance-per-s", pairs, float, None),
    )
