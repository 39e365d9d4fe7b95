"""Output of commands: tables for people, JSON for programs."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from rich.console import Console
from rich.table import Table
from rich.text import Text

Row = Mapping[str, Any]


class Output:
    """Writes results to standard output, notes to standard error."""

    def __init__(self, *, as_json: bool) -> None:
        """Write JSON if ``as_json``, else tables."""
        self.as_json = as_json

    def value(self, value: Any) -> None:
        """Write one JSON value, indented for people."""
        print(json.dumps(value, indent=None if self.as_json else 2, ensure_ascii=False))

    def rows(self, rows: Iterable[Row], columns: Sequence[str] = ()) -> None:
        """Write rows: one JSON array, or a table.

        Args:
            rows: JSON objects.
            columns: Keys to show, in order; all keys of the rows where none are given.
        """
        found = list(rows)
        if self.as_json:
            print(json.dumps(found, ensure_ascii=False))
            return
        if not found:
            print("none")
            return
        shown = list(columns) or _keys(found)
        table = Table(*shown, box=None, pad_edge=False, header_style="bold")
        for row in found:
            table.add_row(*[Text(_cell(row.get(key))) for key in shown])
        console = Console(soft_wrap=not sys.stdout.isatty())
        console.print(table)

    def note(self, line: str) -> None:
        """Write a line for people that is no result."""
        print(line, file=sys.stderr)


def _keys(rows: Sequence[Row]) -> list[str]:
    return list(dict.fromkeys(key for row in rows for key in row))


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, str):
        return value
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, Mapping):
        set_fields = [(key, item) for key, item in value.items() if not _is_empty(item)]
        return " ".join(f"{key}={_cell(item)}" for key, item in set_fields)
    if isinstance(value, list | tuple):
        return " ".join(_cell(item) for item in value)
    return json.dumps(value)


def _is_empty(value: Any) -> bool:
    """Return whether a value is left out of a table's cell; numbers never are."""
    return value is None or value is False or value in ("", [], {})
