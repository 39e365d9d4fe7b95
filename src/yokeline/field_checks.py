"""Checks of untyped data against a struct type that report every problem, not only the first.

``msgspec`` stops at the first fault; people who write settings or configuration objects want
the whole list, each with what is allowed and what to do.
"""

from __future__ import annotations

import difflib
import functools
import math
from typing import Any

import msgspec
from msgspec import inspect

MAX_SHOWN_LENGTH = 60
UNKNOWN_KEY = "unknown key"


class FieldProblem(msgspec.Struct, frozen=True):
    """One fault of one field.

    Attributes:
        path: Where it is, such as ``limits.burst`` or ``addresses[2]``.
        message: What is wrong and what is allowed; one line.
        remedy: What to do; one line.
    """

    path: str
    message: str
    remedy: str

    def line(self) -> str:
        """Return the problem as one line."""
        return f"{self.path}: {self.message}; {self.remedy}"


def check_fields(raw: object, struct_type: type, path: str = "") -> list[FieldProblem]:
    """Return every unknown key, missing key, wrong type and value out of range.

    Args:
        raw: Data as a JSON or TOML decoder gives it.
        struct_type: The ``msgspec`` struct that the data is meant for.
        path: Prefix of the paths in the problems.
    """
    return _check_struct(raw, _described(struct_type), path)


def known_fields_only(raw: dict[str, Any], struct_type: type) -> dict[str, Any]:
    """Return ``raw`` without the keys that the struct does not have (top level only)."""
    known = {field.encode_name for field in _described(struct_type).fields}
    return {key: value for key, value in raw.items() if key in known}


@functools.cache
def _described(struct_type: type) -> inspect.StructType:
    described = inspect.type_info(struct_type)
    assert isinstance(described, inspect.StructType)
    return described


def allowed_text(described: inspect.Type) -> str:
    """Return what a field's type allows, in words."""
    if isinstance(described, inspect.UnionType):
        return " or ".join(allowed_text(part) for part in described.types)
    if isinstance(described, inspect.IntType):
        return "a whole number" + _range_text(described)
    if isinstance(described, inspect.FloatType):
        return "a number" + _range_text(described)
    if isinstance(described, inspect.EnumType):
        return "one of " + ", ".join(repr(member.value) for member in described.cls)
    if isinstance(described, inspect.VarTupleType | inspect.ListType):
        return "a list, each item " + allowed_text(described.item_type)
    if isinstance(described, inspect.DictType):
        return "a table of strings"
    if isinstance(described, inspect.StructType):
        return "a table"
    simple = {
        inspect.StrType: "a string",
        inspect.BoolType: "true or false",
        inspect.NoneType: "null",
    }
    return simple.get(type(described), "a value")


def _range_text(described: inspect.IntType | inspect.FloatType) -> str:
    bounds = [
        (" > ", described.gt),
        (" >= ", described.ge),
        (" < ", described.lt),
        (" <= ", described.le),
    ]
    stated = [f"{sign}{bound:g}" for sign, bound in bounds if bound is not None]
    return " and".join(stated)


def _check_struct(raw: object, described: inspect.StructType, path: str) -> list[FieldProblem]:
    if not isinstance(raw, dict):
        return [_wrong_value(raw, described, path)]
    fields = {field.encode_name: field for field in described.fields}
    problems = [_unknown_key(key, sorted(fields), path) for key in raw if key not in fields]
    for name, field in fields.items():
        where = _join(path, name)
        if name in raw:
            problems.extend(_check_value(raw[name], field.type, where))
        elif field.required:
            problems.append(FieldProblem(where, "missing", f"set it to {allowed_text(field.type)}"))
    return problems


def _check_value(raw: object, described: inspect.Type, path: str) -> list[FieldProblem]:
    if isinstance(described, inspect.UnionType):
        return _check_union(raw, described, path)
    if isinstance(described, inspect.Metadata):
        return _check_value(raw, described.type, path)
    if isinstance(described, inspect.StructType):
        return _check_struct(raw, described, path)
    if isinstance(described, inspect.VarTupleType | inspect.ListType):
        return _check_items(raw, described, path)
    if isinstance(described, inspect.DictType):
        return _check_entries(raw, described, path)
    if _scalar_fits(raw, described):
        return []
    return [_wrong_value(raw, described, path)]


def _check_union(raw: object, described: inspect.UnionType, path: str) -> list[FieldProblem]:
    parts = [part for part in described.types if not isinstance(part, inspect.NoneType)]
    if raw is None and len(parts) < len(described.types):
        return []
    if len(parts) == 1:
        return _check_value(raw, parts[0], path)
    if any(not _check_value(raw, part, path) for part in parts):
        return []
    return [_wrong_value(raw, described, path)]


def _check_items(
    raw: object, described: inspect.VarTupleType | inspect.ListType, path: str
) -> list[FieldProblem]:
    if not isinstance(raw, list | tuple):
        return [_wrong_value(raw, described, path)]
    problems: list[FieldProblem] = []
    for position, item in enumerate(raw):
        problems.extend(_check_value(item, described.item_type, f"{path}[{position}]"))
    return problems


def _check_entries(raw: object, described: inspect.DictType, path: str) -> list[FieldProblem]:
    if not isinstance(raw, dict):
        return [_wrong_value(raw, described, path)]
    problems: list[FieldProblem] = []
    for key, item in raw.items():
        problems.extend(_check_value(item, described.value_type, f"{path}[{key!r}]"))
    return problems


def _scalar_fits(raw: object, described: inspect.Type) -> bool:
    if isinstance(described, inspect.EnumType):
        return raw in [member.value for member in described.cls]
    if isinstance(described, inspect.IntType):
        return isinstance(raw, int) and not isinstance(raw, bool) and _in_range(raw, described)
    if isinstance(described, inspect.FloatType):
        number = isinstance(raw, int | float) and not isinstance(raw, bool)
        return number and _is_finite(raw) and _in_range(raw, described)
    if isinstance(described, inspect.StrType):
        return isinstance(raw, str)
    if isinstance(described, inspect.BoolType):
        return isinstance(raw, bool)
    return True


def _is_finite(raw: Any) -> bool:
    try:
        return math.isfinite(raw)
    except OverflowError:  # an integer that no float can hold
        return False


def _in_range(raw: Any, described: inspect.IntType | inspect.FloatType) -> bool:
    return (
        (described.gt is None or raw > described.gt)
        and (described.ge is None or raw >= described.ge)
        and (described.lt is None or raw < described.lt)
        and (described.le is None or raw <= described.le)
    )


def _unknown_key(key: object, known: list[str], path: str) -> FieldProblem:
    close = difflib.get_close_matches(str(key), known, n=1)
    remedy = f"did you mean {close[0]!r}?" if close else "remove it"
    return FieldProblem(
        _join(path, str(key)), f"{UNKNOWN_KEY}; known keys are {', '.join(known)}", remedy
    )


def _wrong_value(raw: object, described: inspect.Type, path: str) -> FieldProblem:
    allowed = allowed_text(described)
    shown = _shown(raw)
    return FieldProblem(
        path or "the whole", f"{shown} is not allowed; allowed is {allowed}", "correct it"
    )


def _shown(raw: object) -> str:
    if isinstance(raw, dict):
        return "a table"
    text = repr(raw)
    return text if len(text) <= MAX_SHOWN_LENGTH else text[:MAX_SHOWN_LENGTH] + "..."


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
