"""Parses HCL text into blocks with their lines.

Values must be literals: expressions, references and function calls are refused.
"""

import json
from collections.abc import Iterator
from typing import Any

import hcl2
from lark import Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput

from pumicenotch.errors import InputError

# Thousands of lines, which are read within a second.
MAX_BYTES = 256 * 1024
# Nested brackets and braces. Deeper files would reach the parser's own recursion limit.
MAX_DEPTH = 64


class InvalidFileError(InputError):
    """A file is invalid.

    Args:
        faults: The errors, each as `FILE:LINE: block.attribute: what is wrong and what is allowed`.
    """

    def __init__(self, *faults: str) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class Block:
    """A block of a file.

    Attributes:
        kind: The type of the block; "" for a whole file.
        labels: The labels after the type.
        line: The line of the block.
        attributes: The value and the line of each attribute.
        blocks: The inner blocks.
    """

    def __init__(self, kind: str, labels: list[str], line: int) -> None:
        self.kind, self.labels, self.line = kind, labels, line
        self.attributes: dict[str, tuple[Any, int]] = {}
        self.blocks: list[Block] = []


def parse(text: str, name: str) -> Block:
    """Returns the whole file as one block of type "".

    Args:
        text: The content of the file.
        name: The name of the file in errors.

    Raises:
        InvalidFileError: The text is not HCL, exceeds a limit, or contains an expression.
    """
    if len(text) > MAX_BYTES:
        raise InvalidFileError(
            f"{name}:1: the file has {len(text)} bytes, at most {MAX_BYTES} are allowed"
        )
    depth = max_depth = 0
    for character in text:
        depth += (character in "{[(") - (character in "}])")
        max_depth = max(max_depth, depth)
    if max_depth > MAX_DEPTH:
        raise InvalidFileError(
            f"{name}:1: blocks and lists are nested {max_depth} deep, at most {MAX_DEPTH} are allowed"
        )
    try:
        tree = hcl2.parses_to_tree(text.rstrip() + "\n")
    except UnexpectedCharacters as error:
        raise InvalidFileError(
            f"{name}:{error.line}: invalid HCL at column {error.column}: {error.char!r}"
        ) from None
    except UnexpectedInput as error:
        token = getattr(error, "token", None)
        found = (
            "the end of the file"
            if token is None or token.type == "$END"
            else repr(str(token).strip() or "\n")
        )
        line = max(1, error.line) if error.line and error.line > 0 else text.count("\n") + 1
        raise InvalidFileError(
            f"{name}:{line}: invalid HCL: {found} instead of a value, an attribute or a block"
        ) from None
    except RecursionError:
        raise InvalidFileError(f"{name}:1: nested too deeply") from None
    root = Block("", [], 1)
    body = next(part for part in tree.children if isinstance(part, Tree) and part.data == "body")
    fill_block(root, body, name)
    return root


def child_trees(tree: Tree[Token]) -> list[Tree[Token]]:
    """Returns the children of a tree without tokens, line breaks and comments."""
    return [
        part
        for part in tree.children
        if isinstance(part, Tree) and part.data != "new_line_or_comment"
    ]


def line_of(tree: Tree[Token]) -> int:
    """Returns the line of the first visible token."""
    for token in tree.scan_values(lambda value: isinstance(value, Token)):
        if token.line and str(token).strip():
            return int(token.line)
    return 1


def fill_block(block: Block, body: Tree[Token], name: str) -> None:
    """Adds the attributes and inner blocks of the body to the block."""
    for part in child_trees(body):
        head, *rest = child_trees(part)
        word, line = text_of(head), line_of(part)
        if part.data == "attribute":
            if word in block.attributes:
                first = block.attributes[word][1]
                raise InvalidFileError(
                    f"{name}:{line}: {word}: is defined twice, first in line {first}: once is allowed"
                )
            block.attributes[word] = (parse_value(rest[0], f"{name}:{line}: {word}"), line)
        elif part.data == "block":
            labels = [
                parse_string(each, f"{name}:{line}: {word}")
                for each in rest
                if each.data in ("string", "identifier")
            ]
            inner = Block(word, labels, line)
            fill_block(inner, rest[-1], name)
            block.blocks.append(inner)
        else:
            raise InvalidFileError(f"{name}:{line}: neither an attribute nor a block")


def text_of(tree: Tree[Token]) -> str:
    """Returns the source text of a tree."""
    return "".join(str(token) for token in tree.scan_values(lambda value: isinstance(value, Token)))


def parse_string(tree: Tree[Token], place: str) -> str:
    """Returns the text of an identifier or a string without interpolation.

    Args:
        tree: The identifier or string.
        place: The file, line and name for errors.

    Raises:
        InvalidFileError: The string has an interpolation or an invalid escape sequence.
    """
    if tree.data == "identifier":
        return text_of(tree)
    parts: list[str] = []
    for part in child_trees(tree):
        if any(isinstance(inner, Tree) for inner in part.children):
            raise InvalidFileError(f"{place}: interpolation: only plain text is allowed")
        parts.append(text_of(part))
    try:
        return str(json.loads('"' + "".join(parts) + '"'))
    except ValueError:
        raise InvalidFileError(f"{place}: not a valid string: {''.join(parts)!r}") from None


def parse_value(tree: Tree[Token], place: str) -> Any:
    """Returns a literal: a number, string, boolean, null, list or object.

    Args:
        tree: The value.
        place: The file, line and name for errors.

    Raises:
        InvalidFileError: The value would have to be evaluated.
    """
    if tree.data == "expr_term":
        inner = child_trees(tree)
        if len(inner) == 1:
            return parse_value(inner[0], place)
    kind, children = tree.data, list(iterate_children(tree))
    if kind == "int_lit":
        return int(text_of(tree))
    if kind == "float_lit":
        return float(text_of(tree))
    if kind == "unary_op" and len(children) == 1 and text_of(tree).lstrip().startswith("-"):
        result = parse_value(children[0], place)
        if isinstance(result, int | float) and not isinstance(result, bool):
            return -result
    if kind == "literal_value":
        return {"true": True, "false": False, "null": None}[text_of(tree).strip()]
    if kind == "string":
        return parse_string(tree, place)
    if kind == "tuple":
        return [parse_value(each, place) for each in children]
    if kind == "object":
        result = {}
        for element in children:
            key, value = child_trees(element)
            result[str(parse_value(child_trees(key)[0], place))] = parse_value(value, place)
        return result
    if kind == "identifier":
        raise InvalidFileError(
            f"{place}: {text_of(tree)!r} is a reference: write text in quotes, or a number"
        )
    raise InvalidFileError(
        f"{place}: {text_of(tree).strip()[:40]!r} is an expression: only literal values are allowed"
    )


def iterate_children(tree: Tree[Token]) -> Iterator[Tree[Token]]:
    """Yields the children of a tree without tokens, line breaks and comments."""
    yield from (
        part
        for part in tree.children
        if isinstance(part, Tree) and part.data != "new_line_or_comment"
    )
