"""What keeps bounded that peers leave unread, without sockets."""

import anyio
import pytest
from anyio.abc import ByteStream

from pumicenotch.net import connection, outbox
from pumicenotch.net.outbox import Outbox


def test_unread_outbox_reports_it_and_ends_soon_after_its_close(
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
