"""The command `python -m benchmarks.capacity`: its slopes file, its fits and its page."""

import json
from pathlib import Path

import numpy as np
import pytest

from benchmarks.capacity import __main__ as capacity
from benchmarks.capacity import assumptions, fits, page, records, roles
from benchmarks.capacity.bad_hours import RealFleet
from benchmarks.capacity.hollow import HollowFleet
from benchmarks.capacity.measured_day import Meter
from benchmarks.capacity.records import InvalidSlopesError
from benchmarks.capacity.rows import rows
from benchmarks.capacity.spread import Load, Spread

SIZES = [80.0, 160.0, 320.0, 640.0, 1280.0, 2500.0]
VALID_RECORD = {
    "role": "agent",
    "measure": "sent",
    "unit": "bytes/s",
    "by": "servers",
    "size": 80,
    "value": 1.5,
    "seed": 1,
    "commit": "abc",
}


@pytest.mark.parametrize("shape", ["linear", "n log n", "n squared", "log n", "inverse"])
def test_the_shape_of_a_curve_is_found_and_predicts_the_largest_size(shape: str) -> None:
    true_fit = fits.Fit(shape, 0.01, 3.0, 0.0)
    values = [true_fit.at(size) for size in SIZES]
    fit, trial = fits.fit(SIZES, values), fits.tried(SIZES, values)
    assert (fit.shape, fit.name) == (shape, shape)
    assert fit.residual < 1e-6
    assert fit.slope == pytest.approx(3.0)
    assert abs(trial.error) < 1e-6
    assert trial.size == 2500.0


def test_no_line_is_fitted_to_a_curve_or_to_random_values() -> None:
    squares = [size**2 for size in SIZES]
    line = fits.solved("linear", np.array(SIZES), np.array(squares))
    assert line.residual > fits.IRREGULAR
    assert fits.fit(SIZES, squares).shape == "n squared"
    assert fits.fit(SIZES, [5.0, 5.01, 4.99, 5.0, 5.0, 5.01]).shape == "constant"
    assert fits.fit(SIZES, [1.0, 900.0, 3.0, 700.0, 2.0, 500.0]).name.startswith("irregular")


def test_a_prediction_that_fails_reports_its_error() -> None:
    jump = fits.tried(SIZES, [80.0, 160.0, 320.0, 640.0, 1280.0, 25_000.0])
    assert jump.error == pytest.approx(-0.9, abs=0.01)
    zero = fits.tried(SIZES, [0.0] * 6)
    assert zero.error == 0.0


def test_records_are_read_as_they_were_written_and_newer_ones_replace_older(tmp_path: Path) -> None:
    path = tmp_path / "slopes.jsonl"
    first = records.parse(json.dumps(VALID_RECORD), roles.ROLES, "x")
    records.write(path, first)
    assert records.read(path, roles.ROLES) == first
    newer = records.parse(json.dumps(VALID_RECORD | {"value": 2.5}), roles.ROLES, "x")
    assert [record.value for record in records.merged(first, newer)] == [2.5]
    assert records.read(tmp_path / "none", roles.ROLES) == []


@pytest.mark.parametrize(
    ("change", "problem", "allowed"),
    [
        ({"role": "king"}, "role 'king' is unknown", "voter.leader"),
        ({"measure": "weight"}, "measure 'weight' is unknown", "longest_step"),
        ({"unit": "bytes"}, "unit 'bytes' of sent", "bytes/s"),
        ({"by": "moons"}, "by 'moons' is unknown", "tenants_known"),
        ({"size": 0}, "size 0", "a number above 0"),
        ({"size": "80"}, "size '80'", "a number above 0"),
        ({"value": -1}, "value -1", "a number from 0 on"),
        ({"value": True}, "value True", "a number from 0 on"),
        ({"seed": 1.5}, "seed 1.5", "a whole number"),
        ({"commit": ""}, "commit ''", "the commit that was measured"),
        ({"colour": "red"}, "'colour' is unknown", "role, measure"),
    ],
)
def test_an_invalid_field_is_reported_with_its_line_and_the_allowed_values(
    change: dict[str, object], problem: str, allowed: str
) -> None:
    text = "\n".join((json.dumps(VALID_RECORD), json.dumps(VALID_RECORD | {"size": 160} | change)))
    with pytest.raises(InvalidSlopesError) as raised:
        records.parse(text, roles.ROLES, "slopes.jsonl")
    message = str(raised.value)
    assert message.startswith(f"slopes.jsonl:2: {problem}; allowed: ")
    assert allowed in message
    assert "\n" not in message


@pytest.mark.parametrize(
    ("line", "problem"),
    [
        ("{", "no JSON"),
        ("", "no JSON"),
        ("[1]", "no JSON object"),
        (
            json.dumps({key: value for key, value in VALID_RECORD.items() if key != "seed"}),
            "seed is missing",
        ),
        (json.dumps(VALID_RECORD), "measured twice"),
        (json.dumps(VALID_RECORD | {"size": float("nan")}), "size nan"),
        (json.dumps(VALID_RECORD | {"value": float("inf")}), "value inf"),
    ],
)
def test_a_line_that_is_not_a_measurement_is_reported(line: str, problem: str) -> None:
    with pytest.raises(InvalidSlopesError, match=f"^f:2: {problem}"):
        records.parse(f"{json.dumps(VALID_RECORD)}\n{line}\n", roles.ROLES, "f")


@pytest.mark.parametrize(
    ("arguments", "allowed"),
    [
        (["king"], "voter.leader"),
        (["agent", "--sizes", "0"], "a number above 0"),
        (["agent", "--sizes", "-5"], "a number above 0"),
        (["agent", "--sizes", "many"], "a number above 0"),
        (["agent", "--sizes", "nan"], "a number above 0"),
        (["agent", "--sizes", "1e12"], "up to"),
        (["voter", "--by", "servers", "--sizes", "2"], "from 16 on"),
        (["agent", "--by", "moons"], "tenants_known"),
        (["agent", "--by", "tenants_known"], "no slope of these roles"),
        (["agent", "--seed", "x"], "invalid int"),
        (["--colour"], "unrecognized arguments"),
    ],
)
def test_invalid_arguments_are_reported_in_one_line_with_status_2(
    arguments: list[str], allowed: str, capsys: pytest.CaptureFixture[str]
) -> None:
    try:
        status = capacity.main(arguments)
    except SystemExit as system_exit:
        status = int(str(system_exit.code))
    output = capsys.readouterr()
    assert (status, output.out) == (2, "")
    assert output.err.startswith("capacity: ")
    assert output.err.count("\n") == 1
    assert allowed in output.err


