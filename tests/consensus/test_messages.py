"""Guards against malformed messages of another program or version reaching a voter."""

from typing import Any

import pytest

from pumicenotch.consensus.bootstrap import Bootstrap
from pumicenotch.consensus.messages import (
    Discover,
    MessageDecodeError,
    decode_bootstrap_message,
    decode_message,
)


def test_malformed_message_raises_a_decode_error() -> None:
    malformed: list[Any] = [[], 7, ["vote"], ["vote", 1, 2, True], ["append", -1, 0, 0, [], 0, 0]]
    malformed += [
        ["append", 1, 0, 0, [[1, "x", 0]], 0, 0],
        ["install", 1, 1, 1, [["a"], []], 0, b"", True, 0],
    ]
    for payload in malformed:
        with pytest.raises(MessageDecodeError):
            decode_message(payload)
    with pytest.raises(MessageDecodeError, match="bootstrap"):
        Bootstrap("a/1", ["a"]).receive("b/1", Discover("c/1"))
    for payload in ([], 7, ["who"], ["who", 7], ["fresh", "a/1"], ["vote", 1, True, False]):
        with pytest.raises(MessageDecodeError):
            decode_bootstrap_message(payload)
