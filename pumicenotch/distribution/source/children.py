"""What a source knows of those that it serves."""

from dataclasses import dataclass

from pumicenotch.distribution.data.changelog import Page
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.events import Sender
from pumicenotch.distribution.protocol.messages import Delta, Subscribe
from pumicenotch.distribution.protocol.reports import EMPTY, Report
from pumicenotch.distribution.settings import Settings


@dataclass(slots=True)
class Child:
    """One replica that has subscribed here."""

    name: str
    life: str
    address: str
    generation: int
    subscription: Subscription
    primary: bool
    version: int  # in force there, as it acknowledged
    pushed: int  # version that it will have once all that was sent has arrived
    heard_at: float
    announced: int  # version
    announced_at: float
    report: Report = EMPTY

    @classmethod
    def of(cls, now_ms: float, sender: Sender, message: Subscribe) -> "Child":
        return cls(
            name=sender.name,
            life=sender.process_id,
            address=sender.address,
            generation=message.generation,
            subscription=message.subscription,
            primary=message.primary,
            version=message.version,
            pushed=message.version,
            heard_at=now_ms,
            announced=0,
            announced_at=now_ms,
        )

    def acknowledged(self, version: int) -> None:
        self.version = version
        self.pushed = max(self.pushed, version)

    def announce_due(self, version: int, settings: Settings) -> float:
        """When it is to be told of that version."""
        wait = settings.announce_ms if self.announced == version else settings.announce_least_ms
        return self.announced_at + wait

    def delta(self, request: int, age_ms: int, page: Page) -> Delta:
        """A page as it is sent to this child."""
        return Delta(
            request,
            self.generation,
            page.previous,
            page.version,
            age_ms,
            page.start,
            page.end,
            page.done,
            page.changes,
            page.digests,
        )


def page_bytes(page: Page | Delta) -> int:
    """About its size on the wire."""
    return sum(change.size for change in page.changes) + 32 * len(page.digests) + 64
