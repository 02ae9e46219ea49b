"""Two events in one turn of the real program's loop, in the order that the test puts them: the process stands
still while the bytes, the signal or the close are laid in place. Judged by what its peers sent and received.
docs/crossings.md names the pair that each test is for.
"""

import errno
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import IO, Any

import msgpack
import pytest

from tests.net.parties import SETTINGS, WAIT_S, Gateway, Party, Pool, Program, result

LEAVE = signal.SIGTERM
STOP_S = 0.9  # of the notices here, as short as a busy machine allows


def quick(grace_us: int) -> dict[str, Any]:
    return {**SETTINGS, "rules": {"fall-multiple": 8.0, "stop-sending-within": grace_us}}


def answers(gateway: Gateway, count: int = 1) -> list[Any]:
    """The next final answers, that many; notifications between them are passed over."""
    found: list[Any] = []
    while len(found) < count:
        frame = gateway.answer()
        if frame[0] == 1:
            found.append(frame)
    return found


def rest(gateway: Gateway) -> list[Any]:
    """What comes up to the end, which has to be no reset."""
    frames = list(gateway.unpacker)
    while data := gateway.sock.recv(65536):
        gateway.unpacker.feed(data)
        frames += gateway.unpacker
    return [frame for frame in frames if frame[0] == 1]


@pytest.mark.parametrize("first", ["task", "notice"])
@pytest.mark.parametrize("where", ["open connection", "backlog"])
def test_request_that_crosses_the_shutdown_request_is_served(
    tmp_path: Path, first: str, where: str
) -> None:
    with Program(tmp_path) as program:
        pool = program.bind()
        gateway = Gateway(program.address)
        gateway.task(1, "aa", b"")
        assert pool.command("spawn")["call"] == "aa"
        with program.held():
            if first == "notice":
                program.process.send_signal(LEAVE)
            late = Gateway(program.address) if where == "backlog" else gateway
            late.task(2, "bb", b"")
            if first == "task":
                program.process.send_signal(LEAVE)
        assert pool.command("spawn")["call"] == "bb"  # within the grace
        pool.finish("aa", b"one")
        pool.finish("bb", b"two")
        found = answers(gateway, 1 if late is not gateway else 2)
        found += answers(late) if late is not gateway else []
        assert [result(each) for each in found] == [b"one", b"two"]
        for each in {gateway, late}:
            each.sock.shutdown(socket.SHUT_WR)
            assert rest(each) == []
        assert program.process.wait(WAIT_S) == 0


@pytest.mark.parametrize("stall", ["the grace", "the stop"])
def test_stall_over_a_step_of_the_drain_loses_no_request(tmp_path: Path, stall: str) -> None:
    """Tasks wait on open connections and in the backlog when the clock says that it is too late."""
    stop_ms, grace_us = (3000, 300_000) if stall == "the grace" else (int(1000 * STOP_S), 200_000)
    with Program(tmp_path, stop_ms=stop_ms, settings=quick(grace_us)) as program:
        pool = program.bind()
        opened = [Gateway(program.address) for _ in range(4)]
        for gateway in opened:
            gateway.send(msgpack.packb([0, 1, "alive", [{}]]))
            assert gateway.answer()[1] == 1
        opened[0].task(2, "aa", b"")
        assert pool.command("spawn")["call"] == "aa"
        program.process.send_signal(LEAVE)
        for gateway in opened:
            assert gateway.answer() == [2, "draining", []]
        told = time.monotonic()
        with program.held():
            backlog = [Gateway(program.address) for _ in range(8)]
            over = told + 0.25 + (0.6 if stall == "the grace" else STOP_S)
            time.sleep(max(0.0, over - time.monotonic()))
            for at, gateway in enumerate([*opened[1:], *backlog]):
                gateway.task(9, f"b{at}", b"")
        for gateway in [*opened[1:], *backlog]:
            (answer,) = answers(gateway)
            assert answer[1] == 9 and answer[2][0] == "TryLater"
        if stall == "the grace":
            pool.finish("aa", b"done")
            assert result(answers(opened[0])[0]) == b"done"
        else:
            assert answers(opened[0])[0][2][0] == "Failed"
        for gateway in [*opened, *backlog]:
            gateway.sock.shutdown(socket.SHUT_WR)
            assert rest(gateway) == []  # one answer each, and no reset
        assert program.process.wait(WAIT_S) == 0


def test_idle_clients_are_closed_without_a_reset_before_the_stop(tmp_path: Path) -> None:
    with Program(tmp_path, stop_ms=int(1000 * STOP_S), settings=quick(100_000)) as program:
        program.bind()
        resting = [Gateway(program.address) for _ in range(5)]
        for gateway in resting:
            gateway.send(msgpack.packb([0, 1, "alive", [{}]]) + b"\x94")  # and half a frame
            assert gateway.answer()[1] == 1
        began = time.monotonic()
        program.process.send_signal(LEAVE)
        for gateway in resting:
            assert gateway.answer() == [2, "draining", []]
            assert gateway.closed_cleanly()
        assert program.process.wait(WAIT_S) == 0
        assert time.monotonic() - began < STOP_S + 2.0  # a busy machine's own time to end a process


