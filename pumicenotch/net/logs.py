"""Logs to standard error as text, or as one JSON object per line if PUMICENOTCH_LOG is `json`."""

import json
import os
import sys
from typing import Any

from loguru import logger

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"


def to_stderr() -> None:
    """Configures the logger to write to standard error."""
    logger.remove()
    if os.environ.get("PUMICENOTCH_LOG") == "json":
        logger.add(write_json)
    else:
        logger.add(sys.stderr, format=TEXT_FORMAT, backtrace=False, diagnose=False)


def write_json(message: Any) -> None:
    """Writes a loguru message as one line with a JSON object."""
    record = message.record
    fields = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
    }
    if record["exception"] is not None:
        fields["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(fields) + "\n")
