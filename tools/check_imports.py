"""Check that each library imports only the libraries that the architecture allows it."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

PREFIX = "tarragonhall_"
ROOT = Path(__file__).resolve().parent.parent

ALLOWED_BY_LIBRARY = {
    "model": set(),
    "decisions": {"model"},
    "consensus": {"model"},
    "state": {"model"},
    "wire": {"model", "decisions"},
    "group": {"model", "decisions", "consensus", "wire"},
    "control": {"model", "decisions", "consensus", "state", "wire", "group"},
    "store": {"model", "consensus", "state", "wire", "group"},
    "relay": {"model", "decisions", "state", "wire", "rates"},
    "rates": {"model", "decisions", "wire"},
    "entry": {"model", "decisions", "consensus", "state", "wire", "rates"},
    "sidecar": {"model", "decisions", "consensus", "state", "wire"},
    "daemon": {"model", "decisions", "wire", "control", "entry", "sidecar"},
    "cli": {"model"},
    "fakes": {"model"},
}

# Headers, settings and calls of the users' platform, one per line.
PLATFORM_NAMES = (ROOT / "platform" / "names.txt").read_text().split()

# Decision logic can be replayed from a seed only if it reaches neither a socket nor a clock.
SANS_IO_LIBRARIES = {"model", "decisions", "consensus", "state"}
IO_MODULES = {"eventlet", "socket", "time", "websockets", "urllib3", "threading"}


def imported_modules(tree: ast.AST) -> list[tuple[int, str]]:
    """Return each imported module name with its line."""
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found.extend((node.lineno, alias.name) for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module and node.level == 0:
            found.append((node.lineno, node.module))
    return found


def check_file(library: str, path: Path) -> list[str]:
    """Return one finding for each import that ALLOWED_BY_LIBRARY forbids."""
    findings = []
    for line, module in imported_modules(ast.parse(path.read_text())):
        top, _, rest = module.partition(".")
        location = f"{path.relative_to(ROOT)}:{line}"
        if top in IO_MODULES and library in SANS_IO_LIBRARIES:
            findings.append(f"{location}: {library} must not import {top}")
        if not top.startswith(PREFIX):
            continue
        other = top.removeprefix(PREFIX)
        if other == library:
            if rest.startswith("_") and path.name == "__main__.py":
                continue
            continue
        if other not in ALLOWED_BY_LIBRARY[library]:
            findings.append(f"{location}: {library} must not import {other}")
        if rest.startswith("_"):
            findings.append(f"{location}: {module} is private to {other}")
    return findings


def check_platform_names() -> list[str]:
    """Return one finding for each line outside `platform/` that uses a name of the platform.

    Translation to the platform belongs in that folder: its names elsewhere tie the code to one
    platform.
    """
    findings = []
    for path in sorted(ROOT.glob("libs/**/*.py")) + sorted(ROOT.glob("tools/*.py")):
        if path == Path(__file__).resolve():
            continue
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            for name in PLATFORM_NAMES:
                if name.lower() in line.lower():
                    location = f"{path.relative_to(ROOT)}:{number}"
                    findings.append(f"{location}: {name} may only be used in platform/")
    return findings


def main() -> int:
    """Check every library and return the exit code."""
    findings = check_platform_names()
    for library in ALLOWED_BY_LIBRARY:
        package = ROOT / "libs" / library / f"{PREFIX}{library}"
        for path in sorted(package.rglob("*.py")):
            findings.extend(check_file(library, path))
    for finding in findings:
        print(finding, file=sys.stderr)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
