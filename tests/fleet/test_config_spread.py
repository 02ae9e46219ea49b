"""Configuration spread over a hollow fleet: a small run, the record of what was published, the observer and
the judge, each held against faults seeded here.
"""

import json
import os
import random
import subprocess
import sys
from pathlib import Path

import pytest

from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.data.tables import TABLES, check_change
from pumicenotch.distribution.data.view import Builder, View
from pumicenotch.lab.configuration_judge import SETTLED_S, WINDOW_S, ConfigurationJudge, newest
from pumicenotch.lab.configuration_observer import Observer, Watched
from pumicenotch.lab.experiment_file import FOLDER, read
from pumicenotch.lab.published import Dataset, Reader, Writer, digest_of
from pumicenotch.lab.publisher import Published
from pumicenotch.lab.world import Configuration

SMALL = Configuration(tenants=60, routes=40, cells=4, services=5, services_each=2)
SETS = [
    "servers=17",
    "voters=3",
    "zones=4",
    "length_s=10",
    "warm_s=1",
    "stop_ms=800",
    "configuration.tenants=400",
    "configuration.routes=300",
    "configuration.cells=8",
    "configuration.services=30",
    "configuration.burst=10",
    "configuration.burst_every_s=2",
    "configuration.settle_s=4",
]


def test_changes_spread_over_a_small_fleet(tmp_path: Path) -> None:
    path = tmp_path / "spread.hcl"
    path.write_text(
        f'like = "{os.path.relpath(FOLDER, tmp_path)}/config-spread.hcl"\nset = {json.dumps(SETS)}\n'
        'arm "changes" { configuration = "changes" }\n'
        'fault {\n  kind  = "kill_relays"\n  label = "relays"\n  at_s  = 4.1\n  for_s = 1\n}\n'
        'bound {\n  figure = "mixed"\n  arm = "changes"\n  most = 0\n}\n'
    )
    told, _ = read(str(path))
    assert told.hollow is not None and told.hollow.instances == 16
    command = [sys.executable, "-m", "pumicenotch.cli", "lab", "run", str(path), "--json"]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=90)
    assert ended.stdout, ended.stderr
    found = json.loads(ended.stdout)["arms"]["changes"]
    assert found["publications"] >= 20 and found["in_force_pairs"] > 100
    assert found["mixed"] == found["backward"] == found["lost"] == found["never_in_force"] == 0
    assert found["verified"] == 16 and found["scopes_checked"] > 100
    assert 0.0 < found["in_force_p99_s"] < 10.0
    assert found["relays_lost"] >= 1 and found["rejoin_cold"] >= 1


# What is published


def test_all_that_is_published_is_valid_and_each_instance_needs_a_part() -> None:
    dataset = Dataset(SMALL, zones=2)
    records = [change for changes in dataset.initial() for change in changes]
    assert len(records) == len({(each.table, each.key) for each in records}) == 100
    chance = random.Random(1)
    for change in [*records, *(each for at in range(50) for each in dataset.change(chance, at))]:
        check_change(TABLES, change)
    wanted = dataset.subscription(3)
    assert len(wanted["tenants"]) == 1 and 1 <= len(wanted["routes"]) <= 2
    everything = dataset.everything()
    assert set(wanted["tenants"]) <= set(everything["tenants"])
    assert set(wanted["routes"]) <= set(everything["routes"])
    assert (
        dataset.subscription(0)["tenants"] != dataset.subscription(1)["tenants"]
    )  # of another zone


def change(name: str, value: int | None, scope: str = "c1") -> Change:
    return Change("tenants", f"{scope}/{name}", None if value is None else f'{{"weight":{value}}}')


def viewed(view: View, *changes: Change) -> View:
    builder = Builder(view)
    for each in changes:
        builder.put(each)
    return builder.finish(view.version + 1)


FIRST = [change("a", 1), change("b", 2), change("x", 9, "c2")]
SECOND = [change("a", 5), change("b", None)]


@pytest.fixture
def journal(tmp_path: Path) -> Path:
    path = tmp_path / "published.jsonl"
    writer = Writer(path)
    writer.write(1, FIRST)
    writer.write(2, SECOND)
    writer.write(3, [change("x", 8, "c2")])
    writer.close()
    return path


def test_the_record_knows_each_scope_at_each_version(journal: Path) -> None:
    reader = Reader(journal)
    reader.read()
    assert reader.newest == 3
    views = [viewed(View(), *FIRST)]
    views.append(viewed(views[0], *SECOND))
    for view in views:
        for scope in ("c1", "c2"):
            assert reader.digest(("tenants", scope), view.version) == digest_of(
                view.scope("tenants", scope)
            )
    assert reader.digest(("tenants", "c1"), 3) == reader.digest(("tenants", "c1"), 2)
    assert reader.digest(("tenants", "c3"), 3) == digest_of({}) == ""


