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

from typing import Any

from pumicenotch.control import Control
from pumicenotch.interface import Below, Effect, Halt, Outcome, Signal, Stage, Tenant
from pumicenotch.pools import Plan, Pool, Pools

KINDS: dict[str, Any] = {"effect": Effect, "halt": Halt, "signal": Signal, "below": Below}


class Seen:
    """Every action asked for, as (name, first argument), and the timer that is set."""

    def __init__(self) -> None:
        self.made: list[tuple[str, Any]] = []
        self.wake_ms = self.patience_ms = 0.0

    def __getattr__(self, name: str) -> Any:
        def note(first: Any, *rest: Any, **named: Any) -> None:
            if name == "wake":
                self.wake_ms = first
            else:
                self.made.append((name, first))
                self.made += [("last", first)] if name == "reject" and rest[0] else []
                self.patience_ms = rest[0] if name == "call" else self.patience_ms

        return note

    def ids(self, name: str) -> list[Any]:
        return [first for action, first in self.made if action == name]


def numbers(words: list[str]) -> list[int]:
    found: list[int] = []
    for word in words:
        first, _, last = word.partition("..")
        found += range(int(first), int(last or first) + 1)
    return found


def rid(name: str) -> str:
    """A test's short name of a task, as the protocol wants it."""
    return name.encode().hex().zfill(16)


def short(rid: str) -> str:
    return bytes.fromhex(rid).strip(b"\0").decode()


def value(key: str, text: str) -> Any:
    if key in KINDS:
        return KINDS[key][text]
    if text in ("yes", "no"):
        return text == "yes"
    try:
        return int(text) if text.isdigit() else float(text)
    except ValueError:
        return text


class Play:
    def __init__(self) -> None:
        self.seen = Seen()
        self.stages: dict[str, Stage] = {}
        self.tenants: dict[str, Tenant] = {}
        self.pools: list[Pool] = []
        self.budget = (0.1, 10.0)
        self.now = self.rings = 0.0
        self.gauges: dict[str, float] = {"on_cores": 0.0}
        self.control: Control

    def line(self, text: str) -> None:
        verb, *words = text.split()
        pairs = {key: val for key, _, val in (word.partition("=") for word in words if "=" in word)}
        plain = [word for word in words if "=" not in word]
        getattr(self, "do_" + verb.replace("-", "_"))(
            plain, {key: value(key, pairs[key]) for key in pairs}
        )

    def do_stage(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.stages[plain[0]] = Stage(
            pairs["due"],
            0.0,
            pairs["limit"],
            pairs.get("effect", Effect.RESTARTABLE),
            pairs.get("window", 0.0),
            pairs.get("utility", 1.0),
            pairs.get("late", 0.0),
            pairs.get("skip", 0.0),
        )

    def do_tenant(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.tenants[plain[0]] = Tenant(pairs.get("share", 1.0), pairs.get("allowance"))

    def do_pool(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.pools.append(Pool(plain[0], tuple(plain[1].split(",")), **pairs))

    def do_budget(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.budget = (float(plain[0]), float(plain[1]))

    def pooled(self, names: list[str]) -> Pools | None:
        pools = tuple(pool for pool in self.pools if pool.name in names)
        plan = Plan(pools, retry_ratio=self.budget[0], retry_burst=self.budget[1])
        numbers = {name: at for at, name in enumerate(self.stages)}
        return Pools(self.now, plan, list(self.stages.values()), numbers) if pools else None

    def do_repool(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.control.pool(self.now, self.pooled(plain))

    def do_start(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.control = Control(
            self.seen,
            self.now,
            seed=1,
            pools=self.pooled([pool.name for pool in self.pools]),
            stages=list(self.stages.values()),
            tenants=list(self.tenants.values()),
            gauges=list(self.gauges),
            **pairs,
        )
        self.rings = self.now + self.seen.wake_ms

    def do_gauge(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.gauges.update(pairs)

    def do_at(self, plain: list[str], pairs: dict[str, Any]) -> None:
        until = float(plain[0])
        while self.rings <= until:
            self.now = self.rings
            self.control.tick(self.now, tuple(self.gauges.values()))
            self.rings = self.now + self.seen.wake_ms
        self.now = until

    def do_task(self, plain: list[str], pairs: dict[str, Any]) -> None:
        tenants = list(self.tenants)
        for ident in numbers(plain[:1]):
            self.control.task(
                self.now,
                ident,
                list(self.stages).index(plain[1]),
                tenants.index(plain[2]) if plain[2:] else 0,
                pairs.get("waited", 0.0),
                pairs.get("limit"),
                pairs.get("work"),
                pairs.get("kb", 1.0),
                pairs.get("same"),
                pairs.get("caller", 0),
                pairs.get("again", False),
                pairs.get("mark", 0),
            )

    def do_end(self, plain: list[str], pairs: dict[str, Any]) -> None:
        for ident in numbers(plain[:1]):
            self.control.ended(self.now, ident, Outcome[plain[1]])

    def do_call(self, plain: list[str], pairs: dict[str, Any]) -> None:
        for ident in numbers(plain):
            self.control.at_call(self.now, ident)

    def do_back(self, plain: list[str], pairs: dict[str, Any]) -> None:
        for ident in numbers(plain[:1]):
            self.control.call_ended(self.now, ident, Outcome[plain[1]])

    def do_gone(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.control.caller_gone(self.now, int(plain[0]))

    def do_leave(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.control.leave(self.now, float(plain[0]))

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
        caps = [self.control.queues.caps[at] for at in range(len(self.tenants))]
        cap = caps[list(self.tenants).index(plain[0])]
        assert float(plain[1]) <= cap <= float(plain[2]), f"cap {cap} of {caps}"

    def end(self) -> None: ...

    def do_forget_seen(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.seen.made.clear()
