"""Tests of the program over loopback with stand-ins that speak the protocols."""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import msgpack
import pytest

from tests.net.parties import Gateway, Party, Program, blob, result
from tests.request_ids import rid

VALID_ADDRESSES = '{"listen": "127.0.0.1:0", "pool": "127.0.0.1:1", '
CLASSES_TEMPLATE = '"stop_ms": 900, "settings": {"classes": [{%s}]}}'
ONE_CLASS = '"settings": {"classes": [{"name": "x", "deadline": 9}]}'
BODIES = [b"", bytes(range(256)) * 8, b"\r\n\x00{}"]


def test_request_with_its_dependency_call_byte_for_byte(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        assert program.bound_serial == 0
        db = None
        for index, body in enumerate(BODIES, 1):
            gateway.task(index, f"aa{index}", body)
            spawn = pool.command("spawn")
            assert (spawn["call"], spawn["service"], blob(spawn)) == (f"aa{index}", "read", body)
            pool.notice("blocked", call=f"aa{index}", blob=spawn["blob"])
            db = db or program.db.accept()
            head, name, ms, length = db.line().split()
            assert (head, name, int(length)) == (b"Q", rid(f"aa{index}").encode(), len(body))
            assert 0 < int(ms) <= 8000
            assert db.file.read(len(body) + 2) == body + b"\r\n"
            reply = b"%b ROWS %d\r\n%b\r\n" % (name, 2 * len(body), 2 * body)
            db.send(reply[:7])  # A reply may arrive in parts.
            db.send(reply[7:])
            assert blob(pool.command("supply")) == 2 * body
            pool.finish(f"aa{index}", 2 * body)
            answer = gateway.answer()
            assert (answer[:2], result(answer), set(answer[3][1])) == (
                [1, index],
                2 * body,
                {"hint"},
            )
        program.process.send_signal(signal.SIGUSR1)
        assert "answered_served=3" in program.wait_for_log("counters: (.*)")


def test_sigterm_notifies_all_parties_answers_and_exits_with_0(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        registry = program.registry.accept()
        head = [registry.line().strip() for _ in range(4)]
        assert head[0] == b"PUT /v1/instances/n3 HTTP/1.1"
        assert registry.file.read(17) == b'{"state":"ready"}'
        registry.send(b"HTTP/1.1 204 No Content\r\n\r\n")
        pool, gateway = program.bind(), Gateway(program.address)
        gateway.task(1, "aa", b"x")
        pool.command("spawn")
        program.process.send_signal(signal.SIGTERM)
        assert gateway.answer() == [2, "draining", []]
        assert [registry.line().strip() for _ in range(4)] == [
            *head[:2],
            b"Content-Length: 20",
            b"",
        ]
        assert registry.file.read(20) == b'{"state":"draining"}'
        registry.send(b"HTTP/1.1 204 No Content\r\n\r\n")
        pool.finish("aa", b"done")
        assert result(gateway.answer()) == b"done"
        gateway.close()
        assert "answered_served=1" in program.wait_for_log("counters: (.*)")
        assert program.process.wait(20) == 0


def test_rejections_failures_and_health_checks_on_the_wire(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        gateway = Gateway(program.address)
        gateway.send(msgpack.packb([0, 1, "alive", [{}]]))
        assert gateway.answer() == [1, 1, None, [False, {}]]
        pool = program.bind()
        gateway.send(msgpack.packb([0, 2, "alive", [{}]]))
        assert gateway.answer() == [1, 2, None, [True, {"hint": "1.0000"}]]
        gateway.task(3, "late", b"", t0="1000000000000")
        assert gateway.answer()[2][0] == "TryLater"
        gateway.task(4, "bad", b"", acct="nobody")
        gateway.send(msgpack.packb([2, "news", [1]]))  # Unknown notifications are skipped.
        assert gateway.answer()[2] == ["Failed", {"hint": "1.0000"}]
        gateway.task(5, "gone", b"")
        assert pool.command("spawn")["call"] == "gone"
        gateway.send(msgpack.packb([2, "cancelRequest", [5]]))
        gateway.task(6, "good", b"")
        assert pool.command("spawn")["call"] == "good"
        pool.finish("gone", b"x")
        pool.finish("good", b"y")
        assert gateway.answer()[1] == 6


@pytest.mark.parametrize(
    "junk",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xc1",
        msgpack.packb([0, "x", 3]),
        msgpack.packb({}),
        b"\xc6\x7f\xff\xff\xff" + bytes(100_000),
        msgpack.packb([0, 1, "read", [{}, b"x" * 50000]]),
    ],
)
def test_invalid_message_closes_its_own_connection_alone(tmp_path: Path, junk: bytes) -> None:
    with Program(tmp_path) as program:
        pool, bad, good = program.bind(), Gateway(program.address), Gateway(program.address)
        bad.task(1, "before", b"")
        assert pool.command("spawn")["call"] == "before"
        bad.send(junk)
        good.task(1, "other", b"")
        assert pool.command("spawn")["call"] == "other"
        pool.finish("other", b"x")
        assert result(good.answer()) == b"x"
        # Message boundaries are lost after an invalid message, so earlier requests fail.
        assert bad.answer()[2][0] == "Failed"
        assert bad.is_closed_by_peer()


def test_partial_frame_before_a_shutdown_or_reset_is_ignored(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        pool, half, cut = program.bind(), Gateway(program.address), Gateway(program.address)
        for number, gateway in enumerate((half, cut), 1):
            gateway.task(1, f"aa{number}", b"")
            pool.command("spawn")
            gateway.send(msgpack.packb([0, 2, "read", [{"rid": "x" * 40}, b""]])[:20])
        half.sock.shutdown(socket.SHUT_WR)
        cut.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        cut.close()
        pool.finish("aa1", b"owed")
        assert result(half.answer()) == b"owed"
        assert half.is_closed_by_peer()
        pool.finish("aa2", b"nobody waits")
        _, counters = program.end()
        assert "answered_gone=1" in counters
        assert "connections_reset=1" in counters


def test_pool_connection_that_breaks_in_mid_line_is_resumed(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        for index in (1, 2, 3):
            gateway.task(index, f"aa{index}", b"")
            pool.command("spawn")
        pool.send_message("chatter", how="no serial")
        pool.send_message("unknown", how="poll", call=None)
        pool.send(b"no json\n{}\n[]\n")
        pool.finish("aa1", b"one")
        assert result(gateway.answer()) == b"one"
        pool.send(b'{"msg":"finished","serial":2,"call":"aa2","ho')
        pool.close()
        gateway.task(4, "aa4", b"")
        again = program.bind(aa2=b"two")
        assert program.bound_serial == 1
        assert result(gateway.answer()) == b"two"
        sent = [again.command("spawn")["call"]]
        while sent[-1] != "aa4":
            sent.append(again.command("spawn")["call"])
        # The start of aa3 is repeated unless a poll proved that the command had arrived.
        assert sent in (["aa4"], ["aa3", "aa4"])
        again.finish("aa4", b"four")
        assert result(gateway.answer()) == b"four"


@pytest.mark.parametrize(
    "corrupt",
    [
        b"zz FULL\r\n",
        b"ID ROWS 10\r\nhalf",
        b"ID ROWS 3000000000\r\n",
        b"ID ROWS -1\r\n",
        b"ID ROWS 1_0\r\n",
        b"ID ROWS 2\r\nlonger\r\n",
        b"\xff\0" * 50,
        b"ID FULL 0\r\n",
    ],
)
def test_corrupt_reply_closes_its_connection_and_an_idempotent_request_calls_again(
    tmp_path: Path, corrupt: bytes
) -> None:
    name = rid("aa").encode()
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        gateway.task(1, "aa", b"")
        pool.notice("blocked", call=pool.command("spawn")["call"], blob="cQ==")
        db = program.db.accept()
        assert db.line().startswith(b"Q %b " % name)
        db.send(corrupt.replace(b"ID", name))
        if corrupt.endswith(b"half"):
            db.close()
        again = program.db.accept()
        assert again.line().startswith(b"Q %b " % name)
        assert again.line() == b"q\r\n"
        again.send(
            rid("zz").encode() + b" ROWS 1\r\nz\r\n%b ROWS 0\r\n\r\n%b FULL\r\n" % (name, name)
        )
        assert blob(pool.command("supply")) == b""


def test_reload_applies_new_addresses_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    new = {name: Party() for name in ("pool", "db", "registry")}
    with Program(tmp_path) as program:
        pool, gateway, registry = (
            program.bind(),
            Gateway(program.address),
            program.registry.accept(),
        )
        for name in ("aa", "bb"):
            gateway.task(len(program.log) + 1, name, b"")
            assert pool.command("spawn")["call"] == name
            program.log.append("")
        pool.notice("blocked", call="aa", blob="cQ==")
        old_db = program.db.accept()
        assert old_db.line().startswith(b"Q ")
        assert "the running values stay in force" in program.reload('{"listen"')
        log_line = program.reload(**{name: party.address for name, party in new.items()}, stop_ms=1)
        assert "moved ['db', 'pool', 'registry']; not applied: stop_ms" in log_line
        assert new["registry"].accept().line().startswith(b"PUT ")
        assert registry.file.read().count(b"PUT ") == 1
        program.pool = new["pool"]
        again = program.bind(bb=b"two")
        assert program.bound_serial == 1
        assert result(gateway.answer()) == b"two"
        old_db.line()
        old_db.send(rid("aa").encode() + b" ROWS 1\r\nx\r\n")
        assert blob(again.command("supply")) == b"x"
        again.notice("blocked", call="aa", blob="cg==")
        assert new["db"].accept().line().startswith(b"Q ")
        again.finish("aa", b"one")
        assert result(gateway.answer()) == b"one"
        assert "reloads=1 reloads_failed=1" in program.end()[1]


def test_reports_continue_whatever_the_registry_does(tmp_path: Path) -> None:
    error_response = b"HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n"
    switching_response, success_response = b"HTTP/1.1 101 Odd\r\n\r\n", b"HTTP/1.1 204 Fine\r\n\r\n"
    with Program(tmp_path) as program:
        for answer in (
            None,
            error_response,
            switching_response,
            b"nonsense\r\n\r\n",
            b"",
            success_response,
        ):
            peer = program.registry.accept()
            assert peer.line().startswith(b"PUT ")
            if answer:
                peer.send(answer)
            elif answer is not None:
                peer.close()  # For None, the connection stays open without a response.
        assert peer.file.read(1)  # Rest of the report; the connection is reused.
        while b"PUT " not in peer.line():
            pass


def test_killed_server_restarts_at_the_same_address(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        program.bind()
        gateway = Gateway(program.address)
        gateway.task(1, "aa", b"")
        address = program.address
        program.process.kill()
        assert gateway.is_closed_by_peer()
    with Program(tmp_path, listen=address) as program:
        pool, gateway = program.bind(), Gateway(address)
        assert program.bound_serial == 0
        gateway.task(1, "bb", b"")
        assert pool.command("spawn")["call"] == "bb"


def test_server_runs_without_database_registry_and_tenants(tmp_path: Path) -> None:
    settings = {"classes": [{"name": "read", "deadline": 8_000_000}], "family-info": {"cores": 1}}
    with Program(tmp_path, settings=settings, db=None, registry=None) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        gateway.task(1, "aa", b"")
        pool.finish(pool.command("spawn")["call"], b"x")
        assert gateway.answer() == [1, 1, None, [b"x", {}]]


def test_silent_connections_are_closed_when_descriptors_run_short(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        pool = program.bind()
        busy = Gateway(program.address)
        busy.task(1, "aa", b"")
        assert pool.command("spawn")["call"] == "aa"
        idle_gateways = [Gateway(program.address) for _ in range(60)]
        # 44 of the 60 are closed: 64 descriptors less those reserved for calls and the program.
        assert all(gateway.is_closed_by_peer() for gateway in idle_gateways[:44])
        idle_gateways[-1].task(1, "bb", b"")
        assert pool.command("spawn")["call"] == "bb"
        pool.finish("aa", b"x")
        assert result(busy.answer()) == b"x"


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ("{", "config.json"),
        ("[]", "missing start value listen"),
        ('{"listen": "here", "pool": "127.0.0.1:1"}', "malformed start value listen='here'"),
        ('{"listen": "127.0.0.1:0"}', "missing start value pool"),
        (VALID_ADDRESSES + '"seed": "xyz"}', "malformed start value seed='xyz'"),
        (
            VALID_ADDRESSES + '"settings": {"family-info": {"cores": "many"}}}',
            "family-info.cores='many'",
        ),
        (
            VALID_ADDRESSES + '"settings": {"classes": [{"name": "x"}]}}',
            "missing start value classes.0.deadline",
        ),
        (None, "LB_CONFIG is not set"),
        (
            VALID_ADDRESSES + '"db": "127.0.0.1:70000"}',
            "malformed start value db='127.0.0.1:70000'",
        ),
        (VALID_ADDRESSES + ONE_CLASS + "}", "missing start value stop_ms"),
        (
            VALID_ADDRESSES + ONE_CLASS + ', "stop_ms": -1}',
            "stop_ms=-1: out of range; give a value from 0",
        ),
        (VALID_ADDRESSES + ONE_CLASS + ', "stop_ms": NaN}', "stop_ms=nan: out of range"),
        (
            VALID_ADDRESSES + ONE_CLASS + ', "stop_ms": 900, "limits": {"sockets": 7}}',
            "limits.sockets=7: out of range",
        ),
        (VALID_ADDRESSES + '"stop_ms": 900}', "missing start value settings.classes"),
        (
            VALID_ADDRESSES + CLASSES_TEMPLATE % '"name": "x", "deadline": 0',
            "classes.0.deadline=0: out of range",
        ),
        (
            VALID_ADDRESSES + CLASSES_TEMPLATE % '"name": "x", "deadline": 9, "worth": -2',
            "classes.0.worth=-2: out of range",
        ),
        (
            VALID_ADDRESSES + CLASSES_TEMPLATE % '"name": "x", "deadline": Infinity',
            "classes.0.deadline=inf: out of range",
        ),
        (
            VALID_ADDRESSES + CLASSES_TEMPLATE % '"name": "x", "deadline": 9, "effect": "x"',
            "give one of repeatable, by_key",
        ),
        (
            VALID_ADDRESSES + CLASSES_TEMPLATE % '"name": "x", "deadline": 9, "effect": "by_key"',
            "classes.0.memory-span",
        ),
        (
            VALID_ADDRESSES
            + CLASSES_TEMPLATE % '"name": "x", "deadline": 9},{"name": "x", "deadline": 9',
            "name is there twice",
        ),
        ("[" * 100000, "config.json"),
    ],
)
def test_bad_start_value_exits_with_one_line(
    tmp_path: Path, change: str | None, message: str
) -> None:
    config = tmp_path / "config.json"
    environment = {key: value for key, value in os.environ.items() if key != "LB_CONFIG"}
    if change is not None:
        config.write_text(change)
        environment["LB_CONFIG"] = str(config)
    command = [sys.executable, "-m", "pumicenotch"]
    completed = subprocess.run(
        command, capture_output=True, text=True, env=environment, timeout=20, check=False
    )
    assert completed.returncode == 1
    assert completed.stderr.count("\n") == 1
    assert message in completed.stderr


def test_stalled_pool_is_bound_again_and_loses_no_run(tmp_path: Path) -> None:
    """A busy machine may stall the test process; the server then replaces the pool connection."""
    with Program(tmp_path) as program:
        pool, gateway = program.bind(), Gateway(program.address)
        for message in (1, 2):
            gateway.task(message, f"aa{message}", b"")
            assert pool.command("spawn")["call"] == f"aa{message}"
        time.sleep(1.3)
        pool.finish("aa1", b"one")  # The server has closed this connection.
        gateway.task(3, "aa3", b"")
        assert pool.command("spawn")["call"] == "aa3"
        pool.finish("aa2", b"two")
        pool.finish("aa3", b"three")
        found = {frame[1]: result(frame) for frame in (gateway.answer() for _ in range(3))}
        assert found == {1: b"one", 2: b"two", 3: b"three"}


def test_unexpected_end_of_a_pool_connection_fails_the_test(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        pool = program.bind()
        pool.command("poll")
        program.process.kill()
        with pytest.raises(AssertionError, match="link ended"):
            pool.command("spawn")
