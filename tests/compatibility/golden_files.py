"""Reads the golden files: bytes that older instances wrote, kept as hexadecimal text."""

import json
from pathlib import Path
from typing import Any

GOLDEN = Path(__file__).parent / "golden"


def golden_json(name: str) -> Any:
    """The content of the JSON file of that name under `golden/`."""
    return json.loads((GOLDEN / name).read_text())


def golden_bytes(name: str) -> dict[str, bytes]:
    """The examples of the JSON file of that name: its values are bytes in hexadecimal."""
    return {example: bytes.fromhex(text) for example, text in golden_json(name).items()}
