"""Files with configuration objects: TOML or JSON, many objects each.

A file has one array per kind (``[[programs]]`` in TOML; ``engine_pools`` or ``engine-pools``),
or is a JSON array of objects that each have a ``kind``. Objects are applied in the order in
which they stand; in TOML, in the order of the kinds.
"""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from yokeline.errors import ErrorKind, YokelineError
from yokeline.labels.checks import decode_object, qualified_name
from yokeline.labels.objects import ConfigurationObject, EnginePool, ObjectKind, Tenant

KIND_KEY = "kind"
JSON_SUFFIX = ".json"


class FileObject(msgspec.Struct, frozen=True, kw_only=True):
    """One object of a file."""

    kind: ObjectKind
    item: ConfigurationObject
    file: str

    @property
    def tenant(self) -> str:
        """Return its owner; empty for none."""
        return "" if isinstance(self.item, Tenant | EnginePool) else self.item.tenant

    @property
    def title(self) -> str:
        """Return kind and qualified name."""
        return f"{self.kind.value}/{qualified_name(self.item)}"

    def body(self) -> bytes:
        """Return its JSON text with every field."""
        return msgspec.json.encode(self.item)


def load_files(files: list[str]) -> Result[list[FileObject], YokelineError]:
    """Read and check all objects of some files, in order.

    Returns:
        The objects, or a ``BAD_SETTING`` whose ``details`` has one line per problem.
    """
    objects: list[FileObject] = []
    problems: list[str] = []
    for file in files:
        _load_file(file, objects, problems)
    problems.extend(_repeated(objects))
    if not problems and not objects:
        problems.append("the files have no objects; write some, such as [[programs]]")
    if not problems:
        return Success(objects)
    more = f" (and {len(problems) - 1} more problems)" if len(problems) > 1 else ""
    return Failure(
        YokelineError(
            kind=ErrorKind.BAD_SETTING,
            message=problems[0] + more,
            remedy="correct the files; nothing was sent",
            details=tuple(problems),
        )
    )


def _load_file(file: str, objects: list[FileObject], problems: list[str]) -> None:
    try:
        text = Path(file).read_text(encoding="utf-8")
        is_json = file.endswith(JSON_SUFFIX)
        data = json.loads(text) if is_json else tomllib.loads(text)
    except (OSError, ValueError) as error:
        problems.append(f"{file}: {error}")
        return
    for kind_name, fields in _entries(data):
        kind = _kind_of(kind_name)
        if kind is None:
            known = ", ".join(item.value for item in ObjectKind)
            problems.append(f"{file}: there is no kind {kind_name!r}; use one of {known}")
            continue
        decoded = decode_object(kind, json.dumps(fields))
        if isinstance(decoded, Failure):
            found = decoded.failure()
            name = fields.get("name", "?") if isinstance(fields, dict) else "?"
            problems.extend(f"{file}: {name}: {line}" for line in found.details or (found.line(),))
            continue
        objects.append(FileObject(kind=kind, item=decoded.unwrap(), file=file))


def _entries(data: Any) -> list[tuple[str, Any]]:
    """Return (kind, fields) of each object in a file's data, in order."""
    if isinstance(data, list):
        found = []
        for entry in data:
            fields = dict(entry) if isinstance(entry, dict) else {}
            found.append((str(fields.pop(KIND_KEY, "")), fields))
        return found
    if not isinstance(data, dict):
        return [("", data)]
    return [
        (kind_name, fields)
        for kind_name, entries in data.items()
        for fields in (entries if isinstance(entries, list) else [entries])
    ]


def _kind_of(text: str) -> ObjectKind | None:
    wanted = text.replace("_", "-")
    return next((kind for kind in ObjectKind if kind.value == wanted), None)


def _repeated(objects: list[FileObject]) -> list[str]:
    titles = [item.title for item in objects]
    repeated = sorted({title for title in titles if titles.count(title) > 1})
    return [f"{title} is there twice; remove one" for title in repeated]
