"""What a source knows of the replicas that it serves."""

from dataclasses import dataclass

from pumicenotch.distribution.data.changelog import Page
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.events import Sender
from pumicenotch.distribution.protocol.messages import Delta, Subscribe
from pumicenotch.distribution.protocol.reports import EMPTY, Report
from pumicenotch.distribution.settings import Settings

# Approximate sizes on the wire.
DIGEST_BYTES = 32
PAGE_OVERHEAD_BYTES = 64


@dataclass(slots=True)
class Child:
    """One replica that has subscribed here.

    Attributes:
        name, process_id, address: of its process.
        generation: numbers its subscriptions.
        subscription: the scopes that it needs.
        primary: whether it wants pushes.
        version: in force there, as it acknowledged.
        pushed_version: the version that it has once everything sent has arrived.
        last_message_at: when it was last heard from.
        announced_version, announced_at: the last announcement.
        report: its last report.
    """

    name: str
    process_id: str
    address: str
    generation: int
    subscription: Subscription
    primary: bool
    version: int
    pushed_version: int
    last_message_at: float
    announced_version: int
    announced_at: float
    report: Report = EMPTY

    @classmethod
    def of(cls, now_ms: float, sender: Sender, message: Subscribe) -> "Child":
        """Return the child that subscribes by this message."""
        return cls(
            name=sender.name,
            process_id=sender.process_id,
            address=sender.address,
            generation=message.generation,
            subscription=message.subscription,
            primary=message.primary,
            version=message.version,
            pushed_version=message.version,
            last_message_at=now_ms,
            announced_version=0,
            announced_at=now_ms,
        )

    def acknowledged(self, version: int) -> None:
        """Note the version that is in force at the child."""
        self.version = version
        self.pushed_version = max(self.pushed_version, version)

    def next_announcement_at(self, version: int, settings: Settings) -> float:
        """Return when that version is to be announced to it."""
        wait = (
            settings.announce_ms if self.announced_version == version else settings.min_announce_ms
        )
        return self.announced_at + wait

    def delta(self, request: int, age_ms: int, page: Page) -> Delta:
        """Return a page as it is sent to this child."""
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
    """Return its approximate size on the wire."""
    changes_bytes = sum(change.size for change in page.changes)
    return changes_bytes + DIGEST_BYTES * len(page.digests) + PAGE_OVERHEAD_BYTES
