"""Writes tables of all settings and metrics into the operators' pages.

Run by ``make reference``; a test fails while a page differs from the code.
"""

import ast
import inspect
import itertools
import pathlib
import re
import textwrap
import typing as t

import msgspec
from aioprometheus.collectors import Collector

from bulrushflow import settings as settings_module
from bulrushflow.metrics import Metrics
from bulrushflow.settings import Settings

PAGES = pathlib.Path(__file__).resolve().parent.parent / "docs" / "operators"
BEGIN = "<!-- reference: begin -->"
END = "<!-- reference: end -->"


def settings_table(kind: type[msgspec.Struct] = Settings, place: str = "") -> str:
    """Return a Markdown table of all settings with their types, defaults and descriptions."""
    header = ["| key | value | default | meaning |", "|---|---|---|---|"]
    return "\n".join(header + _settings_rows(kind, place))


def metrics_table() -> str:
    """Return a Markdown table of all metrics."""
    lines = ["| metric | kind | meaning |", "|---|---|---|"]
    collectors: list[Collector] = Metrics(1).registry.get_all()
    for collector in sorted(collectors, key=lambda c: c.name):
        kind = type(collector).__name__.lower()
        lines.append(f"| `{collector.name}` | {kind} | {collector.doc} |")
    return "\n".join(lines)


def with_table(page: str, table: str) -> str:
    """Return a page with the text between its markers replaced by a table."""
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f"{head}{BEGIN}\n{table}\n{END}{tail}"


def _settings_rows(kind: t.Any, place: str) -> list[str]:
    docs_by_name = _field_docs(kind)
    rows = []
    for field in msgspec.structs.fields(kind):
        key = f"{place}{field.name}"
        if inspect.isclass(field.type) and issubclass(field.type, msgspec.Struct):
            rows.append(f"| `{key}` | object | | {_first_line(field.type)} |")
            rows += _settings_rows(field.type, f"{key}.")
            continue
        default = (
            "required" if field.required else f"`{msgspec.json.encode(field.default).decode()}`"
        )
        doc = docs_by_name.get(field.name, "")
        rows.append(f"| `{key}` | {_type_text(field.type)} | {default} | {doc} |")
    return rows


def _first_line(kind: type) -> str:
    return (inspect.getdoc(kind) or "").partition("\n")[0]


def _type_text(kind: t.Any) -> str:
    """Return a type and its bounds in words, for operators."""
    schema = msgspec.json.schema(kind)
    if "enum" in schema:
        return ", ".join(f"`{value}`" for value in schema["enum"])
    text = {"integer": "whole number", "string": "text", "array": "list of text"}.get(
        schema["type"], schema["type"]
    )
    bounds_by_key = {
        "minimum": "at least {}",
        "exclusiveMinimum": "above {}",
        "maximum": "at most {}",
        "maxLength": "at most {} characters",
    }
    bounds = [form.format(schema[key]) for key, form in bounds_by_key.items() if key in schema]
    return ", ".join([text, *bounds])


def _field_docs(kind: type) -> dict[str, str]:
    """Return the doc comments below a class's fields, by the fields' names."""
    module = ast.parse(inspect.getsource(settings_module))
    body = next(
        n.body for n in module.body if isinstance(n, ast.ClassDef) and n.name == kind.__name__
    )
    docs = {}
    for node, following in itertools.pairwise(body):
        if not isinstance(node, ast.AnnAssign) or not isinstance(node.target, ast.Name):
            continue
        if isinstance(following, ast.Expr) and isinstance(following.value, ast.Constant):
            text = textwrap.dedent(str(following.value.value))
            docs[node.target.id] = re.sub(r"\s+", " ", text).strip()
    return docs


TABLES_BY_PAGE: dict[str, t.Callable[[], str]] = {
    "settings.md": settings_table,
    "metrics.md": metrics_table,
}


def main() -> None:
    """Rewrite the tables of all pages in place."""
    for name, table in TABLES_BY_PAGE.items():
        path = PAGES / name
        path.write_text(with_table(path.read_text(encoding="utf-8"), table()), encoding="utf-8")


if __name__ == "__main__":
    main()
