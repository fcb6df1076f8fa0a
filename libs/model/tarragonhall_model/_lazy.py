"""Package exports whose modules are imported on first use.

A restarted process cannot serve requests until its modules are imported, which takes long on a
fraction of a core, so it imports only those that its role needs.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable


def lazy_exports(package: str, names_by_module: dict[str, tuple[str, ...]]) -> Callable:
    """Return a `__getattr__` for a package that exports names of its private modules."""
    module_by_name = {name: module for module, names in names_by_module.items() for name in names}

    def load(name: str) -> object:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(f"{package}.{module}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return load
