"""Types of the replicated state of runs, and the commands in a shard's log.

A **run** is one request to a program: numbered **calls** (model, tool, app, child run) and a
**history** of messages. All state changes by applying :data:`Command` values in log order;
applying is deterministic and reads no clock (times are inside the commands, wall seconds).
"""

from __future__ import annotations

import enum

import msgspec

from yokeline.errors import YokelineError
from yokeline.identifiers import ReplicaId, RunId


class RunStatus(enum.Enum):
    """Where a run stands."""

    ACTIVE = "active"
    """It has a next call, or one under way."""
    IDLE = "idle"
    """Its last turn is answered; a further turn may follow until it expires."""
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    """Nothing was sent, and nothing ever will be under its idempotency key."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """A call that may not be repeated may have had its effect."""


FINAL_STATUSES = frozenset(
    {
        RunStatus.SUCCEEDED,
        RunStatus.FAILED,
        RunStatus.CANCELLED,
        RunStatus.REFUSED,
        RunStatus.OUTCOME_UNKNOWN,
    }
)


class CallKind(enum.Enum):
    """What a call goes to."""

    MODEL = "model"
    TOOL = "tool"
    APP = "app"
    CHILD = "child"


class CallStatus(enum.Enum):
    """Where a call stands."""

    STARTED = "started"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Role(enum.Enum):
    """Who a message of the history is from (OpenAI chat roles)."""

    SYSTEM = "system"
    USER = "user"
    ASSISTANT = "assistant"
    TOOL = "tool"


class ToolRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A tool (or child program) call that a model asked for.

    Attributes:
        identity: The model's id of the tool call.
        name: Name of the tool, or of the program to run as a child.
        arguments: JSON text.
    """

    identity: str
    name: str
    arguments: str


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a run's history."""

    role: Role
    content: str
    tool_requests: tuple[ToolRequest, ...] = ()
    tool_request: str = ""
    """For a tool's answer: the identity of the request it answers."""
    tokens: int = 0


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """What a call (or a run so far) used.

    Attributes:
        prompt_tokens: Tokens of context sent.
        cached_tokens: Part of ``prompt_tokens`` that the engine had in its cache.
        completion_tokens: Tokens generated.
        tool_seconds: Seconds spent in tools and apps.
        calls: Number of calls started.
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    tool_seconds: float = 0.0
    calls: int = 0

    def plus(self, other: Usage) -> Usage:
        """Return the sum."""
        return Usage(
            prompt_tokens=self.prompt_tokens + other.prompt_tokens,
            cached_tokens=self.cached_tokens + other.cached_tokens,
            completion_tokens=self.completion_tokens + other.completion_tokens,
            tool_seconds=self.tool_seconds + other.tool_seconds,
            calls=self.calls + other.calls,
        )


class Budget(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a run tree (the root run and all its children together)."""

    tokens: int = 200_000
    """Prompt tokens not found in cache plus completion tokens."""
    calls: int = 200
    tool_seconds: float = 600.0
    wall_seconds: float = 3600.0
    turns: int = 100
    """Model calls of one run."""
    identical_calls: int = 5
    """Consecutive tool calls with the same name and arguments before a run is ended."""


class Reservation(msgspec.Struct, frozen=True, kw_only=True):
    """Budget set aside when a call starts and settled when it finishes."""

    tokens: int = 0
    tool_seconds: float = 0.0
    calls: int = 1


class RunSpec(msgspec.Struct, frozen=True, kw_only=True):
    """What a run was created with: resolved from program and policies at that moment.

    Attributes:
        request_digest: xxh3 hex of the request's content; a reused idempotency key with
            another digest is an error.
        app: For a one-call request to an app: the app's name; empty for an agent program.
        tools: Names of tools that the model may call.
        children: Names of programs that the model may run as children.
        deadline_wall: Wall seconds by which the caller wants the answer.
        worth: Weight of a timely answer.
    """

    tenant: str
    program: str
    idempotency_key: str = ""
    request_digest: str = ""
    labels: dict[str, str] = {}
    model: str = ""
    app: str = ""
    system_prompt: str = ""
    tools: tuple[str, ...] = ()
    children: tuple[str, ...] = ()
    engine_selector: str = ""
    repeatable: bool = True
    priority: int = 0
    worth: float = 1.0
    budget: Budget = Budget()
    max_completion_tokens: int = 1024
    deadline_wall: float | None = None
    conversation: bool = False
    """Stay idle after an answer, so that further turns can follow."""


