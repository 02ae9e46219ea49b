"""Plays scenario files: steps in time, one a line or parted by ";", and what must have come of them by then.

start KEY=VALUE ...           settings by keyword; `stage` and `tenant` lines before it add to the lists
stage NAME due=.. limit=.. effect=.. [window= utility= late= skip=]
tenant NAME [share= allowance=]
pool NAME STAGE,STAGE [reserve= weight= most= lends=]      class pools, by lines before `start`
budget RATIO BURST            of repeated attempts, before `start`
repool [NAME ...]             from now on only those of the pools, or none
at MS                         moves the clock, with ticks on the way and the gauges of the last `gauge`
task ID STAGE [TENANT] [waited= limit= work= kb= same= caller= again= mark=]      several as 1..9
end ID OUTCOME | call ID | back ID OUTCOME | gone ID | leave STOP
expect ACTION ID [ID ...] | never ACTION [ID ...] | count ACTION LOW HIGH
value LOW HIGH | closed LOW HIGH | cap TENANT LOW HIGH | patience LOW HIGH      of the latest call
`last` is the action of a reject that asks callers not to try elsewhere
forget-seen                   what was asked for so far counts no more
"""

from pathlib import Path
from typing import Any

from pumicenotch.control import AdmissionController, ControllerSettings
from pumicenotch.control.gauges import CORE_UTILIZATION, OPEN_CONNECTIONS, RUNNABLE
from pumicenotch.interface import (
    CancelMode,
    DependencyKind,
    Idempotency,
    IncomingRequest,
    LoadFeedback,
    Outcome,
    RequestClass,
    Tenant,
)
from pumicenotch.pools import ClassPools, PoolPlan, PoolsPlan
from pumicenotch.pools.plan import POOL_KEYS

# The notation's words, and what they stand for.
KINDS: dict[str, dict[str, Any]] = {
    "effect": {
        "RESTARTABLE": Idempotency.IDEMPOTENT,
        "FINGERPRINTED": Idempotency.KEYED,
        "SIDE_EFFECTING": Idempotency.NONE,
    },
    "halt": {"NONE": CancelMode.NONE, "DROP": CancelMode.KILL, "PAUSE": CancelMode.SUSPEND},
    "signal": {
        "NONE": LoadFeedback.NONE,
        "LEVEL": LoadFeedback.MIN_PRIORITY,
        "CREDIT": LoadFeedback.TOKENS,
        "WEIGHT": LoadFeedback.WEIGHT,
    },
    "below": {
        "NONE": DependencyKind.NONE,
        "SHARED": DependencyKind.SHARED,
        "TIER": DependencyKind.NEXT_TIER,
    },
}
OUTCOMES = {
    "OK": Outcome.OK,
    "ERROR": Outcome.ERROR,
    "FULL": Outcome.REJECTED,
    "TIMEOUT": Outcome.TIMEOUT,
    "UNREACHED": Outcome.UNREACHABLE,
    "RESET": Outcome.RESET,
    "CANCELLED": Outcome.CANCELLED,
    "MOOT": Outcome.NOT_STARTED,
}
SETTINGS = {
    "cold": "starts_cold",
    "cold_share": "initial_speed",
    "warm_ms": "warm_up_ms",
    "crowd_multiple": "crash_load_factor",
    "run_factor": "run_memory_factor",
    "entry_kb": "key_memory_kb",
    "stay_away_passed": "retry_after_supported",
    "stay_away_most_ms": "max_retry_after_ms",
    "halt": "cancel_mode",
    "signal": "load_feedback",
    "below": "dependency_kind",
    "call_share": "dependency_quota",
    "call_window_ms": "dependency_window_ms",
    "linger_ms": "dependency_linger_ms",
    "idle_ms": "idle_timeout_ms",
}
GAUGES = {
    "core_use": CORE_UTILIZATION,
    "on_cores": RUNNABLE,
    "links": OPEN_CONNECTIONS,
}
ACTIONS = {
    "start": "run",
    "reject": "reject",
    "fail": "abandon",
    "cancel_run": "halt",
    "call_dependency": "call",
    "skip_dependency": "skip_call",
    "retain_key": "keep",
    "drop_key": "forget",
    "replay_result": "reuse",
    "set_health": "health",
    "report_load": "say",
    "set_idle_timeout": "close_idle",
    "schedule_tick": "wake",
    "log": "log",
}


