"""The tasks that the program has read, by the names that the protocols use for them."""

import re
from collections.abc import Mapping
from hashlib import blake2b
from itertools import count
from typing import Any

from pumicenotch.errors import InputError
from pumicenotch.interface import Idempotency, RequestClass

MOST_BODY = 2048  # the protocol's bound
MOST_KB = 2000.0  # the protocol's bound
MOST_WORK = 1e9  # the control bounds what it takes, this keeps its sums finite
AHEAD_MS = 1000.0  # that a stamp may lie in the future: clocks of one machine differ by far less
# The protocol's own grammar. Python's float() would take "1_0", " 1", "1e3" or "nan" as well.
NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,9})?", re.ASCII)
FORMS = {
    name: re.compile(form, re.ASCII)
    for name, form in (
        ("rid", "[0-9a-f]{16}"),
        ("t0", "[0-9]{1,15}"),
        ("peer", "[0-9]{1,15}"),
        ("again", "1"),
        ("epoch", "[0-9]{1,15}"),
        ("ask", "1"),
        ("token", "[0-9a-f]{32}"),
        ("obj", "[0-9a-f]{16}"),
        ("acct", ".{1,64}"),
    )
}


class Held:
    """One task and what the carrying of it needs; its decisions stand in the control."""

    stage: RequestClass
    stage_number = tenant = peer = 0
    again = False  # marked as a further try
    epoch: int | None = None  # of a router's map, since when the tenant's nodes are what they are
    asks = False  # this node is asked as a former home
    token = ""  # of a fingerprinted task
    mark = b""  # what must be the same in every try under that token: the stage and the body
    work: float | None = None
    t0 = kb = 0.0
    due = float("inf")  # and when its call in hand went out: told where somebody counts by class
    called_at: float | None = None
    answered = started = halted = False
    heard = 0  # the number of the pool's last notice about it
    asked = b""  # the body of the call that its run waits for
    calls = 0

    def __init__(
        self, ident: int, name: str, conn: int, message: int, stage_name: str, body: bytes
    ) -> None:
        self.id, self.name, self.conn, self.message = ident, name, conn, message
        self.stage_name, self.body = stage_name, body

    def print(self) -> int:
        """A number for the content: two tasks with the same are likely tries of one. Never 0."""
        content = b"%d %d %r " % (self.stage_number, self.tenant, self.work) + self.body
        return int.from_bytes(blake2b(content, digest_size=8).digest()) or 1


class InvalidRequestError(InputError):
    """A well-formed message that is no task; the text names the field."""


def word(fields: Mapping[str, str], name: str, form: re.Pattern[str] | None = None) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not (form or FORMS[name]).fullmatch(value):
        raise InvalidRequestError(name)
    return value


def number(fields: Mapping[str, str], name: str, below: float) -> float:
    value = float(word(fields, name, NUMBER))
    if value >= below:
        raise InvalidRequestError(name)
    return value


class Tasks:
    def __init__(
        self, stages: list[RequestClass], numbers: dict[str, int], tenants: dict[str, int]
    ) -> None:
        self.stages, self.numbers, self.tenants = stages, numbers, tenants
        self.stamped = False  # routers stamp tasks, and this node looks at it
        self.ids = count(1)
        self.by_id: dict[int, Held] = {}
        self.by_name: dict[str, Held] = {}

    def read(
        self,
        conn: int,
        message: int,
        unix: float,
        stage_name: str,
        fields: Mapping[str, str],
        body: Any,
    ) -> Held:
        """The task that such a message brings; a field that is wrong raises InvalidRequestError. Fields that no decision
        reads are checked as well: who gets them wrong is no gateway, and its other fields mean nothing.
        """
        if stage_name not in self.numbers:
            raise InvalidRequestError("stage")
        if not isinstance(body, bytes) or len(body) > MOST_BODY:
            raise InvalidRequestError("body")
        held = Held(next(self.ids), word(fields, "rid"), conn, message, stage_name, body)
        if held.name in self.by_name:
            raise InvalidRequestError("rid")
        held.stage_number = self.numbers[stage_name]
        held.stage = self.stages[held.stage_number]
        held.t0 = float(word(fields, "t0"))
        if held.t0 > unix + AHEAD_MS:
            raise InvalidRequestError("t0")
        held.kb = number(fields, "mem", MOST_KB)
        if held.kb <= 0.0:
            raise InvalidRequestError("mem")
        held.work = number(fields, "est", MOST_WORK) if "est" in fields else None
        number(fields, "prio", 1.0)
        held.peer = int(word(fields, "peer"))
        held.again = "again" in fields and word(fields, "again") == "1"
        if "obj" in fields:
            word(fields, "obj")
        if self.stamped and "epoch" in fields:
            held.epoch = int(word(fields, "epoch"))
            held.asks = "ask" in fields and word(fields, "ask") == "1"
        if self.tenants:
            account = word(fields, "acct")
            if account not in self.tenants:
                raise InvalidRequestError("acct")
            held.tenant = self.tenants[account]
        if held.stage.idempotency is Idempotency.KEYED:
            held.token = word(fields, "token")
            held.mark = blake2b(b"%d " % held.stage_number + body, digest_size=16).digest()
            if "obj" in fields:
                raise InvalidRequestError("obj")
        elif "token" in fields:
            raise InvalidRequestError("token")
        return held

    def add(self, held: Held) -> None:
        self.by_id[held.id] = self.by_name[held.name] = held

    @property
    def open(self) -> int:
        """Those that are still owed an answer."""
        return sum(not held.answered for held in self.by_id.values())

    def remove(self, held: Held) -> None:
        self.by_id.pop(held.id, None)
        self.by_name.pop(held.name, None)
