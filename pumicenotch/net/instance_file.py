"""The HCL file of this instance, which PUMICENOTCH_CONFIG names: pools, cells, its fleet.

It is read by a process of its own, whose memory is given back with its end. Nothing of what it can
switch on is loaded where it does not.
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
COMPILED_VARIABLE = "PUMICENOTCH_PLAN"  # its content, where whoever starts the server has read it
COMPILED_SUFFIX = ".json"
READ_TIMEOUT_S = 30.0  # a second on a quiet machine


def read_at_start(path: str) -> "InstanceConfig | None":
    """Reads the file before anything else runs; None where none is named.

    Raises:
        ValueError: The file is wrong; the text names file, line and problem.
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
        done = subprocess.run(
            compiled.compile_command(path), capture_output=True, timeout=READ_TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        raise compiled.InvalidConfigError(timeout_text(path)) from None
    return compiled.parse_compiler_output(path, done.returncode, done.stdout, done.stderr)


async def read_again(path: str) -> "InstanceConfig | None":
    """Reads the file while the server goes on; the same otherwise."""
    if not path:
        return None
    from pumicenotch.config import compiled

    if path.endswith(COMPILED_SUFFIX):
        return compiled.load_file(path)
    with anyio.move_on_after(READ_TIMEOUT_S):
        done = await anyio.run_process(compiled.compile_command(path), check=False)
        return compiled.parse_compiler_output(path, done.returncode, done.stdout, done.stderr)
    raise compiled.InvalidConfigError(timeout_text(path))


def timeout_text(path: str) -> str:
    """Returns what is wrong with a file that takes too long to read."""
    return f"{path}:1: not read within {READ_TIMEOUT_S:g} s"


def read_cell_map(instance: "InstanceConfig | None") -> "CellMap | None":
    """Reads the cell map that the file names, if it names one; raises ValueError if it is wrong."""
    if instance is None or not instance.map:
        return None
    from pumicenotch.config.files import load_cell_map

    return load_cell_map(instance.map)[0]


def make_fence(instance: "InstanceConfig | None") -> "Fence | None":
    """Returns what this node knows of cells, where the file names a map; raises ValueError."""
    cells = read_cell_map(instance)
    if cells is None:
        return None
    from pumicenotch.cells.fence import Fence

    return Fence(Clock().unix(), cells.window_ms, cells)


def pools_maker(plan: "PoolsPlan | None", values: "StartValues", path: str) -> "MakePools | None":
    """Returns what makes class pools by the plan, if there is one."""
    if plan is None:
        return None
    from pumicenotch.pools import ClassPools
    from pumicenotch.pools.plan import unknown_classes

    classes = values.controller.request_classes
    class_indexes = values.class_indexes
    for name in unknown_classes(plan, list(class_indexes)):
        logger.warning("{}: no request class of this server is called {}", path, name)
    return lambda now: ClassPools(now, plan, classes, class_indexes)
