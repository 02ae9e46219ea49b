"""Hollow fleets: a small one through the lab's runner, what keeps a run within its machine, and the judge of
deaths.
"""

import json
import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.lab.experiment_file import FOLDER, read
from pumicenotch.lab.guard import (
    PROCESSES_MOST,
    Machine,
    MachineTooSmallError,
    Watch,
    bearable,
    check,
    needed_mb,
)
from pumicenotch.lab.hollow_judge import HEALED_S, HollowJudge, percentile
from pumicenotch.lab.hollow_messages import Command, Place, Report, Spec, life_of

COMMAND = [sys.executable, "-m", "pumicenotch.cli", "lab", "run"]
LARGE = Machine(memory_mb=1e6, available_mb=1e6, descriptors=1_000_000)

SMALL = """
like     = "{base}"
servers  = 42
length_s = 14
warm_s   = 1
load     = 0.3
cores    = 1
stop_ms  = 800
voters   = 3
zones    = 4
regions  = 1

hollow {{
  real    = 2
  callers = 40
}}

fault {{
  kind  = "lose"
  label = "rack"
  at_s  = 0.5
  for_s = 0
  zone  = "z3"
  many  = 8
}}

arm "with" {{}}

bound {{
  figure = "false_deaths"
  arm    = "with"
  most   = 0
}}
bound {{
  figure = "control_bytes_per_s"
  arm    = "with"
  least  = 1
}}
"""


def small(folder: Path, **changes: str) -> Path:
    path = folder / "small.hcl"
    text = SMALL.format(base=os.path.relpath(FOLDER / "fleet-scale.hcl", folder))
    for old, new in changes.items():
        text = re.sub(rf"(?m)^{old}( *)=.*$", f"{old} = {new}", text)
    path.write_text(text)
    return path


# Through the runner


def test_a_small_hollow_fleet_detects_what_it_loses(tmp_path: Path) -> None:
    out = tmp_path / "out"
    command = [*COMMAND, str(small(tmp_path)), "--seed", "3", "--out", str(out), "--json"]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert ended.stdout, ended.stderr
    summary = json.loads(ended.stdout)
    found = summary["arms"]["with"]
    assert found["hollow_instances"] == 40 and found["hollow_processes"] == 1
    assert summary["rules"] == {"lost": 0, "doubled": 0, "drain": 0, "fallen": 0}
    assert found["rack_lost"] == 8 and found["rack_first_s"] > 0.0
    assert found["hollow_processes_fallen"] == 0
    assert found["control_cpu_percent"] > 0.0 and 0.0 < found["instance_memory_mb"] < 128.0
    assert (
        found["control_sent_to_voters_per_s"] > 0.5 and found["control_sent_to_servers_per_s"] > 0.5
    )
    assert found["agree_p50_ms"] > 0.0
    assert found["hollow_callers"] == found["hollow_callers_least_open"] == 40
    assert found["hollow_callers_answered"] > 100 and found["hollow_callers_ended"] == 0
    assert left_behind(out) == []
    events = [
        json.loads(line)
        for line in (out / "with-3" / "hollow-events.jsonl").read_text().splitlines()
    ]
    assert {event["what"] for event in events} >= {"up", "down", "dead", "fault", "status"}


