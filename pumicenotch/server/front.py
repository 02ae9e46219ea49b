"""What every reducer has that gateways connect to: inputs in, effects out, connections, and one answer a
task.
"""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, ClassVar

from pumicenotch.server.callers import Callers
from pumicenotch.server.counters import Counters
from pumicenotch.server.effects import Effect, Log, Write
from pumicenotch.server.seen import Seen
from pumicenotch.server.tasks import Held, InvalidRequestError, Tasks


class Front(ABC):
    inputs: ClassVar[Mapping[str, Callable[..., None]]] = {}
    hint: float | None = None  # what goes with every answer
    seen: Seen | None = None  # counts by class, where somebody asks for them

    def __init__(self, tasks: Tasks, many: int, most: int) -> None:
        self.effects: list[Effect] = []
        self.later: deque[Callable[[], None]] = (
            deque()
        )  # ends that come while another is on its way
        self.counters, self.tasks = Counters(), tasks
        self.callers = Callers(self.effects, self.counters, many, most)
        self.now = 0.0

    def step(self, now: float, name: str, *details: Any) -> list[Effect]:
        """One input at a time; time never goes back."""
        self.now = max(self.now, now)
        self.inputs[name](self, *details)
        while self.later:
            self.later.popleft()()
        return self.asked_for()

    def fault(self) -> list[Effect]:
        """An input failed with an exception: what had been asked for until then still goes out."""
        self.counters.add("faults")
        self.later.clear()
        return self.asked_for()

    def asked_for(self) -> list[Effect]:
        effects = self.effects[:]
        self.effects.clear()
        return effects

    def met(self, trouble: str, text: str = "") -> None:
        """Counts a trouble. The first, tenth and so on of a kind is logged: a log may be read slowly."""
        self.counters.add(trouble)
        found = str(self.counters.counts[trouble])
        if text and found.rstrip("0") == "1":
            self.effects.append(Log(f"{text} ({trouble}={found})"))

    # Connections

    def condemn(self, conn: int, trouble: str, text: str) -> None:
        """What it sends cannot be told apart any more, so nothing that it has open is answered as served: a
        gateway keeps to the protocol. All is answered failed at once, and the connection closed. Guards
        against what is no gateway; harms the open tasks of one that errs once.
        """
        connection = self.callers.connections.get(conn)
        if connection is None:
            return
        self.met(trouble, f"connection {conn}: {text}")
        for held in list(connection.open.values()):
            self.answer(held, "failed")
            self.let_go(held)
        self.callers.close(conn)

    def eof(self, conn: int) -> None:
        connection = self.callers.connections.get(conn)
        if connection is not None:
            connection.ended = True
            self.callers.read_out(conn)  # nothing more comes
            self.callers.close_if_over(conn)

    def read_out(self, conn: int) -> None:
        """All that has come on it is read: the answer to ReadOut."""
        self.callers.read_out(conn)

    def scarce(self) -> None:
        """Descriptors have run out."""
        self.callers.scarce(self.now)

    def reset(self, conn: int) -> None:
        """The connection is gone, and with it whoever waited for answers on it."""
        connection = self.callers.gone(conn)
        if connection is not None:
            self.counters.add("connections_reset")
            for held in list(connection.open.values()):
                self.gone(held)

    # Tasks

    def received(self, conn: int, message: int) -> bool:
        """Whether a task of that number may come on that connection, by what came before."""
        connection = self.callers.connections.get(conn)
        if connection is None:
            self.counters.add(
                "tasks_crossed"
            )  # on its way while the connection was closed: sent again
            return False
        if not self.callers.heard(self.now, conn, message):
            self.condemn(
                conn, "connections_misnumbered", f"message {message} after {connection.last}"
            )
            return False
        if len(connection.open) >= self.callers.MOST_OPEN:
            self.condemn(
                conn, "connections_overfull", f"over {self.callers.MOST_OPEN} tasks are open"
            )
            return False
        self.counters.add("tasks")
        return True

    def malformed(self, conn: int, message: int, error: InvalidRequestError) -> None:
        self.met("malformed", f"malformed task: {error}")
        self.count_answer("failed")
        self.effects.append(Write(conn, ("failed", message, self.hint)))
        self.callers.close_if_over(conn)

    def cancel(self, conn: int, message: int) -> None:
        connection = self.callers.connections.get(conn)
        held = connection.open.get(message) if connection is not None else None
        if held is None:
            self.counters.add("cancels_late")
        else:
            self.counters.add("cancels")
            self.gone(held)
            self.callers.close_if_over(conn)

    def gone(self, held: Held) -> None:
        """No answer is owed any more."""
        self.count_answer("gone")
        held.answered = True
        self.callers.settle(self.now, held)
        self.let_go(held)

    @abstractmethod
    def let_go(self, held: Held) -> None:
        """Nobody waits for it."""

    def answer(self, held: Held, outcome: str, *rest: Any) -> None:
        """The one answer, on the connection that the task came by."""
        if held.answered:
            return
        held.answered = True
        self.count_answer(outcome)
        if self.seen is not None:
            self.seen.answered(self.now, held, outcome)
        if self.callers.settle(self.now, held):
            self.effects.append(Write(held.conn, (outcome, held.message, self.hint, *rest)))
            self.callers.close_if_over(held.conn)

    def count_answer(self, outcome: str) -> None:
        self.counters.add(f"answered_{outcome}")
