"""Where the parts of a node put what they ask of the carrier in one step."""

from pumicenotch.distribution.effects import Effect, InForce, Log, SendTo
from pumicenotch.distribution.protocol.messages import Message


class Outbox:
    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def send(self, address: str, message: Message) -> None:
        self._effects.append(SendTo(address, message))

    def log(self, text: str) -> None:
        self._effects.append(Log(text))

    def in_force(self, version: int) -> None:
        self._effects.append(InForce(version))

    def take(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects
