"""Files of a fleet: what is wrong is named with its line and what is allowed; what is right comes whole to a
server.
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


def put(folder: Path, text: str) -> Path:
    path = folder / "file.hcl"
    path.write_text(text)
    return path


def test_a_servers_block_comes_whole_through_the_compiled_plan(tmp_path: Path) -> None:
    ours = instance_config_of(put(tmp_path, SERVER))
    settings = ours.fleet
    assert settings is not None and settings.member("x")[:7] == (
        "n3",
        "x",
        "a",
        "",
        "",
        (),
        ("ledger",),
    )
    assert compiled.load(compiled.dump(ours), "plan").fleet == settings
    assert "n3 of accra" in compiled.describe(ours, [])["fleet"]
    without = json.loads(compiled.dump(compiled.InstanceConfig()))
    del without["fleet"]  # as an older program compiled it
    assert compiled.load(json.dumps(without), "plan") == compiled.InstanceConfig()
    wrong: list[Any] = [{"fleet": 1}, [], {"fleet": "a", "name": "b", "listen": 3, "voters": []}]
    for each in wrong:
        with pytest.raises(ValueError, match="fleet"):
            read_settings(each)


def test_a_voters_file_says_all(tmp_path: Path) -> None:
    settings, seed, _ = voter_of(put(tmp_path, VOTER + "seed = 4\n"))
    assert seed == 4 and [name for name, _ in settings.names] == ["v1", "v2", "v3"]
    assert [budget.max_unavailable for budget in settings.budgets] == [1]
    assert [hand.serves for hand in settings.manual_members] == [("ledger",)]
    assert settings.member("x").voter


@pytest.mark.parametrize(
    "text, fault",
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
def test_what_is_wrong_with_a_voters_file_is_named(tmp_path: Path, text: str, fault: str) -> None:
    path = put(tmp_path, text)
    with pytest.raises(InvalidFileError) as found:
        voter_of(path)
    assert fault in str(found.value) and str(found.value).startswith(f"{path}:")


def test_budgets_apart_are_for_services_alone(tmp_path: Path) -> None:
    with pytest.raises(InvalidFileError, match="apart: for each = service only"):
        budgets_of(put(tmp_path, 'budget "x" {\n  each = "zone"\n  apart = true\n}\n'))


def test_a_permit_that_is_told_is_begun_at_once() -> None:
    """Not at the next word that is due anyway: among 300 members that was 1.5 s later, and drains took 1.35
    times the shortest.
    """
    me = MemberIdentity("n0", "n0:1", "1", 1, "a", "")
    mate = MemberNode(
        MemberSetup(
            fleet="f",
            me=me,
            member=Member("n0", "1"),
            voters=("v:1",),
            seeds=(),
            now_ms=0.0,
            seed=random.Random(1).getrandbits(9),
        )
    )
    asks = [each for each in mate.step(1.0, "serve", True, False) if isinstance(each, SendRequest)]
    for verb in ("join", "serving", "mine"):
        assert [each.verb for each in asks] == [verb]
        result = (
            {"known": True, "standing": "serving", "permit": 0, "again_ms": 30_000}
            if verb == "mine"
            else {}
        )
        effects = mate.step(2.0, "answered", asks[0].request_number, None, result)
        asks = [each for each in effects if isinstance(each, SendRequest)]
    assert not asks
    effects = mate.step(100.0, "told", ("v1", "1", "v:1"), "permitted", (7,))
    assert [each.args[-1] for each in effects if isinstance(each, SendRequest)] == [7]
