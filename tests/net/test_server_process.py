"""Tests of requirements that the soak test checks in short runs, on the real program.

Stand-ins replace the peers, and the results are what the peers sent and received. docs/results.md
lists the requirement per test.
"""

import json
import os
import signal
import socket
import struct
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgpack
import pytest

from tests.net.parties import SETTINGS, WAIT_S, Gateway, Party, Pool, Program, blob, result
from tests.request_ids import rid

SHUTDOWN_SIGNAL, RELOAD_SIGNAL = signal.SIGTERM, signal.SIGHUP
LIMITS_FOR_MANY_GATEWAYS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
GATEWAYS = 30
COLD_SHARE, FALL_MULTIPLE = 0.25, 8.0
GRACE_US = 1_000_000  # Time after a notice in which arriving requests are still run.


@pytest.fixture(autouse=True)
def limit_test_time() -> Iterator[None]:
    """Limits each test to `WAIT_S`; a wait for a pool command has no limit while polls arrive."""

    def raise_timeout(*_: object) -> None:
        raise TimeoutError(f"no progress in {WAIT_S:g} s")

    previous_handler = signal.signal(signal.SIGALRM, raise_timeout)
    signal.setitimer(signal.ITIMER_REAL, WAIT_S)
    yield
    signal.setitimer(signal.ITIMER_REAL, 0.0)
    signal.signal(signal.SIGALRM, previous_handler)


def settings(family_info: dict[str, Any] | None = None, **rules: Any) -> dict[str, Any]:
    known: dict[str, Any] = SETTINGS["family-info"]  # type: ignore[assignment]
    all_rules = {"fall-multiple": FALL_MULTIPLE, "stop-sending-within": GRACE_US, **rules}
    return {**SETTINGS, "family-info": {**known, **(family_info or {})}, "rules": all_rules}


def cold_settings(cores: int, signal_kind: str = "bias") -> dict[str, Any]:
    """Returns settings of a server with a cold pool and `GATEWAYS` callers."""
    family_info = {"cores": cores, "signal": signal_kind, "callers": GATEWAYS}
    return settings(family_info, **{"cold-share": COLD_SHARE, "warm-after": 60_000_000})


def bind_pool(program: Program, how: str, for_ms: float) -> Pool:
    pool = Pool(program.pool.accept().sock)
    program.bound_serial = pool.command("bind")["serial"]
    pool.send_message("bound", how=how, duration=for_ms)
    pool.command("poll")
    return pool


def next_response(gateway: Gateway) -> Any:
    """Returns the next response; notifications are skipped."""
    while (frame := gateway.answer())[0] != 1:
        pass
    return frame


def check_health(gateway: Gateway, message: int) -> tuple[bool, float]:
    """Returns the health and the load hint of a health check; -1.0 without a hint."""
    gateway.send(msgpack.packb([0, message, "alive", [{}]]))
    healthy, fields = next_response(gateway)[3]
    return healthy, float(fields.get("hint", "-1"))


def long_form(value: Any) -> bytes:
    """Encodes a value in the longest form that the MessagePack specification allows."""
    match value:
        case int():
            return struct.pack(">BQ", 0xCF, value)
        case str():
            return struct.pack(">BI", 0xDB, len(value.encode())) + value.encode()
        case bytes():
            return struct.pack(">BI", 0xC6, len(value)) + value
        case list():
            return struct.pack(">BI", 0xDD, len(value)) + b"".join(map(long_form, value))
        case dict():
            pairs = b"".join(long_form(key) + long_form(item) for key, item in value.items())
            return struct.pack(">BI", 0xDF, len(value)) + pairs
    raise TypeError(value)


def task_frame(message: int, name: str, body: bytes) -> bytes:
    fields = {"rid": rid(name), "t0": str(int(time.time() * 1000)), "peer": "1", "acct": "acme"}
    fields |= {"mem": "2.5", "prio": "0.25"}
    return long_form([0, message, "read", [fields, body]])


