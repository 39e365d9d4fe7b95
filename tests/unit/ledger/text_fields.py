"""The fields of messages, log entries, snapshots and files that can hold a text.

A text is a request's body, a turn's input or an answer. Every field of type ``str`` or ``bytes``,
or of no fixed type, can hold one.
"""

from __future__ import annotations

import re
import types
import typing
from pathlib import Path

import msgspec

from yokeline import effects
from yokeline.ledger.disk_records import DiskRecord
from yokeline.ledger.messages import LedgerFrame, LoadFrame
from yokeline.ledger.regional_text_store import TextFileRecord
from yokeline.ledger.state import LedgerCommand, LedgerState

ROOTS = (
    LedgerFrame,
    LoadFrame,
    DiskRecord,
    TextFileRecord,
    LedgerCommand,
    LedgerState,
    effects.Effect,
)
"""Frames and datagrams between nodes, records of files, log entries, snapshots, and everything that
a node does: requests to engines, answers to callers, files, log lines."""

SOURCE = Path(__file__).resolve().parents[3] / "src" / "yokeline"
NOTE = SOURCE.parents[1] / "docs" / "design" / "data-residency.md"
_ROW = re.compile(r"^\| `(?P<first>[^|]*)` \| (?P<second>.*) \|$")


def open_fields(*roots: object) -> dict[str, set[str]]:
    """Return the fields that can hold a text, by type, of all types reachable from some types."""
    found: dict[str, set[str]] = {}
    pending: list[object] = list(roots)
    seen: set[object] = set()
    while pending:
        kind = pending.pop()
        if not isinstance(kind, type) or not issubclass(kind, msgspec.Struct) or kind in seen:
            pending.extend(_parts(kind))
            continue
        seen.add(kind)
        for name, hint in typing.get_type_hints(kind).items():
            if name not in kind.__struct_fields__:
                continue
            pending.append(hint)
            if _can_hold_text(hint):
                found.setdefault(kind.__name__, set()).add(name)
    return found


def writers(*calls: str) -> set[str]:
    """Return the modules of the roles that write files, by path below the package."""
    pattern = re.compile(rf"\b(?:{'|'.join(calls)})\(")
    folders = ("forwarding", "ledger", "registry", "platform", "scheduling")
    files = (path for folder in folders for path in (SOURCE / folder).glob("*.py"))
    return {str(path.relative_to(SOURCE)) for path in files if pattern.search(path.read_text())}


def documented(heading: str) -> dict[str, str]:
    """Return the rows of the note's table below a heading: first column to the rest."""
    section = NOTE.read_text().split(f"\n### {heading}\n", 1)[1].split("\n#", 1)[0]
    rows = (_ROW.match(line) for line in section.splitlines())
    return {row["first"]: row["second"] for row in rows if row}


def _parts(kind: object) -> tuple[object, ...]:
    return typing.get_args(kind)


def _can_hold_text(hint: object) -> bool:
    if hint in (str, bytes, bytearray, memoryview, object, typing.Any, msgspec.Raw, msgspec.Struct):
        return True
    supertype = getattr(hint, "__supertype__", None)
    if supertype is not None:
        return _can_hold_text(supertype)
    if isinstance(hint, type) and not isinstance(hint, types.GenericAlias):
        return False
    return any(_can_hold_text(part) for part in _parts(hint))
