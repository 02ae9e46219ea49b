"""Blocks against the schema that a pydantic model is: all faults of a file at once, each with its line."""

from difflib import get_close_matches
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin

from pydantic import BaseModel, ConfigDict, ValidationError

from pumicenotch.config.hcl import Block, InvalidFileError, parse

Place = tuple[int | str, ...]


class Schema(BaseModel):
    """A block of a file of ours. A field `name` is the block's label; a tuple of schemas is a block that may
    stand any number of times; a schema is one that stands once at the most; all else is an attribute.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)


Model = TypeVar("Model", bound=Schema)


def read(path: str | Path, model: type[Model]) -> Model:
    """The file as the model; InvalidFileError says all that is wrong with it, by line."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise InvalidFileError(f"{path}:1: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise InvalidFileError(f"{path}:1: no UTF-8 at byte {error.start}") from None
    return load(parse(text, str(path)), str(path), model)


def load(whole: Block, name: str, model: type[Model]) -> Model:
    lines: dict[Place, int] = {(): 1}
    faults: list[str] = []
    plain = flat(whole, name, model, (), lines, faults)
    try:
        found = model.model_validate(plain)
    except ValidationError as error:
        faults += [told(name, each, lines) for each in error.errors()]
        found = None
    if faults or found is None:
        raise InvalidFileError(*sorted(set(faults), key=order))
    return found


def order(fault: str) -> tuple[int, str]:
    part = fault.split(":", 2)
    return (int(part[1]) if len(part) > 1 and part[1].isdigit() else 0, fault)


def inner(model: type[BaseModel], field: str) -> tuple[type[BaseModel] | None, bool]:
    """The schema of a block that the field holds, and whether it may stand many times."""
    annotation = model.model_fields[field].annotation
    for part in (annotation, *get_args(annotation)):
        if isinstance(part, type) and issubclass(part, BaseModel):
            return part, get_origin(annotation) is tuple
    return None, False


def flat(
    block: Block,
    name: str,
    model: type[BaseModel],
    at: Place,
    lines: dict[Place, int],
    faults: list[str],
) -> dict[str, Any]:
    """The block as a plain dict that the model takes. Names that the model lacks are faults, with the nearest
    that it has.
    """
    found: dict[str, Any] = {}
    where = [str(part) for part in at if isinstance(part, str)]
    attributes = [field for field in model.model_fields if inner(model, field)[0] is None]
    blocks = [field for field in model.model_fields if inner(model, field)[0] is not None]

    def unknown(word: str, line: int, kind: str, names: list[str], others: list[str]) -> None:
        full = ".".join([*where, word])
        if word in others:
            other = "a block" if kind == "attribute" else "an attribute"
            faults.append(
                f"{name}:{line}: {full}: is {other} here, not {'an' if kind[0] == 'a' else 'a'} {kind}"
            )
            return
        near = get_close_matches(word, names, 1, 0.5)
        hint = (
            f"did you mean {near[0]}?" if near else f"allowed: {', '.join(sorted(names)) or 'none'}"
        )
        faults.append(f"{name}:{line}: {full}: unknown {kind}; {hint}")

    if "name" in attributes and at and "name" not in block.attributes:
        if len(block.labels) == 1:
            found["name"] = block.labels[0]
        else:
            faults.append(
                f"{name}:{block.line}: {'.'.join(where)}: one name in quotes after the word is wanted"
            )
            found["name"] = "unnamed"  # no second fault for the same thing
    elif block.labels:
        faults.append(f"{name}:{block.line}: {'.'.join(where)}: takes no name")
    for word, (value, line) in block.attributes.items():
        if word in attributes:
            found[word] = value
            lines[(*at, word)] = line
        else:
            unknown(word, line, "attribute", attributes, blocks)
    for part in block.blocks:
        schema, many = inner(model, part.kind) if part.kind in blocks else (None, False)
        if schema is None:
            unknown(part.kind, part.line, "block", blocks, attributes)
        elif many:
            place = (*at, part.kind, len(found.setdefault(part.kind, [])))
            lines[place] = part.line
            found[part.kind].append(flat(part, name, schema, place, lines, faults))
        elif part.kind in found:
            first = lines[(*at, part.kind)]
            faults.append(f"{name}:{part.line}: {part.kind}: stands twice, first in line {first}")
        else:
            lines[(*at, part.kind)] = part.line
            found[part.kind] = flat(part, name, schema, (*at, part.kind), lines, faults)
    return found


def told(name: str, error: Any, lines: dict[Place, int]) -> str:
    place = tuple(error["loc"])
    known = place
    while known not in lines:
        known = known[:-1]
    words = ".".join(str(part) for part in place if isinstance(part, str))
    if error["type"] == "missing":
        return f"{name}:{lines[known]}: {words}: is missing"
    message = str(error["msg"]).removeprefix("Value error, ").replace("Input should", "should")
    given = error.get("input")
    shown = f", not {given!r}" if isinstance(given, str | int | float | bool) else ""
    return f"{name}:{lines[known]}: {words + ': ' if words else ''}{message}{shown}"
