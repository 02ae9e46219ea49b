"""Tests of the limit on bytes that a peer leaves unread, without sockets."""

import anyio
import pytest
from anyio.abc import ByteStream

from pumicenotch.net import connection, outbox
from pumicenotch.net.outbox import Outbox


def test_unread_outbox_reports_it_and_ends_soon_after_its_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class StalledStream(ByteStream):
        async def send(self, item: bytes) -> None:
            await anyio.sleep_forever()

        async def receive(self, max_bytes: int = 1) -> bytes:
            return b""

        async def send_eof(self) -> None: ...

        async def aclose(self) -> None: ...

    async def exceed_limit() -> None:
        unread_outbox = Outbox({int: bytes}, 1000)
        assert unread_outbox.put(900)

        async def handle_input() -> None:
            assert not unread_outbox.put(200)
            unread_outbox.close()
            await anyio.sleep_forever()

        with anyio.fail_after(20.0):
            async with anyio.create_task_group() as group:
                assert (
                    await connection.run_connection(
                        group, StalledStream(), unread_outbox, handle_input
                    )
                    is None
                )
                group.cancel_scope.cancel()  # Ends the writer, as this stream ignores its close.

    monkeypatch.setattr(outbox, "CLOSE_TIMEOUT_S", 0.01)
    anyio.run(exceed_limit)