class CallRecord(msgspec.Struct, kw_only=True):
    """A call of a run, as the log knows it.

    Attributes:
        number: 1, 2, ... within the run, in order.
        attempt: 1, 2, ...; more than one only for repeatable calls.
        backend: Name of the engine, tool or app; for a child, its run id.
        fence: Fencing token: the term of the leader that started this attempt.
        reason: Why that back end was chosen, for people.
        answered: Its message is in the history; no further attempt may follow.
        may_have_run: Some attempt of it was not surely refused by the back end.
    """

    number: int
    attempt: int
    kind: CallKind
    backend: str
    status: CallStatus
    repeatable: bool
    fence: int
    reserved: Reservation
    started_wall: float
    finished_wall: float | None = None
    reason: str = ""
    tool_request: ToolRequest | None = None
    usage: Usage = Usage()
    error: YokelineError | None = None
    answered: bool = False
    may_have_run: bool = False


class Run(msgspec.Struct, kw_only=True):
    """The state of one run.

    Attributes:
        spent: Used by the run and all its descendants.
        reserved: Set aside for the started calls of the run and all its descendants.
        turn_started_wall: Wall seconds at which the current turn's input was added.
        turn_first_call: Number that the first call of the current turn has (or will have).
    """

    run: RunId
    spec: RunSpec
    status: RunStatus
    created_wall: float
    parent: RunId | None = None
    history: list[ChatMessage] = []
    calls: list[CallRecord] = []
    turn: int = 1
    turn_keys: list[str] = []
    """Idempotency keys of the turns after the first, in order."""
    children: int = 0
    answer: str = ""
    answer_digest: str = ""
    """xxh3 64 hex of the whole answer."""
    error: YokelineError | None = None
    spent: Usage = Usage()
    reserved: Reservation = Reservation(calls=0)
    finished_wall: float | None = None
    turn_started_wall: float = 0.0
    turn_first_call: int = 1


# ---------------------------------------------------------------- commands


class CreateRun(msgspec.Struct, frozen=True, kw_only=True, tag="create_run"):
    """Create a run; a no-op that yields the existing run if the id is known already."""

    run: RunId
    spec: RunSpec
    input: str
    wall: float
    parent: RunId | None = None


class AddTurn(msgspec.Struct, frozen=True, kw_only=True, tag="add_turn"):
    """Append a further user message to an idle conversation and make it active."""

    run: RunId
    turn_key: str
    input: str
    wall: float
    deadline_wall: float | None = None


class RefuseRun(msgspec.Struct, frozen=True, kw_only=True, tag="refuse_run"):
    """Record that a request is refused; valid only where no call has started."""

    run: RunId
    spec: RunSpec
    error: YokelineError
    wall: float


class CallStarted(msgspec.Struct, frozen=True, kw_only=True, tag="call_started"):
    """Committed before anything is sent to a back end."""

    run: RunId
    number: int
    attempt: int
    kind: CallKind
    backend: str
    repeatable: bool
    fence: int
    reserved: Reservation
    reason: str
    wall: float
    leader: ReplicaId
    tool_request: ToolRequest | None = None


class CallFinished(msgspec.Struct, frozen=True, kw_only=True, tag="call_finished"):
    """The outcome of a call's attempt; appends its message to the history."""

    run: RunId
    number: int
    attempt: int
    status: CallStatus
    usage: Usage
    wall: float
    message: ChatMessage | None = None
    error: YokelineError | None = None


class FinishRun(msgspec.Struct, frozen=True, kw_only=True, tag="finish_run"):
    """Give a run its final (or idle) status and answer."""

    run: RunId
    status: RunStatus
    wall: float
    answer: str = ""
    error: YokelineError | None = None


class CancelRun(msgspec.Struct, frozen=True, kw_only=True, tag="cancel_run"):
    """A caller gave a run up; its children are cancelled with it."""

    run: RunId
    wall: float
    error: YokelineError


class ForgetRuns(msgspec.Struct, frozen=True, kw_only=True, tag="forget_runs"):
    """Remove final and expired idle runs whose retention is over."""

    runs: tuple[RunId, ...]
    wall: float


class RecoverShard(msgspec.Struct, frozen=True, kw_only=True, tag="recover_shard"):
    """First command of a group that was started anew from a copy; see ``runs.recovery``.

    Attributes:
        copy_of: The process start whose copy it was.
        last_index: Last log entry of the copy.
        wall: Wall seconds of the recovery.
        keyed_until_wall: Until then a request with a key may be one that was lost.
        unkeyed_until_wall: The same for a request without one.
    """

    copy_of: ReplicaId
    last_index: int
    wall: float
    keyed_until_wall: float
    unkeyed_until_wall: float


Command = (
    CreateRun
    | AddTurn
    | RefuseRun
    | CallStarted
    | CallFinished
    | FinishRun
    | CancelRun
    | ForgetRuns
    | RecoverShard
)
