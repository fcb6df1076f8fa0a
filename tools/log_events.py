"""List every log event of the code with its fields, for the operators' documentation.

`log_events.py` prints the table; a test compares the documentation page with it.
"""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LEVELS = ("debug", "info", "warning", "error", "exception")
SOURCES = ("libs/*/tarragonhall_*/*.py", "platform/tarragonhall_platform/*.py")


def events() -> dict[str, dict[str, set[str]]]:
    """Return the levels, fields and source libraries of each event, by event name."""
    found: dict[str, dict[str, set[str]]] = {}
    for pattern in SOURCES:
        for path in sorted(ROOT.glob(pattern)):
            for node in ast.walk(ast.parse(path.read_text())):
                _add_event(node, path, found)
    return found


def table() -> str:
    """Return the events as a Markdown table."""
    rows = ["| event | level | from | fields |", "|---|---|---|---|"]
    for name, parts in sorted(events().items()):
        level = ", ".join(sorted(parts["levels"]))
        source = ", ".join(sorted(parts["sources"]))
        fields = ", ".join(f"`{field}`" for field in sorted(parts["fields"])) or "-"
        rows.append(f"| `{name}` | {level} | {source} | {fields} |")
    return "\n".join(rows)


def _add_event(node: ast.AST, path: Path, found: dict[str, dict[str, set[str]]]) -> None:
    if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
        return
    logger = node.func.value
    if not isinstance(logger, ast.Name) or logger.id != "log" or node.func.attr not in LEVELS:
        return
    if not node.args or not isinstance(node.args[0], ast.Constant):
        return
    parts = found.setdefault(
        node.args[0].value, {"levels": set(), "fields": set(), "sources": set()}
    )
    parts["levels"].add(node.func.attr)
    parts["fields"].update(word.arg for word in node.keywords if word.arg)
    parts["sources"].add(path.parent.name.removeprefix("tarragonhall_"))


if __name__ == "__main__":
    print(table())
