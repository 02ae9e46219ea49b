"""The simulator's wire and the start values, against bytes kept from commit ab8f5d8."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from pumicenotch import start

GOLDEN = Path(__file__).parent / "golden" / "adapter"
READ: dict[str, Any] = json.loads((GOLDEN / "start_read.json").read_text())
WORDS = {
    value: word
    for table in (
        start.IDEMPOTENCY_WORDS,
        start.CANCEL_MODE_WORDS,
        start.LOAD_FEEDBACK_WORDS,
        start.DEPENDENCY_WORDS,
    )
    for word, value in table.items()
}


def on_the_wire(value: Any) -> Any:
    """The wire's word for an enumeration's member; any other value as it is."""
    return value if isinstance(value, int | float) else WORDS.get(value, value)


def meaning(pairs: dict[str, str]) -> dict[str, Any]:
    """What start values are read as, by their paths."""
    found = start.controller_settings(pairs)
    by_path = {
        path: on_the_wire(getattr(found, field.name))
        for path, field in start.SETTING_FIELDS.items()
    }
    by_path["classes"] = [
        [on_the_wire(value) for value in stage] for stage in found.request_classes
    ]
    by_path["tenants"] = [list(tenant) for tenant in found.tenants]
    words = {name: word for word, name in start.GAUGE_WORDS.items()}
    by_path["family-info.meters"] = [words.get(name, name) for name in found.gauges]
    return by_path


def test_a_kept_exchange_is_answered_with_the_same_bytes() -> None:
    lines = (GOLDEN / "exchange.txt").read_text().splitlines()
    batches = [line.removeprefix("in ") for line in lines if line.startswith("in ")]
    answers = [line.removeprefix("out ") for line in lines if line.startswith("out ")]
    command = [sys.executable, "-m", "pumicenotch.adapter"]
    sent = bytes.fromhex("".join(batches))
    done = subprocess.run(command, input=sent, capture_output=True, timeout=60, check=True)
    assert done.stdout.hex() == "".join(answers)


def test_start_values_as_lines_mean_what_they_meant() -> None:
    assert meaning(start.parse_lines((GOLDEN / "start_lines.txt").read_text())) == READ


def test_start_values_as_nested_json_mean_what_they_meant() -> None:
    told = json.loads((GOLDEN / "start_nested.json").read_text())
    pairs = start.flatten(told)
    assert (
        "".join(f"{path}={text}\n" for path, text in pairs.items())
        == (GOLDEN / "start_nested_pairs.txt").read_text()
    )
    assert meaning(start.settings_of(pairs)) == READ
