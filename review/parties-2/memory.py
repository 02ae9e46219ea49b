"""A server under bad clients: is it within its memory? The platform kills one that is not."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path

from parties import HERE, ROOT, Case, Gateway, Platform, Process, Request, new_request

Kinds = tuple[str, ...]


class Watch:
    """The platform's eye on the server's memory, and a gateway with ordinary requests."""

    def __init__(
        self, case: Case, server: Process, gateway: Gateway, limit_mb: float, kinds: Kinds
    ) -> None:
        self.record, self.server, self.gateway = case.record, server, gateway
        self.limit_mb, self.kinds = limit_mb, kinds
        self.requests: list[Request] = []
        self.most_mb = 0.0
        self.fault = ""

    async def watch(self, seconds: float) -> None:
        """Sends ten requests a second, and kills the server once it is over its memory."""
        loop = asyncio.get_running_loop()
        began, told_at = loop.time(), 0.0
        while loop.time() - began < seconds and not self.fault:
            due = (loop.time() - began) * 10.0 >= len(self.requests)
            if due and not self.gateway.closed and len(self.gateway.open) < 32:
                name = self.kinds[len(self.requests) % 3]
                token = os.urandom(16).hex() if name == "final-submit" else ""
                self.requests.append(self.gateway.send(new_request(name, token=token)))
            await asyncio.sleep(0.02)
            memory_mb = self.server.memory_mb()
            self.most_mb = max(self.most_mb, memory_mb)
            if loop.time() - told_at > 1.0:
                told_at = loop.time()
                self.record.line(f"memory: {memory_mb:.1f} MB, {len(self.gateway.open)} open")
            if memory_mb > self.limit_mb:
                self.fault = (
                    f"the server needs {memory_mb:.1f} MB of {self.limit_mb:g} MB"
                    f" {loop.time() - began:.1f} s after the bad clients came: it is killed"
                )
                self.server.signal(signal.SIGKILL)  # as the platform does
            elif not self.server.running:
                self.fault = f"the server ended with status {self.server.popen.returncode}"

    async def close(self) -> None:
        """Waits for the last answers, and records how the gateway fared."""
        if not self.fault:
            for request in self.requests:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(asyncio.shield(request.answer), 14.0)
            self.server.signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        kinds = [r.answer.result()[0] for r in self.requests if r.answer.done()]
        counts = {kind: kinds.count(kind) for kind in sorted(set(kinds))}
        self.record.line(f"memory at most: {self.most_mb:.1f} MB; the gateway's answers: {counts}")


async def play(
    case: Case, limit_mb: int, client: Path, arguments: list[int], seconds: int
) -> list[str]:
    """Plays a case with the program of a bad client; returns how the rule was broken."""
    record = case.record
    platform = Platform(record)
    limits = {"cores": 1.0, "memory_mb": limit_mb, "sockets": 512}
    path, port = case.configure("n1", await platform.open(), limits=limits)
    server = case.start_server(path, "n1")
    await case.ready(port)
    gateway = await Gateway([platform], record).connect((HERE, port))
    watch = Watch(case, server, gateway, limit_mb, ("preview", "bake", "final-submit"))
    record.line(f"memory at the start: {server.memory_mb():.1f} MB of {limit_mb} MB")
    clients = start_clients(client, [port, *arguments]) if case.trouble else None
    if clients is not None:
        record.line(f"the bad clients come: {client.stem} {arguments}")
    try:
        await watch.watch(seconds)
    finally:
        if clients is not None:
            if watch.fault:
                clients.kill()
            told = clients.communicate()[0].strip()
            record.line(f"the bad clients were answered: {told or 'they were stopped'}")
    await watch.close()
    return [watch.fault] if watch.fault else []


def start_clients(client: Path, arguments: list[int]) -> subprocess.Popen[str]:
    """Starts the program of the bad clients."""
    command = [sys.executable, str(client), *map(str, arguments)]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
