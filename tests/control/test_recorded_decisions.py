# Checks that every decision of the controller is the same as when the digests were recorded.

import json
from pathlib import Path

import pytest

from tests.control import decision_streams

RECORDED: dict[str, str] = json.loads((Path(__file__).parent / "decision_digests.json").read_text())
STREAMS = decision_streams.streams()


def test_every_stream_has_a_digest_and_every_digest_a_stream() -> None:
    assert sorted(STREAMS) == sorted(RECORDED)


@pytest.mark.parametrize("name", STREAMS)
def test_every_decision_is_as_recorded(name: str) -> None:
    assert STREAMS[name]().play() == RECORDED[name]
