"""The block `distribution` in a server's and in a voter's file: what is wrong is named with its line and what
is allowed; what is right comes whole to a server.
"""

import json
from pathlib import Path
from typing import Any

import pytest

from pumicenotch.config import compiled
from pumicenotch.config.file import ours_of
from pumicenotch.config.fleet import voter_of
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.instance_settings import (
    InstanceSettings,
    InvalidInstanceSettingsError,
    NewestForm,
    ScopesOfTable,
    decode_instance_settings,
    encode,
)
from pumicenotch.distribution.settings import DEFAULTS

SERVER = """fleet "accra" {
  member = "n3"
  listen = "127.0.0.1:7200"
  voters = ["127.0.0.1:7101"]
  serves = ["orders"]
  cell   = "c1"
  distribution {
    relays = 2
  }
}
"""
VOTER = """fleet  = "accra"
member = "v1"
listen = "127.0.0.1:7101"
voter "v1" { address = "127.0.0.1:7101" }
distribution {
  relays = 2
  limits {
    children = 7
  }
}
"""
LARGEST = 4 * " " + 'subscribe "routes" {\n      all = true\n    }\n'


def put(folder: Path, text: str) -> Path:
    path = folder / "file.hcl"
    path.write_text(text)
    return path


def with_line(line: str) -> str:
    return SERVER.replace("    relays = 2\n", line)


def settings_of(folder: Path, text: str) -> InstanceSettings:
    found = ours_of(put(folder, text)).distribution
    assert found is not None
    return found


def test_a_server_subscribes_to_its_services_and_its_cell_unless_told_otherwise(
    tmp_path: Path,
) -> None:
    found = settings_of(tmp_path, SERVER)
    assert found.settings == DEFAULTS._replace(relays=2) and found.relay
    assert found.subscribed() == Subscription(
        {"routes": ["orders"], "policies": ["orders"], "homes": ["c1"], "tenants": ["c1"]}
    )
    assert settings_of(tmp_path, with_line(LARGEST)).subscription == (
        ScopesOfTable("routes", None),
    )


def test_it_comes_whole_through_the_compiled_plan(tmp_path: Path) -> None:
    text = with_line(
        LARGEST + '    relay = false\n    table "homes" {\n      newest_form = 2\n    }\n'
    )
    ours = ours_of(put(tmp_path, text))
    assert ours.distribution is not None and not ours.distribution.relay
    assert (
        ours.distribution.tables()["homes"].form == 2
        and ours.distribution.tables()["routes"].form == 1
    )
    assert compiled.load(compiled.dump(ours), "plan") == ours
    assert "configuration" in compiled.describe(ours, [])["fleet"]


def test_without_the_block_there_is_none(tmp_path: Path) -> None:
    ours = ours_of(put(tmp_path, SERVER.replace("  distribution {\n    relays = 2\n  }\n", "")))
    assert ours.fleet is not None and ours.distribution is None
    told = json.loads(compiled.dump(ours))
    del told["distribution"]  # as an older program compiled it
    assert compiled.load(json.dumps(told), "plan") == ours


def test_limits_of_another_version_of_the_program_are_passed_over() -> None:
    told = json.loads(json.dumps(encode(InstanceSettings(newest_forms=(NewestForm("homes", 3),)))))
    told["settings"]["of_a_later_program"] = 1
    del told["settings"]["relays"]
    assert decode_instance_settings(told) == InstanceSettings(
        newest_forms=(NewestForm("homes", 3),)
    )
    wrongs: list[Any] = [
        [],
        {},
        {**told, "settings": {"relays": "x"}},
        {**told, "subscription": [1]},
    ]
    for wrong in wrongs:
        with pytest.raises(InvalidInstanceSettingsError, match="distribution"):
            decode_instance_settings(wrong)


def test_a_voters_file_has_its_limits(tmp_path: Path) -> None:
    found = voter_of(put(tmp_path, VOTER)).distribution
    assert found is not None and found.settings == DEFAULTS._replace(relays=2, max_children=7)
    assert voter_of(put(tmp_path, VOTER[: VOTER.index("distribution")])).distribution is None


@pytest.mark.parametrize(
    "text, fault",
    [
        (
            with_line("    relays = 0\n"),
            "8: fleet.distribution.relays: should be greater than or equal to 1",
        ),
        (with_line("    relay = 3\n"), "8: fleet.distribution.relay"),
        (
            with_line("    relais = 1\n"),
            "8: fleet.distribution.relais: unknown attribute; did you mean relays?",
        ),
        (
            with_line(LARGEST.replace("routes", "moons")),
            "8: fleet.distribution.subscribe.name: there is no table 'moons': allowed: routes, tenants",
        ),
        (with_line(LARGEST + LARGEST), "fleet.distribution: subscribe 'routes' stands twice"),
        (
            with_line(LARGEST.replace("all = true", 'scopes = ["a b"]')),
            "9: fleet.distribution.subscribe.scopes",
        ),
        (
            with_line(LARGEST.replace("all = true", "all = false")),
            "8: fleet.distribution.subscribe: either scopes = [...] or all = true is wanted",
        ),
        (
            with_line("    limits {\n      children = 100000\n    }\n"),
            "9: fleet.distribution.limits.children: should be less than or equal to 4096",
        ),
        (
            with_line('    table "homes" {\n      newest_form = 0\n    }\n'),
            "9: fleet.distribution.table.newest_form",
        ),
    ],
)
def test_what_is_wrong_with_a_servers_block_is_named(tmp_path: Path, text: str, fault: str) -> None:
    path = put(tmp_path, text)
    with pytest.raises(InvalidFileError) as found:
        ours_of(path)
    assert fault in str(found.value) and str(found.value).startswith(f"{path}:")


def test_a_voter_subscribes_to_nothing(tmp_path: Path) -> None:
    with pytest.raises(InvalidFileError, match=r"distribution\.subscribe: unknown block"):
        voter_of(put(tmp_path, VOTER.replace("  relays = 2\n", LARGEST)))
