"""What keeps memory and descriptors bounded, without sockets."""

import subprocess
import sys

import anyio
import pytest
from anyio.abc import ByteStream

from pumicenotch.control import ControllerSettings
from pumicenotch.interface import Outcome
from pumicenotch.net import connection, outbox
from pumicenotch.net.outbox import Outbox
from pumicenotch.server.core import Server
from pumicenotch.server.effects import Log
from pumicenotch.server.events import ProblemFound
from pumicenotch.server.pending_request import PendingRequest
from pumicenotch.server.result_cache import ResultCache
from pumicenotch.server.settings import ServerSettings


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
        written = Outbox({int: bytes}, 1000)
        assert written.put(900)

        async def talk() -> None:
            assert not written.put(200)
            written.close()
            await anyio.sleep_forever()

        with anyio.fail_after(20.0):
            async with anyio.create_task_group() as group:
                assert await connection.run_connection(group, Stuck(), written, talk) is None
                group.cancel_scope.cancel()  # the writer of a stream that does not know it was closed

    monkeypatch.setattr(outbox, "CLOSE_TIMEOUT_S", 0.01)
    anyio.run(play)


def test_results_beyond_their_bound_go_from_the_oldest_on() -> None:
    kept = ResultCache(10)
    tasks = [PendingRequest(ident, f"aa{ident}", 1, ident, "put", b"") for ident in (1, 2, 3)]
    for held, size in zip(tasks, (6, 4, 3), strict=True):
        held.idempotency_key = str(held.request_id)
        kept.add(held, 9000.0)
        kept.on_started(held)
        kept.on_finished(held, Outcome.OK, bytes(size))
    assert [entry.outcome for entry in kept.by_key.values()] == [
        Outcome.ERROR,
        Outcome.OK,
        Outcome.OK,
    ]
    assert (kept.total_bytes, kept.dropped_count, kept.find_original(tasks[0], 0.0)) == (7, 1, 1)
    assert all(kept.expire(ident) for ident in (1, 2, 3))
    assert (kept.total_bytes, kept.by_key, kept.by_owner) == (0, {}, {})


def test_the_library_and_the_core_need_the_standard_library_alone() -> None:
    modules = "pumicenotch.control, pumicenotch.adapter.__main__, pumicenotch.server.core"
    subprocess.run([sys.executable, "-S", "-c", f"import {modules}"], check=True)


def test_a_trouble_that_comes_with_every_task_is_not_logged_each_time() -> None:
    core = Server(
        ServerSettings(
            controller=ControllerSettings([], [], []),
            class_indexes={},
            tenant_indexes={},
            seed=1,
            shutdown_ms=0.0,
            has_database=False,
            memory_mb=32.0,
            max_descriptors=64,
        )
    )
    problem = ProblemFound("odd", "an odd frame")
    effects = [effect for _ in range(150) for effect in core.step(0.0, problem)]
    assert [effect.text for effect in effects if isinstance(effect, Log)] == [
        f"an odd frame (odd={found})" for found in (1, 10, 100)
    ]
