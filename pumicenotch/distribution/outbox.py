"""Where the parts of a reducer put the effects of one step."""

from pumicenotch.distribution.effects import Effect, InForce, Log, SendTo
from pumicenotch.distribution.protocol.messages import Message


class Outbox:
    """The effects of one step, in order."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def send(self, address: str, message: Message) -> None:
        """Send a message."""
        self._effects.append(SendTo(address, message))

    def log(self, text: str) -> None:
        """Write a line to the log."""
        self._effects.append(Log(text))

    def in_force(self, version: int) -> None:
        """Announce that another view is in force."""
        self._effects.append(InForce(version))

    def take(self) -> list[Effect]:
        """Return all effects, and start with none again."""
        effects = self._effects
        self._effects = []
        return effects
