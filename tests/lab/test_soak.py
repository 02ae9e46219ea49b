"""The soak: its schedules and its judge, and a few seeds of it on the real program."""

import os
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path

import pytest

from pumicenotch.lab.soak.judge import REJECTED, SERVED, SentRequest, SoakJudge, run_result
from pumicenotch.lab.soak.run import SoakStartError, run_schedule
from pumicenotch.lab.soak.schedule import CROWD_CLIENTS, STOP_MS, draw_schedule

SEEDS = (
    1,
    3,
    4,
    5,
    13,
    14,
)  # a crowd, signals in series, a pool that stands still, reloads in a row
# Run by Python at the start of the server's process: each seeds one fault.
HOOK = """\
import sys
if sys.orig_argv[-1:] == ["pumicenotch"]:
"""
FAULTS = {
    "lost": """\
    from pumicenotch.server.core import Server
    Server._answer_after_exit = lambda self, request, original_id: None
    from pumicenotch.server.lifecycle import Lifecycle
    start_draining = Lifecycle.start_draining
    def drain_at_once(self, requested_at):
        start_draining(self, requested_at)
        self.exited = True
    Lifecycle.start_draining = drain_at_once
""",
    "doubled": """\
    from pumicenotch.server.gateway_side import GatewaySide
    answer = GatewaySide._answer
    def answer_twice(self, request, message):
        answer(self, request, message)
        request.answered = False
        answer(self, request, message)
    GatewaySide._answer = answer_twice
""",
    "drain": """\
    from pumicenotch.control.answer_deadlines import AnswerDeadlines
    from pumicenotch.control.controller import AdmissionController
    AdmissionController.start_draining = lambda self, now, stop_at: None
""",
}


@pytest.mark.parametrize("seed", SEEDS)
def test_drain_under_clients_that_never_stop_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    """Guards against a server that is killed, with what it has not answered, at the end of its notice."""
    result = run_schedule(draw_schedule(seed), tmp_path)
    assert not result.violations, (result.schedule.describe(), result.violations[:5])
    assert result.exit_status == 0 and result.end_ms < STOP_MS
    assert result.counts["served"] > 0


@pytest.mark.parametrize("seed", [13, 14])
def test_drain_on_a_quarter_of_a_core_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    """Guards against closing 120 connections so late that a crowded core cannot end before the kill."""
    schedule = draw_schedule(seed)._replace(core_share=0.25)
    result = run_schedule(schedule, tmp_path)
    assert not result.violations, (result.schedule.describe(), result.violations[:5])
    assert result.exit_status == 0 and result.end_ms < STOP_MS
    assert result.counts["served"] > 0


@pytest.mark.parametrize("rule", FAULTS)
def test_a_seeded_fault_is_found(rule: str, tmp_path: Path) -> None:
    (tmp_path / "sitecustomize.py").write_text(HOOK + FAULTS[rule])
    schedule = draw_schedule(3)._replace(grace_ms=200.0)  # thousands of runs on six cores
    result = run_schedule(schedule, tmp_path, {"PYTHONPATH": str(tmp_path)})
    assert result.rules[rule] > 0, (result.violations[:5], result.counts)


def test_a_broken_seed_tells_its_schedule_its_violations_and_where_its_log_is(
    tmp_path: Path,
) -> None:
    """Guards against a fault whose log is gone before it is read."""
    (tmp_path / "sitecustomize.py").write_text(HOOK + FAULTS["doubled"])
    environment = {"PYTHONPATH": str(tmp_path), "TMPDIR": str(tmp_path)}
    status, said = command("--seed", "3", "--seeds", "1", environment=environment)
    assert status == 1
    assert "doubled: " in said and "schedule: SIGTERM at" in said and "again: pumicenotch" in said
    log = Path(said.partition("  log: ")[2].splitlines()[0])
    assert log.is_relative_to(tmp_path) and "listening on" in log.read_text()


def test_a_server_that_does_not_start_ends_the_run_with_its_log(tmp_path: Path) -> None:
    (tmp_path / "sitecustomize.py").write_text(HOOK + "    sys.exit('no such day')\n")
    with pytest.raises(SoakStartError, match="no such day"):
        run_schedule(draw_schedule(1), tmp_path, {"PYTHONPATH": str(tmp_path)})


