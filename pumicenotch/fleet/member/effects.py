"""The effects of the fleet's reducers, which their runtime carries out.

An address is the HOST:PORT of a listener for other instances.
"""

from typing import Any, NamedTuple

from pumicenotch.membership.messages import Update


class SendNotification(NamedTuple):
    """Sends a message without an answer. The message is lost if its connection breaks."""

    address: str
    method: str
    params: tuple[Any, ...]


class SendRequest(NamedTuple):
    """Sends a request, whose answer is the input `answered`.

    There is no answer if the connection breaks.
    """

    address: str
    request_number: int
    verb: str
    args: tuple[Any, ...]


class RequestError(NamedTuple):
    """The reason why a request has no result."""

    code: str
    text: str
    detail: Any = None  # the leader's address if another voter leads; otherwise a refusal's code


class SendResponse(NamedTuple):
    """Answers a request on a connection with an error or a result."""

    connection_id: int
    message_id: int
    error: RequestError | None
    result: Any = None


class StartDraining(NamedTuple):
    """Drains and exits this process. Its permit is agreed and in use."""

    reason: str


class MemberChanged(NamedTuple):
    """Announces that the membership's view of a process has changed."""

    update: Update


class Log(NamedTuple):
    """Writes a line to the process's log."""

    text: str


class WakeAt(NamedTuple):
    """Requests the next input `time` at the given time, unless another input comes before."""

    at_ms: float


class Exit(NamedTuple):
    """Exits this process now."""


# Effects of agents


class FetchVersion(NamedTuple):
    """Stores and checks a version on the disk. The result is the input `held`."""

    version: str


class CheckVersion(NamedTuple):
    """Compares a stored version with its hash. The result is the input `checked`."""

    version: str


class ActivateVersion(NamedTuple):
    """Puts a version in its slot permanently. The result is the input `swapped` or `expired`.

    The carrier compares its own clock with `expires_at_ms` right before it replaces the previous
    version.
    """

    slot: str
    version: str
    expires_at_ms: float  # of the fleet's permission


class StartServer(NamedTuple):
    """Starts the server with the versions in the slots."""


class StopServer(NamedTuple):
    """Stops the server by SIGTERM, or by SIGKILL if forced."""

    force: bool


class ReloadServer(NamedTuple):
    """Makes the server reload its files."""


class RestartAgent(NamedTuple):
    """Replaces this process with the agent version in its own slot."""


class ConfirmVersions(NamedTuple):
    """Records that the versions in these slots work, so that they serve as the fallback."""

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
    | CheckVersion
    | ActivateVersion
    | StartServer
    | StopServer
    | ReloadServer
    | RestartAgent
    | ConfirmVersions
)
