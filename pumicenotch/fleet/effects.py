"""What the processes of a fleet ask of their carrier. An address is HOST:PORT of a listener among
instances."""

from typing import Any, NamedTuple


class Post(NamedTuple):
    """Told once, without an answer; lost with its connection."""

    address: str
    method: str
    params: tuple[Any, ...]


class Ask(NamedTuple):
    """A request that wants an answer: the input `answered`, or none at all, as on a cut link."""

    address: str
    number: int
    verb: str
    args: tuple[Any, ...]


class Reply(NamedTuple):
    """To a request on a connection: an error (code, text, more), or a result."""

    conn: int
    message: int
    error: tuple[str, str, Any] | None
    result: Any = None


class Leave(NamedTuple):
    """The permit is agreed and begun: this process is to drain and end, as at its platform's wish."""

    why: str


class Log(NamedTuple):
    text: str


class Wake(NamedTuple):
    at: float


class Exit(NamedTuple):
    pass


Effect = Post | Ask | Reply | Leave | Log | Wake | Exit
