"""Logs to standard error, for a person or, where PUMICENOTCH_LOG is `json`, an object a line."""

import json
import os
import sys
from typing import Any

from loguru import logger


def to_stderr() -> None:
    logger.remove()
    if os.environ.get("PUMICENOTCH_LOG") == "json":
        logger.add(as_json)
    else:
        form = "{time:HH:mm:ss.SSS} {level} {message}"
        logger.add(sys.stderr, format=form, backtrace=False, diagnose=False)


def as_json(message: Any) -> None:
    record = message.record
    told = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
    }
    if record["exception"] is not None:
        told["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(told) + "\n")
