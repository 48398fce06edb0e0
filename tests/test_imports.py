"""Imports between the modules run one way, also those for type checks alone."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from graphlib import TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = "gingerworks"


def module_name(source: Path) -> str:
    parts = source.relative_to(ROOT).with_suffix("").parts
    return ".".join(part for part in parts if part != "__init__")


def imported(source: Path) -> Iterator[str]:
    """Whatever a module imports, wherever the statement stands; names of modules and of what is in them."""
    for node in ast.walk(ast.parse(source.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield str(node.module)
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def test_no_module_imports_one_that_imports_it() -> None:
    sources = {module_name(source): source for source in (ROOT / PACKAGE).rglob("*.py")}
    packages = {name for name, source in sources.items() if source.name == "__init__.py"}
    modules = sources.keys() - packages  # a package's own names are gathered from its modules
    graph = {name: set(imported(sources[name])) & modules for name in modules}
    assert f"{PACKAGE}.gateway.client" in graph[f"{PACKAGE}.gateway.frontend"]
    TopologicalSorter(graph).prepare()  # raises CycleError
