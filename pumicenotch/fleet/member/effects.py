"""What the processes of a fleet ask of their carrier.

An address is the HOST:PORT of a listener for other instances.
"""

from typing import Any, NamedTuple

from pumicenotch.membership.messages import Update


class SendNotification(NamedTuple):
    """A message without an answer; it is lost with its connection."""

    address: str
    method: str
    params: tuple[Any, ...]


class SendRequest(NamedTuple):
    """A request: its answer is the input `answered`; on a broken connection there is none."""

    address: str
    request_number: int
    verb: str
    args: tuple[Any, ...]


class RequestError(NamedTuple):
    """Why a request has no result."""

    code: str
    text: str
    detail: Any = None  # where another voter leads its address; else the code of a refusal


class SendResponse(NamedTuple):
    """The answer to a request on a connection: an error, or a result."""

    connection_id: int
    message_id: int
    error: RequestError | None
    result: Any = None


class StartDraining(NamedTuple):
    """The permit is agreed and in use: this process is to drain and exit."""

    reason: str


class MemberChanged(NamedTuple):
    """The membership has another opinion of that process than before."""

    update: Update


class Log(NamedTuple):
    """A line for the process's log."""

    text: str


class WakeAt(NamedTuple):
    """The next input `time` is due then, if no other input comes before."""

    at_ms: float


class Exit(NamedTuple):
    """This process is to exit now."""


# Of an agent, beside its server


class FetchVersion(NamedTuple):
    """Store that version on the disk and check it: the input `held`."""

    version: str


class ActivateVersion(NamedTuple):
    """Put that version in the slot for good: the input `swapped`."""

    slot: str
    version: str


class StartServer(NamedTuple):
    """Start the server from the versions in the slots."""


class StopServer(NamedTuple):
    """Stop the server: by SIGTERM, or by SIGKILL if forced."""

    force: bool


class ReloadServer(NamedTuple):
    """Have the server read its files again."""


class RestartAgent(NamedTuple):
    """This process continues as the version in its own slot."""


class ConfirmVersions(NamedTuple):
    """The versions in these slots work: they are the ones to fall back to."""

    slots: tuple[str, ...]


Effect = (
    SendNotification
    | SendRequest
    | SendResponse
    | StartDraining
    | MemberChanged
    | Log
    | WakeAt
    | Exit
    | FetchVersion
    | ActivateVersion
    | StartServer
    | StopServer
    | ReloadServer
    | RestartAgent
    | ConfirmVersions
)
