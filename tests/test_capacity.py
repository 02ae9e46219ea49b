"""The slopes file, its fits and its page: `python -m benchmarks.capacity`."""

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
GOOD = {
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
def test_a_curve_is_known_by_its_points_and_foretells_the_largest(shape: str) -> None:
    told = fits.Fit(shape, 0.01, 3.0, 0.0)
    values = [told.at(size) for size in SIZES]
    found, trial = fits.fit(SIZES, values), fits.tried(SIZES, values)
    assert (found.shape, found.name) == (shape, shape)
    assert found.residual < 1e-6
    assert found.slope == pytest.approx(3.0)
    assert abs(trial.error) < 1e-6
    assert trial.size == 2500.0


def test_no_line_is_drawn_through_a_curve_and_none_through_chance() -> None:
    squares = [size**2 for size in SIZES]
    line = fits.solved("linear", np.array(SIZES), np.array(squares))
    assert line.residual > fits.IRREGULAR
    assert fits.fit(SIZES, squares).shape == "n squared"
    assert fits.fit(SIZES, [5.0, 5.01, 4.99, 5.0, 5.0, 5.01]).shape == "constant"
    assert fits.fit(SIZES, [1.0, 900.0, 3.0, 700.0, 2.0, 500.0]).name.startswith("irregular")


def test_a_trial_that_fails_shows_its_error() -> None:
    jump = fits.tried(SIZES, [80.0, 160.0, 320.0, 640.0, 1280.0, 25_000.0])
    assert jump.error == pytest.approx(-0.9, abs=0.01)
    nothing = fits.tried(SIZES, [0.0] * 6)
    assert nothing.error == 0.0


def test_what_is_measured_stays_what_it_is_in_the_file(tmp_path: Path) -> None:
    path = tmp_path / "slopes.jsonl"
    first = records.parse(json.dumps(GOOD), roles.ROLES, "x")
    records.write(path, first)
    assert records.read(path, roles.ROLES) == first
    newer = records.parse(json.dumps(GOOD | {"value": 2.5}), roles.ROLES, "x")
    assert [each.value for each in records.merged(first, newer)] == [2.5]
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
def test_a_wrong_line_is_named_with_its_place_and_what_is_allowed(
    change: dict[str, object], problem: str, allowed: str
) -> None:
    text = "\n".join((json.dumps(GOOD), json.dumps(GOOD | {"size": 160} | change)))
    with pytest.raises(InvalidSlopesError) as found:
        records.parse(text, roles.ROLES, "slopes.jsonl")
    told = str(found.value)
    assert told.startswith(f"slopes.jsonl:2: {problem}; allowed: ")
    assert allowed in told
    assert "\n" not in told


@pytest.mark.parametrize(
    ("line", "problem"),
    [
        ("{", "no JSON"),
        ("", "no JSON"),
        ("[1]", "no JSON object"),
        (
            json.dumps({key: value for key, value in GOOD.items() if key != "seed"}),
            "seed is missing",
        ),
        (json.dumps(GOOD), "measured twice"),
        (json.dumps(GOOD | {"size": float("nan")}), "size nan"),
        (json.dumps(GOOD | {"value": float("inf")}), "value inf"),
    ],
)
def test_a_line_that_is_no_measurement_is_named(line: str, problem: str) -> None:
    with pytest.raises(InvalidSlopesError, match=f"^f:2: {problem}"):
        records.parse(f"{json.dumps(GOOD)}\n{line}\n", roles.ROLES, "f")


@pytest.mark.parametrize(
    ("told", "allowed"),
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
def test_wrong_use_is_one_line_and_status_2(
    told: list[str], allowed: str, capsys: pytest.CaptureFixture[str]
) -> None:
    try:
        status = capacity.main(told)
    except SystemExit as ended:
        status = int(str(ended.code))
    shown = capsys.readouterr()
    assert (status, shown.out) == (2, "")
    assert shown.err.startswith("capacity: ")
    assert shown.err.count("\n") == 1
    assert allowed in shown.err


def test_a_wrong_slopes_file_is_refused_before_anything_is_measured(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "slopes.jsonl"
    path.write_text("nothing\n")
    assert capacity.main(["agent", "--sizes", "16", "--out", str(path)]) == 2
    assert capsys.readouterr().err == f"capacity: {path}:1: no JSON; allowed: one object a line\n"
    assert path.read_text() == "nothing\n"


def test_a_role_is_measured_into_its_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "slopes.jsonl"
    assert capacity.main(["agent", "--sizes", "16", "--seed", "3", "--out", str(path)]) == 0
    kept = records.read(path, roles.ROLES)
    assert {each.measure for each in kept} >= {"state", "sent", "processor", "longest_step"}
    assert {(each.role, each.size, each.seed) for each in kept} == {("agent", 16.0, 3)}
    assert len(capsys.readouterr().out.splitlines()) == len(kept)


def test_what_grows_and_what_it_grows_to_is_known_of_every_slope() -> None:
    for slope in roles.SLOPES:
        assert slope.by in records.GROWS
        assert len(slope.sizes) >= fits.POINTS_LEAST
        assert list(slope.sizes) == sorted(set(slope.sizes))
        assert min(slope.sizes) >= slope.least
        for role in slope.roles:
            assert assumptions.target(role, slope.by) > 0.0


def test_the_page_is_made_from_the_slopes_file() -> None:
    """Mend it by `python -m benchmarks.capacity --page`."""
    measurements = records.read(capacity.SLOPES_FILE, roles.RECORDED)
    text = capacity.PAGE_FILE.read_text(encoding="utf-8")
    assert page.renewed(text, measurements) == text
    names = {match[1] for match in page.TABLE.finditer(text)}
    assert names == {*page.TABLES, *page.OF_MEASUREMENTS}


def test_a_page_with_a_changed_figure_or_an_unknown_table_is_seen() -> None:
    measurements = records.read(capacity.SLOPES_FILE, roles.RECORDED)
    text = capacity.PAGE_FILE.read_text(encoding="utf-8")
    changed = text.replace("2,500 servers |", "2,600 servers |", 1)
    assert changed != text
    assert page.renewed(changed, measurements) == text
    with pytest.raises(
        page.InvalidPageError, match=r"CAPACITY.md:1: table 'moons' is unknown; allowed: size, "
    ):
        page.renewed("<!-- table: moons -->\n<!-- end -->\n", measurements)


def test_no_row_stands_without_a_command_or_a_slope() -> None:
    found = rows(records.read(capacity.SLOPES_FILE, roles.RECORDED))
    assert found
    for row in found:
        assert "python -m benchmarks.capacity " in row.command
        assert len(row.sizes) >= fits.POINTS_LEAST, (row.role, row.by, row.measure)


def rates(meter: Meter, kind: str, span_ms: float) -> tuple[float, float]:
    return meter.sent[kind] / span_ms * 1000.0, meter.received[kind] / span_ms * 1000.0


def test_hollow_members_send_what_real_ones_would() -> None:
    """Bytes of membership and of heartbeats, at a voter and at a server, within a fifth."""
    span_ms, servers = 90_000.0, 60
    hollow = HollowFleet(servers, 1)
    hollow.ordinary()
    by_hollow = hollow.measure(span_ms, 3, 2000.0)
    real = RealFleet(servers, 1)
    real.day.run(60_000.0)  # the closer exchanges of the start are over
    voter = next(name for name in sorted(real.day.voters) if name != real.leader)
    real.day.watch(real.leader, voter, real.server)
    real.day.run(span_ms)
    pairs = {
        "follower": (by_hollow[hollow.follower], real.day.meters[voter]),
        "server": (by_hollow[hollow.server], real.day.meters[real.server]),
    }
    for name, (made, true) in pairs.items():
        for ours, theirs in zip(
            rates(made, "members", span_ms), rates(true, "members", span_ms), strict=True
        ):
            assert ours == pytest.approx(theirs, rel=0.2), (name, made.sent, true.sent)
    assert real.day.meters[real.leader].received_messages["asked"] == pytest.approx(
        by_hollow[hollow.leader].received_messages["asked"] / 2.0, rel=0.1
    )  # hollow servers have agents, who ask as often


def test_a_small_distribution_comes_to_be_current_and_tells_its_time() -> None:
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
