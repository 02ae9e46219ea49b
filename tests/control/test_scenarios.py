"""Plays the scenarios of the admission controller."""

from pathlib import Path

import pytest

from tests.control.scenario_player import ControlScenario

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    ControlScenario().run(path)
