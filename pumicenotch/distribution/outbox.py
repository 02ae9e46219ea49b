"""Collects the effects of one step of a reducer."""

from pumicenotch.distribution.effects import Effect, InForce, Log, SendTo
from pumicenotch.distribution.protocol.messages import Message


class Outbox:
    """The effects of one step, in order."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def send(self, address: str, message: Message) -> None:
        """Adds the effect that sends a message."""
        self._effects.append(SendTo(address, message))

    def log(self, text: str) -> None:
        """Adds the effect that writes a line to the log."""
        self._effects.append(Log(text))

    def in_force(self, version: int) -> None:
        """Adds the effect that announces the version in force."""
        self._effects.append(InForce(version))

    def take(self) -> list[Effect]:
        """Returns all effects, and empties the outbox."""
        effects = self._effects
        self._effects = []
        return effects
