"""The state that a source keeps for each replica that it serves."""

from dataclasses import dataclass

from pumicenotch.distribution.data.changelog import Page
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.events import Sender
from pumicenotch.distribution.protocol.messages import Delta, Subscribe
from pumicenotch.distribution.protocol.reports import EMPTY, Report
from pumicenotch.distribution.settings import Settings

# Approximate sizes on the wire of a digest, and of a page without its changes and digests.
DIGEST_BYTES = 32
PAGE_OVERHEAD_BYTES = 64


@dataclass(slots=True)
class Child:
    """A replica that has subscribed to this source.

    Attributes:
        name: the name of its instance.
        process_id: the identifier of its process.
        address: the address of its process.
        generation: identifies its current subscription.
        subscription: the scopes that it needs.
        primary: whether this is its primary source, which pushes deltas to it.
        version: the version in force at the child, as last acknowledged.
        pushed_version: the version that the child has once all messages to it have arrived.
        last_message_at: time of its last message, in milliseconds.
        announced_version: the last version that was announced or pushed to it.
        announced_at: time of the last announcement or push, in milliseconds.
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
        """Returns the child that a Subscribe message creates."""
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
        """Records the version that the child has acknowledged."""
        self.version = version
        self.pushed_version = max(self.pushed_version, version)

    def next_announcement_at(self, version: int, settings: Settings) -> float:
        """Returns the time at which a version is to be announced to the child."""
        interval_ms = (
            settings.announce_ms if self.announced_version == version else settings.min_announce_ms
        )
        return self.announced_at + interval_ms

    def delta(self, request: int, age_ms: int, page: Page) -> Delta:
        """Returns the message that sends a page to this child."""
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
    """Returns the approximate size of a page on the wire."""
    changes_bytes = sum(change.size for change in page.changes)
    return changes_bytes + DIGEST_BYTES * len(page.digests) + PAGE_OVERHEAD_BYTES
