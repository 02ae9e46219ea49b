"""The pages name files and types that are there.

Left out are pages that tell of the past: docs/incidents/, the changelog and the journal.
"""

import ast
import builtins
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "pumicenotch"
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").glob("*.md")])
HISTORY = {"CHANGELOG.md"}
CODE_SPAN = re.compile(r"`([^`\n]+)`")
PATH = re.compile(r"[A-Za-z_][\w.-]*(?:/[\w.-]+)*/?")
DOCS_PATH = re.compile(r"\bdocs/[\w./*-]+")
TYPE = re.compile(r"([A-Z][a-z][A-Za-z0-9]*)(?:\.\w+)?(?:\(\))?")
# Names of other parties and file formats that read like a type of ours.
FOREIGN = {"Ctrl", "Host", "Makefile", "NamedTuple", "None", "Retry", "TryLater"}


@cache
def types() -> set[str]:
    """The names of all classes of the repository."""
    folders = (PACKAGE, ROOT / "benchmarks", ROOT / "tests")
    trees = [ast.parse(path.read_text()) for folder in folders for path in folder.rglob("*.py")]
    return {
        node.name for tree in trees for node in ast.walk(tree) if isinstance(node, ast.ClassDef)
    }


def names_our_file(text: str) -> bool:
    """Whether a code span is meant as a path of the repository."""
    first, slash, _ = text.partition("/")
    if not PATH.fullmatch(text) or (not slash and not text.endswith(".py")):
        return False
    folder = (ROOT / first).is_dir() or (PACKAGE / first).is_dir()
    return not slash or folder or text.endswith(".py")


def exists(text: str) -> bool:
    """Whether the path is there: from the root or in the package, as it stands, as a module, or as
    `module.name` where the module defines that name.
    """
    candidates = [folder / text.rstrip("/") for folder in (ROOT, PACKAGE)]
    if any(path.exists() or path.with_name(path.name + ".py").exists() for path in candidates):
        return True
    if "/" not in text:
        return any(PACKAGE.rglob(text))
    module, _, name = text.rpartition(".")
    sources = [folder / f"{module}.py" for folder in (ROOT, PACKAGE)]
    return any(path.exists() and defines(path, name) for path in sources)


def defines(path: Path, name: str) -> bool:
    """Whether the module has a class, a function or a variable of that name."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            if node.name == name:
                return True
        elif isinstance(node, ast.Name) and node.id == name:
            return True
    return False


def missing(page: Path) -> list[str]:
    """What the page names that is not there."""
    text = page.read_text()
    spans = CODE_SPAN.findall(text)
    pages = {found.rstrip(".") for found in DOCS_PATH.findall(text) if "*" not in found}
    paths = {span for span in spans if names_our_file(span)} | pages
    named = {match[1] for span in spans if (match := TYPE.fullmatch(span))}
    unknown = named - types() - FOREIGN - set(dir(builtins))
    return sorted(path for path in paths if not exists(path)) + sorted(unknown)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_the_page_names_files_and_types_that_are_there(page: Path) -> None:
    if page.name not in HISTORY:
        assert missing(page) == []


def test_a_page_that_names_neither_file_nor_type_is_found(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    page.write_text(
        "`net/nowhere`, `Nobody.step()`, docs/nothing.md; `net/outbox`, `Path`, `ValueError`"
    )
    assert missing(page) == ["docs/nothing.md", "net/nowhere", "Nobody", "Path"]
