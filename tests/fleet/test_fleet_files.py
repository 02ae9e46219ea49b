"""Configuration files of a fleet.

Errors name the line and the allowed values, and valid settings reach the server complete.
"""

import json
import random
from pathlib import Path
from typing import Any

import pytest

from pumicenotch.config import compiled
from pumicenotch.config.file import instance_config_of
from pumicenotch.config.fleet import budgets_of, voter_of
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.fleet.drains.budgets import Member
from pumicenotch.fleet.member.effects import SendRequest
from pumicenotch.fleet.member.node import MemberNode, MemberSetup
from pumicenotch.fleet.member.settings import read_settings
from pumicenotch.membership.messages import MemberIdentity

SERVER = """fleet "accra" {
  member = "n3"
  listen = "127.0.0.1:7200"
  zone   = "a"
  uses   = ["ledger"]
  voters = ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"]
}
"""
VOTER = """fleet  = "accra"
member = "v1"
listen = "127.0.0.1:7101"
voter "v1" { address = "127.0.0.1:7101" }
voter "v2" { address = "127.0.0.1:7102" }
voter "v3" { address = "127.0.0.1:7103" }
budget "zones" {
  each     = "zone"
  most_out = 1
}
by_hand "ledger-1" { serves = ["ledger"] }
"""


def write_file(folder: Path, text: str) -> Path:
    path = folder / "file.hcl"
    path.write_text(text)
    return path


def test_the_compiled_plan_keeps_a_servers_whole_fleet_block(tmp_path: Path) -> None:
    configuration = instance_config_of(write_file(tmp_path, SERVER))
    settings = configuration.fleet
    assert settings is not None and settings.member("x")[:7] == (
        "n3",
        "x",
        "a",
        "",
        "",
        (),
        ("ledger",),
    )
    assert compiled.load(compiled.dump(configuration), "plan").fleet == settings
    assert "n3 of accra" in compiled.describe(configuration, [])["fleet"]
    older = json.loads(compiled.dump(compiled.InstanceConfig()))
    del older["fleet"]  # older programs compiled no such field
    assert compiled.load(json.dumps(older), "plan") == compiled.InstanceConfig()
    invalid: list[Any] = [{"fleet": 1}, [], {"fleet": "a", "name": "b", "listen": 3, "voters": []}]
    for value in invalid:
        with pytest.raises(ValueError, match="fleet"):
            read_settings(value)


def test_a_voters_file_holds_all_settings_of_the_fleet(tmp_path: Path) -> None:
    settings, seed, _ = voter_of(write_file(tmp_path, VOTER + "seed = 4\n"))
    assert seed == 4 and [name for name, _ in settings.names] == ["v1", "v2", "v3"]
    assert [budget.max_unavailable for budget in settings.budgets] == [1]
    assert [member.serves for member in settings.manual_members] == [("ledger",)]
    assert settings.member("x").voter


@pytest.mark.parametrize(
    "text, problem",
    [
        (VOTER.replace('voter "v3"', 'voter "v2"'), "voter v2: is defined twice"),
        (
            VOTER.replace('voter "v3" { address = "127.0.0.1:7103" }\n', ""),
            "2 voters: 3, 5 or 7 are allowed",
        ),
        (
            VOTER.replace('member = "v1"', 'member = "v9"'),
            "member 'v9' is none of the voters: v1, v2, v3",
        ),
        (
            VOTER.replace("most_out = 1", ""),
            "7: budget: budget zones: one of most_out, least_serving",
        ),
        (VOTER.replace('"zone"', '"moon"'), "8: budget.each"),
        (
            VOTER.replace("most_out", "most_outs"),
            "9: budget.most_outs: unknown attribute; did you mean most_out?",
        ),
        (VOTER.replace('7101"\nvoter', 'x"\nvoter'), "3: listen"),
    ],
    ids=["twice", "two", "stranger", "empty", "each", "near", "address"],
)
def test_errors_in_a_voters_file_are_located(tmp_path: Path, text: str, problem: str) -> None:
    path = write_file(tmp_path, text)
    with pytest.raises(InvalidFileError) as error:
        voter_of(path)
    assert problem in str(error.value) and str(error.value).startswith(f"{path}:")


def test_only_budgets_on_services_may_separate_callers(tmp_path: Path) -> None:
    with pytest.raises(InvalidFileError, match="apart: for each = service only"):
        budgets_of(write_file(tmp_path, 'budget "x" {\n  each = "zone"\n  apart = true\n}\n'))


def test_a_notified_permit_is_used_at_once() -> None:
    """A member that waited for its next heartbeat started 1.5 s later among 300 members, and drains took
    1.35 times the shortest possible time.
    """
    identity = MemberIdentity("n0", "n0:1", "1", 1, "a", "")
    node = MemberNode(
        MemberSetup(
            fleet="f",
            me=identity,
            member=Member("n0", "1"),
            voters=("v:1",),
            seeds=(),
            now_ms=0.0,
            seed=random.Random(1).getrandbits(9),
        )
    )
    requests = [
        effect for effect in node.step(1.0, "serve", True, False) if isinstance(effect, SendRequest)
    ]
    for verb in ("join", "serving", "mine"):
        assert [request.verb for request in requests] == [verb]
        result = (
            {"known": True, "standing": "serving", "permit": 0, "again_ms": 30_000}
            if verb == "mine"
            else {}
        )
        effects = node.step(2.0, "answered", requests[0].request_number, None, result)
        requests = [effect for effect in effects if isinstance(effect, SendRequest)]
    assert not requests
    effects = node.step(100.0, "told", ("v1", "1", "v:1"), "permitted", (7,))
    assert [effect.args[-1] for effect in effects if isinstance(effect, SendRequest)] == [7]
