"""Describes all settings and configuration objects from their types and docstrings."""

from __future__ import annotations

import ast
import inspect as python_inspect
import itertools
import re
import textwrap

import msgspec
from msgspec import inspect

from yokeline.field_checks import allowed_text
from yokeline.labels.objects import OBJECT_TYPES
from yokeline.role_settings import RoleSettings
from yokeline.settings import Settings

NO_DEFAULT = "required"
UNITS = {"seconds": "seconds", "bytes": "bytes", "tokens": "tokens", "port": "TCP/UDP port"}

_ATTRIBUTE = re.compile(r"^ {4}(\w+): (.*)$")
_CONTINUATION = re.compile(r"^ {8}(.*)$")


_ROLES_INTRODUCTION = (
    "A process of a role (`edge`, `storage`) reads one TOML file without sections;\n"
    "`deploy/node.toml` is its template."
)


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


def describe_role_settings() -> list[SettingRow]:
    """Return a row for each setting of a process that runs a role."""
    described = inspect.type_info(RoleSettings)
    assert isinstance(described, inspect.StructType)
    return _rows("role", described)


def render_configuration_page() -> str:
    """Return the three tables of ``docs/CONFIGURATION.md`` as Markdown."""
    settings = render_table(describe_settings(), "section")
    objects = render_table(describe_objects(), "kind")
    roles = render_table(describe_role_settings(), "section")
    return (
        f"## Settings\n\n{settings}\n\n"
        f"## Settings of the roles\n\n{_ROLES_INTRODUCTION}\n\n{roles}\n\n"
        f"## Configuration objects\n\n{objects}\n"
    )


def render_table(rows: list[SettingRow], first_column: str) -> str:
    """Return rows as a Markdown table."""
    lines = [f"| {first_column} | key | allowed | default | meaning |", "|---|---|---|---|---|"]
    for row in rows:
        cells = (row.section, f"`{row.key}`", row.allowed, f"`{row.default}`", row.docs)
        lines.append("| " + " | ".join(_cell(cell) for cell in cells) + " |")
    return "\n".join(lines)


def _cell(text: str) -> str:
    return text.replace("|", "\\|").replace("<", "&lt;").replace("\n", " ")


def _rows(section: str, described: inspect.StructType, prefix: str = "") -> list[SettingRow]:
    docs = _attribute_docs(described.cls)
    rows: list[SettingRow] = []
    for field in described.fields:
        row = SettingRow(
            section=section,
            key=prefix + field.name,
            allowed=allowed_text(field.type),
            default=_default_text(field),
            unit=_unit_of(field.name),
            docs=docs.get(field.name, ""),
        )
        rows.append(row)
        inner, suffix = _inner_struct(field.type)
        if inner is not None:
            rows.extend(_rows(section, inner, f"{row.key}{suffix}."))
    return rows


def _inner_struct(described: inspect.Type) -> tuple[inspect.StructType | None, str]:
    """Return the struct inside a field's type and what its path adds to the key."""
    if isinstance(described, inspect.StructType):
        return described, ""
    if isinstance(described, inspect.VarTupleType):
        return _inner_struct(described.item_type)[0], "[]"
    if isinstance(described, inspect.UnionType):
        found = (_inner_struct(part) for part in described.types)
        return next((pair for pair in found if pair[0] is not None), (None, ""))
    return None, ""


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
    """Return what is said of each attribute, one line each.

    It stands in the ``Attributes:`` section of the class's docstring, or as a string right
    below the attribute.
    """
    docs = _strings_below_attributes(struct_type)
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


def _strings_below_attributes(struct_type: type) -> dict[str, str]:
    source = textwrap.dedent(python_inspect.getsource(struct_type))
    definition = ast.parse(source).body[0]
    assert isinstance(definition, ast.ClassDef)
    docs: dict[str, str] = {}
    for attribute, below in itertools.pairwise(definition.body):
        if not isinstance(attribute, ast.AnnAssign) or not isinstance(attribute.target, ast.Name):
            continue
        if isinstance(below, ast.Expr) and isinstance(below.value, ast.Constant):
            docs[attribute.target.id] = " ".join(str(below.value.value).split())
    return docs
