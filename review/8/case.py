"""A bad client that repeats what is turned away: does the server stay within its memory?"""

import sys
from functools import partial
from pathlib import Path

HERE_FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE_FOLDER.parent / "parties-2"))

from memory import play  # noqa: E402
from parties import main  # noqa: E402

MEMORY_MB = 96  # of the limits: "32 to 192 MB depending on language and day"
CONNECTIONS, AT_ONCE = 8, 30  # 240 requests at once; a connection carries up to 32
SECONDS, AFTER_S = 40, 5
CLIENT = HERE_FOLDER / "flood.py"
ARGUMENTS = [CONNECTIONS, AT_ONCE, SECONDS]


main(
    str(HERE_FOLDER),
    partial(
        play,
        limit_mb=MEMORY_MB,
        client=CLIENT,
        arguments=ARGUMENTS,
        seconds=SECONDS + AFTER_S,
    ),
)
