"""Reading and writing configuration objects over the admin API."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result

from yokeline.errors import ErrorKind, Execution, YokelineError, YokelineException
from yokeline.gateway.calls import ApiCall, GatewayParts, value_of
from yokeline.gateway.exchange import JSON_TYPE
from yokeline.gateway.object_requests import (
    ObjectAddress,
    OperationId,
    check_may_write,
    decode_at,
    entity_tag,
    expected_revision,
    new_operation,
    object_address,
    parse_kind,
    parse_operation,
    scope_of,
)
from yokeline.gateway.operation_outcome import applied_outcome, outcome_of
from yokeline.gateway.problems import not_found
from yokeline.gateway.requests import parse_page
from yokeline.gateway.reserved_addresses import check_addresses
from yokeline.labels.objects import ConfigurationObject, ObjectKind, StoredObject
from yokeline.labels.references import check_clashes, check_references
from yokeline.store.history import OperationStatus
from yokeline.store.writes import WriteResult

STATUS_OK = 200
STATUS_CREATED = 201
STATUS_NOT_MODIFIED = 304


class ListedObject(msgspec.Struct, frozen=True, kw_only=True):
    """One object in a list."""

    kind: str
    name: str
    revision: int
    object: msgspec.Raw


class ObjectPage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of objects in the order of their qualified names."""

    items: tuple[ListedObject, ...]
    next: str | None