def test_connection_that_violates_the_protocol_gets_its_answers_and_no_reset(
    tmp_path: Path,
) -> None:
    """More than the sockets hold is on its way as the connection is closed on our side."""
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        gateway.task(1, "aa", b"")
        assert pool.command("spawn")["call"] == "aa"
        gateway.send(b"\xc1" + bytes(3_000_000))
        assert gateway.answer()[2][0] == "Failed"
        assert gateway.closed_cleanly()


def test_idle_connection_is_evicted_only_after_its_request_is_answered(
    tmp_path: Path,
) -> None:
    """The task of the longest idle one and the connections that crowd the table come in the same turn."""
    with Program(tmp_path) as program:  # 64 descriptors: 16 connections
        pool = program.bind()
        known = [Gateway(program.address) for _ in range(16)]
        for gateway in known:
            gateway.send(msgpack.packb([0, 1, "alive", [{}]]))
            assert gateway.answer()[1] == 1
        with program.held():
            new = [Gateway(program.address) for _ in range(4)]
            sent = [known[0], *new]
            for at, gateway in enumerate(sent):
                gateway.task(2, f"aa{at}", b"")
        for _ in sent:
            pool.finish(pool.command("spawn")["call"], b"x")
        assert all(result(answers(gateway)[0]) == b"x" for gateway in sent)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP])
def test_signal_before_the_receiver_is_ready_is_handled(
    tmp_path: Path, number: signal.Signals
) -> None:
    """The program stands at its configuration, a pipe that nobody has written to, as the signal comes."""
    config = tmp_path / "config.json"
    os.mkfifo(config)
    told = {"listen": "127.0.0.1:0", "pool": "127.0.0.1:1", "stop_ms": 300, "settings": SETTINGS}
    with subprocess.Popen(
        [sys.executable, "-m", "pumicenotch"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "LB_CONFIG": str(config)},
    ) as process:
        with writing(config, process) as pipe:
            config.unlink()
            config.write_text(json.dumps(told))  # what a reload reads
            process.send_signal(number)
            pipe.write(json.dumps(told))
        if number in (signal.SIGUSR1, signal.SIGHUP):
            assert process.stderr is not None
            wanted = "counters:" if number == signal.SIGUSR1 else "reload:"
            assert any(wanted in line for line in process.stderr)
            process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0


def writing(pipe: Path, reader: "subprocess.Popen[str]") -> IO[str]:
    """Opens a pipe once its reader does."""
    until = time.monotonic() + WAIT_S
    while True:
        try:
            return os.fdopen(os.open(pipe, os.O_WRONLY | os.O_NONBLOCK), "w")
        except OSError as error:
            assert error.errno == errno.ENXIO and reader.poll() is None and time.monotonic() < until
            time.sleep(0.002)


@pytest.mark.parametrize("again", [signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP])
def test_further_signals_do_not_disturb_the_exit(tmp_path: Path, again: signal.Signals) -> None:
    """One a millisecond, so that the process gets on with its end between them."""
    with Program(tmp_path, stop_ms=300) as program, ThreadPoolExecutor(1) as reading:
        assert program.process.stderr is not None
        reading.submit(program.process.stderr.read)
        program.process.send_signal(LEAVE)
        until = time.monotonic() + WAIT_S
        while program.process.poll() is None:
            assert time.monotonic() < until
            program.process.send_signal(again)
            time.sleep(0.001)
        assert program.process.returncode == 0


BUSY_LOOP = """\
import sys
if sys.orig_argv[-1:] == ["pumicenotch"]:
    import time
    from pumicenotch.server.core import Server
    from pumicenotch.server.events import CountersRequested
    def hold_the_loop(self, event):
        for _ in range(800):
            time.sleep(0.001)
    Server.handlers[CountersRequested] = hold_the_loop
"""


