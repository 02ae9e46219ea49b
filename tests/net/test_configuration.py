"""Tests of the distribution service with malformed messages from peers."""

from types import SimpleNamespace
from typing import Any, cast

import pytest

from pumicenotch.distribution.instance_settings import InstanceSettings
from pumicenotch.distribution.protocol.messages import METHOD
from pumicenotch.membership.messages import MemberIdentity
from pumicenotch.net.configuration import InstanceDistributionService
from pumicenotch.sender import Sender


@pytest.mark.parametrize(
    "payload", [None, 7, [], [["delta"]], [{}, 1], [None], ["no-kind"], ["delta"]]
)
def test_malformed_message_is_counted_and_raises_nothing(payload: Any) -> None:
    """Guards against a message with an unhashable kind ending its connection."""
    problems: list[str] = []
    me = MemberIdentity("n0", "127.0.0.1:1", "p", 0, "z", "r")
    hub = SimpleNamespace(
        node=SimpleNamespace(me=me),
        max_connections_each_way=64,
        count_problem=lambda counter, _: problems.append(counter),
    )
    service = InstanceDistributionService(cast(Any, hub), InstanceSettings(()), ("v1",), 1)
    assert service.notice(Sender("n1", "p", "127.0.0.1:2"), METHOD, payload)
    assert problems == ["configuration_unreadable"]
