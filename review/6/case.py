# ruff: noqa: D102, D103
"""New configurations under load: does each call of a run get the reply to that call?"""

import asyncio
import json
import os
import random
import signal
import sys
from base64 import b64decode, b64encode
from pathlib import Path
from typing import Any

HERE_FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE_FOLDER.parent / "parties-2"))

from parties import (  # noqa: E402
    HERE,
    Case,
    Gateway,
    Platform,
    Request,
    Run,
    main,
    new_request,
    settings,
)

# Classes of heredia-remesas; `rate-quote` and `send-transfer` make 1 to 2 calls on average.
CLASSES = {
    "rate-quote": (3800, 13000, "repeatable", 5000, 1.0),
    "payout-status": (3000, 10000, "repeatable", 5000, 2.0),
    "recipient-check": (3000, 10000, "repeatable", 5000, 2.0),
    "send-transfer": (3800, 13000, "by_key", 37974, 5.0),
}
AGENCIES = ("envios-pacifico", "giros-la-sabana", "remesas-guanacaste", "casa-cambio-limon")
# Of the site: running work can't be stopped, all servers share the ledger database.
FAMILY = {"halt": "off", "signal": "min_rank", "below": "common", "call-share": 24.0}
RATE = 170  # requests a second; a server gets up to 190 first tries a second
LENGTH_S, RELOAD_EVERY_S = 65, 3.0
OLD_CLOSES_S = 1.5  # after SIGHUP, of open connections to the old addresses
CALLS = 2  # of a run: "1 to 2 times on average"
# Time on a core before the first call and after the last, and between both: 30 ms in the mean, so
# that six cores are busy for 85%.
EDGE_MS, BETWEEN_MS = (2.0, 4.0), (8.0, 40.0)
PIECES, PIECE_MS = 0.5, 8.0  # part of the notices that arrive in two pieces; time between both


