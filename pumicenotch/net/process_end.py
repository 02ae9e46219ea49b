"""The end of a process whose last answers are written."""

import os
import sys
from typing import NoReturn


def end_process() -> NoReturn:
    """Ends the process now, with status 0; what it has logged is written.

    The interpreter's own end frees every object one by one, which takes longer than a drain notice
    leaves after the last answers. The kernel closes what is still open.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(os.EX_OK)
