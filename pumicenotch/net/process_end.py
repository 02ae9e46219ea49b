"""Ends a process after its last responses are written."""

import os
import sys
from typing import NoReturn


def end_process() -> NoReturn:
    """Ends the process immediately with status 0, after flushing the logs.

    The interpreter's regular shutdown frees every object individually, which takes longer than the
    time that a drain notice leaves after the last responses. The kernel closes all open
    descriptors.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(os.EX_OK)
