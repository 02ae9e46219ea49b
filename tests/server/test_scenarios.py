"""Runs every scenario file against the server's core."""

from pathlib import Path

import pytest

from tests.server.scenario_player import ServerScenario

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    ServerScenario().run(path)
