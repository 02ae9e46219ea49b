"""Bad clients that send 60 MB bodies: does the server stay within its memory?"""

import sys
from functools import partial
from pathlib import Path

HERE_FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE_FOLDER.parent / "parties-2"))

from memory import play  # noqa: E402
from parties import main  # noqa: E402

MEMORY_MB = 96  # of the limits: "32 to 192 MB depending on language and day"
CLIENTS, SECONDS, AFTER_S = 4, 20, 5
CLIENT = HERE_FOLDER / "bodies.py"
ARGUMENTS = [CLIENTS, SECONDS]


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
