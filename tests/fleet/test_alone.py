"""A server that belongs to a fleet, and hears of nobody: it serves by its own rules, and leaves when it is
told.
"""

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests.net.parties import Gateway, Program, result

BLOCK = 'fleet "f" {{\n  member = "n1"\n  listen = "{}"\n  voters = ["127.0.0.1:1"]\n}}\n'


@pytest.mark.parametrize("taken", [False, True], ids=["nobody there", "its listener is taken"])
def test_it_serves_and_leaves_in_its_notice(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, taken: bool
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other:
        address = "{}:{}".format(*other.getsockname()) if taken else "127.0.0.1:0"
        (tmp_path / "ours.hcl").write_text(BLOCK.format(address))
        monkeypatch.setenv("PUMICENOTCH_CONFIG", str(tmp_path / "ours.hcl"))
        with Program(tmp_path, stop_ms=2000) as program:
            if taken:
                program.logged("(this server serves without its fleet)")
            pool = program.bind()
            gateway = Gateway(program.address)
            gateway.task(1, "aa", b"body")
            assert pool.command("spawn")["call"] == "aa"
            pool.finish("aa", b"done")
            assert result(gateway.answer()) == b"done"
            status, counters = program.end()
    assert status == 0 and "answered_served=1" in counters


def test_without_a_file_of_ours_nothing_of_a_fleet_is_loaded() -> None:
    """The bench's run has no such file: it lives in 32 MB and a part of a core."""
    script = (
        "import sys, pumicenotch.__main__\n"
        "rooms = ('membership', 'consensus', 'fleet', 'cells', 'config', 'distribution', 'net.peer', 'net.outbound', 'net.fleet')\n"
        "whole = tuple(f'pumicenotch.{room}' for room in rooms)\n"
        "print([name for name in sys.modules if name.startswith(whole)])"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"


def test_a_fleet_without_the_block_distribution_loads_nothing_of_it() -> None:
    """Neither in a server nor in a voter."""
    script = (
        "import sys, pumicenotch.__main__, pumicenotch.net.fleet, pumicenotch.config.compiled as compiled\n"
        "compiled.load(compiled.dump(compiled.InstanceConfig()), 'plan')\n"
        "whole = ('pumicenotch.distribution', 'pumicenotch.net.configuration',"
        " 'pumicenotch.net.voter_configuration')\n"
        "print([name for name in sys.modules if name.startswith(whole)])"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"
