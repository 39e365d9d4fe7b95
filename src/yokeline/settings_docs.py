"""Describes all settings and configuration objects from their types and docstrings."""

from __future__ import annotations

import inspect as python_inspect
import re

import msgspec
from msgspec import inspect

from yokeline.field_checks import allowed_text
from yokeline.labels.objects import OBJECT_TYPES
from yokeline.settings import Settings

NO_DEFAULT = "required"
UNITS = {"seconds": "seconds", "bytes": "bytes", "tokens": "tokens", "port": "TCP/UDP port"}

_ATTRIBUTE = re.compile(r"^ {4}(\w+): (.*)$")
_CONTINUATION = re.compile(r"^ {8}(.*)$")


class SettingRow(msgspec.Struct, frozen=True, kw_only=True):
    """One field of a settings table or configuration object, described for people.

    Attributes:
        allowed: What its type allows, in words.
        default: Its default as JSON; ``required`` where there is none.
        unit: Unit that the name states; empty for none.
        docs: What the docstring of its struct says.
    """

    section: str
    key: str
    allowed: str
    default: str
    unit: str
    docs: str


def describe_settings() -> list[SettingRow]:
    """Return a row for each setting, section by section in the order of the structs."""
    described = inspect.type_info(Settings)
    assert isinstance(described, inspect.StructType)
    rows: list[SettingRow] = []
    for section in described.fields:
        assert isinstance(section.type, inspect.StructType)
        rows.extend(_rows(section.name, section.type))
    return rows


def describe_objects() -> list[SettingRow]:
    """Return a row for each field of each kind of configuration object."""
    rows: list[SettingRow] = []
    for kind, object_type in OBJECT_TYPES.items():
        described = inspect.type_info(object_type)
        assert isinstance(described, inspect.StructType)
        rows.extend(_rows(kind.value, described))
    return rows


def render_configuration_page() -> str:
    """Return the two tables of ``docs/CONFIGURATION.md`` as Markdown."""
    settings = render_table(describe_settings(), "section")
    objects = render_table(describe_objects(), "kind")
    return f"## Settings\n\n{settings}\n\n## Configuration objects\n\n{objects}\n"


def render_table(rows: list[SettingRow], first_column: str) -> str:
    """Return rows as a Markdown table."""
    lines = [f"| {first_column} | key | allowed | default | meaning |", "|---|---|---|---|---|"]
    for row in rows:
        cells = (row.section, f"`{row.key}`", row.allowed, f"`{row.default}`", row.docs)
        lines.append("| " + " | ".join(_cell(cell) for cell in cells) + " |")
    return "\n".join(lines)


def _cell(text: str) -> str:
    return text.replace("|", "\\|").replace("<", "&lt;").replace("\n", " ")


def _rows(section: str, described: inspect.StructType) -> list[SettingRow]:
    docs = _attribute_docs(described.cls)
    return [
        SettingRow(
            section=section,
            key=field.name,
            allowed=allowed_text(field.type),
            default=_default_text(field),
            unit=_unit_of(field.name),
            docs=docs.get(field.name, ""),
        )
        for field in described.fields
    ]


def _default_text(field: inspect.Field) -> str:
    if field.required:
        return NO_DEFAULT
    if field.default is not msgspec.NODEFAULT:
        return msgspec.json.encode(field.default).decode()
    factory = field.default_factory
    return msgspec.json.encode(factory()).decode() if callable(factory) else NO_DEFAULT


def _unit_of(name: str) -> str:
    return UNITS.get(name.rpartition("_")[2], "")


def _attribute_docs(struct_type: type) -> dict[str, str]:
    """Return the ``Attributes:`` section of a struct's docstring, joined to one line each."""
    docs: dict[str, str] = {}
    current = ""
    text = python_inspect.getdoc(struct_type) or ""
    for line in text.partition("Attributes:\n")[2].splitlines():
        attribute = _ATTRIBUTE.match(line)
        continuation = _CONTINUATION.match(line)
        if attribute:
            current = attribute[1]
            docs[current] = attribute[2]
        elif continuation and current:
            docs[current] += " " + continuation[1]
    return docs