class TwoCallPool(Platform):
    """Runs make two calls, whose bodies name request and call; replies repeat the call's body."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.random = random.Random(69)
        self.db_ms = 4.0
        self.faults: list[str] = []
        self.calls: dict[str, bytes] = {}  # the call that each run waits for
        self.supplied = 0
        self.held: dict[asyncio.StreamWriter, list[bytes]] = {}  # behind a piece, by link

    def write(self, message: dict[str, Any]) -> None:
        """Some notices arrive in pieces; whatever follows on the link comes after the last."""
        link = self.link
        if link is None or link.is_closing():
            return
        data = json.dumps(message).encode() + b"\n"
        if link in self.held:
            self.held[link].append(data)
        elif "serial" in message and self.random.random() < PIECES:
            half = len(data) // 2
            link.write(data[:half])
            self.held[link] = [data[half:]]
            loop = asyncio.get_running_loop()
            loop.call_later(PIECE_MS / 1000.0, self.write_rest, link)
        else:
            link.write(data)

    def write_rest(self, link: asyncio.StreamWriter) -> None:
        data = b"".join(self.held.pop(link))
        if not link.is_closing():
            link.write(data)

    async def run(self, run: Run) -> None:
        for call in range(CALLS):
            await self.stretch(BETWEEN_MS if call else EDGE_MS)
            run.waits = asyncio.get_running_loop().create_future()
            self.calls[run.name] = b"%s call %d" % (run.name.encode(), call + 1)
            blob = b64encode(self.calls[run.name]).decode()
            run.call_serial = self.notice(msg="blocked", call=run.name, blob=blob)
            reply = await run.waits
            run.waits = None
            if reply is not None:
                self.check(run, reply)
        await self.stretch(EDGE_MS)
        blob = b64encode(b"result of " + run.name.encode()).decode()
        self.finish(run, "fine", blob=blob)

    async def stretch(self, bounds_ms: tuple[float, float]) -> None:
        await asyncio.sleep(self.random.uniform(*bounds_ms) / 1000.0)

    def check(self, run: Run, reply: bytes) -> None:
        self.supplied += 1
        wanted = b"reply to " + self.calls[run.name]
        if reply != wanted:
            self.faults.append(
                f"the run of {run.name} waits for {wanted.decode()!r}"
                f" and was given {reply.decode()!r}"
            )
            self.record.line(f"n1 FOREIGN {self.faults[-1]}")

    def command(self, command: dict[str, Any]) -> None:
        if command["msg"] == "supply":
            text = b64decode(command["blob"]).decode()
            run = self.runs.get(command["call"])
            state = "waits" if run is not None and run.waits is not None else "does not wait"
            self.record.line(f"n1 supply {command['call']} {text!r}; the run {state}")
        super().command(command)

    async def serve_db(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                kind, name, *rest = line.split()
                if kind == b"Q":
                    body = (await reader.readexactly(int(rest[1]) + 2))[:-2]
                    await asyncio.sleep(self.db_ms * self.random.uniform(0.5, 1.5) / 1000.0)
                    reply = b"reply to " + body
                    writer.write(b"%b ROWS %d\r\n%b\r\n" % (name, len(reply), reply))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()


async def move(platform: Platform, path: Path) -> dict[str, str]:
    """New addresses below; the old ones accept nothing new, and end open connections later."""
    old_listeners, platform.servers = platform.servers, []
    addresses = await platform.open()
    write_addresses(path, addresses)
    for listener in old_listeners:
        listener.close()
    return addresses


def write_addresses(path: Path, addresses: dict[str, str]) -> None:
    document = json.loads(path.read_text())
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps(document | addresses))
    temporary.replace(path)


def close_old_link(platform: Platform, link: asyncio.StreamWriter | None) -> None:
    if link is not None:
        link.close()


async def play(case: Case) -> list[str]:
    record = case.record
    platform = TwoCallPool(record)
    told = settings(classes=CLASSES, tenants=AGENCIES, **FAMILY)
    told["family-info"]["class-skip-worth"] = [0.0] * len(CLASSES)
    told["rules"]["fall-multiple"] = 6.0
    path, port = case.configure("n1", await platform.open(), settings=told)
    server = case.start_server(path, "n1")
    await case.ready(port)
    gateways = [await Gateway([platform], record, f"g{n}").connect((HERE, port)) for n in range(4)]
    loop = asyncio.get_running_loop()
    requests: list[Request] = []
    began = loop.time()
    reload_at, reloads = began + 2.0, 0
    while loop.time() - began < LENGTH_S:
        while len(requests) < (loop.time() - began) * RATE:
            gateway = gateways[len(requests) % len(gateways)]
            if len(gateway.open) >= 32:
                break
            name = "send-transfer" if len(requests) % 5 == 0 else "rate-quote"
            token = os.urandom(16).hex() if name == "send-transfer" else ""
            tenant = AGENCIES[len(requests) % len(AGENCIES)]
            requests.append(gateway.send(new_request(name, token=token, tenant=tenant)))
        await asyncio.sleep(0.003)
        if case.trouble and loop.time() >= reload_at and loop.time() - began < LENGTH_S - 5:
            reload_at, reloads = loop.time() + RELOAD_EVERY_S, reloads + 1
            addresses = await move(platform, path)
            record.line(f"SIGHUP {reloads}: {addresses}")
            server.signal(signal.SIGHUP)
            loop.call_later(OLD_CLOSES_S, close_old_link, platform, platform.link)
        if not server.running:
            return [f"the server ended by itself with status {server.popen.returncode}"]
    await asyncio.sleep(1.0)
    kinds = [r.answer.result()[0] if r.answer.done() else "none" for r in requests]
    counts = {kind: kinds.count(kind) for kind in sorted(set(kinds))}
    record.line(f"{reloads} reloads, {platform.supplied} replies given to runs; answers: {counts}")
    print(f"{reloads} reloads, {platform.supplied} replies, {len(platform.faults)} foreign")
    server.signal(signal.SIGTERM)
    return platform.faults


main(str(HERE_FOLDER), play)
