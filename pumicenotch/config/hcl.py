"""HCL text to blocks with the lines that they stand on. Values are plain: no expressions, references,
functions.
"""

import json
from collections.abc import Iterator
from typing import Any

import hcl2
from lark import Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput

from pumicenotch.errors import InputError

MOST_BYTES = 256 * 1024  # of a file: thousands of lines, read within a second
MOST_DEEP = 64  # brackets and braces in each other: beyond, the parser would go on to its own recursion limit


class InvalidFileError(InputError):
    """What is wrong with a file: a line each, `FILE:LINE: block.attribute: what is wrong and what is
    allowed`.
    """

    def __init__(self, *faults: str) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class Block:
    """One block: its labels, its attributes and the blocks in it, each with its line."""

    def __init__(self, kind: str, labels: list[str], line: int) -> None:
        self.kind, self.labels, self.line = kind, labels, line
        self.attributes: dict[str, tuple[Any, int]] = {}
        self.blocks: list[Block] = []


def parse(text: str, name: str) -> Block:
    """The whole file as one block without a kind. Raises InvalidFileError."""
    if len(text) > MOST_BYTES:
        raise InvalidFileError(
            f"{name}:1: the file has {len(text)} bytes, {MOST_BYTES} are allowed"
        )
    deep = most = 0
    for letter in text:
        deep += (letter in "{[(") - (letter in "}])")
        most = max(most, deep)
    if most > MOST_DEEP:
        raise InvalidFileError(
            f"{name}:1: blocks and lists go {most} deep, {MOST_DEEP} are allowed"
        )
    try:
        tree = hcl2.parses_to_tree(text.rstrip() + "\n")
    except UnexpectedCharacters as error:
        raise InvalidFileError(
            f"{name}:{error.line}: no HCL at column {error.column}: {error.char!r}"
        ) from None
    except UnexpectedInput as error:
        token = getattr(error, "token", None)
        met = (
            "the end of the file"
            if token is None or token.type == "$END"
            else repr(str(token).strip() or "\n")
        )
        line = max(1, error.line) if error.line and error.line > 0 else text.count("\n") + 1
        raise InvalidFileError(
            f"{name}:{line}: no HCL: {met} where a value, an attribute or a block is wanted"
        ) from None
    except RecursionError:
        raise InvalidFileError(f"{name}:1: too deep to be read") from None
    whole = Block("", [], 1)
    body = next(part for part in tree.children if isinstance(part, Tree) and part.data == "body")
    fill(whole, body, name)
    return whole


def trees(tree: Tree[Token]) -> list[Tree[Token]]:
    return [
        part
        for part in tree.children
        if isinstance(part, Tree) and part.data != "new_line_or_comment"
    ]


def line(tree: Tree[Token]) -> int:
    for token in tree.scan_values(lambda value: isinstance(value, Token)):
        if token.line and str(token).strip():
            return int(token.line)
    return 1


def fill(block: Block, body: Tree[Token], name: str) -> None:
    for part in trees(body):
        head, *rest = trees(part)
        word, at = text_of(head), line(part)
        if part.data == "attribute":
            if word in block.attributes:
                first = block.attributes[word][1]
                raise InvalidFileError(
                    f"{name}:{at}: {word}: stands twice, first in line {first}: once is allowed"
                )
            block.attributes[word] = (value(rest[0], f"{name}:{at}: {word}"), at)
        elif part.data == "block":
            labels = [
                string(each, f"{name}:{at}: {word}")
                for each in rest
                if each.data in ("string", "identifier")
            ]
            inner = Block(word, labels, at)
            fill(inner, rest[-1], name)
            block.blocks.append(inner)
        else:
            raise InvalidFileError(f"{name}:{at}: neither an attribute nor a block")


def text_of(tree: Tree[Token]) -> str:
    return "".join(str(token) for token in tree.scan_values(lambda value: isinstance(value, Token)))


def string(tree: Tree[Token], where: str) -> str:
    if tree.data == "identifier":
        return text_of(tree)
    parts: list[str] = []
    for part in trees(tree):
        if any(isinstance(inner, Tree) for inner in part.children):
            raise InvalidFileError(f"{where}: interpolation: only plain text is allowed")
        parts.append(text_of(part))
    try:
        return str(json.loads('"' + "".join(parts) + '"'))
    except ValueError:
        raise InvalidFileError(f"{where}: no text: {''.join(parts)!r}") from None


def value(tree: Tree[Token], where: str) -> Any:
    """A number, text, truth, list or object; anything that would have to be computed is refused."""
    if tree.data == "expr_term":
        inner = trees(tree)
        if len(inner) == 1:
            return value(inner[0], where)
    kind, inside = tree.data, list(values(tree))
    if kind == "int_lit":
        return int(text_of(tree))
    if kind == "float_lit":
        return float(text_of(tree))
    if kind == "unary_op" and len(inside) == 1 and text_of(tree).lstrip().startswith("-"):
        found = value(inside[0], where)
        if isinstance(found, int | float) and not isinstance(found, bool):
            return -found
    if kind == "literal_value":
        return {"true": True, "false": False, "null": None}[text_of(tree).strip()]
    if kind == "string":
        return string(tree, where)
    if kind == "tuple":
        return [value(each, where) for each in inside]
    if kind == "object":
        found = {}
        for element in inside:
            key, held = trees(element)
            found[str(value(trees(key)[0], where))] = value(held, where)
        return found
    if kind == "identifier":
        raise InvalidFileError(
            f"{where}: {text_of(tree)!r} is a reference: write text in quotes, or a number"
        )
    raise InvalidFileError(
        f"{where}: {text_of(tree).strip()[:40]!r} would be computed: only plain values are allowed"
    )


def values(tree: Tree[Token]) -> Iterator[Tree[Token]]:
    yield from (
        part
        for part in tree.children
        if isinstance(part, Tree) and part.data != "new_line_or_comment"
    )