class ObjectWritten(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a write that is known to be in the store.

    Attributes:
        name: Qualified name.
        revision: Revision of the object from now on (of its deletion).
        warnings: What the object refers to and does not exist, one line each.
    """

    kind: str
    name: str
    revision: int
    operation: str
    deleted: bool = False
    warnings: tuple[str, ...] = ()


class ObjectApi:
    """Handlers of the routes about configuration objects."""

    def __init__(self, parts: GatewayParts) -> None:
        """Create the handlers over the gateway's parts."""
        self._parts = parts
        self._context = parts.context
        self._table = parts.table

    # ------------------------------------------------------------ reading

    def list_objects(self, call: ApiCall) -> None:
        """``GET /admin/v1/{kind}``."""
        kind = value_of(parse_kind(call.arguments["kind"]))
        tenant = value_of(scope_of(call.identity, kind, call.request))
        page = value_of(parse_page(call.request.query))
        found = self._parts.configuration.view().listed(kind, tenant or None)
        if call.identity.tenant and kind is ObjectKind.TENANT:
            found = tuple(item for item in found if item.name == call.identity.tenant)
        elif call.identity.tenant and not tenant:
            found = ()
        rest = [item for item in found if item.name > page.after]
        items = rest[: page.limit]
        answer = ObjectPage(
            items=tuple(_listed(item) for item in items),
            next=items[-1].name if len(rest) > len(items) else None,
        )
        self._table.reply_json(call.exchange, STATUS_OK, answer)

    def read_object(self, call: ApiCall) -> None:
        """``GET /admin/v1/{kind}/{name}``."""
        stored = self._stored(self._address(call))
        if stored is None:
            raise YokelineException(
                not_found("there is no such object", "check kind, name and tenant")
            )
        tag = entity_tag(stored.revision)
        headers = {"content-type": JSON_TYPE, "cache-control": "no-store", "etag": tag}
        if call.request.headers.get("if-none-match", "").strip() == tag:
            self._table.reply(call.exchange, STATUS_NOT_MODIFIED, headers)
            return
        self._table.reply(call.exchange, STATUS_OK, headers, stored.body.encode())

    def read_operation(self, call: ApiCall) -> None:
        """``GET /admin/v1/operations/{id}``."""
        operation = value_of(parse_operation(call.arguments["id"], call.identity))
        self._parts.writer.resolve(
            operation.kind,
            operation.qualified_name,
            operation.text,
            self._table.guarded(
                call.exchange, lambda result: self._resolved(call, operation, result)
            ),
        )

    def _resolved(
        self, call: ApiCall, operation: OperationId, result: Result[OperationStatus, YokelineError]
    ) -> None:
        view = self._parts.configuration.view()
        stored = view.stored(operation.kind, operation.qualified_name)
        if stored is not None and stored.operation == operation.text:
            outcome = applied_outcome(operation, stored.revision)
        elif isinstance(result, Failure):
            self._table.reply_error(call.exchange, result.failure(), operation=operation.text)
            return
        else:
            deleted = stored is not None and stored.deleted
            outcome = outcome_of(operation, result.unwrap(), deleted=deleted)
        self._table.reply_json(call.exchange, STATUS_OK, outcome)

    # ------------------------------------------------------------ writing

    def write_object(self, call: ApiCall) -> None:
        """``PUT /admin/v1/{kind}/{name}``."""
        address = self._address(call)
        value_of(check_may_write(call.identity, address.kind))
        if call.request.too_large:
            raise YokelineException(_too_large())
        item = value_of(decode_at(address, call.request.body))
        view = self._parts.configuration.view()
        value_of(check_clashes(view, item))
        if call.identity.tenant:
            value_of(check_addresses(item, view, self._parts.settings.platform))
        stored = self._stored(address)
        expected = value_of(expected_revision(call.request.headers, stored))
        operation = new_operation(address, expected, self._context.random)
        self._parts.writer.put(
            address.kind,
            address.qualified_name,
            msgspec.json.encode(item).decode(),
            expected,
            operation.text,
            self._table.guarded(
                call.exchange, lambda result: self._written(call, operation, item, result)
            ),
        )

    def delete_object(self, call: ApiCall) -> None:
        """``DELETE /admin/v1/{kind}/{name}``."""
        address = self._address(call)
        value_of(check_may_write(call.identity, address.kind))
        stored = self._stored(address)
        if stored is None:
            raise YokelineException(
                not_found("there is no such object", "check kind, name and tenant")
            )
        expected = value_of(expected_revision(call.request.headers, stored))
        operation = new_operation(address, expected, self._context.random)
        self._parts.writer.delete(
            address.kind,
            address.qualified_name,
            expected,
            operation.text,
            self._table.guarded(
                call.exchange, lambda result: self._written(call, operation, None, result)
            ),
        )

    def _written(
        self,
        call: ApiCall,
        operation: OperationId,
        item: ConfigurationObject | None,
        result: Result[WriteResult, YokelineError],
    ) -> None:
        if isinstance(result, Failure):
            self._not_written(call, operation, result.failure())
            return
        revision = result.unwrap().revision
        self._context.log("configuration_written", operation=operation.text, revision=revision)
        warnings: list[str] = []
        if item is not None:
            warnings = check_references(self._parts.configuration.view(), item)
        answer = ObjectWritten(
            kind=operation.kind.value,
            name=operation.qualified_name,
            revision=revision,
            operation=operation.text,
            deleted=item is None,
            warnings=tuple(warnings),
        )
        created = item is not None and operation.expected_revision == 0
        status = STATUS_CREATED if created else STATUS_OK
        self._table.reply_json(call.exchange, status, answer, {"etag": entity_tag(revision)})

    def _not_written(self, call: ApiCall, operation: OperationId, error: YokelineError) -> None:
        if error.kind is ErrorKind.OUTCOME_UNKNOWN or error.execution is Execution.UNKNOWN:
            path = f"/admin/v1/operations/{operation.text}"
            error = msgspec.structs.replace(
                error,
                kind=ErrorKind.OUTCOME_UNKNOWN,
                execution=Execution.UNKNOWN,
                remedy=f"ask GET {path}, or read the object, before writing again",
            )
        self._context.log("configuration_not_written", operation=operation.text, why=error.message)
        self._table.reply_error(call.exchange, error, operation=operation.text)

    # ------------------------------------------------------------ common parts

    def _address(self, call: ApiCall) -> ObjectAddress:
        kind = value_of(parse_kind(call.arguments["kind"]))
        name = call.arguments["name"]
        return value_of(object_address(call.identity, kind, name, call.request))

    def _stored(self, address: ObjectAddress) -> StoredObject | None:
        view = self._parts.configuration.view()
        stored = view.stored(address.kind, address.qualified_name)
        return None if stored is None or stored.deleted else stored


def _listed(item: StoredObject) -> ListedObject:
    return ListedObject(
        kind=item.kind.value,
        name=item.name,
        revision=item.revision,
        object=msgspec.Raw(item.body),
    )


def _too_large() -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BODY_TOO_LARGE,
        message="the request body is larger than this service takes",
        remedy="send less, or ask the operator to raise gateway.max_body_bytes",
    )
