"""Reads the HCL file of this instance, named by PUMICENOTCH_CONFIG: pools, cells and fleet.

A child process parses the file, so that the parser's memory is released when the child exits. The
modules of a feature are loaded only if the file enables the feature.
"""

import os
import subprocess
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from pumicenotch.net.clock import Clock

if TYPE_CHECKING:
    from pumicenotch.cells.fence import Fence
    from pumicenotch.cells.map import CellMap
    from pumicenotch.config.compiled import InstanceConfig
    from pumicenotch.net.start_values import StartValues
    from pumicenotch.pools.plan import PoolsPlan
    from pumicenotch.server.core import MakePools

PATH_VARIABLE = "PUMICENOTCH_CONFIG"
# Compiled content of the file, if the process that starts the server has already read the file.
COMPILED_VARIABLE = "PUMICENOTCH_PLAN"
COMPILED_SUFFIX = ".json"
READ_TIMEOUT_S = 30.0  # Reading takes one second on an idle machine.


def read_at_start(path: str) -> "InstanceConfig | None":
    """Reads the file at process start; returns None if no file is named.

    Raises:
        ValueError: The file is invalid; the text names file, line and problem.
    """
    compiled_text = os.environ.pop(COMPILED_VARIABLE, "")
    if not path:
        return None
    from pumicenotch.config import compiled

    if compiled_text:
        return compiled.load(compiled_text, path)
    if path.endswith(COMPILED_SUFFIX):
        return compiled.load_file(path)
    try:
        completed = subprocess.run(
            compiled.compile_command(path), capture_output=True, timeout=READ_TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        raise compiled.InvalidConfigError(timeout_text(path)) from None
    return compiled.parse_compiler_output(
        path, completed.returncode, completed.stdout, completed.stderr
    )


async def read_for_reload(path: str) -> "InstanceConfig | None":
    """Reads the file for a reload, without blocking the server.

    The result and the errors are those of `read_at_start`.
    """
    if not path:
        return None
    from pumicenotch.config import compiled

    if path.endswith(COMPILED_SUFFIX):
        return compiled.load_file(path)
    with anyio.move_on_after(READ_TIMEOUT_S):
        completed = await anyio.run_process(compiled.compile_command(path), check=False)
        return compiled.parse_compiler_output(
            path, completed.returncode, completed.stdout, completed.stderr
        )
    raise compiled.InvalidConfigError(timeout_text(path))


def timeout_text(path: str) -> str:
    """Returns the error text for a file that could not be read in time."""
    return f"{path}:1: not read within {READ_TIMEOUT_S:g} s"


def read_cell_map(instance: "InstanceConfig | None") -> "CellMap | None":
    """Reads the cell map that the file names, if any; raises ValueError if the map is invalid."""
    if instance is None or not instance.map:
        return None
    from pumicenotch.config.files import load_cell_map

    return load_cell_map(instance.map)[0]


def make_fence(instance: "InstanceConfig | None") -> "Fence | None":
    """Returns the fence for the cell map that the file names; None without a map.

    Raises:
        ValueError: The cell map is invalid.
    """
    cells = read_cell_map(instance)
    if cells is None:
        return None
    from pumicenotch.cells.fence import Fence

    return Fence(Clock().unix(), cells.window_ms, cells)


def pools_maker(plan: "PoolsPlan | None", values: "StartValues", path: str) -> "MakePools | None":
    """Returns a factory of class pools for the plan; None without a plan."""
    if plan is None:
        return None
    from pumicenotch.pools import ClassPools
    from pumicenotch.pools.plan import unknown_classes

    classes = values.controller.request_classes
    class_indexes = values.class_indexes
    for name in unknown_classes(plan, list(class_indexes)):
        logger.warning("{}: this server has no request class {}", path, name)
    return lambda now: ClassPools(now, plan, classes, class_indexes)
