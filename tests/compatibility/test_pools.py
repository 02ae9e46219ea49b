"""Files and compiled plans of class pools as they were read and written before the names changed."""

import json
import random
from hashlib import sha256
from pathlib import Path
from typing import Any

import pytest

from pumicenotch.config import compiled
from pumicenotch.config.file import instance_config_of
from pumicenotch.interface import Idempotency, IncomingRequest, RequestClass, SlotQuery
from pumicenotch.pools import ClassPools, PoolPlan, PoolsPlan

GOLDEN = Path(__file__).parent / "golden" / "pools"
DEPLOYED = Path(__file__).parents[2] / "deploy" / "pools.hcl"
FILES = {"full": GOLDEN / "full.hcl", "deploy": DEPLOYED}
REQUEST_CLASS = RequestClass(2500.0, 0.0, 6300.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.0, 0.0)


@pytest.mark.parametrize("name", FILES)
def test_a_file_is_compiled_to_the_same_line(name: str) -> None:
    line = (GOLDEN / f"{name}.compiled.json").read_text()
    assert compiled.dump(instance_config_of(FILES[name])) + "\n" == line


@pytest.mark.parametrize("name", FILES)
def test_a_compiled_plan_is_read_and_written_again_to_the_byte(name: str) -> None:
    line = (GOLDEN / f"{name}.compiled.json").read_text()
    assert compiled.dump(compiled.load(line, "plan.json")) + "\n" == line


@pytest.mark.parametrize("name", FILES)
def test_what_check_prints_of_a_plan_has_the_same_keys_and_values(name: str) -> None:
    described = json.loads((GOLDEN / f"{name}.described.json").read_text())
    told = compiled.describe(instance_config_of(FILES[name]), ["preview", "bake"])
    assert json.loads(json.dumps(told)) == described
    assert list(told) == list(described)


def test_the_counters_of_a_status_answer_have_the_same_names() -> None:
    plan = instance_config_of(FILES["full"]).plan
    assert plan is not None
    pools = ClassPools(0.0, plan, [REQUEST_CLASS] * 2, {"preview": 0, "bake": 1})
    assert list(pools.counts()) == json.loads((GOLDEN / "counter_names.json").read_text())


PLANS = {
    "lending": PoolsPlan(
        (PoolPlan("a", ("0",), 0.4), PoolPlan("b", ("1",)), PoolPlan("c", ("*",)))
    ),
    "capped": PoolsPlan(
        (
            PoolPlan("a", ("0",), 0.4, lends_idle_slots=False),
            PoolPlan("b", ("1",), max_fraction=0.6),
            PoolPlan("c", ("*",), 0.1, 3.0),
        )
    ),
    "fixed": PoolsPlan(
        (PoolPlan("a", ("0",), 0.4), PoolPlan("b", ("1",)), PoolPlan("c", ("*",))),
        fixed_limits=True,
    ),
}


def decisions(plan: PoolsPlan, seed: int) -> dict[str, Any]:
    """All that the pools answer to a drawn stream of events, as a digest."""
    rng = random.Random(seed)
    pools = ClassPools(0.0, plan, [REQUEST_CLASS] * 4, {str(number): number for number in range(4)})
    digest = sha256()
    now = 0.0
    running: list[int] = []
    for _ in range(6000):
        now += rng.expovariate(0.1)
        total = 6 + int(now / 5000.0) % 4
        event = rng.choice(
            ("read", "read", "place", "on", "off", "ended", "tick", "next", "refuse")
        )
        lane = pools.pool_of(rng.randrange(4))
        waiting = [other for other in range(pools.count) if rng.random() < 0.5]
        mark = rng.randrange(40)
        answer: Any = None
        if event == "read":
            waited_ms = rng.expovariate(0.02)
            caller = rng.randrange(5)
            tenant = rng.randrange(3)
            is_retry = rng.random() < 0.2
            request = IncomingRequest(
                0, 0, tenant, waited_ms, None, None, 0.0, None, caller, is_retry, mark
            )
            answer = pools.request_received(now, lane, request)
        elif event == "place":
            repeat, beyond, room = (rng.random() < 0.3 for _ in range(3))
            query = SlotQuery(lane, repeat, beyond, waiting, 100.0, room)
            answer = pools.reserve_slot(now, query)
        elif event == "on" and len(running) < total:
            chosen = pools.next_pool(now, waiting)
            answer = chosen
            if chosen is not None:
                pools.slot_taken(now, chosen, True)
                running.append(chosen)
        elif event == "off" and running:
            finished = running.pop(rng.randrange(len(running)))
            pools.slot_released(now, finished)
            pools.request_finished(now, finished, rng.expovariate(0.005))
        elif event == "ended":
            pools.retry_admitted(rng.randrange(3), rng.randrange(5))
        elif event == "tick":
            pools.tick(now, total)
        elif event == "next":
            answer = pools.next_pool(now, waiting)
        elif event == "refuse":
            pools.request_rejected(now, lane, mark)
        if isinstance(answer, tuple):
            answer = list(answer)
        digest.update(json.dumps([event, answer]).encode())
    counts = pools.counts()
    digest.update(json.dumps(counts).encode())
    return {"sha256": digest.hexdigest(), "counts": counts}


@pytest.mark.parametrize("name", PLANS)
def test_the_pools_decide_the_same_on_a_drawn_stream(name: str) -> None:
    found = {str(seed): decisions(PLANS[name], seed) for seed in (1, 2)}
    assert found == json.loads((GOLDEN / "decisions.json").read_text())[name]
