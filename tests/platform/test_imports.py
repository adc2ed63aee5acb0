"""The modules of the platform's call agent import each other one way only, for types as well."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import peattrestle.platform

PACKAGE = "peattrestle.platform"


def imported_modules(source: str) -> set[str]:
    """Returns the modules of the package that a module imports anywhere in its source."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module == PACKAGE:
            names |= {f"{PACKAGE}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            names.add(node.module)
    return {name for name in names if name.startswith(f"{PACKAGE}.")}


def test_no_module_of_the_platform_imports_itself_through_others() -> None:
    folder = Path(peattrestle.platform.__file__).parent
    imports = {f"{PACKAGE}.{path.stem}": imported_modules(path.read_text()) for path in folder.glob("*.py")}
    assert len(imports) > 10
    TopologicalSorter(imports).prepare()  # raises CycleError
