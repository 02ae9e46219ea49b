"""Tests of two events that the program handles in one turn of its event loop.

The process is stopped while a test sends the bytes, signals or closes in the order under test. The
results are what the peers sent and received. docs/crossings.md lists the pair of events per test.
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

SHUTDOWN_SIGNAL = signal.SIGTERM
SHUTDOWN_S = 0.9  # Time from the notice to the end, as short as a busy machine allows.


def settings_with_grace(grace_us: int) -> dict[str, Any]:
    return {**SETTINGS, "rules": {"fall-multiple": 8.0, "stop-sending-within": grace_us}}


def next_responses(gateway: Gateway, count: int = 1) -> list[Any]:
    """Returns the next `count` responses; notifications are skipped."""
    responses: list[Any] = []
    while len(responses) < count:
        frame = gateway.answer()
        if frame[0] == 1:
            responses.append(frame)
    return responses


def remaining_responses(gateway: Gateway) -> list[Any]:
    """Returns the responses received until the connection ends; a reset raises an error."""
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
        with program.suspended():
            if first == "notice":
                program.process.send_signal(SHUTDOWN_SIGNAL)
            late = Gateway(program.address) if where == "backlog" else gateway
            late.task(2, "bb", b"")
            if first == "task":
                program.process.send_signal(SHUTDOWN_SIGNAL)
        assert pool.command("spawn")["call"] == "bb"  # Within the grace period.
        pool.finish("aa", b"one")
        pool.finish("bb", b"two")
        responses = next_responses(gateway, 1 if late is not gateway else 2)
        responses += next_responses(late) if late is not gateway else []
        assert [result(response) for response in responses] == [b"one", b"two"]
        for connection in {gateway, late}:
            connection.sock.shutdown(socket.SHUT_WR)
            assert remaining_responses(connection) == []
        assert program.process.wait(WAIT_S) == 0


@pytest.mark.parametrize("stall", ["the grace", "the stop"])
def test_stall_over_a_step_of_the_drain_loses_no_request(tmp_path: Path, stall: str) -> None:
    """Requests wait on open connections and in the backlog when a step of the drain is overdue."""
    stop_ms, grace_us = (
        (3000, 300_000) if stall == "the grace" else (int(1000 * SHUTDOWN_S), 200_000)
    )
    with Program(tmp_path, stop_ms=stop_ms, settings=settings_with_grace(grace_us)) as program:
        pool = program.bind()
        opened = [Gateway(program.address) for _ in range(4)]
        for gateway in opened:
            gateway.send(msgpack.packb([0, 1, "alive", [{}]]))
            assert gateway.answer()[1] == 1
        opened[0].task(2, "aa", b"")
        assert pool.command("spawn")["call"] == "aa"
        program.process.send_signal(SHUTDOWN_SIGNAL)
        for gateway in opened:
            assert gateway.answer() == [2, "draining", []]
        notified_at = time.monotonic()
        with program.suspended():
            backlog = [Gateway(program.address) for _ in range(8)]
            stall_end = notified_at + 0.25 + (0.6 if stall == "the grace" else SHUTDOWN_S)
            time.sleep(max(0.0, stall_end - time.monotonic()))
            for index, gateway in enumerate([*opened[1:], *backlog]):
                gateway.task(9, f"b{index}", b"")
        for gateway in [*opened[1:], *backlog]:
            (answer,) = next_responses(gateway)
            assert answer[1] == 9 and answer[2][0] == "TryLater"
        if stall == "the grace":
            pool.finish("aa", b"done")
            assert result(next_responses(opened[0])[0]) == b"done"
        else:
            assert next_responses(opened[0])[0][2][0] == "Failed"
        for gateway in [*opened, *backlog]:
            gateway.sock.shutdown(socket.SHUT_WR)
            assert remaining_responses(gateway) == []  # One response each, and no reset.
        assert program.process.wait(WAIT_S) == 0


def test_idle_clients_are_closed_without_a_reset_before_the_stop(tmp_path: Path) -> None:
    with Program(
        tmp_path, stop_ms=int(1000 * SHUTDOWN_S), settings=settings_with_grace(100_000)
    ) as program:
        program.bind()
        idle_gateways = [Gateway(program.address) for _ in range(5)]
        for gateway in idle_gateways:
            gateway.send(msgpack.packb([0, 1, "alive", [{}]]) + b"\x94")  # A partial frame follows.
            assert gateway.answer()[1] == 1
        started_at = time.monotonic()
        program.process.send_signal(SHUTDOWN_SIGNAL)
        for gateway in idle_gateways:
            assert gateway.answer() == [2, "draining", []]
            assert gateway.is_shut_down_by_peer()
        assert program.process.wait(WAIT_S) == 0
        # A busy machine may need 2 s to end a process.
        assert time.monotonic() - started_at < SHUTDOWN_S + 2.0


def test_connection_that_violates_the_protocol_gets_its_answers_and_no_reset(
    tmp_path: Path,
) -> None:
    """More data than the socket buffers hold is in flight when the server closes the connection."""
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        gateway.task(1, "aa", b"")
        assert pool.command("spawn")["call"] == "aa"
        gateway.send(b"\xc1" + bytes(3_000_000))
        assert gateway.answer()[2][0] == "Failed"
        assert gateway.is_shut_down_by_peer()


def test_idle_connection_is_evicted_only_after_its_request_is_answered(
    tmp_path: Path,
) -> None:
    """A request on the longest idle connection arrives together with connections over the limit."""
    with Program(tmp_path) as program:  # 64 descriptors allow 16 connections.
        pool = program.bind()
        idle_connections = [Gateway(program.address) for _ in range(16)]
        for gateway in idle_connections:
            gateway.send(msgpack.packb([0, 1, "alive", [{}]]))
            assert gateway.answer()[1] == 1
        with program.suspended():
            new_connections = [Gateway(program.address) for _ in range(4)]
            sent = [idle_connections[0], *new_connections]
            for index, gateway in enumerate(sent):
                gateway.task(2, f"aa{index}", b"")
        for _ in sent:
            pool.finish(pool.command("spawn")["call"], b"x")
        assert all(result(next_responses(gateway)[0]) == b"x" for gateway in sent)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP])
def test_signal_before_the_receiver_is_ready_is_handled(
    tmp_path: Path, number: signal.Signals
) -> None:
    """The signal arrives while the program waits for its configuration from a pipe."""
    config = tmp_path / "config.json"
    os.mkfifo(config)
    start_values = {
        "listen": "127.0.0.1:0",
        "pool": "127.0.0.1:1",
        "stop_ms": 300,
        "settings": SETTINGS,
    }
    with subprocess.Popen(
        [sys.executable, "-m", "pumicenotch"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "LB_CONFIG": str(config)},
    ) as process:
        with open_for_writing(config, process) as pipe:
            config.unlink()
            config.write_text(json.dumps(start_values))  # Read by a reload.
            process.send_signal(number)
            pipe.write(json.dumps(start_values))
        if number in (signal.SIGUSR1, signal.SIGHUP):
            assert process.stderr is not None
            wanted = "counters:" if number == signal.SIGUSR1 else "reload:"
            assert any(wanted in line for line in process.stderr)
            process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0


def open_for_writing(pipe: Path, reader: "subprocess.Popen[str]") -> IO[str]:
    """Opens a pipe for writing once its reader has opened it."""
    deadline = time.monotonic() + WAIT_S
    while True:
        try:
            return os.fdopen(os.open(pipe, os.O_WRONLY | os.O_NONBLOCK), "w")
        except OSError as error:
            assert (
                error.errno == errno.ENXIO and reader.poll() is None and time.monotonic() < deadline
            )
            time.sleep(0.002)


@pytest.mark.parametrize(
    "repeated_signal", [signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP]
)
def test_further_signals_do_not_disturb_the_exit(
    tmp_path: Path, repeated_signal: signal.Signals
) -> None:
    """One signal per millisecond, so that the process makes progress with its exit in between."""
    with Program(tmp_path, stop_ms=300) as program, ThreadPoolExecutor(1) as log_reader:
        assert program.process.stderr is not None
        log_reader.submit(program.process.stderr.read)
        program.process.send_signal(SHUTDOWN_SIGNAL)
        deadline = time.monotonic() + WAIT_S
        while program.process.poll() is None:
            assert time.monotonic() < deadline
            program.process.send_signal(repeated_signal)
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
    """Guards against a drain planned past the kill: SIGTERM arrives in a loop blocked for 0.8 s."""
    (tmp_path / "sitecustomize.py").write_text(BUSY_LOOP)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    shutdown_s = 1.5
    with Program(tmp_path, stop_ms=int(1000 * shutdown_s)) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        gateway.task(1, "aa", b"")
        # The run never ends, so the drain lasts until its stop.
        assert pool.command("spawn")["call"] == "aa"
        program.process.send_signal(signal.SIGUSR1)
        time.sleep(0.1)
        program.process.send_signal(SHUTDOWN_SIGNAL)
        sent = time.monotonic()
        assert next_responses(gateway)[0][2][0] == "Failed"
        # If the notice counted from the turn of the loop, the end would be 0.7 s late.
        assert time.monotonic() - sent < shutdown_s + 0.2
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
        log_line = program.reload(**change)
        (name,) = change
        assert name in log_line and "the running values stay in force" in log_line
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
    """The notice on the old connection and the reload arrive in one turn; the notice is repeated."""
    new_pool = Party()
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        for index in (1, 2):
            gateway.task(index, f"aa{index}", b"")
            assert pool.command("spawn")["call"] == f"aa{index}"
        program.config_path.write_text(
            json.dumps({**program.start_values, "pool": new_pool.address})
        )
        with program.suspended():
            program.process.send_signal(signal.SIGHUP)
            pool.finish("aa1", b"one")
        new_connection = Pool(new_pool.accept().sock)
        serial = new_connection.command("bind")["serial"]
        assert serial in (0, 1)
        new_connection.send_message("bound", how="running", duration=50000)
        Pool.serial = serial
        if serial == 0:
            new_connection.finish("aa1", b"one")
        new_connection.finish("aa2", b"two")
        responses = next_responses(gateway, 2)
        assert {response[1]: result(response) for response in responses} == {1: b"one", 2: b"two"}


def test_corrupt_notice_is_requested_again_once(tmp_path: Path) -> None:
    """A new connection repeats an unreadable notice; if still unreadable, the notice is skipped."""
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        for index in (1, 2, 3):
            gateway.task(index, f"aa{index}", b"")
            assert pool.command("spawn")["call"] == f"aa{index}"
        pool.send(b'{"msg":"finished","serial":1,"call":"spoi\xff"}\n')
        Pool.serial = 1
        pool.finish("aa2", b"two")
        Pool.serial = 0
        second_pool = program.bind(aa1=b"one", aa2=b"two")
        assert program.bound_serial == 0
        assert {response[1]: result(response) for response in next_responses(gateway, 2)} == {
            1: b"one",
            2: b"two",
        }
        second_pool.send(b'{"msg":"finished","serial":3,"call":"spoi\xff"}\n')
        Pool.serial = 3
        second_pool.notice("chatter", how="x")
        third_pool = Pool(program.pool.accept().sock)
        assert third_pool.command("bind")["serial"] == 2
        third_pool.send_message("bound", how="running", duration=50000)
        third_pool.send(b'{"msg":"finished","serial":3,"call":"spoi\xff"}\n')
        Pool.serial = 3
        third_pool.notice("chatter", how="x")
        third_pool.finish("aa3", b"three")
        third_pool.command("poll")
        assert result(next_responses(gateway)[0]) == b"three"


def test_successor_waits_for_the_address_of_its_draining_predecessor(tmp_path: Path) -> None:
    (tmp_path / "next").mkdir()
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        gateway.task(1, "aa", b"")
        assert pool.command("spawn")["call"] == "aa"
        successor = Program(tmp_path / "next", listen=program.address)
        with ThreadPoolExecutor(1) as threads:
            waiting = threads.submit(successor.wait_for_log, "(still in use)")
            while not waiting.done():
                # A pool that answers no poll for a second loses its connection.
                pool.command("poll")
        assert waiting.result()
        program.process.send_signal(SHUTDOWN_SIGNAL)
        pool.finish("aa", b"x")
        assert result(next_responses(gateway)[0]) == b"x"
        gateway.close()
        with successor:
            assert successor.address == program.address
        assert program.process.wait(WAIT_S) == 0


@pytest.mark.parametrize("over", ["what is named", "what there is"])
def test_idle_clients_leave_descriptors_while_the_registry_is_down(
    tmp_path: Path, over: str
) -> None:
    """With a system limit below the configured one, accepts exhaust the descriptors."""
    with Program(tmp_path, stop_ms=1500) as program:
        address = program.registry.address
        program.registry.sock.close()
        pool = program.bind()
        pool_thread = ThreadPoolExecutor(1)
        spawn = pool_thread.submit(pool.command, "spawn")  # Answers the polls meanwhile.
        idle_gateways = []
        if over == "what there is":
            open_descriptors = len(os.listdir(f"/proc/{program.process.pid}/fd"))
            resource.prlimit(
                program.process.pid,
                resource.RLIMIT_NOFILE,
                (open_descriptors + 10, open_descriptors + 10),
            )
        for _ in range(40):
            gateway = Gateway(program.address)
            gateway.send(msgpack.packb([0, 1, "alive", [{}]]))
            idle_gateways.append(gateway)
        host, _, port = address.rpartition(":")
        with socket.create_server((host, int(port))) as registry:
            registry.settimeout(WAIT_S)
            peer, _ = registry.accept()  # Reports resume; each connection needs a descriptor.
            peer.settimeout(WAIT_S)
            assert peer.recv(3) == b"PUT"
            peer.close()
        last_gateway = Gateway(program.address)
        last_gateway.task(1, "aa", b"")
        assert spawn.result()["call"] == "aa"
        pool.notice("blocked", call="aa", blob="cQ==")
        database = program.db.accept()  # The dependency call gets a descriptor too.
        assert database.line().startswith(b"Q ")
        pool.finish("aa", b"x")
        assert result(next_responses(last_gateway)[0]) == b"x"


# Guards against requests that run although their client had reset its connection before they were read.
def test_input_that_is_unread_at_a_reset_is_dropped(tmp_path: Path) -> None:
    """The notifications before the request fill several reads, so the reset is known before it."""
    with Program(tmp_path) as program:
        pool, leaving, other = program.bind(), Gateway(program.address), Gateway(program.address)
        leaving.send(msgpack.packb([0, 1, "alive", [{}]]))
        assert leaving.answer()[:2] == [1, 1]
        leaving.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )  # A reset drops unsent bytes.
        with program.suspended():
            leaving.send(6000 * msgpack.packb([2, "x", []]))
            leaving.task(2, "aa", b"")
            leaving.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            leaving.close()
            other.task(1, "bb", b"")
        assert pool.command("spawn")["call"] == "bb"
        pool.finish("bb", b"two")
        assert result(other.answer()) == b"two"
        assert "runs=1 " in program.end()[1] + " "


def test_input_that_is_unread_at_a_half_close_is_answered(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        with program.suspended():
            gateway.send(6000 * msgpack.packb([2, "x", []]))
            gateway.task(2, "aa", b"")
            gateway.sock.shutdown(socket.SHUT_WR)
        assert pool.command("spawn")["call"] == "aa"
        pool.finish("aa", b"one")
        assert result(gateway.answer()) == b"one"
