"""The bytes that members of a fleet have sent each other since before the names changed."""

import heapq
import json
import random
from hashlib import sha256
from pathlib import Path
from typing import Any

import msgpack
import pytest

from pumicenotch.membership.events import (
    MemberUpdated,
    MessageReceived,
    Send,
    SetPhase,
    Tick,
    WakeAt,
)
from pumicenotch.membership.messages import (
    Ack,
    FullState,
    MemberIdentity,
    MemberPhase,
    Nack,
    Ping,
    PingRequest,
    decode,
    encode,
)
from pumicenotch.membership.swim import SwimMembership

GOLDEN = Path(__file__).parent / "golden" / "membership"
MESSAGES: dict[str, str] = json.loads((GOLDEN / "messages.json").read_text())
EXCHANGES: dict[str, list[dict[str, Any]]] = json.loads((GOLDEN / "exchanges.json").read_text())
ME = MemberIdentity("n1", "127.0.0.1:7101", "a1b2", 1764750000000, "z1", "r1")


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_is_read_and_written_again_to_the_byte(name: str) -> None:
    payload = bytes.fromhex(MESSAGES[name])
    assert msgpack.packb(encode(decode(msgpack.unpackb(payload, use_list=False)))) == payload


def test_each_kind_of_message_is_among_the_golden_ones() -> None:
    kinds = {type(decode(msgpack.unpackb(bytes.fromhex(each)))) for each in MESSAGES.values()}
    assert kinds == {Ping, Ack, Nack, PingRequest, FullState}


@pytest.mark.parametrize("name", EXCHANGES)
def test_a_member_answers_with_the_same_bytes(name: str) -> None:
    member = SwimMembership(ME, 0.0, ["127.0.0.1:7102"], random.Random(1))
    for row in EXCHANGES[name]:
        if row["received"] is None:
            effects = member.step(row["now_ms"], Tick())
        else:
            received = msgpack.unpackb(bytes.fromhex(row["received"]), use_list=False)
            effects = member.step(row["now_ms"], MessageReceived(row["from"], decode(received)))
        sent = [
            [effect.address, msgpack.packb(encode(effect.message)).hex()]
            for effect in effects
            if isinstance(effect, Send)
        ]
        assert sent == row["sent"]


def simulate(seed: int) -> dict[str, Any]:
    """Eight members for five minutes, with lost messages, a pause, a shutdown: all that they send."""
    rng = random.Random(seed)
    digest = sha256()
    sent = 0
    serial = 0
    changes: list[list[Any]] = []
    queue: list[tuple[float, int, str, str, bytes]] = []
    fleet: dict[str, SwimMembership] = {}
    for number in range(8):
        who = MemberIdentity(
            f"n{number}", f"h{number}:1", f"life{number}", 1000 + number, f"z{number % 3}", "r"
        )
        seeds = ["h0:1", "h1:1"]
        fleet[who.address] = SwimMembership(who, 0.0, seeds, random.Random(rng.random()))
        heapq.heappush(queue, (0.0, number, who.address, "", b""))
    serial = len(fleet)
    while queue and queue[0][0] < 300_000.0:
        now, _, address, sender, payload = heapq.heappop(queue)
        paused = address == "h5:1" and 60_000.0 < now < 150_000.0
        if paused:
            if not sender:
                serial += 1
                heapq.heappush(queue, (150_001.0, serial, address, "", b""))
            continue
        member = fleet[address]
        if sender:
            effects = member.step(now, MessageReceived(sender, decode(msgpack.unpackb(payload))))
        else:
            if address == "h3:1" and now > 200_000.0:
                member.step(now, SetPhase(MemberPhase.LEFT))
            effects = member.step(now, Tick())
        for effect in effects:
            serial += 1
            if isinstance(effect, Send):
                message = msgpack.packb(encode(effect.message))
                digest.update(f"{now:.3f} {address} {effect.address} ".encode() + message)
                sent += 1
                if rng.random() > 0.05:
                    arrives_at = now + rng.uniform(0.5, 40.0)
                    heapq.heappush(queue, (arrives_at, serial, effect.address, address, message))
            elif isinstance(effect, MemberUpdated):
                changes.append([address, list(effect)])
            elif isinstance(effect, WakeAt) and not sender:
                heapq.heappush(queue, (max(effect.at_ms, now + 1.0), serial, address, "", b""))
    digest.update(json.dumps(changes).encode())
    return {"messages": sent, "changes": len(changes), "sha256": digest.hexdigest()}


@pytest.mark.parametrize("seed", [1, 2])
def test_a_simulated_fleet_sends_the_same_bytes(seed: int) -> None:
    assert simulate(seed) == json.loads((GOLDEN / "simulated_fleet.json").read_text())[str(seed)]
