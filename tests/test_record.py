import json
from pathlib import Path

from tests import record


def test_without_pools_every_decision_is_as_the_landing_before_pools_made_it() -> None:
    assert record.digests() == json.loads((Path(__file__).parent / "record.json").read_text())
