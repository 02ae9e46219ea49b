"""What keeps memory and descriptors bounded, without sockets."""

import subprocess
import sys

import anyio
import pytest
from anyio.abc import ByteStream

from pumicenotch.control import ControllerSettings
from pumicenotch.interface import Outcome
from pumicenotch.net import link
from pumicenotch.net.link import Outbox
from pumicenotch.server.core import Server
from pumicenotch.server.effects import Log
from pumicenotch.server.kept import Kept
from pumicenotch.server.tasks import Held


def test_an_outbox_left_unread_says_so_and_ends_soon_after_its_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class Stuck(ByteStream):
        async def send(self, item: bytes) -> None:
            await anyio.sleep_forever()

        async def receive(self, max_bytes: int = 1) -> bytes:
            return b""

        async def send_eof(self) -> None: ...

        async def aclose(self) -> None: ...

    async def play() -> None:
        outbox = Outbox({"served": lambda size: bytes(size)}, 1000)
        assert outbox.put(("served", 900))

        async def talk() -> None:
            assert not outbox.put(("served", 200))
            outbox.close()
            await anyio.sleep_forever()

        with anyio.fail_after(20.0):
            async with anyio.create_task_group() as group:
                assert await link.carry(group, Stuck(), outbox, talk) is None
                group.cancel_scope.cancel()  # the writer of a stream that does not know it was closed

    monkeypatch.setattr(link, "CLOSE_S", 0.01)
    anyio.run(play)


def test_results_beyond_their_bound_go_from_the_oldest_on() -> None:
    kept = Kept(10)
    tasks = [Held(ident, f"aa{ident}", 1, ident, "put", b"") for ident in (1, 2, 3)]
    for held, size in zip(tasks, (6, 4, 3), strict=True):
        held.token = str(held.id)
        kept.keep(held, 9000.0)
        kept.run(held)
        kept.ended(held, Outcome.OK, bytes(size))
    assert [entry.outcome for entry in kept.entries.values()] == [
        Outcome.ERROR,
        Outcome.OK,
        Outcome.OK,
    ]
    assert (kept.bytes, kept.dropped, kept.same(tasks[0], 0.0)) == (7, 1, 1)
    assert all(kept.expire(ident) for ident in (1, 2, 3))
    assert (kept.bytes, kept.entries, kept.by_owner) == (0, {}, {})


def test_the_library_and_the_core_need_the_standard_library_alone() -> None:
    modules = "pumicenotch.control, pumicenotch.adapter.__main__, pumicenotch.server.core"
    subprocess.run([sys.executable, "-S", "-c", f"import {modules}"], check=True)


def test_a_trouble_that_comes_with_every_task_is_not_logged_each_time() -> None:
    core = Server(
        settings=ControllerSettings([], [], []),
        stages={},
        tenants={},
        seed=1,
        stop_ms=0.0,
        below=False,
        memory_mb=32.0,
        sockets=64,
    )
    effects = [
        effect for _ in range(150) for effect in core.step(0.0, "met", "odd", "an odd frame")
    ]
    assert [effect.text for effect in effects if isinstance(effect, Log)] == [
        f"an odd frame (odd={found})" for found in (1, 10, 100)
    ]