def test_an_invalid_slopes_file_is_refused_before_a_measurement(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "slopes.jsonl"
    path.write_text("nothing\n")
    assert capacity.main(["agent", "--sizes", "16", "--out", str(path)]) == 2
    assert capsys.readouterr().err == f"capacity: {path}:1: no JSON; allowed: one object a line\n"
    assert path.read_text() == "nothing\n"


def test_the_measurements_of_a_role_are_written_to_the_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "slopes.jsonl"
    assert capacity.main(["agent", "--sizes", "16", "--seed", "3", "--out", str(path)]) == 0
    records_read = records.read(path, roles.ROLES)
    assert {record.measure for record in records_read} >= {
        "state",
        "sent",
        "processor",
        "longest_step",
    }
    assert {(record.role, record.size, record.seed) for record in records_read} == {
        ("agent", 16.0, 3)
    }
    assert len(capsys.readouterr().out.splitlines()) == len(records_read)


def test_every_slope_has_a_known_variable_valid_sizes_and_targets() -> None:
    for slope in roles.SLOPES:
        assert slope.by in records.GROWS
        assert len(slope.sizes) >= fits.POINTS_LEAST
        assert list(slope.sizes) == sorted(set(slope.sizes))
        assert min(slope.sizes) >= slope.least
        for role in slope.roles:
            assert assumptions.target(role, slope.by) > 0.0


def test_the_page_is_generated_from_the_slopes_file() -> None:
    """If the test fails, `python -m benchmarks.capacity --page` updates the page."""
    measurements = records.read(capacity.SLOPES_FILE, roles.RECORDED)
    text = capacity.PAGE_FILE.read_text(encoding="utf-8")
    assert page.renewed(text, measurements) == text
    names = {match[1] for match in page.TABLE.finditer(text)}
    assert names == {*page.TABLES, *page.OF_MEASUREMENTS}


def test_a_changed_figure_is_restored_and_an_unknown_table_is_refused() -> None:
    measurements = records.read(capacity.SLOPES_FILE, roles.RECORDED)
    text = capacity.PAGE_FILE.read_text(encoding="utf-8")
    changed = text.replace("2,500 servers |", "2,600 servers |", 1)
    assert changed != text
    assert page.renewed(changed, measurements) == text
    with pytest.raises(
        page.InvalidPageError, match=r"CAPACITY.md:1: table 'moons' is unknown; allowed: size, "
    ):
        page.renewed("<!-- table: moons -->\n<!-- end -->\n", measurements)


def test_every_row_has_a_command_and_a_slope() -> None:
    table_rows = rows(records.read(capacity.SLOPES_FILE, roles.RECORDED))
    assert table_rows
    for row in table_rows:
        assert "python -m benchmarks.capacity " in row.command
        assert len(row.sizes) >= fits.POINTS_LEAST, (row.role, row.by, row.measure)


def rates_per_s(meter: Meter, kind: str, span_ms: float) -> tuple[float, float]:
    return meter.sent[kind] / span_ms * 1000.0, meter.received[kind] / span_ms * 1000.0


def test_hollow_members_send_as_much_as_real_ones() -> None:
    """The bytes of membership messages and of heartbeats, at a voter and at a server, differ by at
    most a fifth.
    """
    span_ms, servers = 90_000.0, 60
    hollow = HollowFleet(servers, 1)
    hollow.ordinary()
    by_hollow = hollow.measure(span_ms, 3, 2000.0)
    real = RealFleet(servers, 1)
    real.day.run(60_000.0)  # until the extra exchanges of the start have ended
    voter = next(name for name in sorted(real.day.voters) if name != real.leader)
    real.day.watch(real.leader, voter, real.server)
    real.day.run(span_ms)
    pairs = {
        "follower": (by_hollow[hollow.follower], real.day.meters[voter]),
        "server": (by_hollow[hollow.server], real.day.meters[real.server]),
    }
    for name, (hollow_meter, real_meter) in pairs.items():
        for hollow_rate, real_rate in zip(
            rates_per_s(hollow_meter, "members", span_ms),
            rates_per_s(real_meter, "members", span_ms),
            strict=True,
        ):
            assert hollow_rate == pytest.approx(real_rate, rel=0.2), (
                name,
                hollow_meter.sent,
                real_meter.sent,
            )
    assert real.day.meters[real.leader].received_messages["asked"] == pytest.approx(
        by_hollow[hollow.leader].received_messages["asked"] / 2.0, rel=0.1
    )  # hollow servers also have agents, which ask as often


def test_a_small_distribution_becomes_current_within_the_assumed_time() -> None:
    load = Load(routes=200, tenants=320, services=10, cells=16)
    spread = Spread(1, load, children=6, zones=2, cold=True)
    assert spread.until(spread.all_current, 60_000.0) > 0.0
    spread.run(5000.0)
    spread.watch(spread.a_replica())
    spread.change()
    spread.until(spread.all_current, 10_000.0)
    assert spread.version(spread.zone[0]) == 4
    assert max(spread.in_force.values()) - spread.published_at < assumptions.IN_FORCE.value
    assert sum(spread.meters[spread.a_replica()].received.values()) > 0
