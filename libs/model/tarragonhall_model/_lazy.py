"""Packages that import a module when one of its names is first used.

A process that was killed serves nobody until it has read its modules, on a fraction of a core; it
reads those that its role needs.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable


def lazy_exports(package: str, names_by_module: dict[str, tuple[str, ...]]) -> Callable:
    """Return the `__getattr__` of a package that exports names of its private modules."""
    module_by_name = {name: module for module, names in names_by_module.items() for name in names}

    def load(name: str) -> object:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(f"{package}.{module}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return load
