"""Commands about configuration objects."""

from __future__ import annotations

import time
from typing import Any

import msgspec
from returns.result import Failure

from yokeline.commands.client import ERROR_STATUS, Client, Reply, error_of, path_of
from yokeline.commands.connection import Session, connected
from yokeline.commands.object_files import FileObject, load_files
from yokeline.commands.output import Output
from yokeline.errors import (
    EXIT_OK,
    EXIT_USAGE,
    ErrorKind,
    YokelineError,
    YokelineException,
)
from yokeline.labels.objects import OBJECT_TYPES, StoredObject
from yokeline.labels.references import check_clashes, check_references
from yokeline.labels.view import ConfigurationView

STATUS_NOT_FOUND = 404
STATUS_PRECONDITION_FAILED = 412
WRITE_SECONDS = 30.0
RESOLVE_ATTEMPTS = 10
RESOLVE_PAUSE_SECONDS = 1.0
WRITE_ATTEMPTS = 3
"""Times that an object is read and written anew after another write came first."""


class Found(msgspec.Struct, frozen=True, kw_only=True):
    """An object as the service has it."""

    etag: str
    body: bytes


@connected
def get(session: Session, kind: str, name: str = "", *, tenant: str = "") -> int:
    """Show a configuration object, or list those of a kind.

    Args:
        session: The node to ask, and where the result goes.
        kind: tenants, programs, engine-pools, tools, apps or policies.
        name: Name of the object; all of the kind where it is left out.
        tenant: Owner of the object, for the platform operator.
    """
    if name:
        reply = session.client.ask(
            "GET", path_of("admin", "v1", kind, name), query={"tenant": tenant}
        )
        session.output.note(f"revision {reply.headers.get('etag', '?')}")
        session.output.value(reply.json())
        return EXIT_OK
    rows = session.client.pages(path_of("admin", "v1", kind), "items", {"tenant": tenant})
    session.output.rows(rows, ("name", "revision", "object"))
    return EXIT_OK


@connected
def put(session: Session, *files: str) -> int:
    """Write the objects of some files, in order; objects that are the same stay untouched.

    Stops at the first object that cannot be written. Exit code 0: all are in force as in
    the files; 1: one was refused or its outcome is unknown; 2: a file is wrong (nothing sent).

    Args:
        session: The node to ask, and where the result goes.
        files: TOML or JSON files with [[tenants]], [[programs]], [[policies]] and so on.
    """
    objects = _load(session.output, files)
    rows: list[dict[str, Any]] = []
    try:
        for item in objects:
            rows.append(_put(session, item))
    finally:
        session.output.rows(rows, ("object", "result", "revision"))
    return EXIT_OK


@connected
def delete(session: Session, kind: str, name: str, *, tenant: str = "", revision: int = 0) -> int:
    """Delete a configuration object.

    Args:
        session: The node to ask, and where the result goes.
        kind: tenants, programs, engine-pools, tools, apps or policies.
        name: Name of the object.
        tenant: Owner of the object, for the platform operator.
        revision: Delete it only if it has this revision; 0: the one it has now.
    """
    path = path_of("admin", "v1", kind, name)
    query = {"tenant": tenant}
    etag = (
        f'"{revision}"'
        if revision
        else session.client.ask("GET", path, query=query).headers["etag"]
    )
    reply = session.client.request(
        "DELETE", path, query=query, headers={"if-match": etag}, seconds=WRITE_SECONDS
    )
    session.output.value(_written(session.client, reply))
    return EXIT_OK


@connected
def diff(session: Session, *files: str) -> int:
    """Show what put would change, without changing anything.

    Args:
        session: The node to ask, and where the result goes.
        files: TOML or JSON files with objects.
    """
    rows: list[dict[str, Any]] = []
    for item in _load(session.output, files):
        rows.extend(_differences(item, _find(session.client, item)))
    session.output.rows(rows, ("object", "field", "in_force", "in_file"))
    return EXIT_OK


def check(*files: str) -> int:
    """Check files with objects, offline: types, names, selectors and references.

    References to objects that are in no file are warnings. Exit code 0: no problem;
    2: a problem, each on a line of its own.

    Args:
        files: TOML or JSON files with objects.
    """
    output = Output(as_json=False)
    objects = _load(output, files)
    stored = [
        StoredObject(
            kind=item.kind,
            name=item.title.partition("/")[2],
            revision=position + 1,
            body=item.body().decode(),
        )
        for position, item in enumerate(objects)
    ]
    view = ConfigurationView().with_objects(stored)
    clashes = 0
    for item in objects:
        for warning in check_references(view, item.item):
            output.note(f"warning: {item.file}: {item.title}: {warning}")
        clash = check_clashes(view, item.item)
        if isinstance(clash, Failure):
            clashes += 1
            output.note(f"{item.file}: {item.title}: {clash.failure().line()}")
    if clashes:
        return EXIT_USAGE
    print(f"{len(objects)} objects are well formed")
    return EXIT_OK


