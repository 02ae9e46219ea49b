"""Guards against settings of the block `distribution` that are lost, misread or accepted though invalid.

Servers get them through the compiled plan, which another version of the program may have written.
"""

import json
from pathlib import Path
from typing import Any

import pytest

from pumicenotch.config import compiled
from pumicenotch.config.file import instance_config_of
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
SUBSCRIBE_ALL = 4 * " " + 'subscribe "routes" {\n      all = true\n    }\n'


def write_file(folder: Path, text: str) -> Path:
    path = folder / "file.hcl"
    path.write_text(text)
    return path


def with_line(line: str) -> str:
    return SERVER.replace("    relays = 2\n", line)


def settings_of(folder: Path, text: str) -> InstanceSettings:
    settings = instance_config_of(write_file(folder, text)).distribution
    assert settings is not None
    return settings


def test_a_server_subscribes_to_its_services_and_its_cell_by_default(
    tmp_path: Path,
) -> None:
    settings = settings_of(tmp_path, SERVER)
    assert settings.settings == DEFAULTS._replace(relays=2) and settings.relay
    assert settings.subscribed() == Subscription(
        {"routes": ["orders"], "policies": ["orders"], "homes": ["c1"], "tenants": ["c1"]}
    )
    assert settings_of(tmp_path, with_line(SUBSCRIBE_ALL)).subscription == (
        ScopesOfTable("routes", None),
    )


def test_settings_survive_compilation(tmp_path: Path) -> None:
    text = with_line(
        SUBSCRIBE_ALL + '    relay = false\n    table "homes" {\n      newest_form = 2\n    }\n'
    )
    config = instance_config_of(write_file(tmp_path, text))
    assert config.distribution is not None and not config.distribution.relay
    assert (
        config.distribution.tables()["homes"].form == 2
        and config.distribution.tables()["routes"].form == 1
    )
    assert compiled.load(compiled.dump(config), "plan") == config
    assert "configuration" in compiled.describe(config, [])["fleet"]


def test_settings_are_none_without_the_block(tmp_path: Path) -> None:
    config = instance_config_of(
        write_file(tmp_path, SERVER.replace("  distribution {\n    relays = 2\n  }\n", ""))
    )
    assert config.fleet is not None and config.distribution is None
    document = json.loads(compiled.dump(config))
    del document["distribution"]  # as compiled by an older program
    assert compiled.load(json.dumps(document), "plan") == config


def test_unknown_limits_of_another_version_are_ignored() -> None:
    document = json.loads(
        json.dumps(encode(InstanceSettings(newest_forms=(NewestForm("homes", 3),))))
    )
    document["settings"]["of_a_later_program"] = 1
    del document["settings"]["relays"]
    assert decode_instance_settings(document) == InstanceSettings(
        newest_forms=(NewestForm("homes", 3),)
    )
    invalid_documents: list[Any] = [
        [],
        {},
        {**document, "settings": {"relays": "x"}},
        {**document, "subscription": [1]},
    ]
    for invalid in invalid_documents:
        with pytest.raises(InvalidInstanceSettingsError, match="distribution"):
            decode_instance_settings(invalid)


def test_the_limits_of_a_voters_file_are_read(tmp_path: Path) -> None:
    settings = voter_of(write_file(tmp_path, VOTER)).distribution
    assert settings is not None and settings.settings == DEFAULTS._replace(relays=2, max_children=7)
    assert voter_of(write_file(tmp_path, VOTER[: VOTER.index("distribution")])).distribution is None


@pytest.mark.parametrize(
    "text, expected",
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
            with_line(SUBSCRIBE_ALL.replace("routes", "moons")),
            "8: fleet.distribution.subscribe.name: unknown table 'moons': allowed: routes, tenants",
        ),
        (
            with_line(SUBSCRIBE_ALL + SUBSCRIBE_ALL),
            "fleet.distribution: subscribe 'routes' is defined twice",
        ),
        (
            with_line(SUBSCRIBE_ALL.replace("all = true", 'scopes = ["a b"]')),
            "9: fleet.distribution.subscribe.scopes",
        ),
        (
            with_line(SUBSCRIBE_ALL.replace("all = true", "all = false")),
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
def test_errors_in_a_servers_block_are_reported_by_line(
    tmp_path: Path, text: str, expected: str
) -> None:
    path = write_file(tmp_path, text)
    with pytest.raises(InvalidFileError) as caught:
        instance_config_of(path)
    assert expected in str(caught.value) and str(caught.value).startswith(f"{path}:")


def test_a_voter_must_not_have_subscriptions(tmp_path: Path) -> None:
    with pytest.raises(InvalidFileError, match=r"distribution\.subscribe: unknown block"):
        voter_of(write_file(tmp_path, VOTER.replace("  relays = 2\n", SUBSCRIBE_ALL)))
