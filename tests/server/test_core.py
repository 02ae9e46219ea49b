"""The imports of the core, and its rate limit on logged problems."""

import subprocess
import sys

from pumicenotch.control import ControllerSettings
from pumicenotch.server.core import Server
from pumicenotch.server.effects import Log
from pumicenotch.server.events import ProblemFound
from pumicenotch.server.settings import ServerSettings


def test_core_and_library_need_only_the_standard_library() -> None:
    modules = "pumicenotch.control, pumicenotch.adapter.__main__, pumicenotch.server.core"
    subprocess.run([sys.executable, "-S", "-c", f"import {modules}"], check=True)


def test_repeated_problem_is_logged_at_powers_of_ten() -> None:
    core = Server(
        ServerSettings(
            controller=ControllerSettings([], [], []),
            class_indexes={},
            tenant_indexes={},
            seed=1,
            shutdown_ms=0.0,
            has_database=False,
            memory_mb=32.0,
            max_descriptors=64,
        )
    )
    problem = ProblemFound("odd", "an odd frame")
    effects = [effect for _ in range(150) for effect in core.step(0.0, problem)]
    assert [effect.text for effect in effects if isinstance(effect, Log)] == [
        f"an odd frame (odd={count})" for count in (1, 10, 100)
    ]
