"""The node's side: whether a fingerprinted task that reaches it may run there.

A router stamps each task with the epoch since when its tenant's nodes are what they are, and with what it
takes this node for: the fingerprint's home, or a former home that is asked first. A node runs nothing new
under an epoch older than the newest that it has seen of the tenant. So a node that is asked, and does not
know the fingerprint, swears it off: the asker's epoch is the newest now, whatever was sent under older maps
is refused however late it comes, and under the asker's own epoch the fingerprint has another home. The
newest epoch is known from stamps, and after a restart from the node's own file of the map, which holds an
epoch before any router goes by it.
"""

from enum import Enum, auto

from pumicenotch.cells.map import CellMap


class Role(Enum):
    HOME = auto()
    ASK = auto()


class Verdict(Enum):
    SERVE = auto()  # it knows the fingerprint: answered from its memory, or with the first try
    RUN = auto()
    CLEAR = auto()  # unrun here, and never to be run here under this epoch or an older one
    OLD_MAP = auto()  # unrun: it has seen a newer epoch of that tenant
    NO_WORD = auto()  # it cannot tell whether it ran: it has not been up for a window


WORDS = {
    Verdict.CLEAR: "clear",
    Verdict.OLD_MAP: "old",
    Verdict.NO_WORD: "no-word",
}  # as the wire has them


class Fence:
    """One node's. `started` and all times in Unix ms."""

    # tenants remembered from stamps; then the oldest raises the floor for all: refuses more, never less
    MOST = 65536

    def __init__(self, started: float, window_ms: float, cells: CellMap | None = None) -> None:
        self.started, self.window_ms, self.cells = started, window_ms, cells
        self.floor = 0
        self.epochs: dict[str, int] = {}

    def map(self, cells: CellMap) -> None:
        """A newer map stands in its own file."""
        self.cells = cells

    def newest(self, tenant: str) -> int:
        told = self.cells.stamp(tenant) if self.cells is not None else 0
        return max(self.floor, told, self.epochs.get(tenant, 0))

    def judge(self, now: float, tenant: str, epoch: int, role: Role, known: bool) -> Verdict:
        """`known` is whether the fingerprint is held in memory: then nothing else matters."""
        if known:
            return Verdict.SERVE
        newest = self.newest(tenant)
        if epoch < newest:
            return Verdict.OLD_MAP
        if epoch > newest:
            self.note(tenant, epoch)
        if role is Role.HOME:
            return Verdict.RUN
        # What ran here before its start is not in its memory: for a window it has no word to give.
        return Verdict.CLEAR if now - self.started >= self.window_ms else Verdict.NO_WORD

    def word(self, now: float, tenant: str, epoch: int, asks: bool, known: bool) -> str:
        """The same for the wire: nothing where the node goes on with the task, else why it does not."""
        return WORDS.get(self.judge(now, tenant, epoch, Role.ASK if asks else Role.HOME, known), "")

    def admits(self, node: str, tenant: str, epoch: int | None) -> bool:
        """Whether a task that has no fingerprint may run on this node of that name. A stamp newer than this
        node's map is believed: the router knows more. One as old or older is not, nor a caller that brings
        none.
        """
        if self.cells is None or self.cells.serves(node, tenant):
            return True
        return epoch is not None and epoch > self.newest(tenant)

    def note(self, tenant: str, epoch: int) -> None:
        if tenant not in self.epochs and len(self.epochs) >= self.MOST:
            self.floor = max(self.floor, self.epochs.pop(next(iter(self.epochs))))
        self.epochs[tenant] = epoch
