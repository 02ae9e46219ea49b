"""Plays scenario files of the controller: steps in time, with checks of the actions so far.

A line holds one step, or several separated by ";". Comments begin with "#". Steps:

start KEY=VALUE ...           creates the controller with these settings, after these lines:
stage NAME due=.. limit=.. effect=.. [window= utility= late= skip=]      adds a request class
tenant NAME [share= allowance=]      adds a tenant
pool NAME STAGE,STAGE [reserve= weight= most= lends=]      adds a class pool
budget RATIO BURST            sets the retry budgets
repool [NAME ...]             replaces the pools by the named ones, or by none
gauge NAME=VALUE ...          sets gauges, which come with each tick
at MS                         advances the time to MS, with the ticks until then
task ID STAGE [TENANT] [waited= limit= work= kb= same= caller= again= mark=]
                              reads a request; an ID may be a range, as in 1..9
end ID OUTCOME                ends a run
call ID ...                   a run needs its dependency call
back ID OUTCOME               ends a dependency call
gone ID                       the caller no longer waits
leave STOP                    starts a drain; the process stops at STOP
expect ACTION ID ...          checks that the action was taken once for each id
never ACTION [ID ...]         checks that the action was not taken, for these ids or for any
count ACTION LOW HIGH         checks how often the action was taken
value LOW HIGH                checks the latest load value
closed LOW HIGH               checks the latest idle timeout
patience LOW HIGH             checks the timeout of the latest call
cap TENANT LOW HIGH           checks the slots of a tenant
forget-seen                   clears the recorded actions

The action `last` is a reject that asks the caller not to try other servers.
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
from tests.control.action_words import ACTION_WORDS

# The values in the notation, and what they stand for.
ENUM_VALUES: dict[str, dict[str, Any]] = {
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
SETTING_NAMES = {
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
GAUGE_NAMES = {
    "core_use": CORE_UTILIZATION,
    "on_cores": RUNNABLE,
    "links": OPEN_CONNECTIONS,
}


class RecordedActions:
    """Records every action as (name, first argument), and the delay of the next tick."""

    def __init__(self) -> None:
        self.records: list[tuple[str, Any]] = []
        self.tick_after_ms = self.call_timeout_ms = 0.0

    def __getattr__(self, name: str) -> Any:
        def record(first: Any, *other_arguments: Any, **keywords: Any) -> None:
            action = ACTION_WORDS[name]
            if action == "wake":
                self.tick_after_ms = first
            else:
                self.records.append((action, first))
                self.records += (
                    [("last", first)] if action == "reject" and other_arguments[0] else []
                )
                self.call_timeout_ms = (
                    other_arguments[0] if action == "call" else self.call_timeout_ms
                )

        return record

    def ids(self, name: str) -> list[Any]:
        return [first for action, first in self.records if action == name]


def numbers(tokens: list[str]) -> list[int]:
    expanded: list[int] = []
    for token in tokens:
        first, _, last = token.partition("..")
        expanded += range(int(first), int(last or first) + 1)
    return expanded


def parse_value(key: str, text: str) -> Any:
    if key in ENUM_VALUES:
        return ENUM_VALUES[key][text]
    if text in ("yes", "no"):
        return text == "yes"
    try:
        return int(text) if text.isdigit() else float(text)
    except ValueError:
        return text


class ControlScenario:
    def __init__(self) -> None:
        self.actions = RecordedActions()
        self.stages: dict[str, RequestClass] = {}
        self.tenants: dict[str, Tenant] = {}
        self.pools: list[PoolPlan] = []
        self.retry_budget = (0.1, 10.0)
        self.now = self.next_tick_at = 0.0
        self.gauges: dict[str, float] = {"on_cores": 0.0}
        self.control: AdmissionController

    def run(self, path: Path) -> None:
        """Plays a whole file. An AssertionError names the line and the step."""
        for number, line in enumerate(path.read_text().splitlines(), 1):
            for step in line.partition("#")[0].split(";"):
                if step.strip():
                    try:
                        self.play_step(step)
                    except AssertionError as error:
                        raise AssertionError(f"{path.name}:{number}: {step}: {error}") from None
        self.end()

    def play_step(self, text: str) -> None:
        verb, *tokens = text.split()
        options = {
            key: text_value
            for key, _, text_value in (token.partition("=") for token in tokens if "=" in token)
        }
        arguments = [token for token in tokens if "=" not in token]
        getattr(self, "do_" + verb.replace("-", "_"))(
            arguments, {key: parse_value(key, options[key]) for key in options}
        )

    def do_stage(self, arguments: list[str], options: dict[str, Any]) -> None:
        self.stages[arguments[0]] = RequestClass(
            options["due"],
            0.0,
            options["limit"],
            options.get("effect", Idempotency.IDEMPOTENT),
            options.get("window", 0.0),
            options.get("utility", 1.0),
            options.get("late", 0.0),
            options.get("skip", 0.0),
        )

    def do_tenant(self, arguments: list[str], options: dict[str, Any]) -> None:
        self.tenants[arguments[0]] = Tenant(options.get("share", 1.0), options.get("allowance"))

    def do_pool(self, arguments: list[str], options: dict[str, Any]) -> None:
        settings = {POOL_KEYS[key]: value for key, value in options.items()}
        self.pools.append(PoolPlan(arguments[0], tuple(arguments[1].split(",")), **settings))

    def do_budget(self, arguments: list[str], options: dict[str, Any]) -> None:
        self.retry_budget = (float(arguments[0]), float(arguments[1]))

    def make_pools(self, names: list[str]) -> ClassPools | None:
        pools = tuple(pool for pool in self.pools if pool.name in names)
        plan = PoolsPlan(pools, retry_ratio=self.retry_budget[0], retry_burst=self.retry_budget[1])
        numbers = {name: at for at, name in enumerate(self.stages)}
        return ClassPools(self.now, plan, list(self.stages.values()), numbers) if pools else None

    def do_repool(self, arguments: list[str], options: dict[str, Any]) -> None:
        self.control.use_pools(self.now, self.make_pools(arguments))

    def settings(self, options: dict[str, Any]) -> ControllerSettings:
        return ControllerSettings(
            request_classes=list(self.stages.values()),
            tenants=list(self.tenants.values()),
            gauges=[GAUGE_NAMES.get(token, token) for token in self.gauges],
            **{SETTING_NAMES.get(token, token): value for token, value in options.items()},
        )

    def do_start(self, arguments: list[str], options: dict[str, Any]) -> None:
        self.control = AdmissionController(
            self.actions,
            self.now,
            self.settings(options),
            seed=1,
            pools=self.make_pools([pool.name for pool in self.pools]),
        )
        self.next_tick_at = self.now + self.actions.tick_after_ms

    def do_gauge(self, arguments: list[str], options: dict[str, Any]) -> None:
        self.gauges.update(options)

    def do_at(self, arguments: list[str], options: dict[str, Any]) -> None:
        target_ms = float(arguments[0])
        while self.next_tick_at <= target_ms:
            self.now = self.next_tick_at
            self.control.on_tick(self.now, tuple(self.gauges.values()))
            self.next_tick_at = self.now + self.actions.tick_after_ms
        self.now = target_ms

    def do_task(self, arguments: list[str], options: dict[str, Any]) -> None:
        tenants = list(self.tenants)
        for request_id in numbers(arguments[:1]):
            incoming = IncomingRequest(
                request_id=request_id,
                class_index=list(self.stages).index(arguments[1]),
                tenant_index=tenants.index(arguments[2]) if arguments[2:] else 0,
                waited_ms=options.get("waited", 0.0),
                expires_at=options.get("limit"),
                estimated_work=options.get("work"),
                memory_kb=options.get("kb", 1.0),
                original_id=options.get("same"),
                caller_id=options.get("caller", 0),
                is_marked_retry=options.get("again", False),
                content_digest=options.get("mark", 0),
            )
            self.control.on_request(self.now, incoming)

    def do_end(self, arguments: list[str], options: dict[str, Any]) -> None:
        for request_id in numbers(arguments[:1]):
            self.control.on_run_finished(self.now, request_id, OUTCOMES[arguments[1]])

    def do_call(self, arguments: list[str], options: dict[str, Any]) -> None:
        for request_id in numbers(arguments):
            self.control.on_dependency_needed(self.now, request_id)

    def do_back(self, arguments: list[str], options: dict[str, Any]) -> None:
        for request_id in numbers(arguments[:1]):
            self.control.on_dependency_finished(self.now, request_id, OUTCOMES[arguments[1]])

    def do_gone(self, arguments: list[str], options: dict[str, Any]) -> None:
        self.control.on_cancel(self.now, int(arguments[0]))

    def do_leave(self, arguments: list[str], options: dict[str, Any]) -> None:
        self.control.start_draining(self.now, float(arguments[0]))

    def do_expect(self, arguments: list[str], options: dict[str, Any]) -> None:
        for request_id in numbers(arguments[1:]):
            times = self.actions.ids(arguments[0]).count(request_id)
            assert times == 1, (
                f"{arguments[0]} {request_id} {times} times by {self.now}: {self.actions.records}"
            )

    def do_never(self, arguments: list[str], options: dict[str, Any]) -> None:
        ids = self.actions.ids(arguments[0])
        matches = (
            [request_id for request_id in numbers(arguments[1:]) if request_id in ids]
            if arguments[1:]
            else ids
        )
        assert not matches, f"{arguments[0]} {matches} by {self.now}: {self.actions.records}"

    def do_count(self, arguments: list[str], options: dict[str, Any]) -> None:
        matches = len(self.actions.ids(arguments[0]))
        assert int(arguments[1]) <= matches <= int(arguments[2]), (
            f"{matches} by {self.now}: {self.actions.records}"
        )

    def do_value(self, arguments: list[str], options: dict[str, Any]) -> None:
        reported = self.actions.ids("say")[-1]
        assert float(arguments[0]) <= reported <= float(arguments[1]), (
            f"reported {reported} at {self.now}"
        )

    def do_closed(self, arguments: list[str], options: dict[str, Any]) -> None:
        timeout_ms = self.actions.ids("close_idle")[-1]
        assert float(arguments[0]) <= timeout_ms <= float(arguments[1]), (
            f"idle for {timeout_ms} at {self.now}"
        )

    def do_patience(self, arguments: list[str], options: dict[str, Any]) -> None:
        assert float(arguments[0]) <= self.actions.call_timeout_ms <= float(arguments[1]), (
            self.actions.call_timeout_ms
        )

    def do_cap(self, arguments: list[str], options: dict[str, Any]) -> None:
        slots_by_tenant = [self.control.scheduler.shares[at] for at in range(len(self.tenants))]
        slots = slots_by_tenant[list(self.tenants).index(arguments[0])]
        assert float(arguments[1]) <= slots <= float(arguments[2]), (
            f"slots {slots} of {slots_by_tenant}"
        )

    # Subclasses run their final checks here.
    def end(self) -> None: ...

    def do_forget_seen(self, arguments: list[str], options: dict[str, Any]) -> None:
        self.actions.records.clear()
