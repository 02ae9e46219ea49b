"""What the standing test asks for on its short days, on the real program against the stand-ins: judged by
what its peers sent and received. docs/results.md names the term that each test is for.
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

LEAVE, RELOAD = signal.SIGTERM, signal.SIGHUP
MANY = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}  # limits, for many gateways
GATEWAYS = 30
COLD_SHARE, MULTIPLE = 0.25, 8.0
GRACE_US = 1_000_000  # of a notice to leave, for what still arrives to be run


@pytest.fixture(autouse=True)
def limited() -> Iterator[None]:
    """A stand-in waits for a command as long as polls come: here, no longer than for anything else."""

    def out_of_time(*_: object) -> None:
        raise TimeoutError(f"no progress in {WAIT_S:g} s")

    before = signal.signal(signal.SIGALRM, out_of_time)
    signal.setitimer(signal.ITIMER_REAL, WAIT_S)
    yield
    signal.setitimer(signal.ITIMER_REAL, 0.0)
    signal.signal(signal.SIGALRM, before)


def settings(family: dict[str, Any] | None = None, **rules: Any) -> dict[str, Any]:
    known: dict[str, Any] = SETTINGS["family-info"]  # type: ignore[assignment]
    told = {"fall-multiple": MULTIPLE, "stop-sending-within": GRACE_US, **rules}
    return {**SETTINGS, "family-info": {**known, **(family or {})}, "rules": told}


def cold(cores: int, signal_kind: str = "bias") -> dict[str, Any]:
    """Of a server that its pool calls `starting`, among GATEWAYS callers."""
    family = {"cores": cores, "signal": signal_kind, "callers": GATEWAYS}
    return settings(family, **{"cold-share": COLD_SHARE, "warm-after": 60_000_000})


def bound(program: Program, how: str, for_ms: float) -> Pool:
    pool = Pool(program.pool.accept().sock)
    program.bound_with = pool.command("bind")["serial"]
    pool.say("bound", how=how, duration=for_ms)
    pool.command("poll")
    return pool


def answer(gateway: Gateway) -> Any:
    """The next answer; notifications before it are passed over."""
    while (frame := gateway.answer())[0] != 1:
        pass
    return frame


def check(gateway: Gateway, message: int) -> tuple[bool, float]:
    """Health and the free value, as told now."""
    gateway.send(msgpack.packb([0, message, "alive", [{}]]))
    good, fields = answer(gateway)[3]
    return good, float(fields.get("hint", "-1"))


def long_form(value: Any) -> bytes:
    """MessagePack in the longest form that its specification allows for the value."""
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
            pairs = b"".join(long_form(key) + long_form(each) for key, each in value.items())
            return struct.pack(">BI", 0xDF, len(value)) + pairs
    raise TypeError(value)


def task_frame(message: int, name: str, body: bytes) -> bytes:
    fields = {"rid": rid(name), "t0": str(int(time.time() * 1000)), "peer": "1", "acct": "acme"}
    fields |= {"mem": "2.5", "prio": "0.25"}
    return long_form([0, message, "read", [fields, body]])


def reported(registry: Party) -> bytes:
    """The state that the next report to it names; it is answered, and its connection closed."""
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
    """A run in hand is answered over the new link, one that comes in the grace is run there, and the new
    registry hears of the drain.
    """
    new = {name: Party() for name in ("pool", "registry")}
    moved = {name: party.address for name, party in new.items()}
    with Program(tmp_path, settings=settings()) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        gateway.task(1, "aa", b"")
        assert pool.command("spawn")["call"] == "aa"
        if when == "in one turn":
            program.config.write_text(json.dumps({**program.told, **moved}))
            with program.held():
                program.process.send_signal(RELOAD)
                program.process.send_signal(LEAVE)
        elif when == "once it is in force":
            assert "moved ['pool', 'registry']" in program.reload(**moved)
            program.process.send_signal(LEAVE)
        else:
            program.process.send_signal(LEAVE)
            assert gateway.answer() == [2, "draining", []]
            assert "moved ['pool', 'registry']" in program.reload(**moved)
        program.pool = new["pool"]
        again = program.bind(aa=b"one")
        assert program.bound_with == 0
        assert result(answer(gateway)) == b"one"
        gateway.task(2, "bb", b"")
        assert again.command("spawn")["call"] == "bb"
        again.finish("bb", b"two")
        assert result(answer(gateway)) == b"two"
        while reported(new["registry"]) != b"draining":
            pass
        gateway.close()
        assert program.process.wait(WAIT_S) == 0


@pytest.mark.parametrize("kind", ["bias", "tokens", "min_rank"])
def test_cold_server_survives_all_gateways_at_once(tmp_path: Path, kind: str) -> None:
    """Each has one answer with a free value no higher than that of a cold server, and no more run at a time
    than such a server survives.
    """
    cores = 2
    survived = cores * (1.0 + (MULTIPLE - 1.0) * COLD_SHARE)
    with Program(tmp_path, limits=MANY, settings=cold(cores, kind)) as program:
        pool = bound(program, "starting", 0)
        with program.held():
            gateways = [Gateway(program.address) for _ in range(GATEWAYS)]
            for at, gateway in enumerate(gateways):
                gateway.task(1, f"a{at}", b"")
        running: list[str] = []
        most = 0
        check(other := Gateway(program.address), 1)
        message = 1
        owing = dict(enumerate(gateways))
        frames: dict[int, Any] = {}
        while owing:
            message += 1
            check(other, message)  # by now what may start has been asked for
            running += spawned(pool)
            most = max(most, len(running))
            if running:
                pool.finish(running.pop(0), b"x")
            for at, gateway in list(owing.items()):
                if arrived(gateway):
                    frames[at] = answer(gateway)
                    del owing[at]
        assert most <= survived
        for frame in frames.values():
            fields = frame[3][1] if frame[2] is None else frame[2][1]
            hint = float(fields["hint"])
            assert frame[2] is None or frame[2][0] == "TryLater"
            assert "final" not in fields
            if kind == "min_rank":
                assert hint >= 1.0 - 1.2 * COLD_SHARE
            elif kind == "bias":
                assert hint <= 1.2 * COLD_SHARE
            else:
                assert 0.0 < hint * GATEWAYS <= survived
        assert any(frame[2] is None for frame in frames.values())


def arrived(gateway: Gateway) -> bool:
    gateway.sock.setblocking(False)
    try:
        return bool(gateway.sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False
    finally:
        gateway.sock.settimeout(WAIT_S)


def spawned(pool: Pool) -> list[str]:
    """Those that the pool was asked to run up to its next poll."""
    found = []
    while (said := pool.command("spawn", "poll"))["msg"] == "spawn":
        found.append(said["call"])
    return found


def test_successor_of_a_killed_server_serves_gateways_with_an_outdated_list(
    tmp_path: Path,
) -> None:
    """The predecessor is killed with connections that it has accepted, or not yet; each ends. Its callers
    send the same task again to the same address, where it is run once, in the new life.
    """
    (tmp_path / "next").mkdir()
    token = {"token": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
    with Program(tmp_path) as program:
        program.bind()
        accepted = [Gateway(program.address) for _ in range(4)]
        for gateway in accepted:
            check(gateway, 1)
        with program.held():
            waiting = [Gateway(program.address) for _ in range(4)]
            for gateway in [*accepted, *waiting]:
                gateway.task(2, "aa", b"k", "put", **token)
            program.process.kill()
        assert all(gateway.ended() for gateway in [*accepted, *waiting])
        address = program.address
    with Program(tmp_path / "next", listen=address, settings=cold(8)) as successor:
        assert not any("still in use" in line for line in successor.log)
        pool = bound(successor, "starting", 0)
        assert successor.bound_with == 0
        again = [Gateway(address) for _ in range(4)]
        for at, gateway in enumerate(again):
            gateway.task(1, f"b{at}", b"k", "put", again="1", **token)
        call = pool.command("spawn")["call"]
        pool.finish(call, b"once")
        assert [result(answer(gateway)) for gateway in again] == [b"once"] * 4
        successor.process.send_signal(signal.SIGUSR1)
        assert "runs=1" in successor.logged("counters: (.*)").split()


def test_connections_reset_after_their_accept_leave_nothing_behind(tmp_path: Path) -> None:
    with Program(tmp_path, limits=MANY) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        check(gateway, 1)
        descriptors = f"/proc/{program.process.pid}/fd"
        before = len(os.listdir(descriptors))
        with program.held():
            for at in range(20):
                broken = Gateway(program.address)
                broken.task(1, f"a{at}", b"")
                broken.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                broken.close()
        message = 1
        until = time.monotonic() + WAIT_S
        while message < 3 or len(os.listdir(descriptors)) > before:
            assert time.monotonic() < until
            message += 1
            check(gateway, message)
        gateway.task(message + 1, "bb", b"")
        while (call := pool.command("spawn")["call"]) != "bb":
            pool.finish(call, b"for nobody")
        pool.finish("bb", b"x")
        assert result(answer(gateway)) == b"x"
        gateway.close()
        status, counters = program.end()
        assert status == 0 and "faults" not in counters
        assert counters.split()[0] == "open=0"  # nothing waits on behalf of those that are gone


def test_requests_and_notices_in_pieces_and_in_long_forms_are_read(tmp_path: Path) -> None:
    """A check on another connection goes there and back after each piece, so that pieces are read apart."""
    with Program(tmp_path) as program:
        pool, other = program.bind(), Gateway(program.address)
        gateway = Gateway(program.address)
        gateway.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pool.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        message = 0

        def pieces(to: Gateway | Pool, data: bytes, size: int) -> None:
            nonlocal message
            for at in range(0, len(data), size):
                to.send(data[at : at + size])
                message += 1
                check(other, message)

        body = bytes(range(256)) * 8  # the most that a body may have
        frame = task_frame(1, "aa", body)
        pieces(gateway, frame[:160], 1)
        pieces(gateway, frame[160:] + task_frame(2, "bb", b"")[:7], 700)
        spawn = pool.command("spawn")
        assert (spawn["call"], blob(spawn)) == ("aa", body)
        pieces(gateway, task_frame(2, "bb", b"")[7:], 50)
        assert pool.command("spawn")["call"] == "bb"
        first = '{ "blob" : "eA==" ,\t"duration":5, "more": [{}], "call":"%s", "how":"\\u0066ine", "serial":1, '
        pieces(pool, (first % rid("bb")).encode() + b'"msg": "finished" }\r\n{"msg":', 9)
        assert result(answer(gateway))[:9] == b"x"
        pieces(
            pool, b' "finished", "serial":2, "call":"%b", "how":"fine"}\n' % rid("aa").encode(), 9
        )
        assert result(answer(gateway)) == b""


@pytest.mark.parametrize("rest_comes", ["in the grace", "after it"])
def test_request_split_by_the_shutdown_request_is_answered(tmp_path: Path, rest_comes: str) -> None:
    """It has come with its last byte: run in the grace, rejected after it, answered in either case."""
    grace_us = GRACE_US if rest_comes == "in the grace" else 0
    with Program(tmp_path, settings=settings(None, **{"stop-sending-within": grace_us})) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        check(gateway, 1)
        frame = task_frame(2, "aa", b"x")
        gateway.send(frame[:40])
        program.process.send_signal(LEAVE)
        assert gateway.answer() == [2, "draining", []]
        heard = time.time()
        while (
            time.time() < heard + 0.002
        ):  # arrivals are told in whole ms: a later one than the notice's
            time.sleep(0.0005)
        gateway.send(task_frame(2, "aa", b"x")[40:])
        if grace_us:
            assert pool.command("spawn")["call"] == "aa"
            pool.finish("aa", b"done")
            assert result(answer(gateway)) == b"done"
        else:
            assert answer(gateway)[2][0] == "TryLater"
        gateway.close()
        assert program.process.wait(WAIT_S) == 0


def test_every_request_is_answered_by_its_timeout(tmp_path: Path) -> None:
    """One run never ends, one waits for a call that never comes back, and the pool says nothing more."""
    limit_ms, slack_ms = 1200, 2000  # a busy machine's
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
        began = time.time()
        for at in range(1, 21):
            gateway.task(at, f"a{at}", b"")
        assert pool.command("spawn")["call"] == "a1"
        assert pool.command("spawn")["call"] == "a2"
        pool.notice("blocked", call="a1", blob="cQ==")
        assert program.db.accept().line().startswith(b"Q ")
        for at in range(21, 31):
            gateway.task(at, f"a{at}", b"")  # the pool says nothing more from here on
        found = [answer(gateway) for _ in range(30)]
        assert sorted(each[1] for each in found) == list(range(1, 31))
        assert all(each[2] is not None for each in found)
        assert time.time() - began < (limit_ms + slack_ms) / 1000.0


def test_server_serves_once_a_late_pool_is_up(tmp_path: Path) -> None:
    """Listed while its pool is refused, and then hangs: it says that it is not good, turns tasks away without
    a free value, and from the pool's start on asks for the share of its speed.
    """
    with Program(tmp_path, settings=cold(2)) as program:
        pool_address = program.pool.address
        program.pool.sock.close()
        registry = program.registry.accept()
        assert registry.line().startswith(b"PUT ")
        gateway = Gateway(program.address)
        assert check(gateway, 1) == (False, -1.0)
        gateway.task(2, "aa", b"")
        assert answer(gateway)[2] == ["TryLater", {}]
        program.pool = Party(pool_address)
        pool = Pool(program.pool.accept().sock)
        pool.command("bind")
        assert check(gateway, 3) == (False, -1.0)
        pool.say("bound", how="starting", duration=0)
        pool.command("poll")
        good, hint = check(gateway, 4)
        assert good and 0.0 < hint <= 1.2 * COLD_SHARE
        gateway.task(5, "bb", b"")
        assert pool.command("spawn")["call"] == "bb"
        pool.finish("bb", b"x")
        assert result(answer(gateway)) == b"x"


def test_cold_server_sends_a_positive_hint_to_very_many_callers(tmp_path: Path) -> None:
    """All of them share its credit. Told as nothing, no caller would ever send: it would serve nobody."""
    callers = 37_000
    family = {"cores": 1, "signal": "tokens", "callers": callers}
    told = settings(family, **{"cold-share": 0.2, "warm-after": 60_000_000})
    with Program(tmp_path, settings=told) as program:
        bound(program, "starting", 0)
        good, hint = check(Gateway(program.address), 1)
        assert good and 0.2 <= hint * callers <= 1.0


def test_report_answered_in_pieces_keeps_its_connection(
    tmp_path: Path,
) -> None:
    """The next report comes on the same connection, though each piece is read apart."""
    said = b"HTTP/1.1 204 No Content\r\nX-Long: " + b"x" * 300 + b"\r\n\r\n"
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
            for at in range(0, len(said), 60):
                registry.send(said[at : at + 60])
                message += 1
                check(gateway, message)


def test_class_has_the_idempotency_of_its_settings(tmp_path: Path) -> None:
    """The class that is repeatable elsewhere is by_key here, with a short window: within it one run, after it
    another.
    """
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
        assert [result(answer(gateway)), result(answer(gateway))] == [b"one", b"one"]
        while time.time() * 1000.0 < first_ms + window_ms + 50:
            time.sleep(0.005)
        gateway.task(3, "cc", b"k", again="1", **token)
        assert pool.command("spawn")["call"] == "cc"
        pool.finish("cc", b"two")
        assert result(answer(gateway)) == b"two"
