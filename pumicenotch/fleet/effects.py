"""What the processes of a fleet ask of their carrier. An address is HOST:PORT of a listener among
instances.
"""

from typing import Any, NamedTuple

from pumicenotch.membership.messages import Update


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


class MemberChanged(NamedTuple):
    """Membership has another opinion of that process than before."""

    update: Update


class Log(NamedTuple):
    text: str


class Wake(NamedTuple):
    at: float


class Exit(NamedTuple):
    pass


# Of an agent, beside its server


class Hold(NamedTuple):
    """Fetch that version and check it: the input `held`."""

    version: str


class Swap(NamedTuple):
    """Put that version in the slot, to stay there: the input `swapped`."""

    slot: str
    version: str


class Start(NamedTuple):
    """Start the server, of what stands in the slots."""


class End(NamedTuple):
    """End the server: asked to, or by force."""

    force: bool


class Reread(NamedTuple):
    """Have the server read its files again."""


class Anew(NamedTuple):
    """This process goes on as the version that stands in its own slot."""


class Proven(NamedTuple):
    """What stands in those slots works: it is the last good one."""

    slots: tuple[str, ...]


Effect = (
    Hold
    | Swap
    | Start
    | End
    | Reread
    | Anew
    | Proven
    | Post
    | Ask
    | Reply
    | Leave
    | MemberChanged
    | Log
    | Wake
    | Exit
)
