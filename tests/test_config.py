"""Guards against a server's file that is misread, or whose errors lack a line or stop the reader.

Invalid files come from mistakes in their text; damaged compiled lines from crashes and other versions.
"""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.config import compiled
from pumicenotch.config.file import File, plan_of
from pumicenotch.config.hcl import InvalidFileError, parse
from pumicenotch.config.schema import load
from pumicenotch.pools import PoolPlan, PoolsPlan

VALID_FILE = 'pool "cheap" {\n  stages  = ["preview"]\n  reserve = 0.5\n}\npool "rest" {\n  stages = ["*"]\n}\n'


def errors_of(text: str) -> list[str]:
    with pytest.raises(InvalidFileError) as caught:
        load(parse(text, "F"), "F", File)
    return list(caught.value.faults)


@pytest.mark.parametrize(
    ("text", "expected"),
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
        ('pool {\n  stages = ["x"]\n}', "F:1: pool: must be followed by one name in quotes"),
        ('pool "A b" {\n  stages = ["x"]\n}', "F:1: pool.name: String should match pattern"),
        ("retries = 3", "F:1: retries: is a block here, not an attribute"),
        ("fixed_limits {\n}", "F:1: fixed_limits: is an attribute here, not a block"),
        ("retries {\n ratio = 1\n ratio = 2\n}", "F:3: ratio: is defined twice, first in line 2"),
        ("retries {\n}\nretries {\n}", "F:3: retries: is defined twice, first in line 1"),
        ('retries "x" {\n}', "F:1: retries: takes no name"),
        ("retries {\n ratio = 1 + 1\n}", "F:2: ratio: '1+1' is an expression"),
        ("retries {\n ratio = other.thing\n}", "F:2: ratio: 'other.thing' is an expression"),
        ("retries {\n ratio = half\n}", "F:2: ratio: 'half' is a reference"),
        ('pool "${x}" {\n  stages = ["x"]\n}', "F:1: pool: interpolation"),
        ('pool "a" {\n  stages = ["x"]\n', "F:3: invalid HCL: the end of the file"),
        ("pool = = 3", "F:1: invalid HCL"),
        ("{" * 100, "F:1: blocks and lists are nested 100 deep, at most 64 are allowed"),
        ("#" * 300_000, "F:1: the file has 300000 bytes"),
        ('pool "a" {\n stages = ["x"]\n}\npool "b" {\n stages = ["x"]\n}', "F:1: pool 'b': stage"),
    ],
)
def test_errors_are_reported_by_line(text: str, expected: str) -> None:
    assert any(error.startswith(expected) for error in errors_of(text)), errors_of(text)


def test_all_errors_are_reported_together_in_order() -> None:
    text = 'pool "a" {\n  reserv = 1\n  stages = ["x"]\n}\nretries {\n  ratio = 7\n}\nodd = 1\n'
    assert [error.split(":")[1] for error in errors_of(text)] == ["2", "6", "8"]


def test_a_valid_file_gives_a_plan_and_none_without_pools(tmp_path: Path) -> None:
    path = tmp_path / "p.hcl"
    path.write_text(VALID_FILE + "retries {\n  ratio = 0.2\n}\nreading {\n  reserve = 0.25\n}\n")
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
    with pytest.raises(InvalidFileError, match="not UTF-8 at byte 0"):
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
def test_a_compiled_plan_loads_unchanged(plans: list[PoolPlan]) -> None:
    plan = PoolsPlan(tuple(plans), fixed_limits=True, retry_ratio=0.25)
    config = compiled.InstanceConfig(plan, "n1", "/map.json")
    assert compiled.load(compiled.dump(config), "F") == config
    assert compiled.load(compiled.dump(compiled.InstanceConfig()), "F") == compiled.InstanceConfig()


@given(
    st.one_of(st.text(max_size=60), st.binary(max_size=40).map(lambda raw: raw.decode("latin-1")))
)
def test_any_invalid_line_raises_an_error_with_its_place(text: str) -> None:
    try:
        compiled.load(text, "F")
    except compiled.InvalidConfigError as error:
        assert str(error).startswith("F:1: ")


def test_compiled_lines_of_newer_versions_or_incomplete_ones_are_refused() -> None:
    line = compiled.dump(compiled.InstanceConfig(PoolsPlan((PoolPlan("a", ("x",)),))))
    with pytest.raises(compiled.InvalidConfigError, match="form: 9 is unknown, 1 is allowed"):
        compiled.load(line.replace('"form": 1', '"form": 9'), "F")
    with pytest.raises(compiled.InvalidConfigError, match="no compiled plan"):
        compiled.load(line[:-9], "F")
    with pytest.raises(compiled.InvalidConfigError, match="no compiled plan"):
        compiled.load(line.replace("reserve", "reserved"), "F")


fragments = st.sampled_from(
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
@given(st.one_of(st.lists(fragments, max_size=25).map("".join), st.text(max_size=60)))
def test_any_text_is_read_or_reported_as_invalid(text: str) -> None:
    try:
        load(parse(text, "F"), "F", File)
    except InvalidFileError as error:
        assert all(fault.startswith("F:") for fault in error.faults)


@settings(max_examples=60, deadline=None)
@given(
    st.integers(0, len(VALID_FILE) - 1), st.integers(0, 40), st.text('{}[]="#\n0.ax', max_size=3)
)
def test_a_valid_file_with_a_replaced_section_is_read_or_reported_as_invalid(
    start: int, length: int, replacement: str
) -> None:
    try:
        load(parse(VALID_FILE[:start] + replacement + VALID_FILE[start + length :], "F"), "F", File)
    except InvalidFileError as error:
        assert all(fault.startswith("F:") for fault in error.faults)
