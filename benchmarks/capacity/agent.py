"""Role `agent`: the reducer beside a server, answered at once as a leader of a fleet of that size would."""

from typing import Any

import msgpack

from benchmarks.capacity.hollow import HOLDS, RUNS
from benchmarks.capacity.measured_day import VOTERS
from benchmarks.capacity.meter import StepMeter, least_ms, state_bytes
from benchmarks.capacity.slope import Reading, Slope, readings
from pumicenotch.fleet.agent.agent import Agent, AgentSetup
from pumicenotch.fleet.drains.budgets import SERVING
from pumicenotch.fleet.member import effects
from pumicenotch.fleet.voter.node import VoterNode

ROLE = "agent"
SPAN_MS = 120_000.0
REPEATS = 3
LIFE = "0123456789ab"


class Driver:
    """The carrier, its server and the leader in one."""

    def __init__(self, servers: int, seed: int) -> None:
        self.agent = Agent(
            AgentSetup(
                fleet="capacity",
                node="server-0000001",
                process_id=LIFE,
                voters=tuple(f"10.0.0.{at}:7100" for at in range(VOTERS)),
                versions=dict(RUNS),
                stored=tuple(HOLDS),
                has_server=True,
                start_timeout_ms=10_000.0,
                drain_timeout_ms=5000.0,
                now_ms=0.0,
                seed=seed,
            )
        )
        self.again_ms = max(
            VoterNode.HEARTBEAT_MS, VoterNode.HEARTBEAT_MS_PER_MEMBER * (servers + VOTERS)
        )
        self.meter, self.now, self.due = StepMeter(), 0.0, 0.0
        self.bytes = {"sent": 0, "received": 0}
        self.messages = {"sent": 0, "received": 0}

    def put(self, name: str, *details: Any) -> None:
        for effect in self.meter.run(name, self.agent.step, self.now, name, *details):
            match effect:
                case effects.WakeAt(at):
                    self.due = at
                case effects.SendRequest(_, number, verb, args):
                    self.note("sent", args)
                    answer = self.answer(verb)
                    self.note("received", answer)
                    self.put("answered", number, None, answer)

    def note(self, way: str, told: Any) -> None:
        self.bytes[way] += len(msgpack.packb(told))
        self.messages[way] += 1

    def answer(self, verb: str) -> dict[str, Any]:
        if verb != "agent":
            return {"text": "", "value": None, "index": 1, "agreed": True}
        return {
            "member": True,
            "life": LIFE,
            "standing": SERVING,
            "permit": 0,
            "begun": False,
            "due": ["", ""],
            "hold": [],
            "halted": "",
            "again_ms": self.again_ms,
        }

    def play(self) -> "Driver":
        self.put("start")
        while self.now < SPAN_MS:
            self.now = max(self.now + 1.0, self.due)
            self.put("time")
        return self


def by_servers(size: float, seed: int) -> list[Reading]:
    servers = int(size)
    played = [Driver(servers, seed).play() for _ in range(REPEATS)]
    last, seconds = played[-1], SPAN_MS / 1000.0
    return readings(
        ROLE,
        state=state_bytes(lambda: Driver(servers, seed)),
        start=least_ms(lambda: Driver(servers, seed)),
        processor=min(each.meter.share(SPAN_MS) for each in played),
        longest_step=min(each.meter.longest_ms for each in played),
        sent=last.bytes["sent"] / seconds,
        received=last.bytes["received"] / seconds,
        sent_messages=last.messages["sent"] / seconds,
        received_messages=last.messages["received"] / seconds,
    )


SLOPES = (Slope((ROLE,), "servers", (80, 160, 320, 640, 1280, 2500), by_servers),)