def left_behind(folder: Path) -> list[str]:
    """Processes that name that folder in what they were started with."""
    found = []
    for path in Path("/proc").glob("[0-9]*"):
        try:
            told = (path / "cmdline").read_bytes() + (path / "environ").read_bytes()
        except OSError:
            continue
        if str(folder).encode() in told and int(path.name) != os.getpid():
            found.append(f"{path.name} {told[:200]!r}")
    return found


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_nothing_is_left_running_after_a_signal(tmp_path: Path, number: signal.Signals) -> None:
    out = tmp_path / "out"
    path = small(tmp_path, length_s="600")
    process = subprocess.Popen(
        [*COMMAND, str(path), "--out", str(out)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    hollow = out / "with-1" / "hollow-events.jsonl"
    wait(lambda: hollow.exists() and any("lab.hollow" in each for each in left_behind(out)), 40.0)
    process.send_signal(number)
    _, errors = process.communicate(timeout=40)
    assert process.returncode == 1, errors
    assert "stopped: what had ended is kept and marked" in errors
    assert left_behind(out) == []


def test_a_last_arm_that_fails_ends_the_command_and_keeps_the_first(tmp_path: Path) -> None:
    path, out = small(tmp_path, length_s="4"), tmp_path / "out"
    arms = 'arm "without" {\n  hollow = false\n  length_s = 3\n}\narm "with" {}'
    text = path.read_text().replace('arm "with" {}', arms)
    path.write_text(text.replace("at_s  = 0.5", "at_s  = 3"))
    code = (
        "from pumicenotch.lab import hollow_fleet\nfrom pumicenotch.lab.guard import RunFailedError\n"
        "async def start(self, others, within_s):\n    raise RunFailedError('nobody comes')\n"
        "hollow_fleet.HollowFleet.start = start\n"
    )
    (tmp_path / "sitecustomize.py").write_text(code)
    environment = {**os.environ, "PYTHONPATH": str(tmp_path)}
    ended = subprocess.run(
        [*COMMAND, str(path), "--out", str(out), "--json"],
        capture_output=True,
        text=True,
        timeout=60,
        env=environment,
    )
    assert ended.returncode == 1
    assert "nobody comes; what had ended is kept and marked" in ended.stderr
    summary = json.loads(ended.stdout)
    assert summary["whole"] is False and list(summary["arms"]) == ["without"]
    assert left_behind(out) == []


def wait(met: Callable[[], bool], within_s: float) -> None:
    until = time.monotonic() + within_s
    while not met():
        assert time.monotonic() < until, f"not within {within_s:g} s"
        time.sleep(0.1)


def test_a_machine_too_small_is_told_in_one_line_what_it_lacks() -> None:
    command = [*COMMAND, "fleet-scale", "--set", "servers=20000"]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert ended.returncode == 2 and ended.stdout == ""
    assert re.fullmatch(
        r"(memory|processes|descriptors): 19994 hollow .*\(--set servers=N\)\n", ended.stderr
    )


# The guard


def test_what_fits_is_let_through() -> None:
    check(2494, LARGE)
    assert bearable(needed_mb(700)) == 700


@pytest.mark.parametrize(
    ("machine", "instances", "text"),
    [
        (
            LARGE._replace(memory_mb=4000.0),
            900,
            r"memory: 900 hollow instances need about \d+ MB, and half of"
            r" this machine's memory is 2000 MB: \d+ hollow instances fit \(--set servers=N\)",
        ),
        (
            LARGE._replace(available_mb=1500.0),
            900,
            r"memory: 900 hollow instances need about \d+ MB, and free"
            r" on this machine are 1500 MB: \d+ hollow instances fit \(--set servers=N\)",
        ),
        (
            LARGE._replace(memory_mb=1e9, available_mb=1e9),
            15_000,
            r"processes: 15000 hollow instances need"
            r" 251, and a run may have 200: 11776 hollow instances fit \(--set servers=N\)",
        ),
        (
            LARGE._replace(descriptors=1024),
            900,
            r"descriptors: a process of 64 hollow instances needs 5120,"
            r" and may have 1024: raise the hard limit \(ulimit -Hn\)",
        ),
    ],
)
def test_what_does_not_fit_is_named(machine: Machine, instances: int, text: str) -> None:
    with pytest.raises(MachineTooSmallError, match=f"^{text}$"):
        check(instances, machine)


def test_a_run_that_holds_too_much_is_ended() -> None:
    watch = Watch(LARGE._replace(memory_mb=2.0), 100.0)
    with pytest.raises(
        MachineTooSmallError, match=r"^memory: the run holds \d+ MB, and may hold 1 MB .*ended"
    ):
        watch.look([], 1.0)


def test_a_run_that_lasts_too_long_is_ended() -> None:
    watch = Watch(LARGE, 100.0)
    watch.look([], 99.0)
    with pytest.raises(
        MachineTooSmallError, match=r"^time: the run has lasted 101 s, and may last 100 s"
    ):
        watch.look([], 101.0)


def test_a_run_with_too_many_processes_is_ended() -> None:
    watch = Watch(LARGE, 100.0)
    watch.look([os.getpid()] * (PROCESSES_MOST - 1), 1.0)
    with pytest.raises(
        MachineTooSmallError, match=r"^processes: the run has 201, and may have 200: ended$"
    ):
        watch.look([os.getpid()] * PROCESSES_MOST, 1.0)


# The file


@pytest.mark.parametrize(
    ("sets", "text"),
    [
        (["servers=6"], "servers: 6, of which 6 are real: more are wanted"),
        (["servers=lots"], "servers: "),
        (["fault.zone=z99"], "no zone 'z99'; zones: z0 to z19"),
        (["fault.region=g0"], "region 'g0': regions without real members: g6"),
        (["voters=0"], "needs voters"),
    ],
)
def test_sizes_that_make_no_sense_are_refused(sets: list[str], text: str) -> None:
    with pytest.raises(InvalidFileError, match=re.escape(text)):
        read("fleet-scale", sets)


def test_servers_counts_the_whole_fleet() -> None:
    told, _ = read("fleet-scale", ["servers=2500"])
    assert told.hollow is not None
    assert (told.servers, told.hollow.instances, told.voters) == (6, 2494, 5)


def test_seconds_scales_the_faults() -> None:
    whole, _ = read("fleet-scale")
    half, _ = read("fleet-scale", [f"seconds={whole.length_s / 2}"])
    assert half.length_s == whole.length_s / 2
    assert [fault.at_s for fault in half.fault] == [fault.at_s / 2 for fault in whole.fault]
    assert [fault.for_s for fault in half.fault] == [fault.for_s / 2 for fault in whole.fault]


# The judge


PLACES = [Place(f"h{at:05d}", f"127.0.0.1:{at + 1}", f"z{at % 2}", "g0") for at in range(4)]


def up(at: float, *dead: tuple[str, str, int], many: int = 4) -> Report:
    return Report(at, up=many, dead=[list(each) for each in dead])


def judged() -> HollowJudge:
    judge = HollowJudge(PLACES)
    judge.report(0, Report(0.0, up=4, lives=[[number, 0, True, 0.0] for number in range(4)]))
    return judge


def test_a_death_that_was_none_is_false() -> None:
    judge = judged()
    judge.report(0, up(50.0, ("h00002", life_of(2, 0), 1)))
    assert judge.figures()["false_deaths"] == 1


def test_a_death_that_was_one_is_not() -> None:
    judge = judged()
    loss = judge.lose("rack", [2], 40.0)
    judge.report(0, up(50.0, ("h00002", life_of(2, 0), 1), many=3))
    assert (
        judge.figures()["false_deaths"] == 0 and loss.first_dead_at == 50.0 and not loss.spread_at
    )
    judge.report(0, up(51.0, ("h00002", life_of(2, 0), 2), many=3))
    assert loss.spread_at == 51.0
    judge.out(52.0, 1, {"h00002"})
    assert judge.figures()["rack_agreed_s"] == 12.0


def test_a_former_life_may_be_thought_dead() -> None:
    judge = judged()
    judge.lose("rack", [2], 40.0)
    judge.report(0, Report(41.0, up=4, lives=[[2, 0, False, 41.0], [2, 1, True, 41.0]]))
    judge.report(0, up(60.0, ("h00002", life_of(2, 0), 1)))
    assert judge.figures()["false_deaths"] == 0
    judge.report(0, up(61.0, ("h00002", life_of(2, 1), 1)))
    assert judge.figures()["false_deaths"] == 1


def test_deaths_across_a_cut_are_not_false_until_it_has_healed_for_a_while() -> None:
    judge = judged()
    judge.cut("region", [1, 3], 40.0)
    judge.report(0, up(50.0, ("h00001", life_of(1, 0), 2), ("h00002", life_of(2, 0), 2)))
    judge.healed(60.0)
    judge.report(0, up(60.0 + HEALED_S, ("h00001", life_of(1, 0), 1)))
    assert judge.figures()["false_deaths"] == 0
    judge.report(0, up(61.0 + HEALED_S, ("h00001", life_of(1, 0), 1)))
    assert judge.figures()["false_deaths"] == 1


def test_use_is_taken_for_each_instance() -> None:
    judge = HollowJudge(PLACES)
    judge.report(0, Report(0.0, up=4))
    judge.report(
        0,
        Report(
            2.0,
            up=4,
            cpu_s=0.4,
            read_bytes=800,
            written_bytes=1600,
            sent={"voter": 16},
            steps={0: 98, 20: 2},
        ),
    )
    found = judge.each("quiet", 0.0, 10.0)
    assert found["quiet_cpu_percent"] == 5.0
    assert found["quiet_bytes_per_s"] == 300.0 and found["quiet_sent_bytes_per_s"] == 200.0
    assert found["quiet_sent_to_voters_per_s"] == 2.0
    assert found["quiet_step_p99_ms"] == 1.05


def test_percentiles_are_upper_ends_of_buckets() -> None:
    from collections import Counter

    assert percentile(Counter({0: 99, 10: 1}), 0.99) == 0.05
    assert percentile(Counter({0: 98, 10: 2}), 0.99) == 0.55
    assert percentile(Counter(), 0.99) == 0.0


def test_commands_and_reports_cross_as_they_are() -> None:
    command = Command("start", [1, 2], ["a"], 0.5)
    assert Command.load(command.dump()) == command
    report = Report(1.0, steps={3: 4}, dead=[["a", "b", 1]])
    assert Report.load(report.dump().encode()) == report
    spec = Spec("f", 1, ["a:1"], 0, 2, "d", 2, True)
    assert Spec.load(spec.dump()) == spec
