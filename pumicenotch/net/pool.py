"""The worker pool's protocol: a JSON object a line, bodies in base64."""

import json
from base64 import b64decode, b64encode
from typing import Any

from pumicenotch.net.dial import Put
from pumicenotch.net.link import Frame

LINE_MOST = 64 * 1024  # results have 4 KiB at the most, 6 KiB in base64


def line(msg: str, **fields: Any) -> bytes:
    return json.dumps({"msg": msg, **fields}, separators=(",", ":")).encode() + b"\n"


def text(body: bytes) -> str:
    return b64encode(body).decode()


def string(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is no string")
    return value


FRAMES: dict[str, Frame] = {
    "bind": lambda serial: line("bind", serial=serial),
    "spawn": lambda call, stage, body: line("spawn", call=call, service=stage, blob=text(body)),
    "suspend": lambda call: line("suspend", call=call),
    "proceed": lambda call: line("proceed", call=call),
    "supply": lambda call, body: line("supply", call=call, blob=text(body)),
    "pass": lambda call, serial: line("pass", call=call, serial=serial),
    "poll": lambda cookie: line("poll", cookie=cookie),
}


class Reader:
    def __init__(self, put: Put, _: str) -> None:
        self.put = put
        self.rest = b""  # of a line that has not come whole

    def feed(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\n")
        for each in lines:
            if each.strip():
                self.notice(each)
        if len(self.rest) > LINE_MOST:
            raise ValueError(f"a line of over {LINE_MOST} bytes")

    def notice(self, text: bytes) -> None:
        """Decoded fields go straight into the call. What is no notice is skipped; that its number is missing
        shows by the next.
        """
        try:
            notice = json.loads(text)
            match notice["msg"]:
                case "finished":
                    body = b64decode(notice.get("blob") or "", validate=True)
                    call, how = string(notice["call"]), string(notice["how"])
                    self.put("finished", int(notice["serial"]), call, how, body)
                case "blocked":
                    body = b64decode(notice.get("blob") or "", validate=True)
                    self.put("blocked", int(notice["serial"]), string(notice["call"]), body)
                case "polled":
                    self.put("polled", string(notice["cookie"]), tuple(map(float, notice["stats"])))
                case "bound":
                    self.put("bound", string(notice["how"]), float(notice["duration"]))
                case "unknown":
                    self.put("unknown", str(notice.get("how")), str(notice.get("call")))
                case _:
                    if "serial" in notice:
                        self.put("chatter", int(notice["serial"]))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            what = f"pool: no notice ({type(error).__name__} {error}): {text[:200]!r}"
            self.put("met", "notices_unreadable", what)