def receive_report(registry: Party) -> bytes:
    """Answers the next report, closes its connection and returns the reported state."""
    peer, length = registry.accept(), 0
    while (line := peer.line()).strip():
        if line.startswith(b"Content-Length:"):
            length = int(line.partition(b":")[2])
    state = peer.file.read(length)
    peer.send(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
    peer.close()
    return state.removeprefix(b'{"state":"').removesuffix(b'"}')


@pytest.mark.parametrize("when", ["in one turn", "once it is in force", "before it"])
def test_reload_followed_by_a_drain_loses_no_request(tmp_path: Path, when: str) -> None:
    """Guards against requests lost in a reload that coincides with a drain.

    The new pool connection finishes the current run and starts a request that arrives in the grace
    period. The new registry receives the draining state.
    """
    new = {name: Party() for name in ("pool", "registry")}
    moved = {name: party.address for name, party in new.items()}
    with Program(tmp_path, settings=settings()) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        gateway.task(1, "aa", b"")
        assert pool.command("spawn")["call"] == "aa"
        if when == "in one turn":
            program.config_path.write_text(json.dumps({**program.start_values, **moved}))
            with program.suspended():
                program.process.send_signal(RELOAD_SIGNAL)
                program.process.send_signal(SHUTDOWN_SIGNAL)
        elif when == "once it is in force":
            assert "moved ['pool', 'registry']" in program.reload(**moved)
            program.process.send_signal(SHUTDOWN_SIGNAL)
        else:
            program.process.send_signal(SHUTDOWN_SIGNAL)
            assert gateway.answer() == [2, "draining", []]
            assert "moved ['pool', 'registry']" in program.reload(**moved)
        program.pool = new["pool"]
        again = program.bind(aa=b"one")
        assert program.bound_serial == 0
        assert result(next_response(gateway)) == b"one"
        gateway.task(2, "bb", b"")
        assert again.command("spawn")["call"] == "bb"
        again.finish("bb", b"two")
        assert result(next_response(gateway)) == b"two"
        while receive_report(new["registry"]) != b"draining":
            pass
        gateway.close()
        assert program.process.wait(WAIT_S) == 0


@pytest.mark.parametrize("kind", ["bias", "tokens", "min_rank"])
def test_cold_server_survives_all_gateways_at_once(tmp_path: Path, kind: str) -> None:
    """Guards against an overload of a cold server by its first requests.

    Each gateway gets one response with a load hint that a cold server may send. The number of
    concurrent runs stays within the capacity of a cold server.
    """
    cores = 2
    cold_capacity = cores * (1.0 + (FALL_MULTIPLE - 1.0) * COLD_SHARE)
    with Program(
        tmp_path, limits=LIMITS_FOR_MANY_GATEWAYS, settings=cold_settings(cores, kind)
    ) as program:
        pool = bind_pool(program, "starting", 0)
        with program.suspended():
            gateways = [Gateway(program.address) for _ in range(GATEWAYS)]
            for index, gateway in enumerate(gateways):
                gateway.task(1, f"a{index}", b"")
        running: list[str] = []
        max_running = 0
        check_health(other := Gateway(program.address), 1)
        message = 1
        waiting_gateways = dict(enumerate(gateways))
        responses: dict[int, Any] = {}
        while waiting_gateways:
            message += 1
            check_health(other, message)  # All runs that may start are commanded by now.
            running += started_runs(pool)
            max_running = max(max_running, len(running))
            if running:
                pool.finish(running.pop(0), b"x")
            for index, gateway in list(waiting_gateways.items()):
                if has_input(gateway):
                    responses[index] = next_response(gateway)
                    del waiting_gateways[index]
        assert max_running <= cold_capacity
        for frame in responses.values():
            fields = frame[3][1] if frame[2] is None else frame[2][1]
            hint = float(fields["hint"])
            assert frame[2] is None or frame[2][0] == "TryLater"
            assert "final" not in fields
            if kind == "min_rank":
                assert hint >= 1.0 - 1.2 * COLD_SHARE
            elif kind == "bias":
                assert hint <= 1.2 * COLD_SHARE
            else:
                assert 0.0 < hint * GATEWAYS <= cold_capacity
        assert any(frame[2] is None for frame in responses.values())


def has_input(gateway: Gateway) -> bool:
    gateway.sock.setblocking(False)
    try:
        return bool(gateway.sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False
    finally:
        gateway.sock.settimeout(WAIT_S)


def started_runs(pool: Pool) -> list[str]:
    """Returns the runs that the pool is commanded to start before its next poll."""
    names = []
    while (command := pool.command("spawn", "poll"))["msg"] == "spawn":
        names.append(command["call"])
    return names


def test_successor_of_a_killed_server_serves_gateways_with_an_outdated_list(
    tmp_path: Path,
) -> None:
    """Guards against repeated runs after a server is killed and started at the same address.

    All connections of the killed server end, including those in its backlog. The callers repeat a
    request with one token, and the successor runs it once.
    """
    (tmp_path / "next").mkdir()
    token = {"token": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
    with Program(tmp_path) as program:
        program.bind()
        accepted = [Gateway(program.address) for _ in range(4)]
        for gateway in accepted:
            check_health(gateway, 1)
        with program.suspended():
            waiting = [Gateway(program.address) for _ in range(4)]
            for gateway in [*accepted, *waiting]:
                gateway.task(2, "aa", b"k", "put", **token)
            program.process.kill()
        assert all(gateway.is_closed_by_peer() for gateway in [*accepted, *waiting])
        address = program.address
    with Program(tmp_path / "next", listen=address, settings=cold_settings(8)) as successor:
        assert not any("still in use" in line for line in successor.log)
        pool = bind_pool(successor, "starting", 0)
        assert successor.bound_serial == 0
        again = [Gateway(address) for _ in range(4)]
        for index, gateway in enumerate(again):
            gateway.task(1, f"b{index}", b"k", "put", again="1", **token)
        call = pool.command("spawn")["call"]
        pool.finish(call, b"once")
        assert [result(next_response(gateway)) for gateway in again] == [b"once"] * 4
        successor.process.send_signal(signal.SIGUSR1)
        assert "runs=1" in successor.wait_for_log("counters: (.*)").split()


def test_connections_reset_after_their_accept_leave_nothing_behind(tmp_path: Path) -> None:
    with Program(tmp_path, limits=LIMITS_FOR_MANY_GATEWAYS) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        check_health(gateway, 1)
        descriptors = f"/proc/{program.process.pid}/fd"
        before = len(os.listdir(descriptors))
        with program.suspended():
            for index in range(20):
                broken = Gateway(program.address)
                broken.task(1, f"a{index}", b"")
                broken.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                broken.close()
        message = 1
        deadline = time.monotonic() + WAIT_S
        while message < 3 or len(os.listdir(descriptors)) > before:
            assert time.monotonic() < deadline
            message += 1
            check_health(gateway, message)
        gateway.task(message + 1, "bb", b"")
        while (call := pool.command("spawn")["call"]) != "bb":
            pool.finish(call, b"for nobody")
        pool.finish("bb", b"x")
        assert result(next_response(gateway)) == b"x"
        gateway.close()
        status, counters = program.end()
        assert status == 0 and "faults" not in counters
        assert counters.split()[0] == "open=0"  # No request is pending for a closed connection.


def test_requests_and_notices_in_pieces_and_in_long_forms_are_read(tmp_path: Path) -> None:
    """A health check on another connection follows each part, so that parts are read separately."""
    with Program(tmp_path) as program:
        pool, other = program.bind(), Gateway(program.address)
        gateway = Gateway(program.address)
        gateway.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pool.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        message = 0

        def send_in_parts(to: Gateway | Pool, data: bytes, size: int) -> None:
            nonlocal message
            for index in range(0, len(data), size):
                to.send(data[index : index + size])
                message += 1
                check_health(other, message)

        body = bytes(range(256)) * 8  # The largest body.
        frame = task_frame(1, "aa", body)
        send_in_parts(gateway, frame[:160], 1)
        send_in_parts(gateway, frame[160:] + task_frame(2, "bb", b"")[:7], 700)
        spawn = pool.command("spawn")
        assert (spawn["call"], blob(spawn)) == ("aa", body)
        send_in_parts(gateway, task_frame(2, "bb", b"")[7:], 50)
        assert pool.command("spawn")["call"] == "bb"
        first = '{ "blob" : "eA==" ,\t"duration":5, "more": [{}], "call":"%s", "how":"\\u0066ine", "serial":1, '
        send_in_parts(pool, (first % rid("bb")).encode() + b'"msg": "finished" }\r\n{"msg":', 9)
        assert result(next_response(gateway))[:9] == b"x"
        send_in_parts(
            pool, b' "finished", "serial":2, "call":"%b", "how":"fine"}\n' % rid("aa").encode(), 9
        )
        assert result(next_response(gateway)) == b""


@pytest.mark.parametrize("rest_comes", ["in the grace", "after it"])
def test_request_split_by_the_shutdown_request_is_answered(tmp_path: Path, rest_comes: str) -> None:
    """A request arrives with its last byte: it is run in the grace period and rejected after it."""
    grace_us = GRACE_US if rest_comes == "in the grace" else 0
    with Program(tmp_path, settings=settings(None, **{"stop-sending-within": grace_us})) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        check_health(gateway, 1)
        frame = task_frame(2, "aa", b"x")
        gateway.send(frame[:40])
        program.process.send_signal(SHUTDOWN_SIGNAL)
        assert gateway.answer() == [2, "draining", []]
        notified_at_s = time.time()
        # Arrival times have a resolution of 1 ms. The request must arrive later than the notice.
        while time.time() < notified_at_s + 0.002:
            time.sleep(0.0005)
        gateway.send(task_frame(2, "aa", b"x")[40:])
        if grace_us:
            assert pool.command("spawn")["call"] == "aa"
            pool.finish("aa", b"done")
            assert result(next_response(gateway)) == b"done"
        else:
            assert next_response(gateway)[2][0] == "TryLater"
        gateway.close()
        assert program.process.wait(WAIT_S) == 0


def test_every_request_is_answered_by_its_timeout(tmp_path: Path) -> None:
    """One run never ends, one waits for a call without reply, and the pool falls silent."""
    limit_ms, slack_ms = 1200, 2000  # Slack for a busy machine.
    classes = [
        {
            "name": "read",
            "target": 1000 * limit_ms,
            "deadline": 1000 * limit_ms,
            "effect": "repeatable",
        }
    ]
    with Program(tmp_path, settings={**settings({"cores": 2}), "classes": classes}) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        started_at = time.time()
        for index in range(1, 21):
            gateway.task(index, f"a{index}", b"")
        assert pool.command("spawn")["call"] == "a1"
        assert pool.command("spawn")["call"] == "a2"
        pool.notice("blocked", call="a1", blob="cQ==")
        assert program.db.accept().line().startswith(b"Q ")
        for index in range(21, 31):
            gateway.task(index, f"a{index}", b"")  # The pool is silent from here on.
        responses = [next_response(gateway) for _ in range(30)]
        assert sorted(response[1] for response in responses) == list(range(1, 31))
        assert all(response[2] is not None for response in responses)
        assert time.time() - started_at < (limit_ms + slack_ms) / 1000.0


def test_server_serves_once_a_late_pool_is_up(tmp_path: Path) -> None:
    """Guards against a server that stays unhealthy after a late start of its pool.

    Without its pool, the server reports itself unhealthy and rejects requests without a load hint.
    Once the pool is up, the hint asks for the share of a cold server.
    """
    with Program(tmp_path, settings=cold_settings(2)) as program:
        pool_address = program.pool.address
        program.pool.sock.close()
        registry = program.registry.accept()
        assert registry.line().startswith(b"PUT ")
        gateway = Gateway(program.address)
        assert check_health(gateway, 1) == (False, -1.0)
        gateway.task(2, "aa", b"")
        assert next_response(gateway)[2] == ["TryLater", {}]
        program.pool = Party(pool_address)
        pool = Pool(program.pool.accept().sock)
        pool.command("bind")
        assert check_health(gateway, 3) == (False, -1.0)
        pool.send_message("bound", how="starting", duration=0)
        pool.command("poll")
        healthy, hint = check_health(gateway, 4)
        assert healthy and 0.0 < hint <= 1.2 * COLD_SHARE
        gateway.task(5, "bb", b"")
        assert pool.command("spawn")["call"] == "bb"
        pool.finish("bb", b"x")
        assert result(next_response(gateway)) == b"x"


def test_cold_server_sends_a_positive_hint_to_very_many_callers(tmp_path: Path) -> None:
    """The callers share the credit of the server. A share rounded to 0 would stop all of them."""
    callers = 37_000
    family_info = {"cores": 1, "signal": "tokens", "callers": callers}
    cold_server_settings = settings(family_info, **{"cold-share": 0.2, "warm-after": 60_000_000})
    with Program(tmp_path, settings=cold_server_settings) as program:
        bind_pool(program, "starting", 0)
        healthy, hint = check_health(Gateway(program.address), 1)
        assert healthy and 0.2 <= hint * callers <= 1.0


def test_report_answered_in_pieces_keeps_its_connection(
    tmp_path: Path,
) -> None:
    """Reports reuse the connection even if the parts of a response are read separately."""
    response_bytes = b"HTTP/1.1 204 No Content\r\nX-Long: " + b"x" * 300 + b"\r\n\r\n"
    with Program(tmp_path) as program:
        program.bind()
        gateway, registry = Gateway(program.address), program.registry.accept()
        registry.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        message = 0
        for _ in range(2):
            assert registry.line().startswith(b"PUT ")
            while registry.line().strip():
                pass
            assert registry.file.read(17) == b'{"state":"ready"}'
            for index in range(0, len(response_bytes), 60):
                registry.send(response_bytes[index : index + 60])
                message += 1
                check_health(gateway, message)


def test_class_has_the_idempotency_of_its_settings(tmp_path: Path) -> None:
    """A class with the effect by_key runs a token once in its window, and again after the window."""
    window_ms = 300
    classes = [
        {"name": "read", "deadline": 900_000, "effect": "by_key", "memory-span": 1000 * window_ms}
    ]
    with Program(tmp_path, settings={**settings(), "classes": classes}) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        token = {"token": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
        first_ms = int(time.time() * 1000)
        gateway.task(1, "aa", b"k", t0=str(first_ms), **token)
        assert pool.command("spawn")["call"] == "aa"
        gateway.task(2, "bb", b"k", t0=str(first_ms + window_ms - 1), again="1", **token)
        pool.finish("aa", b"one")
        assert [result(next_response(gateway)), result(next_response(gateway))] == [b"one", b"one"]
        while time.time() * 1000.0 < first_ms + window_ms + 50:
            time.sleep(0.005)
        gateway.task(3, "cc", b"k", again="1", **token)
        assert pool.command("spawn")["call"] == "cc"
        pool.finish("cc", b"two")
        assert result(next_response(gateway)) == b"two"