class Seen:
    """Every action asked for, as (name, first argument), and the timer that is set."""

    def __init__(self) -> None:
        self.made: list[tuple[str, Any]] = []
        self.wake_ms = self.patience_ms = 0.0

    def __getattr__(self, name: str) -> Any:
        def note(first: Any, *rest: Any, **named: Any) -> None:
            word = ACTIONS[name]
            if word == "wake":
                self.wake_ms = first
            else:
                self.made.append((word, first))
                self.made += [("last", first)] if word == "reject" and rest[0] else []
                self.patience_ms = rest[0] if word == "call" else self.patience_ms

        return note

    def ids(self, name: str) -> list[Any]:
        return [first for action, first in self.made if action == name]


def numbers(words: list[str]) -> list[int]:
    found: list[int] = []
    for word in words:
        first, _, last = word.partition("..")
        found += range(int(first), int(last or first) + 1)
    return found


def value(key: str, text: str) -> Any:
    if key in KINDS:
        return KINDS[key][text]
    if text in ("yes", "no"):
        return text == "yes"
    try:
        return int(text) if text.isdigit() else float(text)
    except ValueError:
        return text


class ControlScenario:
    def __init__(self) -> None:
        self.seen = Seen()
        self.stages: dict[str, RequestClass] = {}
        self.tenants: dict[str, Tenant] = {}
        self.pools: list[PoolPlan] = []
        self.budget = (0.1, 10.0)
        self.now = self.rings = 0.0
        self.gauges: dict[str, float] = {"on_cores": 0.0}
        self.control: AdmissionController

    def run(self, path: Path) -> None:
        """Plays a whole file; an AssertionError names the line and the step."""
        for number, line in enumerate(path.read_text().splitlines(), 1):
            for step in line.partition("#")[0].split(";"):
                if step.strip():
                    try:
                        self.line(step)
                    except AssertionError as error:
                        raise AssertionError(f"{path.name}:{number}: {step}: {error}") from None
        self.end()

    def line(self, text: str) -> None:
        verb, *words = text.split()
        pairs = {key: val for key, _, val in (word.partition("=") for word in words if "=" in word)}
        plain = [word for word in words if "=" not in word]
        getattr(self, "do_" + verb.replace("-", "_"))(
            plain, {key: value(key, pairs[key]) for key in pairs}
        )

    def do_stage(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.stages[plain[0]] = RequestClass(
            pairs["due"],
            0.0,
            pairs["limit"],
            pairs.get("effect", Idempotency.IDEMPOTENT),
            pairs.get("window", 0.0),
            pairs.get("utility", 1.0),
            pairs.get("late", 0.0),
            pairs.get("skip", 0.0),
        )

    def do_tenant(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.tenants[plain[0]] = Tenant(pairs.get("share", 1.0), pairs.get("allowance"))

    def do_pool(self, plain: list[str], pairs: dict[str, Any]) -> None:
        settings = {POOL_KEYS[key]: value for key, value in pairs.items()}
        self.pools.append(PoolPlan(plain[0], tuple(plain[1].split(",")), **settings))

    def do_budget(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.budget = (float(plain[0]), float(plain[1]))

    def pooled(self, names: list[str]) -> ClassPools | None:
        pools = tuple(pool for pool in self.pools if pool.name in names)
        plan = PoolsPlan(pools, retry_ratio=self.budget[0], retry_burst=self.budget[1])
        numbers = {name: at for at, name in enumerate(self.stages)}
        return ClassPools(self.now, plan, list(self.stages.values()), numbers) if pools else None

    def do_repool(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.control.use_pools(self.now, self.pooled(plain))

    def settings(self, pairs: dict[str, Any]) -> ControllerSettings:
        return ControllerSettings(
            request_classes=list(self.stages.values()),
            tenants=list(self.tenants.values()),
            gauges=[GAUGES.get(word, word) for word in self.gauges],
            **{SETTINGS.get(word, word): value for word, value in pairs.items()},
        )

    def do_start(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.control = AdmissionController(
            self.seen,
            self.now,
            self.settings(pairs),
            seed=1,
            pools=self.pooled([pool.name for pool in self.pools]),
        )
        self.rings = self.now + self.seen.wake_ms

    def do_gauge(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.gauges.update(pairs)

    def do_at(self, plain: list[str], pairs: dict[str, Any]) -> None:
        until = float(plain[0])
        while self.rings <= until:
            self.now = self.rings
            self.control.on_tick(self.now, tuple(self.gauges.values()))
            self.rings = self.now + self.seen.wake_ms
        self.now = until

    def do_task(self, plain: list[str], pairs: dict[str, Any]) -> None:
        tenants = list(self.tenants)
        for ident in numbers(plain[:1]):
            incoming = IncomingRequest(
                request_id=ident,
                class_index=list(self.stages).index(plain[1]),
                tenant_index=tenants.index(plain[2]) if plain[2:] else 0,
                waited_ms=pairs.get("waited", 0.0),
                expires_at=pairs.get("limit"),
                estimated_work=pairs.get("work"),
                memory_kb=pairs.get("kb", 1.0),
                original_id=pairs.get("same"),
                caller_id=pairs.get("caller", 0),
                is_marked_retry=pairs.get("again", False),
                content_digest=pairs.get("mark", 0),
            )
            self.control.on_request(self.now, incoming)

    def do_end(self, plain: list[str], pairs: dict[str, Any]) -> None:
        for ident in numbers(plain[:1]):
            self.control.on_run_finished(self.now, ident, OUTCOMES[plain[1]])

    def do_call(self, plain: list[str], pairs: dict[str, Any]) -> None:
        for ident in numbers(plain):
            self.control.on_dependency_needed(self.now, ident)

    def do_back(self, plain: list[str], pairs: dict[str, Any]) -> None:
        for ident in numbers(plain[:1]):
            self.control.on_dependency_finished(self.now, ident, OUTCOMES[plain[1]])

    def do_gone(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.control.on_cancel(self.now, int(plain[0]))

    def do_leave(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.control.start_draining(self.now, float(plain[0]))

    def do_expect(self, plain: list[str], pairs: dict[str, Any]) -> None:
        for ident in numbers(plain[1:]):
            times = self.seen.ids(plain[0]).count(ident)
            assert times == 1, f"{plain[0]} {ident} {times} times by {self.now}: {self.seen.made}"

    def do_never(self, plain: list[str], pairs: dict[str, Any]) -> None:
        ids = self.seen.ids(plain[0])
        found = [ident for ident in numbers(plain[1:]) if ident in ids] if plain[1:] else ids
        assert not found, f"{plain[0]} {found} by {self.now}: {self.seen.made}"

    def do_count(self, plain: list[str], pairs: dict[str, Any]) -> None:
        found = len(self.seen.ids(plain[0]))
        assert int(plain[1]) <= found <= int(plain[2]), f"{found} by {self.now}: {self.seen.made}"

    def do_value(self, plain: list[str], pairs: dict[str, Any]) -> None:
        said = self.seen.ids("say")[-1]
        assert float(plain[0]) <= said <= float(plain[1]), f"said {said} at {self.now}"

    def do_closed(self, plain: list[str], pairs: dict[str, Any]) -> None:
        after = self.seen.ids("close_idle")[-1]
        assert float(plain[0]) <= after <= float(plain[1]), f"idle for {after} at {self.now}"

    def do_patience(self, plain: list[str], pairs: dict[str, Any]) -> None:
        assert float(plain[0]) <= self.seen.patience_ms <= float(plain[1]), self.seen.patience_ms

    def do_cap(self, plain: list[str], pairs: dict[str, Any]) -> None:
        caps = [self.control.scheduler.shares[at] for at in range(len(self.tenants))]
        cap = caps[list(self.tenants).index(plain[0])]
        assert float(plain[1]) <= cap <= float(plain[2]), f"cap {cap} of {caps}"

    def end(self) -> None: ...

    def do_forget_seen(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.seen.made.clear()