@connected
def explain(session: Session, program: str, *, tenant: str = "") -> int:
    """Show which policies apply to a program, where it may run, and why.

    Args:
        session: The node to ask, and where the result goes.
        program: Name of the program.
        tenant: Owner of the program, for the platform operator.
    """
    path = path_of("admin", "v1", "explain", program)
    found = session.client.ask("GET", path, query={"tenant": tenant}).json()
    if session.output.as_json:
        session.output.value(found)
        return EXIT_OK
    policies = found.pop("policies")
    pools = found.pop("pools")
    session.output.rows([{"setting": key, "value": value} for key, value in found.items()])
    print()
    session.output.rows(policies, ("policy", "owner", "applies", "detail"))
    print()
    session.output.rows(pools, ("pool", "allowed", "reason"))
    return EXIT_OK


# ---------------------------------------------------------------- one object


def _load(output: Output, files: tuple[str, ...]) -> list[FileObject]:
    if not files:
        raise YokelineException(
            YokelineError(
                kind=ErrorKind.BAD_SETTING,
                message="no file is given",
                remedy="name TOML or JSON files with objects",
            )
        )
    loaded = load_files(list(files))
    if isinstance(loaded, Failure):
        error = loaded.failure()
        for line in error.details[1:]:
            output.note(line)
        raise YokelineException(error)
    return loaded.unwrap()


def _find(client: Client, item: FileObject) -> Found | None:
    reply = client.request("GET", _path(item), query={"tenant": item.tenant})
    if reply.status == STATUS_NOT_FOUND:
        return None
    if reply.status >= ERROR_STATUS:
        raise YokelineException(error_of(reply))
    return Found(etag=reply.headers["etag"], body=reply.body)


def _put(session: Session, item: FileObject) -> dict[str, Any]:
    for _ in range(WRITE_ATTEMPTS):
        found = _find(session.client, item)
        if found is not None and _same(item, found):
            revision = found.etag.strip('"')
            return {"object": item.title, "result": "unchanged", "revision": revision}
        condition = {"if-match": found.etag} if found is not None else {"if-none-match": "*"}
        reply = session.client.request(
            "PUT",
            _path(item),
            query={"tenant": item.tenant},
            body=item.body(),
            headers=condition,
            seconds=WRITE_SECONDS,
        )
        if reply.status != STATUS_PRECONDITION_FAILED:
            break
        time.sleep(RESOLVE_PAUSE_SECONDS)
    written = _written(session.client, reply)
    for warning in written.get("warnings", ()):
        session.output.note(f"warning: {item.title}: {warning}")
    result = "created" if found is None else "updated"
    return {"object": item.title, "result": result, "revision": written["revision"]}


def _written(client: Client, reply: Reply) -> dict[str, Any]:
    """Return the answer to a write; find out what became of one whose outcome is unknown."""
    if reply.status < ERROR_STATUS:
        answer: dict[str, Any] = reply.json()
        return answer
    error = error_of(reply)
    if error.kind is ErrorKind.OUTCOME_UNKNOWN:
        operation = reply.json().get("operation", "")
        for _ in range(RESOLVE_ATTEMPTS if operation else 0):
            time.sleep(RESOLVE_PAUSE_SECONDS)
            asked = client.request("GET", path_of("admin", "v1", "operations", operation))
            if asked.status < ERROR_STATUS and asked.json()["outcome"] == "applied":
                return dict(asked.json())
    raise YokelineException(error)


def _same(item: FileObject, found: Found) -> bool:
    try:
        return bool(msgspec.json.decode(found.body, type=OBJECT_TYPES[item.kind]) == item.item)
    except msgspec.MsgspecError:
        return False


def _differences(item: FileObject, found: Found | None) -> list[dict[str, Any]]:
    wanted = msgspec.json.decode(item.body())
    present = msgspec.json.decode(found.body) if found is not None else {}
    rows = []
    for field in sorted(set(wanted) | set(present)):
        if wanted.get(field) != present.get(field):
            rows.append(
                {
                    "object": item.title,
                    "field": field,
                    "in_force": present.get(field),
                    "in_file": wanted.get(field),
                }
            )
    return rows


def _path(item: FileObject) -> str:
    return path_of("admin", "v1", item.kind.value, item.item.name)
