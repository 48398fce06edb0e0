"""No import cycles between the modules, not even by imports for type checks only."""

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
    """All that a module imports, at any place in it: names of modules, and of names in modules."""
    for node in ast.walk(ast.parse(source.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield str(node.module)
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def test_no_modules_import_each_other() -> None:
    sources = {module_name(source): source for source in (ROOT / PACKAGE).rglob("*.py")}
    packages = {name for name, source in sources.items() if source.name == "__init__.py"}
    modules = sources.keys() - packages  # a package only re-exports names of its modules
    graph = {name: set(imported(sources[name])) & modules for name in modules}
    assert f"{PACKAGE}.gateway.client" in graph[f"{PACKAGE}.gateway.frontend"]
    TopologicalSorter(graph).prepare()  # raises CycleError on a cycle
