"""The file of ours: what is wrong is told by line with what is allowed, and nothing else is ever raised."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.config import compiled
from pumicenotch.config.file import File, plan_of
from pumicenotch.config.hcl import InvalidFileError, parse
from pumicenotch.config.schema import load
from pumicenotch.pools import PoolPlan, PoolsPlan

GOOD = 'pool "cheap" {\n  stages  = ["preview"]\n  reserve = 0.5\n}\npool "rest" {\n  stages = ["*"]\n}\n'


def faults(text: str) -> list[str]:
    with pytest.raises(InvalidFileError) as caught:
        load(parse(text, "F"), "F", File)
    return list(caught.value.faults)


@pytest.mark.parametrize(
    ("text", "told"),
    [
        (
            'pool "a" {\n  stages = ["x"]\n  reserv = 0.5\n}',
            "F:3: pool.reserv: unknown attribute; did",
        ),
        ('pol "a" {\n}', "F:1: pol: unknown block; did you mean pool?"),
        ('zzz "a" {\n}', "F:1: zzz: unknown block; allowed: cells, fleet, pool, reading, retries"),
        (
            'pool "a" {\n  stages = ["x"]\n  reserve = 1.5\n}',
            "F:3: pool.reserve: should be less than",
        ),
        (
            'pool "a" {\n  stages = ["x"]\n  lends = 3\n}',
            "F:3: pool.lends: should be a valid boolean",
        ),
        ('pool "a" {\n}', "F:1: pool.stages: is missing"),
        ('pool {\n  stages = ["x"]\n}', "F:1: pool: one name in quotes after the word is wanted"),
        ('pool "A b" {\n  stages = ["x"]\n}', "F:1: pool.name: String should match pattern"),
        ("retries = 3", "F:1: retries: is a block here, not an attribute"),
        ("fixed_limits {\n}", "F:1: fixed_limits: is an attribute here, not a block"),
        ("retries {\n ratio = 1\n ratio = 2\n}", "F:3: ratio: stands twice, first in line 2"),
        ("retries {\n}\nretries {\n}", "F:3: retries: stands twice, first in line 1"),
        ('retries "x" {\n}', "F:1: retries: takes no name"),
        ("retries {\n ratio = 1 + 1\n}", "F:2: ratio: '1+1' would be computed"),
        ("retries {\n ratio = other.thing\n}", "F:2: ratio: 'other.thing' would be computed"),
        ("retries {\n ratio = half\n}", "F:2: ratio: 'half' is a reference"),
        ('pool "${x}" {\n  stages = ["x"]\n}', "F:1: pool: interpolation"),
        ('pool "a" {\n  stages = ["x"]\n', "F:3: no HCL: the end of the file"),
        ("pool = = 3", "F:1: no HCL"),
        ("{" * 100, "F:1: blocks and lists go 100 deep, 64 are allowed"),
        ("#" * 300_000, "F:1: the file has 300000 bytes"),
        ('pool "a" {\n stages = ["x"]\n}\npool "b" {\n stages = ["x"]\n}', "F:1: pool 'b': stage"),
    ],
)
def test_what_is_wrong_is_told_by_line(text: str, told: str) -> None:
    assert any(fault.startswith(told) for fault in faults(text)), faults(text)


def test_all_faults_come_at_once_in_order() -> None:
    text = 'pool "a" {\n  reserv = 1\n  stages = ["x"]\n}\nretries {\n  ratio = 7\n}\nodd = 1\n'
    assert [fault.split(":")[1] for fault in faults(text)] == ["2", "6", "8"]


def test_a_good_file_is_a_plan_and_none_without_pools(tmp_path: Path) -> None:
    path = tmp_path / "p.hcl"
    path.write_text(GOOD + "retries {\n  ratio = 0.2\n}\nreading {\n  reserve = 0.25\n}\n")
    plan = plan_of(path)
    assert plan == PoolsPlan(
        (PoolPlan("cheap", ("preview",), 0.5), PoolPlan("rest", ("*",))),
        retry_ratio=0.2,
        reading_reserve=0.25,
    )
    path.write_text("# nothing\n")
    assert plan_of(path) is None
    with pytest.raises(InvalidFileError, match="cannot be read: No such file"):
        plan_of(tmp_path / "none.hcl")
    path.write_bytes(b"\xff\xfe\x00")
    with pytest.raises(InvalidFileError, match="no UTF-8 at byte 0"):
        plan_of(path)


names = st.text("abcdefghij-", min_size=1, max_size=8)
pools = st.builds(
    PoolPlan,
    names,
    st.tuples(names),
    st.floats(0.0, 0.1),
    st.floats(0, 9),
    st.floats(0.2, 1.0),
    st.booleans(),
)


@given(
    st.lists(
        pools, min_size=1, max_size=5, unique_by=(lambda pool: pool.name, lambda pool: pool.classes)
    )
)
def test_a_compiled_plan_comes_back_as_it_was(some: list[PoolPlan]) -> None:
    plan = PoolsPlan(tuple(some), fixed_limits=True, retry_ratio=0.25)
    ours = compiled.Ours(plan, "n1", "/map.json")
    assert compiled.load(compiled.dump(ours), "F") == ours
    assert compiled.load(compiled.dump(compiled.Ours()), "F") == compiled.Ours()


@given(
    st.one_of(st.text(max_size=60), st.binary(max_size=40).map(lambda raw: raw.decode("latin-1")))
)
def test_no_line_raises_anything_but_a_told_fault(text: str) -> None:
    try:
        compiled.load(text, "F")
    except compiled.InvalidConfigError as error:
        assert str(error).startswith("F:1: ")


def test_compiled_forms_that_are_newer_or_torn_are_refused() -> None:
    line = compiled.dump(compiled.Ours(PoolsPlan((PoolPlan("a", ("x",)),))))
    with pytest.raises(compiled.InvalidConfigError, match="form: 9 is unknown, 1 is allowed"):
        compiled.load(line.replace('"form": 1', '"form": 9'), "F")
    with pytest.raises(compiled.InvalidConfigError, match="no compiled plan"):
        compiled.load(line[:-9], "F")
    with pytest.raises(compiled.InvalidConfigError, match="no compiled plan"):
        compiled.load(line.replace("reserve", "reserved"), "F")


pieces = st.sampled_from(
    [
        "pool",
        ' "a"',
        " {",
        "}",
        "\n",
        " = ",
        "0.5",
        "[",
        "]",
        ",",
        '"',
        "stages",
        "#",
        "/*",
        "<<E",
        "${",
        "-",
        "true",
        "retries",
        "ratio",
        "\\",
        "\u00e9",
        "\x00",
        "(",
        "?",
        ":",
        "null",
    ]
)


@settings(max_examples=150, deadline=None)
@given(st.one_of(st.lists(pieces, max_size=25).map("".join), st.text(max_size=60)))
def test_whatever_stands_in_a_file_is_read_or_told(text: str) -> None:
    try:
        load(parse(text, "F"), "F", File)
    except InvalidFileError as error:
        assert all(fault.startswith("F:") for fault in error.faults)


@settings(max_examples=60, deadline=None)
@given(st.integers(0, len(GOOD) - 1), st.integers(0, 40), st.text('{}[]="#\n0.ax', max_size=3))
def test_a_good_file_with_a_hole_in_it_is_read_or_told(at: int, cut: int, put: str) -> None:
    try:
        load(parse(GOOD[:at] + put + GOOD[at + cut :], "F"), "F", File)
    except InvalidFileError as error:
        assert all(fault.startswith("F:") for fault in error.faults)
