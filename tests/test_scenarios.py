from pathlib import Path

import pytest

from tests.play import Play

SCENARIOS = sorted((Path(__file__).parent / "scenarios").rglob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    Play().run(path)
