"""Makes the golden files of `golden/fleet`: `python -m tests.compatibility.fleet_recording` writes them anew.

They were made by the code before its names changed, and stay as they are: a voter reads entries and
snapshots that another version of this program wrote.
"""

import json
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from typing import Any, ClassVar

from pumicenotch.fleet.drains.budgets import Budget
from pumicenotch.fleet.member import effects
from pumicenotch.fleet.replicated import fields
from pumicenotch.fleet.replicated.fields import FieldReader
from pumicenotch.fleet.replicated.records import ApplyResult
from pumicenotch.fleet.replicated.snapshot import dump
from pumicenotch.fleet.replicated.state import FleetState
from pumicenotch.lab import releasing
from pumicenotch.lab.fleets import Process
from pumicenotch.lab.releasing import Agents, Version

FOLDER = Path(__file__).parent / "golden" / "fleet"
EXAMPLES = 3  # of each verb among the recorded requests and notifications
BOOK_LEVEL = 3
BUDGETS = [
    ["zones", "zone", "", 1, -1, -1.0, False],
    ["front", "service", "front", -1, 1, -1.0, False],
    ["half", "fleet", "", -1, -1, 0.25, False],
    ["apart", "service", "", -1, -1, -1.0, True],
]


class Texts:
    """A subject of the log that another package might add: texts by name."""

    name: ClassVar[str] = "texts"
    level: ClassVar[int] = BOOK_LEVEL
    verbs: ClassVar[Mapping[str, tuple[FieldReader, ...]]] = {
        "write": (fields.read_name, fields.read_text)
    }

    def __init__(self) -> None:
        self.texts: dict[str, str] = {}

    def admit(self, verb: str, args: tuple[Any, ...]) -> None:
        pass

    def apply(self, index: int, verb: str, args: tuple[Any, ...]) -> ApplyResult:
        key, value = args
        self.texts[key] = value
        return ApplyResult(True, "written", index)

    def dump(self) -> bytes:
        return json.dumps(self.texts).encode() + b"\n\xff"

    def load(self, data: bytes) -> None:
        self.texts = json.loads(data[:-2])


def joined(name: str, life: str, zone: str, *, voter: bool = False, serves: Any = ()) -> list[Any]:
    return [name, life, zone, "east", f"cell-{zone}", list(serves), ["ledger"], 2.0, voter]


def plan(name: str, *, waves: Any, back: bool = True, slot: str = "program") -> list[Any]:
    budgets = BUDGETS[:1] if slot == "budgets" else []
    return [name, slot, "v2", "", 2, waves, 1000, 2000, back, 0, False, True, budgets]


def word(node: str, version: str, holds: list[str], down: str = "", trouble: str = "") -> list[Any]:
    return ["word", node, "agent-1", [["program", version]], holds, down, trouble]


def script_of_entries() -> list[list[Any]]:
    """At least one accepted entry of every verb, and some refused ones."""
    voters = [joined(f"v{number}", "1", f"z{number}", voter=True) for number in (1, 2, 3)]
    nodes = [joined(f"n{number}", "1", f"z{number % 3 + 1}") for number in range(5)]
    hand = joined("by-hand", "", "z1", serves=["front"])
    made: list[list[Any]] = [
        ["begin", "golden", ["v1", "v2", "v3"], BUDGETS, [hand]],
        ["begin", "golden", ["v1"], [], []],
    ]
    for member in (*voters, *nodes):
        made += [["join", member], ["serving", member[0], "1"]]
    made += [
        ["join", joined("n1", "1", "z9")],
        ["against", "n4", "1", "silent"],
        ["drain", "r1", ["n0", "n1", "n3"], "kernel", "op"],
        ["drain", "r1", ["n0", "n1", "n3"], "kernel", "op"],
        ["drain", "r2", ["nobody"], "kernel", "op"],
        ["began", "n0", "1", 21],
        ["began", "n0", "1", 999],
        ["gone", "n0", "1"],
        ["against", "n4", "1", ""],
        ["join", joined("n0", "2", "z1")],
        ["serving", "n0", "2"],
        ["returned", "n3", "1", 26],
        ["undrain", "r3", ["n1"], "not today", "op"],
        ["override", "r4", "n2", "it burns", "op"],
        ["leaving", "n3", "1", "SIGTERM"],
        ["halt", "h1", "op", "look first"],
        ["drain", "r5", ["by-hand", "v1"], "disk", "op"],
        ["halt", "h2", "other", "me too"],
        ["resume", "r6", ["h1"], "looked", "op"],
        ["resume", "r7", ["h2"], "looked", "op"],
        ["free", "r8", "n3", "burnt", "op"],
        ["forget", "r9", "n3", "burnt", "op"],
        ["budget", "r10", BUDGETS[:3], "op"],
        ["budget", "r11", [["twice", "moon", "", 1, -1, -1.0, False]], "op"],
        ["nonsense"],
        ["drain", "short"],
    ]
    return made


