"""How soon a restarted server is ready: listening, its pool bound, its report answered by the registry.

    python -m benchmarks.restarts [COUNT] [AT_ONCE]

Each restart is a process of the program against stand-ins on loopback; for every third the registry is down
for the first two seconds. Prints the distribution in seconds. Exit status 1 where fewer than nine in ten are
ready within ten seconds.
"""

import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.net.parties import WAIT_S, Party, Peer, Program

DOWN_S, READY_S, PART = 2.0, 10.0, 0.9


def restart(at: int) -> float:
    with tempfile.TemporaryDirectory() as folder:
        began = time.monotonic()
        down = at % 3 == 0
        program = Program(Path(folder))
        address = program.registry.address
        if down:
            program.registry.sock.close()
        with program:
            program.bind()
            if down:
                time.sleep(max(0.0, began + DOWN_S - time.monotonic()))
                program.registry = Party(address)
            registry = Peer(program.registry.sock.accept()[0])
            while registry.line().strip():
                pass
            registry.file.read(17)
            registry.send(b"HTTP/1.1 204 No Content\r\n\r\n")
            took = time.monotonic() - began
            program.process.terminate()
            program.process.wait(WAIT_S)
            return took


def main(count: int = 30, at_once: int = 6) -> int:
    with ThreadPoolExecutor(at_once) as pool:
        took = sorted(pool.map(restart, range(count)))
    told = {part: took[min(count - 1, int(part * count))] for part in (0.0, 0.5, 0.9, 0.99)}
    ready = sum(each <= READY_S for each in took)
    print(f"{count} restarts, {at_once} at once: {ready} ready within {READY_S:g} s")
    print(
        " ".join(f"p{100 * part:g}={each:.2f}" for part, each in told.items()),
        f"most={took[-1]:.2f}",
    )
    return 0 if ready >= PART * count else 1


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:])))
