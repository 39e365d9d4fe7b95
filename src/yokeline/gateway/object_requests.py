"""From an admin request to a configuration object: whose it is, its revision, its operation."""

from __future__ import annotations

import random
import re

import msgspec
from returns.result import Failure, Result, Success

from yokeline.effects import HttpArrived
from yokeline.errors import ErrorKind, YokelineError
from yokeline.gateway.authentication import Identity
from yokeline.gateway.problems import bad_request, forbidden, not_found
from yokeline.gateway.requests import MAX_SHOWN
from yokeline.labels.checks import decode_object
from yokeline.labels.objects import ConfigurationObject, ObjectKind, StoredObject
from yokeline.labels.value_checks import is_object_name

OPERATION_PREFIX = "op"
OPERATION_NONCE_BITS = 64
ANY_REVISION = "*"
ABSENT_REVISION = 0

OWNED_KINDS = frozenset({ObjectKind.PROGRAM, ObjectKind.TOOL, ObjectKind.APP, ObjectKind.POLICY})
"""Kinds whose objects belong to a tenant."""

ALWAYS_OWNED_KINDS = frozenset({ObjectKind.PROGRAM})
"""Kinds that have no shared objects."""

_ENTITY_TAG = re.compile(r'(?:W/)?"([0-9]{1,19})"')
_OPERATION = re.compile(r"op:([a-z-]+):([A-Za-z0-9_.~-]+):([0-9]{1,19}):[0-9a-f]{16}")


class ObjectAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Which object a request is about; ``tenant`` is empty for a platform object."""

    kind: ObjectKind
    tenant: str
    name: str

    @property
    def qualified_name(self) -> str:
        """Return the name under which it is stored."""
        return f"{self.tenant}/{self.name}" if self.tenant else self.name


class OperationId(msgspec.Struct, frozen=True, kw_only=True):
    """A write operation; its text says what it was about, so that any node can resolve it."""

    kind: ObjectKind
    qualified_name: str
    expected_revision: int
    text: str


def parse_kind(text: str) -> Result[ObjectKind, YokelineError]:
    """Return the kind that a path segment names."""
    for kind in ObjectKind:
        if kind.value == text:
            return Success(kind)
    known = ", ".join(kind.value for kind in ObjectKind)
    return Failure(not_found(f"there is no kind {text[:MAX_SHOWN]!r}", f"use one of {known}"))


def scope_of(
    identity: Identity, kind: ObjectKind, request: HttpArrived
) -> Result[str, YokelineError]:
    """Return whose objects of a kind a request is about: a tenant's, or shared ones ("").

    A tenant's operator reaches only what its tenant owns; for the kinds that have no owner,
    :func:`object_address` decides by name.
    """
    asked = request.query.get("tenant", "")
    if identity.tenant:
        if asked not in ("", identity.tenant):
            return Failure(not_found("there is no such object", "check kind, name and tenant"))
        return Success(identity.tenant if kind in OWNED_KINDS else "")
    if asked and kind not in OWNED_KINDS:
        return Failure(
            bad_request(f"objects of kind {kind.value} have no tenant", "leave ?tenant= out")
        )
    if asked and not is_object_name(asked):
        return Failure(bad_request("?tenant= is no name of a tenant", "check it"))
    return Success(asked)


def object_address(
    identity: Identity, kind: ObjectKind, name: str, request: HttpArrived
) -> Result[ObjectAddress, YokelineError]:
    """Return which object a request is about, if its sender may know of it."""
    if not is_object_name(name):
        return Failure(
            bad_request(
                f"{name[:MAX_SHOWN]!r} is no name of an object",
                "use up to 63 letters, digits, '-', '_' or '.'",
            )
        )
    scope = scope_of(identity, kind, request)
    if isinstance(scope, Failure):
        return scope
    tenant = scope.unwrap()
    if kind in ALWAYS_OWNED_KINDS and not tenant:
        return Failure(
            bad_request(f"objects of kind {kind.value} belong to a tenant", "add ?tenant=NAME")
        )
    own_record = kind is ObjectKind.TENANT and name == identity.tenant
    if identity.tenant and kind not in OWNED_KINDS and not own_record:
        return Failure(not_found("there is no such object", "check kind, name and tenant"))
    return Success(ObjectAddress(kind=kind, tenant=tenant, name=name))


def check_may_write(identity: Identity, kind: ObjectKind) -> Result[None, YokelineError]:
    """Refuse that a tenant's operator changes its own tenant's tokens and limits."""
    if identity.tenant and kind not in OWNED_KINDS:
        return Failure(
            forbidden(
                f"a tenant's operator may not write objects of kind {kind.value}",
                "ask the platform operator",
            )
        )
    return Success(None)


def decode_at(address: ObjectAddress, body: bytes) -> Result[ConfigurationObject, YokelineError]:
    """Return the object in a body; ``name`` and ``tenant`` come from the path if left out."""
    try:
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Failure(
            bad_request(f"the body is not a JSON object: {error}", "send one JSON object")
        )
    expected = {"name": address.name}
    if address.kind in OWNED_KINDS:
        expected["tenant"] = address.tenant
    for key, value in expected.items():
        wanted = msgspec.json.encode(value)
        if bytes(fields.setdefault(key, msgspec.Raw(wanted))).strip() != wanted:
            return Failure(
                bad_request(
                    f"{key} in the body is not the one in the path",
                    f"leave {key} out of the body, or make both the same",
                )
            )
    return decode_object(address.kind, msgspec.json.encode(fields))


def expected_revision(
    headers: dict[str, str], stored: StoredObject | None
) -> Result[int, YokelineError]:
    """Return the revision that the object must have for a write to be applied (RFC 9110, 13).

    Without a precondition only a new object is written, so that operators who race each
    other never overwrite what they have not seen.

    Args:
        headers: Header names in lower case.
        stored: The object as this node knows it; None where it does not exist.
    """
    if_match = headers.get("if-match", "").strip()
    current = stored.revision if stored is not None else ABSENT_REVISION
    if if_match == ANY_REVISION:
        if stored is None:
            return Failure(_precondition_failed("the object does not exist", "leave If-Match out"))
        return Success(current)
    if if_match:
        match = _ENTITY_TAG.fullmatch(if_match)
        if match is None:
            return Failure(
                bad_request(
                    "If-Match is not one revision", 'send the ETag of the object, such as "17"'
                )
            )
        return Success(int(match.group(1)))
    if headers.get("if-none-match", "").strip() not in ("", ANY_REVISION):
        return Failure(bad_request("If-None-Match is not *", "send If-None-Match: * or nothing"))
    if stored is not None:
        return Failure(
            _precondition_failed(
                f"the object exists, at revision {current}",
                f'read it, then send If-Match: "{current}" to replace it',
            )
        )
    return Success(ABSENT_REVISION)


def new_operation(address: ObjectAddress, expected: int, source: random.Random) -> OperationId:
    """Return a fresh operation id for a write."""
    nonce = f"{source.getrandbits(OPERATION_NONCE_BITS):016x}"
    name = address.qualified_name.replace("/", "~")
    return OperationId(
        kind=address.kind,
        qualified_name=address.qualified_name,
        expected_revision=expected,
        text=f"{OPERATION_PREFIX}:{address.kind.value}:{name}:{expected}:{nonce}",
    )


def parse_operation(text: str, identity: Identity) -> Result[OperationId, YokelineError]:
    """Return the operation that an id names, if its sender may know of it."""
    unknown = not_found("there is no such operation", "check the operation id")
    match = _OPERATION.fullmatch(text)
    if match is None:
        return Failure(unknown)
    kind = parse_kind(match.group(1))
    if isinstance(kind, Failure):
        return Failure(unknown)
    name = match.group(2).replace("~", "/")
    if identity.tenant and name.partition("/")[0] != identity.tenant:
        return Failure(unknown)
    return Success(
        OperationId(
            kind=kind.unwrap(),
            qualified_name=name,
            expected_revision=int(match.group(3)),
            text=text,
        )
    )


def entity_tag(revision: int) -> str:
    """Return a revision as an ETag."""
    return f'"{revision}"'


def _precondition_failed(message: str, remedy: str) -> YokelineError:
    return YokelineError(kind=ErrorKind.PRECONDITION_FAILED, message=message, remedy=remedy)