def script_of_releases() -> list[list[Any]]:
    """What follows once all voters read the entries of releases."""
    names = ["n0", "n1", "n2", "n4"]
    made: list[list[Any]] = [["level", 2]]
    made += [word(name, "v1", ["v1", "v2"]) for name in names]
    made += [
        ["plan", "p1", plan("r1", waves=[["n0"], ["n1", "n2"]]), "op"],
        ["release", "w1", "r1", "start", [], "go", "op"],
        ["usual", "r1", 0, [20.0, 0.01, 15.0]],
        ["began", "n0", "2", 51],
        ["gone", "n0", "2"],
        word("n0", "v1", ["v1", "v2"], "ended"),
        ["move", "n0", "agent-1", "program", "v2"],
        ["move", "n0", "agent-1", "program", "v3"],
        word("n0", "v2", ["v1", "v2"], "starting"),
        ["join", joined("n0", "3", "z1")],
        ["serving", "n0", "3"],
        word("n0", "v2", ["v1", "v2"]),
        ["soaked", "r1", 0, True, "no harm of 5%"],
        word("n2", "v1", ["v1", "v2"], "", "crash loop: 3 ends in 2 s"),
        ["harm", "r1", "judgement", ["n0"], "bad tasks"],
        ["plan", "p2", plan("r2", waves=[["n4"]], back=False), "op"],
        ["plan", "p3", plan("r3", waves=[[]], slot="budgets"), "op"],
        ["release", "w2", "r2", "start", [], "go", "op"],
        ["release", "w3", "r2", "halt", [], "stop", "op"],
        ["release", "w4", "r2", "resume", ["w3"], "go on", "op"],
        ["release", "w5", "r2", "halt", [], "stop", "op"],
        ["release", "w6", "r3", "abandon", [], "not needed", "op"],
        ["release", "w7", "r2", "approve", [], "fine", "op"],
        ["plan", "p4", ["r4", "moon", "v2"], "op"],
        ["halt", "h3", "op", "night"],
        ["drain", "r12", ["n1"], "kernel", "op"],
    ]
    return made


def apply_all(state: FleetState, script: list[Any]) -> list[dict[str, Any]]:
    """Each entry with what it came to; why one cannot be read is a text that may change."""
    rows = []
    for entry in script:
        said = state.apply(state.log_index + 1, entry)
        row = {"entry": entry, "good": said.ok, "value": said.value}
        if is_readable(state, entry):
            row["text"] = said.text
        rows.append(row)
    return rows


def is_readable(state: FleetState, entry: list[Any]) -> bool:
    try:
        state.check(entry)
    except ValueError:
        return False
    return True


