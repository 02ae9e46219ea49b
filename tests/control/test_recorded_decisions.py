import json
from pathlib import Path

import pytest

from tests.control import decision_streams

KEPT: dict[str, str] = json.loads((Path(__file__).parent / "decision_digests.json").read_text())
STREAMS = decision_streams.streams()


def test_every_stream_has_a_digest_and_every_digest_a_stream() -> None:
    assert sorted(STREAMS) == sorted(KEPT)


@pytest.mark.parametrize("name", STREAMS)
def test_every_decision_is_as_recorded(name: str) -> None:
    assert STREAMS[name]().play() == KEPT[name]