# The observer


def observed(journal: Path, *views: View) -> tuple[Observer, Watched]:
    observer, watched = Observer(journal), Watched(7, 0, {"tenants": ["c1", "c2"]})
    for view in views:
        observer.look(watched, view)
        observer.check()
    return observer, watched


def test_a_server_that_serves_what_was_published_has_no_fault(journal: Path) -> None:
    one = viewed(View(), *FIRST)
    two = viewed(one, *SECOND)
    three = viewed(two, change("x", 8, "c2"))
    observer, watched = observed(journal, View(), one, two, three)
    assert [switch[:3] for switch in observer.switches] == [[7, 0, 1], [7, 0, 2], [7, 0, 3]]
    assert observer.mixed == observer.backward == [] and observer.checked == 4
    assert observer.verify(watched)


def test_a_mixed_version_is_found(journal: Path) -> None:
    one = viewed(View(), *FIRST)
    half = viewed(one, SECOND[0])  # without the second change
    observer, _ = observed(journal, one, half)
    assert observer.mixed == [[7, 2, "tenants", "c1"]]


def test_a_mixed_scope_that_did_not_change_is_found_at_the_end(journal: Path) -> None:
    one = viewed(View(), *FIRST)
    spoilt = viewed(viewed(one, *SECOND), change("x", 8, "c2"), change("a", 6))
    observer, watched = observed(journal, one, viewed(one, *SECOND), spoilt)
    assert observer.mixed == []  # version 3 changed only the other scope
    assert not observer.verify(watched)
    assert observer.mixed == [[7, 3, "tenants", "c1"]]


def test_a_version_that_goes_back_is_found(journal: Path) -> None:
    one = viewed(View(), *FIRST)
    observer, _ = observed(journal, viewed(one, *SECOND), one)
    assert observer.backward == [[7, 2, 1]]


def test_one_that_is_behind_at_the_end_is_lost(journal: Path) -> None:
    observer, watched = observed(journal, viewed(View(), *FIRST))
    assert not observer.verify(watched)


def test_a_version_is_checked_once_its_record_is_there(tmp_path: Path) -> None:
    path = tmp_path / "published.jsonl"
    writer = Writer(path)
    observer, _ = observed(path, viewed(View(), FIRST[0]))
    assert observer.checked == 0
    writer.write(1, FIRST)
    observer.check()
    assert [row[:2] for row in observer.mixed] == [[7, 1], [7, 1]]


# The judge


def test_delays_count_from_the_asking_at_all_that_could_be_reached() -> None:
    judge = ConfigurationJudge()
    judge.lived(1, 0, True, 0.0)
    judge.lived(2, 0, True, 0.0)
    judge.switched([[1, 0, 5, 50.4], [2, 0, 6, 52.0]])
    found = judge.delays([Published(5, 50.0, 50.1)])
    assert sorted(round(each, 3) for each in found) == [0.4, 2.0]


def test_what_never_comes_is_told() -> None:
    judge = ConfigurationJudge()
    judge.lived(1, 0, True, 0.0)
    judge.switched([[1, 0, 4, 10.0]])
    found = judge.figures([Published(5, 50.0, 50.1)])
    assert found["never_in_force"] == 1 and found["in_force_longest_s"] > 1e6


def test_those_cut_off_or_stopped_are_not_reachable() -> None:
    judge = ConfigurationJudge()
    for number in (1, 2, 3):
        judge.lived(number, 0, True, 0.0)
    judge.lived(4, 1, True, 49.0)  # it has just come back
    judge.lived(2, 0, False, 50.0 + WINDOW_S / 2)
    judge.cut([3], 45.0)
    judge.healed(70.0)
    assert len(judge.delays([Published(5, 50.0, 50.1)])) == 1
    assert len(judge.delays([Published(6, 70.0 + SETTLED_S, 80.1)])) == 3


def test_a_return_lasts_until_what_was_newest_then_is_served() -> None:
    judge = ConfigurationJudge()
    judge.lived(1, 0, True, 0.0)
    judge.lived(1, 0, False, 20.0)
    judge.lived(1, 1, True, 30.0)
    judge.lived(2, 0, True, 0.0)
    judge.cut([2], 10.0)
    judge.healed(40.0)
    judge.switched([[1, 1, 3, 31.0], [1, 1, 5, 32.5], [2, 0, 5, 41.5]])
    published = [Published(5, 25.0, 25.1), Published(6, 31.0, 31.2)]
    assert newest(published, 30.0) == 5
    cold, healed = judge.returns([published[0]])
    assert (cold, healed) == ([2.5], [1.5])


def test_a_configuration_needs_hollow_instances() -> None:
    with pytest.raises(InvalidFileError, match="needs blocks configuration and hollow"):
        read("fleet-scale", ["arm.with.configuration=changes"])
