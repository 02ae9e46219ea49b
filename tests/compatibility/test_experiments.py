"""Every experiment file of the repository is accepted as it stands."""

from pathlib import Path

import pytest

from pumicenotch.lab import experiment_file

EXPERIMENTS = Path(__file__).parents[2] / "experiments"


@pytest.mark.parametrize("path", sorted(EXPERIMENTS.glob("*.hcl")), ids=lambda path: path.stem)
def test_the_experiment_file_is_accepted(path: Path) -> None:
    experiment, _ = experiment_file.read(str(path))
    assert experiment.arm
