"""A server in a fleet without reachable voters serves as if it were alone, and still stops in time."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests.net.parties import Gateway, Program, result

FLEET_BLOCK = 'fleet "f" {{\n  member = "n1"\n  listen = "{}"\n  voters = ["127.0.0.1:1"]\n}}\n'


@pytest.mark.parametrize("taken", [False, True], ids=["nobody there", "its listener is taken"])
def test_a_server_without_its_fleet_serves_and_stops_within_its_notice(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, taken: bool
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other:
        address = "{}:{}".format(*other.getsockname()) if taken else "127.0.0.1:0"
        (tmp_path / "ours.hcl").write_text(FLEET_BLOCK.format(address))
        monkeypatch.setenv("PUMICENOTCH_CONFIG", str(tmp_path / "ours.hcl"))
        with Program(tmp_path, stop_ms=2000) as program:
            if taken:
                program.wait_for_log("(this server serves without its fleet)")
            pool = program.bind()
            gateway = Gateway(program.address)
            gateway.task(1, "aa", b"body")
            assert pool.command("spawn")["call"] == "aa"
            pool.finish("aa", b"done")
            assert result(gateway.answer()) == b"done"
            status, counters = program.end()
    assert status == 0 and "answered_served=1" in counters


def test_without_a_configuration_file_no_fleet_module_is_loaded() -> None:
    """Guards the memory of a server without the file, which has to fit in 32 MB and part of a core."""
    script = (
        "import sys, pumicenotch.__main__\n"
        "rooms = ('membership', 'consensus', 'fleet', 'cells', 'config', 'distribution', 'net.peer', 'net.outbound', 'net.fleet')\n"
        "whole = tuple(f'pumicenotch.{room}' for room in rooms)\n"
        "print([name for name in sys.modules if name.startswith(whole)])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"


def test_without_a_distribution_block_no_distribution_module_is_loaded() -> None:
    """Covers both servers and voters."""
    script = (
        "import sys, pumicenotch.__main__, pumicenotch.net.fleet, pumicenotch.config.compiled as compiled\n"
        "compiled.load(compiled.dump(compiled.InstanceConfig()), 'plan')\n"
        "whole = ('pumicenotch.distribution', 'pumicenotch.net.configuration',"
        " 'pumicenotch.net.voter_configuration')\n"
        "print([name for name in sys.modules if name.startswith(whole)])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"
