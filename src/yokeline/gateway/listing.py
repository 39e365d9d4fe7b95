"""Lists of a tenant's runs over all shards, page by page.

Shards are asked in ascending order, a few at a time, until the page is full. The cursor
(``SHARD:RUN``) names the shard and the last run taken from it. A shard that cannot be read is
named in the answer, never passed over in silence.
"""

from __future__ import annotations

import re

import msgspec
from returns.result import Failure, Result, Success

from yokeline.errors import YokelineError, YokelineException
from yokeline.gateway.answers import execution_of
from yokeline.gateway.calls import ApiCall, GatewayParts, value_of
from yokeline.gateway.problems import bad_request
from yokeline.gateway.requests import Page, parse_page
from yokeline.identifiers import ShardId
from yokeline.runs.model import Run, Usage
from yokeline.shards.operations import ListRuns, OperationResult, RunList

SHARDS_AT_ONCE = 16
LIST_SECONDS = 5.0
"""Longest wait for one shard; one without a leader must not hold up the list for long."""

STATUS_OK = 200
_CURSOR = re.compile(r"([0-9]{1,6}):([A-Za-z0-9.-]{0,200})")


class RunSummary(msgspec.Struct, frozen=True, kw_only=True):
    """One run in a list."""

    run: str
    program: str
    status: str
    execution: str
    turn: int
    calls: int
    labels: dict[str, str]
    usage: Usage
    created: float
    finished: float | None


class RunPage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of runs.

    Attributes:
        next: Value of ``after`` for the next page; None after the last one.
        unavailable_shards: Shards that could not be read; their runs are missing here.
    """

    runs: tuple[RunSummary, ...]
    next: str | None
    unavailable_shards: tuple[int, ...] = ()


class Cursor(msgspec.Struct, frozen=True):
    """Where a page starts: after a run of a shard."""

    shard: int
    after: str = ""

    def __str__(self) -> str:
        """Return the form used in ``after``."""
        return f"{self.shard}:{self.after}"


def parse_cursor(text: str, shard_count: int) -> Result[Cursor, YokelineError]:
    """Return the position that a cursor names; the start for the empty one."""
    if not text:
        return Success(Cursor(0))
    match = _CURSOR.fullmatch(text)
    if match is None or int(match.group(1)) >= shard_count:
        return Failure(
            bad_request("after is not a position", "send the value of next in the last page")
        )
    return Success(Cursor(int(match.group(1)), match.group(2)))


def summary(run: Run) -> RunSummary:
    """Return a run as a line of a list."""
    return RunSummary(
        run=run.run,
        program=run.spec.program,
        status=run.status.value,
        execution=execution_of(run).value,
        turn=run.turn,
        calls=run.spent.calls or len(run.calls),
        labels=run.spec.labels,
        usage=run.spent,
        created=run.created_wall,
        finished=run.finished_wall,
    )


class RunLister:
    """Handler of the lists of runs."""

    def __init__(self, parts: GatewayParts) -> None:
        """Create the handler over the gateway's parts."""
        self._parts = parts

    def list_own(self, call: ApiCall) -> None:
        """``GET /v1/runs`` and, for a tenant's operator, ``GET /admin/v1/runs``."""
        self.list_of(call, call.identity.tenant)

    def list_of(self, call: ApiCall, tenant: str) -> None:
        """List the runs of a tenant."""
        shard_count = self._parts.settings.cluster.shards
        page = value_of(parse_page(call.request.query))
        cursor = value_of(parse_cursor(page.after, shard_count))
        _Collection(self._parts, call, tenant, page, cursor).ask_next()


class _Collection:
    """One page being put together."""

    def __init__(
        self, parts: GatewayParts, call: ApiCall, tenant: str, page: Page, cursor: Cursor
    ) -> None:
        self._parts = parts
        self._call = call
        self._tenant = tenant
        self._limit = page.limit
        self._first = cursor
        self._next_shard = cursor.shard
        self._found: dict[int, tuple[Run, ...]] = {}
        self._unavailable: list[int] = []
        self._outstanding = 0

    def ask_next(self) -> None:
        """Ask the next few shards."""
        first = self._next_shard
        last = min(first + SHARDS_AT_ONCE, self._parts.settings.cluster.shards)
        self._next_shard = last
        self._outstanding = last - first
        for shard in range(first, last):
            self._ask(shard)

    def _ask(self, shard: int) -> None:
        after = self._first.after if shard == self._first.shard else ""
        operation = ListRuns(tenant=self._tenant, after=after, limit=self._limit)
        self._parts.table.ask(
            self._call.exchange,
            ShardId(shard),
            operation,
            LIST_SECONDS,
            lambda result: self._answered(shard, result),
        )

    def _answered(self, shard: int, result: Result[OperationResult, YokelineError]) -> None:
        self._outstanding -= 1
        if isinstance(result, Failure):
            self._unavailable.append(shard)
        else:
            value = result.unwrap()
            assert isinstance(value, RunList)
            self._found[shard] = value.runs
        if self._outstanding > 0:
            return
        enough = sum(len(runs) for runs in self._found.values()) >= self._limit
        if enough or self._next_shard >= self._parts.settings.cluster.shards:
            self._finish()
        else:
            self.ask_next()

    def _finish(self) -> None:
        runs = [(shard, run) for shard in sorted(self._found) for run in self._found[shard]]
        taken = runs[: self._limit]
        page = RunPage(
            runs=tuple(summary(run) for _, run in taken),
            next=self._cursor_after(taken, whole=len(runs) <= self._limit),
            unavailable_shards=tuple(sorted(self._unavailable)),
        )
        self._parts.table.reply_json(self._call.exchange, STATUS_OK, page)

    def _cursor_after(self, taken: list[tuple[int, Run]], *, whole: bool) -> str | None:
        shard, run = taken[-1] if taken else (0, None)
        shard_is_whole = run is None or len(self._found[shard]) < self._limit
        if whole and shard_is_whole:
            if self._next_shard >= self._parts.settings.cluster.shards:
                return None
            return str(Cursor(self._next_shard))
        return str(Cursor(shard, run.run)) if run is not None else None


def tenant_argument(call: ApiCall) -> str:
    """Return the tenant that a request is about: the operator's own, or ``?tenant=``.

    Raises:
        YokelineException: If a platform operator names none.
    """
    if call.identity.tenant:
        return call.identity.tenant
    tenant = call.request.query.get("tenant", "")
    if not tenant:
        raise YokelineException(
            bad_request("the request names no tenant", "add ?tenant=NAME to the path")
        )
    return tenant
