"""Tests of reloads of the instance file: a file is applied completely or not at all."""

from pathlib import Path

import pytest

from tests.net.parties import Gateway, Program, result

VALID_FILE = (
    'pool "cheap" {\n  stages  = ["read"]\n  reserve = 0.5\n}\npool "rest" {\n  stages = ["*"]\n}\n'
)


def test_bad_file_changes_nothing_and_an_empty_one_switches_pools_off(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "ours.hcl"
    file.write_text(VALID_FILE)
    monkeypatch.setenv("PUMICENOTCH_CONFIG", str(file))
    with Program(tmp_path) as program:
        pool = program.bind()
        gateway = Gateway(program.address)
        gateway.task(1, "aa", b"body")
        assert pool.command("spawn")["call"] == "aa"
        pool.finish("aa", b"done")
        assert result(gateway.answer()) == b"done"
        file.write_text(VALID_FILE.replace("reserve", "reserv"))
        log_line = program.reload()
        assert "ours.hcl:3: pool.reserv: unknown attribute; did you mean reserve?" in log_line
        assert "the running values stay in force" in log_line
        file.write_text("# nothing\n")
        program.reload()
        assert "pools are off" in program.wait_for_log("(reload.*)")
        file.write_text(VALID_FILE)
        program.reload()
        assert "class pools of the file are in force" in program.wait_for_log("(reload.*)")
        status, counters = program.end()
    assert status == 0
    assert "reloads_failed=1" in counters and "repools=2" in counters


def test_wrong_file_at_the_start_is_reported_and_nothing_runs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "ours.hcl"
    file.write_text("pol {\n}\n")
    monkeypatch.setenv("PUMICENOTCH_CONFIG", str(file))
    with (
        pytest.raises(AssertionError, match="pol: unknown block; did you mean pool"),
        Program(tmp_path),
    ):
        pass
