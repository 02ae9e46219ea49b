"""Encodes and decodes the worker pool's protocol: one JSON object per line, bodies in base64."""

import json
from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any

from pumicenotch.interface import Outcome
from pumicenotch.net.dialer import Deliver, DialedProtocol
from pumicenotch.net.outbox import Encoders
from pumicenotch.server.events import (
    CommandUnknown,
    GaugesReported,
    NoticeSkipped,
    PoolBound,
    ProblemFound,
    RunBlocked,
    RunFinished,
)
from pumicenotch.server.messages import (
    BindPool,
    PollPool,
    ResumeRun,
    SkipDependency,
    StartRun,
    SupplyReply,
    SuspendRun,
)

JsonObject = dict[str, Any]
MAX_LINE_BYTES = 64 * 1024  # A result has at most 4 KiB, which are 6 KiB in base64.
MAX_LOGGED_BYTES = 200
# Outcome of a run by the pool's name for it.
RUN_OUTCOMES = {
    "fine": Outcome.OK,
    "fault": Outcome.ERROR,
    "broken_off": Outcome.CANCELLED,
    "late": Outcome.NOT_STARTED,
}


def encode_line(kind: str, **fields: Any) -> bytes:
    """Encodes a message of the given kind as one line."""
    return json.dumps({"msg": kind, **fields}, separators=(",", ":")).encode() + b"\n"


def to_base64(body: bytes) -> str:
    """Encodes a body as base64 text."""
    return b64encode(body).decode()


def encode_start(message: StartRun) -> bytes:
    """Encodes the command that starts a run."""
    body = to_base64(message.body)
    return encode_line("spawn", call=message.name, service=message.class_name, blob=body)


def encode_supply(message: SupplyReply) -> bytes:
    """Encodes the command that passes a dependency's reply to a run."""
    return encode_line("supply", call=message.name, blob=to_base64(message.reply))


ENCODERS: Encoders = {
    BindPool: lambda message: encode_line("bind", serial=message.last_serial),
    PollPool: lambda message: encode_line("poll", cookie=message.cookie),
    StartRun: encode_start,
    SuspendRun: lambda message: encode_line("suspend", call=message.name),
    ResumeRun: lambda message: encode_line("proceed", call=message.name),
    SupplyReply: encode_supply,
    SkipDependency: lambda message: encode_line("pass", call=message.name, serial=message.serial),
}


def require_text(value: Any) -> str:
    """Returns the value; raises TypeError if it is not a string."""
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value


def decode_body(notice: JsonObject) -> bytes:
    """Returns a notice's body, b"" if it has none; raises ValueError for invalid base64."""
    return b64decode(notice.get("blob") or "", validate=True)


def decode_finished(notice: JsonObject) -> RunFinished:
    """Decodes the notice that a run has ended."""
    body = decode_body(notice)
    name = require_text(notice["call"])
    outcome = RUN_OUTCOMES.get(require_text(notice["how"]))
    return RunFinished(int(notice["serial"]), name, outcome, body)


def decode_blocked(notice: JsonObject) -> RunBlocked:
    """Decodes the notice that a run waits for its dependency."""
    body = decode_body(notice)
    return RunBlocked(int(notice["serial"]), require_text(notice["call"]), body)


def decode_polled(notice: JsonObject) -> GaugesReported:
    """Decodes the answer to a poll."""
    return GaugesReported(require_text(notice["cookie"]), tuple(map(float, notice["stats"])))


def decode_bound(notice: JsonObject) -> PoolBound:
    """Decodes the answer to the bind command, which is the first on a connection."""
    return PoolBound(require_text(notice["how"]) == "starting", float(notice["duration"]))


def decode_unknown(notice: JsonObject) -> CommandUnknown:
    """Decodes the answer to a command about a run that the pool does not know."""
    command = str(notice.get("how"))
    return CommandUnknown(command, str(notice.get("call")), command == "spawn")


DECODERS: dict[str, Callable[[JsonObject], object]] = {
    "finished": decode_finished,
    "blocked": decode_blocked,
    "polled": decode_polled,
    "bound": decode_bound,
    "unknown": decode_unknown,
}


class PoolReader:
    """Decodes the pool's lines into events.

    Args:
        deliver: Receives the events.
    """

    def __init__(self, deliver: Deliver, _: str) -> None:
        self.deliver = deliver
        self.incomplete = b""  # Bytes of a line whose end has not been received.

    def feed(self, data: bytes) -> bool:
        """Decodes received bytes; raises ValueError for a line over `MAX_LINE_BYTES`."""
        *lines, self.incomplete = (self.incomplete + data).split(b"\n")
        for line in lines:
            if line.strip():
                self._read_line(line)
        if len(self.incomplete) > MAX_LINE_BYTES:
            raise ValueError(f"line exceeds the limit of {MAX_LINE_BYTES} bytes")
        return False

    def _read_line(self, line: bytes) -> None:
        """Delivers one notice.

        An unreadable line is counted and skipped. The serial of the next notice reveals the gap.
        """
        try:
            notice = json.loads(line)
            kind = notice["msg"]
            decode = DECODERS.get(kind) if isinstance(kind, str) else None
            if decode is not None:
                self.deliver(decode(notice))
            elif "serial" in notice:
                self.deliver(NoticeSkipped(int(notice["serial"])))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            reason = f"{type(error).__name__} {error}"
            text = f"pool: unreadable notice ({reason}): {line[:MAX_LOGGED_BYTES]!r}"
            self.deliver(ProblemFound("notices_unreadable", text))


def protocol(max_unread_bytes: int) -> DialedProtocol:
    """Returns the pool's protocol with the given limit on unread bytes."""
    return DialedProtocol(ENCODERS, PoolReader, max_unread_bytes)
