"""Versions as folders, an agent's file and its disk."""

import os
import shutil
from pathlib import Path

import pytest

from pumicenotch.cli.agent import MAX_UNCONFIRMED_STARTS, environment_of
from pumicenotch.config import agent, versions
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.config.versions import PART, InvalidVersionError, content, fetch, held, pack


def folder(path: Path, **files: str) -> Path:
    for name, text in files.items():
        place = path / name.replace("__", "/")
        place.parent.mkdir(parents=True, exist_ok=True)
        place.write_text(text)
    return path


def test_a_version_is_known_by_names_contents_and_what_may_be_run(tmp_path: Path) -> None:
    one = folder(tmp_path / "a", x="1", sub__y="2")
    same = folder(tmp_path / "b", sub__y="2", x="1")
    assert content(one) == content(same)
    folder(same, **{"__pycache____z.pyc": "3"})
    assert content(one) == content(same), "what Python has compiled is no content"
    found = {content(one)}
    for name, text in (("x", "2"), ("z", "1")):
        found.add(content(folder(tmp_path / name, **{"x": "1", "sub__y": "2", name: text})))
    os.chmod(same / "x", 0o755)
    found.add(content(same))
    assert len(found) == 4
    (one / "link").symlink_to(one / "x")
    with pytest.raises(InvalidVersionError, match="a link"):
        content(one)
    (tmp_path / "empty").mkdir()
    with pytest.raises(InvalidVersionError, match="holds nothing"):
        content(tmp_path / "empty")


def test_half_a_copy_is_never_held(tmp_path: Path) -> None:
    source, into = tmp_path / "source", tmp_path / "into"
    version = pack(folder(tmp_path / "a", x="1", y="2"), source)
    assert pack(tmp_path / "a", source) == version, "a second time changes nothing"
    assert held(into) == []
    (source / version / "y").unlink()
    with pytest.raises(InvalidVersionError, match="half a copy"):
        fetch(version, source, into)
    assert held(into) == []
    (source / version / "y").write_text("2")
    fetch(version, source, into)
    assert held(into) == [version]
    (into / version / "x").write_text("spoilt since")
    fetch(version, source, into)
    assert content(into / version) == version
    (into / f"{PART}other").mkdir()  # of an agent that was killed
    assert held(into) == [version] and not (into / f"{PART}other").exists()
    with pytest.raises(InvalidVersionError, match="No such file"):
        fetch("v-none", source, into)
    with pytest.raises(InvalidVersionError, match="names no version"):
        fetch(f"../source/{version}", source, into)
    versions.remove(into / version)
    assert held(into) == []


def test_a_full_disk_is_told_and_leaves_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    source, into = tmp_path / "source", tmp_path / "into"
    version = pack(folder(tmp_path / "a", x="1"), source)
    held(into)

    def full(*_: object, **__: object) -> None:
        raise OSError(28, "No space left on device", str(into))

    monkeypatch.setattr(shutil, "copytree", full)
    with pytest.raises(InvalidVersionError, match="No space left"):
        fetch(version, source, into)
    assert held(into) == []


FILE = """\
fleet   = "f"
member  = "n0"
voters  = ["127.0.0.1:7100"]
home    = "{home}"
source  = "{source}"
command = ["python", "-m", "pumicenotch"]
environment = ["PYTHONPATH={{program}}"]
slot "program" {{ version = "{program}" }}
slot "agent" {{ version = "{agent}" }}
"""


def written(tmp_path: Path, text: str = FILE) -> Path:
    program = pack(folder(tmp_path / "p", x="1"), tmp_path / "source")
    own = pack(folder(tmp_path / "q", x="2"), tmp_path / "source")
    path = tmp_path / "agent.hcl"
    home, source = tmp_path / "home", tmp_path / "source"
    home.mkdir()
    path.write_text(text.format(home=home, source=source, program=program, agent=own))
    return path


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ('slot "agent"', 'slot "engine"', "9: slot.*allowed: program, config, map, agent"),
        ('slot "agent"', 'slot "program"', "1: slot program: stands twice"),
        ("PYTHONPATH={{program}}", "PYTHONPATH={{map}}", "1: .*map.*known"),
        ("PYTHONPATH={{program}}", "PYTHONPATH", "NAME=VALUE is wanted"),
        ("voters  =", "voter =", "3: voter: unknown attribute; did you mean voters"),
        ('["127.0.0.1:7100"]', '["nowhere"]', "3: voters"),
    ],
)
def test_a_wrong_file_is_told_by_line_with_the_remedy(
    old: str, new: str, fault: str, tmp_path: Path
) -> None:
    path = written(tmp_path, FILE.replace(old, new))
    with pytest.raises(InvalidFileError, match=f"agent.hcl:.*{fault}"):
        agent.agent_of(path)


def test_an_agents_disk_is_whole_or_said_to_be_spoilt(tmp_path: Path) -> None:
    told = agent.agent_of(written(tmp_path))
    first = agent.disk_of(told)
    assert first.runs == first.good and set(first.runs) == {"program", "agent"}
    agent.write(told, first._replace(pid=7, runs={**first.runs, "program": "v2"}))
    assert agent.disk_of(told).runs["program"] == "v2" and agent.disk_of(told).pid == 7
    (Path(told.home) / "agent.json").write_text('{"form": 1, "runs"')
    with pytest.raises(
        InvalidFileError, match=r"agent.json:1: cannot be read as an agent's.*move it away"
    ):
        agent.disk_of(told)


def test_the_launcher_goes_back_from_a_version_of_the_agent_that_never_spoke(
    tmp_path: Path,
) -> None:
    path = written(tmp_path)
    told = agent.agent_of(path)
    first = agent.disk_of(told)
    bad = pack(folder(tmp_path / "r", x="3"), tmp_path / "source")
    agent.write(told, first._replace(runs={**first.runs, "agent": bad}))
    for _ in range(MAX_UNCONFIRMED_STARTS):
        assert environment_of(str(path))["PYTHONPATH"].endswith(bad)
    assert environment_of(str(path))["PYTHONPATH"].endswith(first.runs["agent"])
    disk = agent.disk_of(told)
    assert disk.runs == first.runs and "never spoke with the fleet" in disk.trouble
