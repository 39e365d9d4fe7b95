"""Types of the replicated state of runs, and the commands in a shard's log.

A **program** is a configured definition. A **run** is the execution of one request to a
program, and a **run tree** is a root run with all its descendants. A run consists of numbered
**calls** (model, tool, app or child run) and a **history** of messages. The input of a
conversation starts a **turn**, which may take several calls.

The state changes only by applying :data:`Command` values in log order, which is deterministic
and reads no clock: the commands contain their times. Fields named ``*_wall`` are Unix times in
seconds; ``wall_seconds`` is a duration.

A run **ends** when it becomes final or, in a conversation, idle. ``FINAL_STATUSES`` does not
contain idle, because an idle conversation accepts another turn.
"""

from __future__ import annotations

import enum

import msgspec

from yokeline.errors import YokelineError
from yokeline.identifiers import ReplicaId, RunId


class RunStatus(enum.Enum):
    """Status of a run."""

    ACTIVE = "active"
    """A call is in flight or follows."""
    IDLE = "idle"
    """The last turn of a conversation is answered; another turn may follow until it expires."""
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    """No call was sent, and none will be sent under the run's idempotency key."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """A non-repeatable call may or may not have had its effect."""


FINAL_STATUSES = frozenset(
    {
        RunStatus.SUCCEEDED,
        RunStatus.FAILED,
        RunStatus.CANCELLED,
        RunStatus.REFUSED,
        RunStatus.OUTCOME_UNKNOWN,
    }
)
"""Statuses that no longer change; an idle conversation is not final."""


class CallKind(enum.Enum):
    """Kind of back end that a call goes to."""

    MODEL = "model"
    TOOL = "tool"
    APP = "app"
    CHILD = "child"


class CallStatus(enum.Enum):
    """Status of a call."""

    STARTED = "started"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Role(enum.Enum):
    """Author of a history message, as in the OpenAI chat API."""

    SYSTEM = "system"
    USER = "user"
    ASSISTANT = "assistant"
    TOOL = "tool"


class ToolRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A model's request to call a tool or a child program.

    Attributes:
        identity: The model's id of the tool call.
        name: Name of the tool or of the child program.
        arguments: Arguments as JSON text.
    """

    identity: str
    name: str
    arguments: str


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a run's history.

    Attributes:
        tool_requests: Tool requests of an assistant message.
        tokens: Number of completion tokens of an assistant message; 0 for other messages.
    """

    role: Role
    content: str
    tool_requests: tuple[ToolRequest, ...] = ()
    tool_request: str = ""
    """Identity of the tool request that the message answers; empty for other messages."""
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
        """Return the sum of two usages."""
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
    """Budget reserved when a call starts and settled when it finishes."""

    tokens: int = 0
    tool_seconds: float = 0.0
    calls: int = 1


class RunSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a run, resolved from its program and policies when the run is created.

    Attributes:
        request_digest: Hex XXH3-128 digest of the request; reusing an idempotency key with a
            different digest is an error.
        app: Name of the app, for a request to an app; empty for an agent program.
        tools: Names of tools that the model may call.
        children: Names of programs that the model may run as children; ``Run.children`` is
            the number of child runs.
        repeatable: Whether calls to the app are idempotent, so that they may be repeated; true
            for an agent program.
        worth: Weight of the run in scheduling.
        deadline_wall: Unix time by which the caller wants the answer.
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
    """Whether the run stays idle after an answer, so that more turns can follow."""


class CallRecord(msgspec.Struct, kw_only=True):
    """A call of a run and its latest attempt.

    Attributes:
        number: Number of the call within the run, counted from 1.
        attempt: Number of the attempt, counted from 1; above 1 only for repeatable calls.
        repeatable: Whether a failed attempt may be followed by another attempt.
        backend: Name of the engine, tool or app; for a child, its run id.
        fence: Fencing token: the term of the leader that started the attempt.
        reason: Human-readable reason for the selection of the back end.
        tool_request: The model's request that the call carries out; None for model calls.
        answered: Whether the call's result message is in the history, so that no other attempt
            may follow.
        may_have_run: Whether the back end may have executed any finished attempt. The function
            ``rules.may_have_run`` also counts an attempt in flight.
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
        turn: Number of the current turn, counted from 1; unrelated to ``Budget.turns``, which
            limits model calls.
        children: Number of child runs created so far.
        spent: Usage of the run and all its descendants.
        reserved: Reservations of the in-flight calls of the run and all its descendants.
        finished_wall: Unix time at which the run last became final or idle.
        turn_started_wall: Unix time at which the input of the current turn was added.
        turn_first_call: Number of the current turn's first call, which may not exist yet.
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
    """Idempotency keys of the turns after the first, in turn order."""
    children: int = 0
    answer: str = ""
    answer_digest: str = ""
    """Hex XXH3-64 digest of the answer's UTF-8 bytes."""
    error: YokelineError | None = None
    spent: Usage = Usage()
    reserved: Reservation = Reservation(calls=0)
    finished_wall: float | None = None
    turn_started_wall: float = 0.0
    turn_first_call: int = 1


# ---------------------------------------------------------------- commands


class CreateRun(msgspec.Struct, frozen=True, kw_only=True, tag="create_run"):
    """Create a run; accepted without effect if the same request has created it before."""

    run: RunId
    spec: RunSpec
    input: str
    wall: float
    parent: RunId | None = None


class AddTurn(msgspec.Struct, frozen=True, kw_only=True, tag="add_turn"):
    """Append a user message to an idle conversation and make it active."""

    run: RunId
    turn_key: str
    input: str
    wall: float
    deadline_wall: float | None = None


class RefuseRun(msgspec.Struct, frozen=True, kw_only=True, tag="refuse_run"):
    """Record that a request is refused; rejected if a call has started."""

    run: RunId
    spec: RunSpec
    error: YokelineError
    wall: float


class CallStarted(msgspec.Struct, frozen=True, kw_only=True, tag="call_started"):
    """Record the start of an attempt; committed before the attempt is sent."""

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
    """Record the outcome of an attempt and append its message to the history."""

    run: RunId
    number: int
    attempt: int
    status: CallStatus
    usage: Usage
    wall: float
    message: ChatMessage | None = None
    error: YokelineError | None = None


class FinishRun(msgspec.Struct, frozen=True, kw_only=True, tag="finish_run"):
    """Set the answer of a run and its final status, or idle status for a conversation."""

    run: RunId
    status: RunStatus
    wall: float
    answer: str = ""
    error: YokelineError | None = None


class CancelRun(msgspec.Struct, frozen=True, kw_only=True, tag="cancel_run"):
    """Cancel a run and its descendants at a caller's request."""

    run: RunId
    wall: float
    error: YokelineError


class ForgetRuns(msgspec.Struct, frozen=True, kw_only=True, tag="forget_runs"):
    """Remove final runs and idle conversations after their retention time."""

    runs: tuple[RunId, ...]
    wall: float


class RecoverShard(msgspec.Struct, frozen=True, kw_only=True, tag="recover_shard"):
    """First command of a shard group recovered from a copy after the loss of its quorum.

    See ``runs.recovery``. A change of leader does not need this command.

    Attributes:
        copy_of: Replica id of the process that wrote the copy.
        last_index: Index of the last log entry in the copy.
        wall: Time of the recovery.
        keyed_until_wall: End of the doubt window for requests with an idempotency key.
        unkeyed_until_wall: End of the doubt window for requests without an idempotency key.
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
