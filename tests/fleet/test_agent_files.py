"""Tests of versions as folders, and of an agent's configuration file and disk state."""

import os
import shutil
from pathlib import Path

import pytest

from pumicenotch.cli.agent import MAX_UNCONFIRMED_STARTS, environment_of
from pumicenotch.config import agent, versions
from pumicenotch.config.files import NotReplacedError, write_atomically
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.config.versions import (
    PART,
    InvalidVersionError,
    fetch,
    list_versions,
    pack,
    version_of,
)


def write_folder(path: Path, **files: str) -> Path:
    """Writes the files into the folder at `path`; `__` in a name stands for a path separator."""
    for name, text in files.items():
        file_path = path / name.replace("__", "/")
        file_path.parent.mkdir(parents=True, exist_ok=True)
        file_path.write_text(text)
    return path


def test_a_versions_hash_covers_names_contents_and_executable_bits(tmp_path: Path) -> None:
    original = write_folder(tmp_path / "a", x="1", sub__y="2")
    copy = write_folder(tmp_path / "b", sub__y="2", x="1")
    assert version_of(original) == version_of(copy)
    write_folder(copy, **{"__pycache____z.pyc": "3"})
    assert version_of(original) == version_of(copy), "compiled Python files do not count"
    hashes = {version_of(original)}
    for name, text in (("x", "2"), ("z", "1")):
        hashes.add(
            version_of(write_folder(tmp_path / name, **{"x": "1", "sub__y": "2", name: text}))
        )
    os.chmod(copy / "x", 0o755)
    hashes.add(version_of(copy))
    assert len(hashes) == 4
    (original / "link").symlink_to(original / "x")
    with pytest.raises(InvalidVersionError, match="a link"):
        version_of(original)
    (tmp_path / "empty").mkdir()
    with pytest.raises(InvalidVersionError, match="holds nothing"):
        version_of(tmp_path / "empty")


def test_an_incomplete_copy_is_never_listed_as_stored(tmp_path: Path) -> None:
    source, target = tmp_path / "source", tmp_path / "into"
    version = pack(write_folder(tmp_path / "a", x="1", y="2"), source)
    assert pack(tmp_path / "a", source) == version, "packing again changes nothing"
    assert list_versions(target) == []
    (source / version / "y").unlink()
    with pytest.raises(InvalidVersionError, match="half a copy"):
        fetch(version, source, target)
    assert list_versions(target) == []
    (source / version / "y").write_text("2")
    fetch(version, source, target)
    assert list_versions(target) == [version]
    (target / version / "x").write_text("spoilt since")
    fetch(version, source, target)
    assert version_of(target / version) == version
    (target / f"{PART}other").mkdir()  # left by a killed agent
    assert list_versions(target) == [version] and not (target / f"{PART}other").exists()
    with pytest.raises(InvalidVersionError, match="No such file"):
        fetch("v-none", source, target)
    with pytest.raises(InvalidVersionError, match="names no version"):
        fetch(f"../source/{version}", source, target)
    versions.remove(target / version)
    assert list_versions(target) == []


def test_a_fetch_to_a_full_disk_raises_and_leaves_no_files(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    source, target = tmp_path / "source", tmp_path / "into"
    version = pack(write_folder(tmp_path / "a", x="1"), source)
    list_versions(target)

    def raise_disk_full(*_: object, **__: object) -> None:
        raise OSError(28, "No space left on device", str(target))

    monkeypatch.setattr(shutil, "copytree", raise_disk_full)
    with pytest.raises(InvalidVersionError, match="No space left"):
        fetch(version, source, target)
    assert list_versions(target) == []


AGENT_FILE = """\
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


def write_agent_file(tmp_path: Path, text: str = AGENT_FILE) -> Path:
    program = pack(write_folder(tmp_path / "p", x="1"), tmp_path / "source")
    agent_version = pack(write_folder(tmp_path / "q", x="2"), tmp_path / "source")
    path = tmp_path / "agent.hcl"
    home, source = tmp_path / "home", tmp_path / "source"
    home.mkdir()
    path.write_text(text.format(home=home, source=source, program=program, agent=agent_version))
    return path


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ('slot "agent"', 'slot "engine"', "9: slot.*allowed: program, config, map, agent"),
        ('slot "agent"', 'slot "program"', "1: slot program: is defined twice"),
        ("PYTHONPATH={{program}}", "PYTHONPATH={{map}}", "1: .*map.*known"),
        ("PYTHONPATH={{program}}", "PYTHONPATH", "NAME=VALUE is wanted"),
        ("voters  =", "voter =", "3: voter: unknown attribute; did you mean voters"),
        ('["127.0.0.1:7100"]', '["nowhere"]', "3: voters"),
    ],
)
def test_an_invalid_agent_file_is_rejected_with_its_line_and_a_remedy(
    old: str, new: str, fault: str, tmp_path: Path
) -> None:
    path = write_agent_file(tmp_path, AGENT_FILE.replace(old, new))
    with pytest.raises(InvalidFileError, match=f"agent.hcl:.*{fault}"):
        agent.agent_of(path)


def test_a_permission_that_expires_while_the_disk_is_slow_leaves_the_state_as_it_was(
    tmp_path: Path,
) -> None:
    # The new version would take effect after a halt that was agreed while the disk wrote.
    path = tmp_path / "agent.json"
    write_atomically(path, "old")
    seen: list[str] = []

    def has_expired() -> bool:
        seen.append((tmp_path / "agent.json.new").read_text())
        return False

    with pytest.raises(NotReplacedError):
        write_atomically(path, "new", has_expired)
    assert seen == ["new"], "asked once the new content is on the disk"
    assert path.read_text() == "old" and list(tmp_path.iterdir()) == [path]


def test_the_agents_disk_state_is_read_whole_or_rejected_as_corrupt(tmp_path: Path) -> None:
    agent_file = agent.agent_of(write_agent_file(tmp_path))
    initial = agent.disk_of(agent_file)
    assert initial.runs == initial.good and set(initial.runs) == {"program", "agent"}
    agent.write(agent_file, initial._replace(pid=7, runs={**initial.runs, "program": "v2"}))
    assert agent.disk_of(agent_file).runs["program"] == "v2" and agent.disk_of(agent_file).pid == 7
    (Path(agent_file.home) / "agent.json").write_text('{"form": 1, "runs"')
    with pytest.raises(
        InvalidFileError, match=r"agent.json:1: cannot be read as an agent's.*move it away"
    ):
        agent.disk_of(agent_file)


def test_the_launcher_returns_to_the_last_good_agent_version_if_a_new_one_reaches_no_fleet(
    tmp_path: Path,
) -> None:
    path = write_agent_file(tmp_path)
    agent_file = agent.agent_of(path)
    initial = agent.disk_of(agent_file)
    bad_version = pack(write_folder(tmp_path / "r", x="3"), tmp_path / "source")
    agent.write(agent_file, initial._replace(runs={**initial.runs, "agent": bad_version}))
    for _ in range(MAX_UNCONFIRMED_STARTS):
        assert environment_of(str(path))["PYTHONPATH"].endswith(bad_version)
    assert environment_of(str(path))["PYTHONPATH"].endswith(initial.runs["agent"])
    disk = agent.disk_of(agent_file)
    assert disk.runs == initial.runs and "never spoke with the fleet" in disk.trouble
