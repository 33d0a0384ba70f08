"""Imports: which modules of the package import each other in a circle, found by reading the sources.

Every import counts: also those for type checkers alone, and those within functions.
"""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
PACKAGE = "merlintally"
LAB = f"{PACKAGE}.lab"
Graph = dict[str, set[str]]

# Circles outside the laboratory that are let stand, each with its reason: none today.
KNOWN_CIRCLES: dict[frozenset[str], str] = {}


def sources(root: Path, package: str) -> dict[str, Path]:
    """The source file of each module, by the module's full name."""
    found = {}
    for path in sorted((root / package).rglob("*.py")):
        parts = path.relative_to(root).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported(statement: ast.AST, modules: set[str]) -> Iterator[str]:
    """The modules of the package that one statement imports."""
    if isinstance(statement, ast.Import):
        yield from (alias.name for alias in statement.names if alias.name in modules)
    elif isinstance(statement, ast.ImportFrom):
        assert statement.level == 0, "the package imports by full names only"
        for alias in statement.names:
            submodule = f"{statement.module}.{alias.name}"
            if submodule in modules:
                yield submodule
            elif statement.module in modules:
                yield str(statement.module)


def import_graph(root: Path, package: str) -> Graph:
    """Which modules of the package each of its modules imports."""
    files = sources(root, package)
    graph: Graph = {}
    for name, path in files.items():
        statements = ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        graph[name] = {other for one in statements for other in imported(one, set(files))} - {name}
    return graph


def reachable(graph: Graph, start: str) -> set[str]:
    """All modules that a module imports, directly or by way of others."""
    seen: set[str] = set()
    todo = list(graph[start])
    while todo:
        name = todo.pop()
        if name not in seen:
            seen.add(name)
            todo.extend(graph[name])
    return seen


def circles(graph: Graph) -> set[frozenset[str]]:
    """The sets of modules that all reach each other: the strongly connected components of two or more."""
    reached = {name: reachable(graph, name) for name in graph}
    return {
        frozenset(other for other in reached[name] if name in reached[other])
        for name in graph
        if name in reached[name]
    }


def is_in(name: str, package: str) -> bool:
    return f"{name}.".startswith(f"{package}.")


def between_subpackages(graph: Graph, parent: str) -> Graph:
    """The graph between the direct subpackages of a package, each with all that is in it."""

    def subpackage(name: str) -> str:
        return name.removeprefix(f"{parent}.").split(".")[0]

    found: Graph = {}
    for name, others in graph.items():
        if is_in(name, parent) and name != parent:
            inner = {subpackage(one) for one in others if is_in(one, parent)}
            found.setdefault(subpackage(name), set()).update(inner - {subpackage(name)})
    return found


@pytest.fixture(scope="module")
def graph() -> Graph:
    return import_graph(ROOT, PACKAGE)


def test_no_circle_in_the_laboratory(graph: Graph) -> None:
    found = [sorted(one) for one in circles(graph) if any(is_in(name, LAB) for name in one)]
    assert found == []


def test_no_circle_between_the_packages_of_the_laboratory(graph: Graph) -> None:
    packages = between_subpackages(graph, LAB)
    assert len(packages) > 1 and circles(packages) == set()


def test_no_circle_elsewhere_but_those_known(graph: Graph) -> None:
    found = {one for one in circles(graph) if not any(is_in(name, LAB) for name in one)}
    assert found == set(KNOWN_CIRCLES)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("from box.b import thing", True),
        ("from box import b", True),
        ("try:\n    import box.b\nexcept ImportError:\n    pass", True),
        ("def call():\n    import box.b", True),
        ("from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from box.b import thing", True),
        ("import json", False),
    ],
)
def test_a_circle_is_found(tmp_path: Path, text: str, expected: bool) -> None:
    (tmp_path / "box").mkdir()
    for name, source in (("__init__", ""), ("a", text), ("b", "import box.c"), ("c", "import box.a")):
        (tmp_path / "box" / f"{name}.py").write_text(source)
    found = circles(import_graph(tmp_path, "box"))
    assert found == ({frozenset({"box.a", "box.b", "box.c"})} if expected else set())