class RecordedDay(Agents):
    """Keeps what its processes write: log entries, requests with their answers, notifications."""

    def __init__(self, seed: int, **more: Any) -> None:
        super().__init__(seed, **more)
        self.entries: dict[int, Any] = {}  # by log index, as the last leader wrote it
        self.requests: list[Any] = []
        self.notifications: list[Any] = []
        self.examples: Counter[tuple[str, str]] = Counter()
        self.verbs: dict[int, str] = {}  # by connection

    def example(self, kind: str, verb: str) -> bool:
        self.examples[kind, verb] += 1
        return self.examples[kind, verb] <= EXAMPLES

    def carry_out(self, process: Process, effect: effects.Effect) -> None:
        match effect:
            case effects.SendNotification(_, "agree", ["append", _, at, _, some, *_]):
                for index, entry in enumerate(some, at + 1):
                    self.entries[index] = entry
            case effects.SendNotification(_, method, params) if method not in (
                "agree",
                "members",
                "found",
            ):
                if self.example("post", method):
                    self.notifications.append([method, params])
            case effects.SendRequest(_, _, verb, args):
                if self.example("ask", verb):
                    self.requests.append([verb, args])
                self.verbs[self.count + 1] = verb
            case effects.SendResponse(conn, _, error, result):
                verb = self.verbs.get(conn, "")
                if verb and self.example("reply" if error is None else "refusal", verb):
                    self.requests.append([f"answer to {verb}", error, result])
        super().carry_out(process, effect)


def recorded_day() -> dict[str, Any]:
    """Drains, halts and releases of a small fleet in simulated time."""
    made = releasing.Agents
    releasing.Agents = RecordedDay  # type: ignore[misc]
    try:
        day = releasing.usual(7, nodes=4, zones=2, voters=3, versions={"v-bad": Version(bad=0.5)})
    finally:
        releasing.Agents = made  # type: ignore[misc]
    assert isinstance(day, RecordedDay)
    answers: list[Any] = []

    def ask(verb: str, *args: Any) -> None:
        answers.append([verb, args, day.agreed(verb, *args)])

    day.run(8000.0)
    ask("drain", "d1", ("n0", "n2"), "kernel", "op")
    ask("status")
    ask("why", "n2")
    day.run(3000.0)
    ask("halt", "h1", "op", "look first")
    ask("halts")
    ask("resume", "d2", ("h1",), "looked", "op")
    ask("undrain", "d3", ("n2",), "not today", "op")
    day.run(20_000.0)
    ask("waves", (0.5, 1.0), False, "")
    day.plan("r1", "v-new", soak_ms=2000, extra_soak_ms=3000)
    while day.stands("r1") != "done":
        day.run(500.0)
        if day.leader() and day.state().releases.releases["r1"].approval_reason:
            day.word("r1", "approve")
    day.plan("r2", "v-bad", soak_ms=20_000)
    day.until(lambda: day.stands("r2") == "abandoned", 300_000.0)
    ask("releases")
    ask("one_release", "r2")
    ask("budget", "d4", (Budget("zones", "zone", max_unavailable=2),), "op")
    ask("override", "d5", "n1", "it burns", "op")
    day.run(10_000.0)
    ask("log", 40)
    ask("status")
    local = day.ask("n1", "local")
    answers.append(["local", (), day.answers[local][1]])
    return {
        "entries": [[index, *day.entries[index]] for index in sorted(day.entries)],
        "requests": day.requests,
        "notifications": day.notifications,
        "answers": answers,
    }


def lines(rows: list[Any]) -> str:
    return "".join(json.dumps(row) + "\n" for row in rows)


def make() -> dict[str, bytes]:
    """Each golden file's name and content."""
    first, second, third = FleetState(), FleetState(), FleetState([Texts()])
    rows = apply_all(first, script_of_entries())
    apply_all(second, script_of_entries())
    release_rows = apply_all(second, script_of_releases())
    apply_all(third, script_of_entries())
    apply_all(third, [["level", BOOK_LEVEL], ["write", "a", "b\nc"], *script_of_releases()])
    day = recorded_day()
    return {
        "entries.jsonl": lines(rows).encode(),
        "release_entries.jsonl": lines(release_rows).encode(),
        "snapshot_of_drains.json": dump(first),
        "snapshot_of_releases.json": dump(second),
        "snapshot_with_book.hex": dump(third).hex().encode(),
        **{f"day_{name}.jsonl": lines(some).encode() for name, some in day.items()},
    }


if __name__ == "__main__":
    FOLDER.mkdir(parents=True, exist_ok=True)
    for file_name, content in make().items():
        (FOLDER / file_name).write_bytes(content)
