"""Checks HCL blocks against a schema, which is a pydantic model.

All errors of a file are reported together, each with its line.
"""

from difflib import get_close_matches
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin

from pydantic import BaseModel, ConfigDict, ValidationError

from pumicenotch.config.hcl import Block, InvalidFileError, parse

# The location of a value: field names, and indexes in repeated blocks.
Location = tuple[int | str, ...]


class Schema(BaseModel):
    """A block of a configuration file.

    A field `name` is the block's label. A tuple of schemas is a block that may be repeated; a schema
    is a block that may occur once. Every other field is an attribute.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)


Model = TypeVar("Model", bound=Schema)


def read(path: str | Path, model: type[Model]) -> Model:
    """Reads a file as the model. Raises InvalidFileError with all errors by line."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise InvalidFileError(f"{path}:1: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise InvalidFileError(f"{path}:1: not UTF-8 at byte {error.start}") from None
    return load(parse(text, str(path)), str(path), model)


def load(root: Block, name: str, model: type[Model]) -> Model:
    """Checks a parsed file against the model.

    Args:
        root: The file.
        name: The name of the file in errors.
        model: The schema of the file.

    Raises:
        InvalidFileError: The file does not fit the schema.
    """
    lines: dict[Location, int] = {(): 1}
    faults: list[str] = []
    values = to_values(root, name, model, (), lines, faults)
    try:
        result = model.model_validate(values)
    except ValidationError as error:
        faults += [describe_error(name, each, lines) for each in error.errors()]
        result = None
    if faults or result is None:
        raise InvalidFileError(*sorted(set(faults), key=line_order))
    return result


def line_order(fault: str) -> tuple[int, str]:
    """Returns the key that sorts errors by their line."""
    fields = fault.split(":", 2)
    return (int(fields[1]) if len(fields) > 1 and fields[1].isdigit() else 0, fault)


def block_schema(model: type[BaseModel], field: str) -> tuple[type[BaseModel] | None, bool]:
    """Returns the schema of the block in a field, and whether the block may be repeated.

    The schema is None if the field is an attribute.
    """
    annotation = model.model_fields[field].annotation
    for candidate in (annotation, *get_args(annotation)):
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate, get_origin(annotation) is tuple
    return None, False


def to_values(
    block: Block,
    name: str,
    model: type[BaseModel],
    location: Location,
    lines: dict[Location, int],
    faults: list[str],
) -> dict[str, Any]:
    """Returns the block as a dict for the model.

    Names that the model lacks are errors, with the most similar known name.

    Args:
        block: The block.
        name: The name of the file in errors.
        model: The schema of the block.
        location: The location of the block in the file.
        lines: Filled with the line of each location.
        faults: Filled with the errors found.
    """
    values: dict[str, Any] = {}
    prefix = [str(part) for part in location if isinstance(part, str)]
    attributes = [field for field in model.model_fields if block_schema(model, field)[0] is None]
    blocks = [field for field in model.model_fields if block_schema(model, field)[0] is not None]

    def report_unknown(
        word: str, line: int, kind: str, names: list[str], other_names: list[str]
    ) -> None:
        full_name = ".".join([*prefix, word])
        if word in other_names:
            other_kind = "a block" if kind == "attribute" else "an attribute"
            faults.append(
                f"{name}:{line}: {full_name}: is {other_kind} here, not {'an' if kind[0] == 'a' else 'a'} {kind}"
            )
            return
        similar = get_close_matches(word, names, 1, 0.5)
        hint = (
            f"did you mean {similar[0]}?"
            if similar
            else f"allowed: {', '.join(sorted(names)) or 'none'}"
        )
        faults.append(f"{name}:{line}: {full_name}: unknown {kind}; {hint}")

    if "name" in attributes and location and "name" not in block.attributes:
        if len(block.labels) == 1:
            values["name"] = block.labels[0]
        else:
            faults.append(
                f"{name}:{block.line}: {'.'.join(prefix)}: must be followed by one name in quotes"
            )
            values["name"] = "unnamed"  # prevents a second error for the missing name
    elif block.labels:
        faults.append(f"{name}:{block.line}: {'.'.join(prefix)}: takes no name")
    for word, (value, line) in block.attributes.items():
        if word in attributes:
            values[word] = value
            lines[(*location, word)] = line
        else:
            report_unknown(word, line, "attribute", attributes, blocks)
    for part in block.blocks:
        schema, is_repeatable = (
            block_schema(model, part.kind) if part.kind in blocks else (None, False)
        )
        if schema is None:
            report_unknown(part.kind, part.line, "block", blocks, attributes)
        elif is_repeatable:
            inner_location = (*location, part.kind, len(values.setdefault(part.kind, [])))
            lines[inner_location] = part.line
            values[part.kind].append(to_values(part, name, schema, inner_location, lines, faults))
        elif part.kind in values:
            first = lines[(*location, part.kind)]
            faults.append(
                f"{name}:{part.line}: {part.kind}: is defined twice, first in line {first}"
            )
        else:
            lines[(*location, part.kind)] = part.line
            values[part.kind] = to_values(part, name, schema, (*location, part.kind), lines, faults)
    return values


def describe_error(name: str, error: Any, lines: dict[Location, int]) -> str:
    """Returns the text of an error found by pydantic, with the line of the nearest known location."""
    location = tuple(error["loc"])
    known = location
    while known not in lines:
        known = known[:-1]
    full_name = ".".join(str(part) for part in location if isinstance(part, str))
    if error["type"] == "missing":
        return f"{name}:{lines[known]}: {full_name}: is missing"
    message = str(error["msg"]).removeprefix("Value error, ").replace("Input should", "should")
    value = error.get("input")
    suffix = f", not {value!r}" if isinstance(value, str | int | float | bool) else ""
    return f"{name}:{lines[known]}: {full_name + ': ' if full_name else ''}{message}{suffix}"