def test_notice_counts_from_its_arrival_and_not_from_the_turn_of_a_busy_loop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a drain that is planned beyond its kill: the loop is held for 0.8 s as SIGTERM comes."""
    (tmp_path / "sitecustomize.py").write_text(BUSY_LOOP)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    stop_s = 1.5
    with Program(tmp_path, stop_ms=int(1000 * stop_s)) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        gateway.task(1, "aa", b"")
        assert pool.command("spawn")["call"] == "aa"  # it never ends: the drain goes up to its stop
        program.process.send_signal(signal.SIGUSR1)
        time.sleep(0.1)
        program.process.send_signal(LEAVE)
        sent = time.monotonic()
        assert answers(gateway)[0][2][0] == "Failed"
        assert time.monotonic() - sent < stop_s + 0.2  # of 0.7 s by which it would be too late
        assert program.process.wait(WAIT_S) == 0


@pytest.mark.parametrize(
    "change",
    [
        {"pool": "127.0.0.1:99999"},
        {"db": "127.0.0.1:0"},
        {"registry": "a..b:80"},
        {"pool": ":5"},
        {"registry": "127.0.0.1:-1"},
        {"db": "nowhere"},
    ],
)
def test_reload_without_an_address_keeps_the_running_values(
    tmp_path: Path, change: dict[str, str]
) -> None:
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        said = program.reload(**change)
        (name,) = change
        assert name in said and "the running values stay in force" in said
        gateway.task(1, "aa", b"")
        pool.finish(pool.command("spawn")["call"], b"x")
        assert result(gateway.answer()) == b"x"


def test_reload_of_a_file_that_nests_without_end_changes_nothing(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        assert "the running values stay in force" in program.reload("[" * 100_000)
        gateway.task(1, "aa", b"")
        pool.finish(pool.command("spawn")["call"], b"x")
        assert result(gateway.answer()) == b"x"


def test_replaced_pool_connection_delivers_nothing_more(tmp_path: Path) -> None:
    """The old link's notice and the new configuration come in one turn; the new link brings it again."""
    new = Party()
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        for at in (1, 2):
            gateway.task(at, f"aa{at}", b"")
            assert pool.command("spawn")["call"] == f"aa{at}"
        program.config.write_text(json.dumps({**program.told, "pool": new.address}))
        with program.held():
            program.process.send_signal(signal.SIGHUP)
            pool.finish("aa1", b"one")
        again = Pool(new.accept().sock)
        serial = again.command("bind")["serial"]
        assert serial in (0, 1)
        again.say("bound", how="running", duration=50000)
        Pool.serial = serial
        if serial == 0:
            again.finish("aa1", b"one")
        again.finish("aa2", b"two")
        found = answers(gateway, 2)
        assert {each[1]: result(each) for each in found} == {1: b"one", 2: b"two"}


def test_corrupt_notice_is_requested_again_once(tmp_path: Path) -> None:
    """The run's end cannot be read, the next notice can: a new link brings it. Spoilt again, it is left."""
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        for at in (1, 2, 3):
            gateway.task(at, f"aa{at}", b"")
            assert pool.command("spawn")["call"] == f"aa{at}"
        pool.send(b'{"msg":"finished","serial":1,"call":"spoi\xff"}\n')
        Pool.serial = 1
        pool.finish("aa2", b"two")
        Pool.serial = 0
        again = program.bind(aa1=b"one", aa2=b"two")
        assert program.bound_with == 0
        assert {each[1]: result(each) for each in answers(gateway, 2)} == {1: b"one", 2: b"two"}
        again.send(b'{"msg":"finished","serial":3,"call":"spoi\xff"}\n')
        Pool.serial = 3
        again.notice("chatter", how="x")
        third = Pool(program.pool.accept().sock)
        assert third.command("bind")["serial"] == 2
        third.say("bound", how="running", duration=50000)
        third.send(b'{"msg":"finished","serial":3,"call":"spoi\xff"}\n')
        Pool.serial = 3
        third.notice("chatter", how="x")
        third.finish("aa3", b"three")
        third.command("poll")
        assert result(answers(gateway)[0]) == b"three"


def test_successor_waits_for_the_address_of_its_draining_predecessor(tmp_path: Path) -> None:
    (tmp_path / "next").mkdir()
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        gateway.task(1, "aa", b"")
        assert pool.command("spawn")["call"] == "aa"
        successor = Program(tmp_path / "next", listen=program.address)
        with ThreadPoolExecutor(1) as threads:
            waiting = threads.submit(successor.logged, "(still in use)")
            while not waiting.done():
                pool.command("poll")  # a pool that answers none for a second loses its connection
        assert waiting.result()
        program.process.send_signal(LEAVE)
        pool.finish("aa", b"x")
        assert result(answers(gateway)[0]) == b"x"
        gateway.close()
        with successor:
            assert successor.address == program.address
        assert program.process.wait(WAIT_S) == 0


@pytest.mark.parametrize("over", ["what is named", "what there is"])
def test_idle_clients_leave_descriptors_while_the_registry_is_down(
    tmp_path: Path, over: str
) -> None:
    """With the limit below what the configuration names, connections are accepted until none is left."""
    with Program(tmp_path, stop_ms=1500) as program:
        address = program.registry.address
        program.registry.sock.close()
        pool = program.bind()
        attending = ThreadPoolExecutor(1)
        spawn = attending.submit(pool.command, "spawn")  # polls are answered all the while
        resting = []
        if over == "what there is":
            held = len(os.listdir(f"/proc/{program.process.pid}/fd"))
            resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (held + 10, held + 10))
        for _ in range(40):
            gateway = Gateway(program.address)
            gateway.send(msgpack.packb([0, 1, "alive", [{}]]))
            resting.append(gateway)
        host, _, port = address.rpartition(":")
        with socket.create_server((host, int(port))) as registry:
            registry.settimeout(WAIT_S)
            peer, _ = registry.accept()  # it reports again, with a descriptor of its own
            peer.settimeout(WAIT_S)
            assert peer.recv(3) == b"PUT"
            peer.close()
        last = Gateway(program.address)
        last.task(1, "aa", b"")
        assert spawn.result()["call"] == "aa"
        pool.notice("blocked", call="aa", blob="cQ==")
        db = program.db.accept()  # and so has the call below
        assert db.line().startswith(b"Q ")
        pool.finish("aa", b"x")
        assert result(answers(last)[0]) == b"x"