def test_a_seed_draws_the_same_schedule_each_time() -> None:
    drawn = [draw_schedule(seed) for seed in range(200)]
    assert drawn == [draw_schedule(seed) for seed in range(200)]
    assert len(set(drawn)) == len(drawn)
    crowds = sum(len(schedule.clients) == CROWD_CLIENTS for schedule in drawn)
    assert 40 < crowds < 95
    assert {signal.name for schedule in drawn for signal in schedule.signals} == {
        "SIGHUP",
        "SIGUSR1",
        "SIGTERM",
        "SIGINT",
    }


def judged(sent_at_ms: float, name: str = "aa", key: str = "") -> tuple[SoakJudge, SentRequest]:
    judge = SoakJudge(grace_ms=200.0)
    judge.notice_at_ms = 1000.0
    request = SentRequest(name, key, b"body", sent_at_ms)
    judge.sent(request)
    return judge, request


@pytest.mark.parametrize(("waited_ms", "lost"), [(49.0, 0), (51.0, 1)])
def test_a_request_is_lost_unless_it_crosses_the_end_of_its_connection(
    waited_ms: float, lost: int
) -> None:
    judge, request = judged(1500.0)
    judge.connection_ended(1500.0 + waited_ms, [request], "end of stream")
    assert judge.rules()["lost"] == lost


def test_time_in_which_the_runner_stood_still_is_not_counted() -> None:
    judge, request = judged(1500.0)
    for turn_ms in (1499.0, 1501.0, 1561.0, 1563.0):  # it stood still for 60 ms
        judge.stalls.on_turn(turn_ms)
    judge.connection_ended(1565.0, [request], "end of stream")
    assert not judge.violations
    judge.connection_ended(1640.0, [request], "end of stream")
    assert judge.rules()["lost"] == 1


def test_two_answers_a_rejected_run_and_a_wrong_result_are_found() -> None:
    judge, request = judged(1100.0)
    assert judge.run_started(1110.0, "aa") is request
    judge.answered(1120.0, request, SERVED, run_result(b"body"))
    assert not judge.violations
    judge.answered(1130.0, request, REJECTED, b"")
    assert judge.rules()["doubled"] == 2  # answered twice, and rejected though it ran
    judge.answered_unknown(1140.0, 9)
    assert judge.rules()["doubled"] == 3
    other, wrong = judged(1100.0, "bb")
    other.answered(1120.0, wrong, SERVED, run_result(b"other"))
    assert other.rules()["lost"] == 1


def test_a_key_runs_once_and_nothing_runs_after_the_grace() -> None:
    judge, request = judged(1100.0, key="k")
    again = SentRequest("bb", "k", b"body", 1260.0)
    judge.sent(again)
    assert judge.run_started(1110.0, "aa") is request
    assert judge.run_started(1111.0, "aa") is None  # the same command on a new connection
    assert not judge.violations
    judge.run_started(1270.0, "bb")
    assert judge.rules() == {"lost": 0, "doubled": 1, "drain": 1, "fallen": 0}
    assert judge.run_started(1280.0, "cc") is None
    assert judge.rules()["doubled"] == 2


@pytest.mark.parametrize(("status", "fallen"), [(0, 0), (1, 1), (-9, 1)])
def test_a_server_that_does_not_end_by_itself_with_0_has_fallen(status: int, fallen: int) -> None:
    judge, _ = judged(1100.0)
    judge.process_ended(2400.0, status)
    assert judge.rules()["fallen"] == fallen


@pytest.mark.parametrize(
    ("options", "named"),
    [
        (["--seeds", "0"], "--seeds"),
        (["--seeds", "-3"], "--seeds"),
        (["--seed", "-1"], "--seed"),
        (["--busy", "1000"], "--busy"),
        (["--seeds", "many"], "--seeds"),
    ],
)
def test_options_that_make_no_sense_are_refused_by_name(options: list[str], named: str) -> None:
    status, said = command(*options)
    assert status == 2 and named in said


def test_a_folder_that_holds_a_result_is_refused(tmp_path: Path) -> None:
    (tmp_path / "summary.json").write_text("{}")
    status, said = command("--out", str(tmp_path))
    assert status == 2 and "--out" in said


def command(*options: str, environment: Mapping[str, str] | None = None) -> tuple[int, str]:
    result = subprocess.run(
        [sys.executable, "-m", "pumicenotch.cli", "lab", "soak", *options],
        capture_output=True,
        text=True,
        env={**os.environ, "NO_COLOR": "1", "COLUMNS": "200", **(environment or {})},
        timeout=60,
    )
    return result.returncode, result.stdout + result.stderr
