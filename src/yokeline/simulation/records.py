"""What was seen from outside: the books of callers, operators, back ends and auditors."""

from __future__ import annotations

import enum

import msgspec


class RequestKind(enum.Enum):
    """What a caller wants."""

    POSTING = "posting"
    """A request to an app that may not be repeated."""
    LOOKUP = "lookup"
    """A request to an app that may be repeated."""
    AGENT = "agent"
    """A chain of model and tool calls."""
    CONVERSATION = "conversation"
    """An agent that is asked again."""
    LOOP = "loop"
    """An agent that would go on for ever."""


class Attempt(msgspec.Struct, kw_only=True):
    """One HTTP request of a caller.

    Attributes:
        status: HTTP status of the answer; None without one.
        failure: Why there was no (whole) answer.
    """

    node: str
    sent_at: float
    answered_at: float | None = None
    status: int | None = None
    body: bytes = b""
    failure: str = ""


class TurnRecord(msgspec.Struct, kw_only=True):
    """A request of a caller (or one turn of a conversation), over all its attempts.

    Attributes:
        key: Idempotency key, the same in all attempts.
        marker: Text that occurs in this request's input and nowhere else.
        expected: The answer that must come; None where only the back end knows it.
        execution: What the last answer claimed: ``done``, ``not_run``, ``unknown`` or empty.
        problem: Kind of the last problem answered; empty without one.
        run_status: Status of the run in that problem.
        answer: The answer received (JSON text for an app); None without one.
    """

    key: str
    marker: str
    input: str
    sent_at: float
    expected: str | None = None
    attempts: list[Attempt] = []
    execution: str = ""
    problem: str = ""
    run_status: str = ""
    answer: str | None = None
    answered_at: float | None = None


class WatchRecord(msgspec.Struct, kw_only=True):
    """What a watcher put together from the events of a run.

    Attributes:
        connections: The requests it made for the stream.
        texts: Text by call number.
        finished: The ``finished`` events, as JSON text.
        problems: What was wrong with the order or offsets of the events.
    """

    connections: list[Attempt] = []
    texts: dict[int, str] = {}
    finished: list[bytes] = []
    problems: list[str] = []


class RunRecord(msgspec.Struct, kw_only=True):
    """A run as its caller knows it.

    Attributes:
        run: Its id; empty until an answer named it.
        steps: Tool calls that its script asks for, per turn.
        given_up: The caller cancelled it.
    """

    tenant: str
    program: str
    kind: RequestKind
    turns: list[TurnRecord]
    steps: int = 0
    run: str = ""
    watch: WatchRecord | None = None
    given_up: bool = False

    @property
    def markers(self) -> tuple[str, ...]:
        """Return the markers of all turns."""
        return tuple(turn.marker for turn in self.turns)


class BackendRequest(msgspec.Struct, kw_only=True):
    """A request that reached a back end.

    Attributes:
        start: Number of the back end's process start.
        status: Status of the back end's answer; None while (or if) there is none.
        reply: Body of the answer, as far as the back end sent it.
        ended_at: When the back end ended its answer.
        aborted: The back end broke its answer off.
    """

    host: str
    start: int
    arrived_at: float
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    status: int | None = None
    reply: bytes = b""
    ended_at: float | None = None
    aborted: bool = False


class ConfigurationWrite(msgspec.Struct, kw_only=True):
    """A write of an operator.

    Attributes:
        version: Number inside the object, to recognize it.
        status: Status of the answer; None if none came.
        revision: Revision of the accepted write; 0 if it was not accepted.
        problem: Kind of the problem answered.
        execution: What the problem claimed.
    """

    tenant: str
    version: int
    sent_at: float
    answered_at: float | None = None
    status: int | None = None
    revision: int = 0
    problem: str = ""
    execution: str = ""


class ConfigurationReading(msgspec.Struct, frozen=True, kw_only=True):
    """What a node said about the steered policy of a tenant."""

    node: str
    start: int
    tenant: str
    asked_at: float
    version: int
    revision: int


class FaultRecord(msgspec.Struct, kw_only=True):
    """A fault that was injected.

    Attributes:
        target: The host, or what else it hit.
        ended_at: When it was healed; None while it lasts.
    """

    kind: str
    target: str
    started_at: float
    ended_at: float | None = None


class PlannedStop(msgspec.Struct, kw_only=True):
    """A planned stop of a node."""

    node: str
    asked_at: float
    ended_at: float | None = None
    exit_code: int | None = None


class Leaving(msgspec.Struct, frozen=True, kw_only=True):
    """A back end that is marked as leaving, for all readers of the list to see."""

    host: str
    since: float
    until: float


class EngineAudit(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine held and did at the end.

    Attributes:
        held: Cache keys with a hold.
        busy: Calls running or waiting.
    """

    engine: str
    held: tuple[str, ...]
    busy: int


class RunAudit(msgspec.Struct, frozen=True, kw_only=True):
    """What a read of a run said at the end."""

    run: str
    tenant: str
    asked_as: str
    status: int | None
    body: bytes


class AppliedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a tool service or an app applied, by its own books."""

    host: str
    key: str
    operation: str
    body: bytes
    applied_at: float


class Books(msgspec.Struct, kw_only=True):
    """All that was seen from outside in one simulation."""

    runs: list[RunRecord] = []
    backend_requests: list[BackendRequest] = []
    applied: list[AppliedRequest] = []
    writes: list[ConfigurationWrite] = []
    readings: list[ConfigurationReading] = []
    faults: list[FaultRecord] = []
    stops: list[PlannedStop] = []
    leaving: list[Leaving] = []
    engine_audits: list[EngineAudit] = []
    run_audits: list[RunAudit] = []
    ended_at: float = 0.0
