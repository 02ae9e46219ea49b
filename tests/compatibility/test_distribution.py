"""Messages, log entries and snapshots of published configuration as they were before the names changed."""

import json
from hashlib import sha256
from pathlib import Path
from typing import Any

import msgpack
import pytest

from pumicenotch.distribution import instance_settings
from pumicenotch.distribution.data.changelog import ChangeLog
from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.protocol.codec import decode, encode
from pumicenotch.distribution.protocol.messages import MESSAGE_TYPES
from pumicenotch.distribution.publications.book import Publications
from pumicenotch.distribution.publications.uploads import entries_of
from tests.distribution.network import Network, Weather, tenant

GOLDEN = Path(__file__).parent / "golden" / "distribution"
MESSAGES: dict[str, str] = json.loads((GOLDEN / "messages.json").read_text())
LOG: list[dict[str, Any]] = [
    json.loads(line) for line in (GOLDEN / "log_entries.jsonl").read_text().splitlines()
]


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_is_read_and_written_again_to_the_byte(name: str) -> None:
    payload = bytes.fromhex(MESSAGES[name])
    assert msgpack.packb(encode(decode(msgpack.unpackb(payload)))) == payload


def test_each_kind_of_message_is_among_the_golden_ones() -> None:
    assert set(MESSAGES) == set(MESSAGE_TYPES)


def test_a_publisher_writes_the_same_log_entries() -> None:
    changes = [Change(*row) for row in json.loads((GOLDEN / "changes.json").read_text())]
    entries = entries_of("r2", 1, "op", "golden", 1764750000000, changes)
    written = [row["entry"] for row in LOG if row["entry"][1] == "r2"]
    assert len(written) > 2
    assert json.loads(json.dumps(entries)) == written
    assert msgpack.packb(entries) == msgpack.packb(written)


def test_old_log_entries_come_to_the_same_outcomes_and_the_same_snapshot() -> None:
    book = Publications(log=ChangeLog(max_entries=3))
    for index, row in enumerate(LOG, 1):
        verb, *fields = row["entry"]
        readers = book.verbs[verb]
        args = tuple(reader(field) for reader, field in zip(readers, fields, strict=True))
        assert list(book.apply(index, verb, args)) == row["outcome"]
    assert book.dump() == (GOLDEN / "snapshot.jsonl").read_bytes()


def test_an_old_snapshot_is_read_and_written_again_to_the_byte() -> None:
    snapshot = (GOLDEN / "snapshot.jsonl").read_bytes()
    book = Publications(log=ChangeLog(max_entries=3))
    book.load(snapshot)
    assert book.dump() == snapshot


def test_settings_of_a_compiled_plan_are_read_and_written_again() -> None:
    line = (GOLDEN / "instance_settings.json").read_text()
    settings = instance_settings.decode_instance_settings(json.loads(line))
    assert settings is not None
    assert json.dumps(instance_settings.encode(settings)) + "\n" == line


class RecordingNetwork(Network):
    """Takes the digest of each message that goes to the wire."""

    def __init__(self, seed: int, **more: Any) -> None:
        self.digest = sha256()
        self.messages = 0
        super().__init__(seed, **more)

    def send(self, sender: str, address: str, told: bytes) -> None:
        self.digest.update(f"{self.now:.3f} {sender} {address} ".encode() + told)
        self.messages += 1
        super().send(sender, address, told)


def simulate(seed: int) -> dict[str, Any]:
    """Voters, relays and replicas, with lost messages, restarts and a missed stretch of the log."""
    network = RecordingNetwork(
        seed,
        voters=3,
        zones=2,
        instances=8,
        weather=Weather(delay_ms=(0.5, 30.0), loss=0.05, doubled=0.05),
        log=lambda: ChangeLog(max_entries=6),
        subscription=lambda number: Subscription(
            {"tenants": [None, ["c0"], ["c1", "c2"]][number % 3]}
        ),
    )
    network.run(3_000)
    for number in range(10):
        network.publish([tenant(f"c{number % 4}", f"t{number}", number)])
        network.run(network.now + 200)
    network.publish([tenant(f"c{number % 4}", f"u{number}", number) for number in range(150)])
    network.stop("i1")
    network.cut = {"i2"}
    network.run(network.now + 3_000)
    for number in range(12):
        network.publish([tenant("c1", f"t{number}", number)])
    network.elect("v1")
    network.run(network.now + 8_000)
    network.cut = set()
    network.start_instance("i1")
    network.run(network.now + 20_000)
    network.assert_settled()
    statuses: dict[str, Any] = {
        name: reducer.status(network.now) for name, reducer in network.reducers.items()
    }
    return {
        "messages": network.messages,
        "sha256": network.digest.hexdigest(),
        "status of i0": statuses["i0"],
        "status of v1": statuses["v1"],
    }


@pytest.mark.parametrize("seed", [1, 2])
def test_a_simulated_network_sends_the_same_bytes(seed: int) -> None:
    golden = json.loads((GOLDEN / "simulated_network.json").read_text())[str(seed)]
    found = json.loads(json.dumps(simulate(seed)))
    assert found == golden
    assert list(found["status of v1"]) == list(golden["status of v1"])
