import json
from pathlib import Path

import pytest

from tests import record

KEPT: dict[str, str] = json.loads((Path(__file__).parent / "record.json").read_text())
STREAMS = record.streams()


def test_every_stream_has_a_kept_digest_and_every_kept_digest_a_stream() -> None:
    assert sorted(STREAMS) == sorted(KEPT)


@pytest.mark.parametrize("name", STREAMS)
def test_every_decision_is_as_the_kept_landings_made_it(name: str) -> None:
    assert STREAMS[name]().play() == KEPT[name]
