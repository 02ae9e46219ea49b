"""The processes of a fleet on loopback: voters and what makes a server a member, with a relay between them
all.
"""

import asyncio
import contextlib
import os
import secrets
import signal
import subprocess
import sys
import time
from itertools import count
from pathlib import Path
from typing import Any

import msgpack

from pumicenotch.errors import PumicenotchError
from pumicenotch.lab.relay import Relay

FLEET = "lab"
REAL, SHOWN = 4100, 4200  # ports: where a process listens, and where the relay stands for it
ANSWER_S = 5.0
NUMBERS = count()  # of crews in this process: each has addresses of its own


class Voter:
    def __init__(self, name: str, zone: str, path: Path) -> None:
        self.name, self.zone, self.path = name, zone, path
        self.log = path.with_suffix(".log")
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.poll() is None


class RequestRefusedError(PumicenotchError):
    """The fleet's own no."""


class Crew:
    """`budgets` is HCL text of blocks; members by hand may stand there too. Where they are `direct`, no relay
    is between the processes: it would carry more than one process can.
    """

    def __init__(
        self,
        folder: Path,
        seed: int,
        voters: int,
        zones: int,
        budgets: str,
        regions: int = 1,
        direct: bool = False,
    ) -> None:
        self.regions, self.direct = regions, direct
        self.folder, self.seed, self.zones, self.budgets = folder, seed, zones, budgets
        self.relay = Relay(seed)
        self.ip = (
            f"127.{64 + os.getpid() // 250 % 128}.{os.getpid() % 250 + 1}.{next(NUMBERS) % 250 + 1}"
        )
        self.ports: dict[str, int] = {}
        self.turn = 0  # whom to ask first
        self.zone: dict[str, str] = {}
        self.voters = {
            name: Voter(name, f"z{at % zones}", folder / f"{name}.hcl")
            for at in range(voters)
            if (name := f"v{at + 1}")
        }

    # Addresses

    def port(self, name: str) -> int:
        return self.ports.setdefault(name, len(self.ports))

    def region(self, zone: str) -> str:
        """Of a zone z0, z1, ...; none where the world has only one."""
        return f"g{int(zone[1:]) % self.regions}" if self.regions > 1 else ""

    def real(self, name: str) -> str:
        return f"{self.ip}:{REAL + self.port(name)}"

    def shown(self, name: str) -> str:
        if self.direct:
            return self.real(name)
        return f"{self.ip}:{SHOWN + self.port(name)}"

    async def add(self, name: str, zone: str) -> None:
        self.zone[name] = zone
        if self.direct:
            return
        await self.relay.open(name, self.real(name), self.ip, SHOWN + self.port(name))

    # Processes

    async def start(self) -> None:
        for voter in self.voters.values():
            await self.add(voter.name, voter.zone)
        listed = "".join(
            f'voter "{name}" {{ address = "{self.shown(name)}" }}\n' for name in self.voters
        )
        for voter in self.voters.values():
            voter.path.write_text(
                f'fleet = "{FLEET}"\nmember = "{voter.name}"\nlisten = "{self.real(voter.name)}"\n'
                f'advertise = "{self.shown(voter.name)}"\nzone = "{voter.zone}"\nseed = {self.seed}\n'
                f'region = "{self.region(voter.zone)}"\n'
                f"{listed}{self.budgets}\n"
            )
            self.boot(voter.name)

    def boot(self, name: str) -> None:
        voter = self.voters[name]
        with voter.log.open("ab") as log:
            command = [sys.executable, "-m", "pumicenotch.net.fleet", str(voter.path)]
            voter.process = subprocess.Popen(command, stderr=log)

    def member(self, name: str, zone: str, uses: str = "") -> str:
        """The block of a server's file that makes it a member; `add` its name first."""
        voters = ", ".join(f'"{self.shown(each)}"' for each in self.voters)
        more = f'  uses = ["{uses}"]\n' if uses else ""
        return (
            f'fleet "{FLEET}" {{\n  member = "{name}"\n  listen = "{self.real(name)}"\n'
            f'  advertise = "{self.shown(name)}"\n  voters = [{voters}]\n  zone = "{zone}"\n'
            f'  region = "{self.region(zone)}"\n{more}}}\n'
        )

    def signal(self, name: str, number: int) -> None:
        process = self.voters[name].process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    async def stop(self) -> None:
        """Ends the voters that were started here, by their ids."""
        for name in self.voters:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        until = time.monotonic() + 4.0
        for voter in self.voters.values():
            while voter.up and time.monotonic() < until:
                await asyncio.sleep(0.02)
            if voter.up and voter.process is not None:
                voter.process.kill()
                voter.process.wait()
        await self.relay.close()

    # As an operator

    async def once(self, name: str, verb: str, *args: Any) -> tuple[Any, Any]:
        """One question to one process, straight: error and result."""
        host, _, port = self.real(name).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                msgpack.packb([2, "hello", [FLEET, "", "", ""]]) + msgpack.packb([0, 1, verb, args])
            )
            unpacker = msgpack.Unpacker(max_buffer_size=8 * 1024 * 1024, strict_map_key=False)
            async with asyncio.timeout(ANSWER_S):
                while data := await reader.read(65536):
                    unpacker.feed(data)
                    for frame in unpacker:
                        if frame[0] == 1:
                            return frame[2], frame[3]
            raise ConnectionError("closed without an answer")
        finally:
            writer.transport.abort()

    async def ask(self, verb: str, *args: Any, within_s: float = 30.0) -> Any:
        """Of whoever leads. Raises RequestRefusedError with the fleet's reason, TimeoutError where nobody agreed."""
        names, met = {self.shown(name): name for name in self.voters}, ""
        todo, until = self.in_turn(), time.monotonic() + within_s
        while time.monotonic() < until:
            if not todo:
                await asyncio.sleep(0.1)
                todo = self.in_turn()
            name = todo.pop(0)
            try:
                error, result = await self.once(name, verb, *args)
            except (OSError, TimeoutError) as fault:
                met = f"{name}: {fault!r}"
                self.turn += 1  # the next question goes to another first: this one may be stopped
                continue
            if error is None:
                return result
            met = f"{name}: {error}"
            if error[0] == "Refused":
                raise RequestRefusedError(error[1])
            if error[2] in names:
                todo.insert(0, names[error[2]])
        raise TimeoutError(f"{verb}: nobody agreed in {within_s:g} s; last: {met}")

    def in_turn(self) -> list[str]:
        names = list(self.voters)
        at = self.turn % len(names)
        return names[at:] + names[:at]

    async def drain(self, *names: str, reason: str = "kernel") -> Any:
        return await self.ask("drain", secrets.token_hex(8), list(names), reason, "operator")

    async def leader(self, within_s: float = 30.0) -> str:
        return str((await self.ask("status", within_s=within_s))["leader"])

    async def agreed(self, met: Any, within_s: float = 120.0) -> Any:
        """The first status that meets it."""
        until, last = time.monotonic() + within_s, None
        while time.monotonic() < until:
            with contextlib.suppress(TimeoutError):
                last = await self.ask("status", within_s=2.0)
                if met(last):
                    return last
            await asyncio.sleep(0.05)
        raise TimeoutError(f"not agreed within {within_s:g} s; last: {last}")
