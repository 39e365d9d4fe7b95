"""Configuration objects: what operators write, each one key in the key-value service.

Operators steer only by labels on these objects and by selectors in policies. The structs
check types and unknown keys when they are decoded (``msgspec.json.decode(..., type=...)``);
``labels.checks`` checks names, ranges, references and selectors.
"""

from __future__ import annotations

import enum

import msgspec

from yokeline.runs.model import Budget


class ObjectKind(enum.Enum):
    """Kinds of configuration objects; the value is the path segment in the admin API."""

    TENANT = "tenants"
    PROGRAM = "programs"
    ENGINE_POOL = "engine-pools"
    TOOL = "tools"
    APP = "apps"
    POLICY = "policies"


class Lookup(enum.Enum):
    """Whether a back end can say what became of a request, by its idempotency key."""

    NONE = "none"
    RECORDED = "recorded"
    """It can say what it has done; "not seen" may still change."""
    FENCED = "fenced"
    """After "not seen" for a fence, it refuses any request with that or a lower fence."""


class TokenRole(enum.Enum):
    """What a bearer token may do for its tenant."""

    CALLER = "caller"
    OPERATOR = "operator"


class AccessToken(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A bearer token, kept as its SHA-256 digest in hex.

    Attributes:
        digest: SHA-256 of the token, 64 lower-case hex digits.
        role: ``operator`` may also write the tenant's configuration.
    """

    digest: str
    role: TokenRole = TokenRole.CALLER


class TenantLimits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits that keep one tenant from harming others.

    Attributes:
        requests_per_second: Sustained rate of new runs over the whole service.
        burst: New runs that may come at once.
        active_runs: Runs under way at one time.
        tokens_per_minute: Sustained token spend.
    """

    requests_per_second: float = 50.0
    burst: int = 100
    active_runs: int = 1000
    tokens_per_minute: int = 10_000_000


class Tenant(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A tenant, its tokens and its limits.

    Attributes:
        name: Name of the tenant, unique in the deployment.
        labels: Labels for people; no selector looks at them.
        tokens: Bearer tokens of its callers and operators.
        limits: What it may use.
    """

    name: str
    labels: dict[str, str] = {}
    tokens: tuple[AccessToken, ...] = ()
    limits: TenantLimits = TenantLimits()


class Program(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A program: an agent (``model`` set) or a one-call request to an app (``app`` set).

    Attributes:
        name: Name of the program, unique among its tenant's.
        tenant: Owner.
        labels: What the program selectors of policies look at.
        model: Model that an agent calls; empty for an app request.
        system_prompt: First message of an agent's history.
        tools: Tools that the model may call.
        children: Programs of the tenant that the model may run as sub-agents.
        app: App that the request goes to; empty for an agent.
        conversation: Wait for further turns after an answer.
        max_completion_tokens: Most tokens of one answer of the model.
    """

    name: str
    tenant: str
    labels: dict[str, str] = {}
    model: str = ""
    system_prompt: str = ""
    tools: tuple[str, ...] = ()
    children: tuple[str, ...] = ()
    app: str = ""
    repeatable: bool = False
    """For an app request: the same request may be sent twice without harm."""
    conversation: bool = False
    max_completion_tokens: int = 1024


class EnginePool(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Model engines that are alike.

    Attributes:
        name: Name of the pool.
        labels: What the engine selectors of policies look at.
        addresses: Engines by ``ip:port``.
        machine_selector: Engines found in the machine list by this selector on the labels
            there; empty for none.
        models: Models that the engines may serve.
        cache_tokens: Tokens of context that fit one engine's cache.
        slots: Calls that one engine runs at a time.
    """

    name: str
    labels: dict[str, str] = {}
    addresses: tuple[str, ...] = ()
    machine_selector: str = ""
    models: tuple[str, ...] = ()
    cache_tokens: int = 200_000
    slots: int = 32


class Tool(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A tool service that models may call.

    Attributes:
        name: Name that models call it by.
        labels: Labels for people; no selector looks at them.
        addresses: Where it listens, each ``ip:port``.
        path: Path before the tool's name in its URL.
        timeout_seconds: Longest wait for an answer.
        repeatable: The same call may be sent twice without harm.
        lookup: Whether it can say what became of a call, by its idempotency key.
    """

    name: str
    tenant: str = ""
    """Empty: any tenant's programs may use it."""
    labels: dict[str, str] = {}
    addresses: tuple[str, ...] = ()
    path: str = "/v1/tools"
    timeout_seconds: float = 30.0
    repeatable: bool = False
    lookup: Lookup = Lookup.NONE


class App(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An app engine that requests are posted to, one call a run.

    Attributes:
        name: Name that programs refer to.
        tenant: Owner; empty: any tenant's programs may use it.
        labels: Labels for people; no selector looks at them.
        addresses: Where it listens, each ``ip:port``.
        path: Path that requests are posted to.
        timeout_seconds: Longest wait for an answer.
        lookup: Whether it can say what became of a request, by its idempotency key.
    """

    name: str
    tenant: str = ""
    labels: dict[str, str] = {}
    addresses: tuple[str, ...] = ()
    path: str = "/v1/requests"
    timeout_seconds: float = 30.0
    lookup: Lookup = Lookup.NONE


class Policy(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What applies to the programs that a selector matches.

    Every matching policy is applied in ascending ``(order, name)``; a later one overrides
    the fields it sets. Engine selectors add up: an engine must match all of them.

    Attributes:
        name: Name of the policy, unique among its owner's.
        labels: Labels for people; no selector looks at them.
        order: Place among its owner's policies; a higher one is applied later.
        priority: Higher runs first.
        worth: Weight of an answer in time.
        deadline_seconds: Deadline of a request that names none.
        budget: Limits of a run with all its children, as a whole.
        tenant: Owner; a tenant's policy matches only its own programs. Empty for a
            platform policy, which matches all programs and is applied after tenants' ones.
        program_selector: Selector on the program's labels; empty matches all.
        engine_selector: Selector on engine pool labels; empty allows all.
    """

    name: str
    tenant: str = ""
    labels: dict[str, str] = {}
    order: int = 0
    program_selector: str = ""
    engine_selector: str = ""
    priority: int | None = None
    worth: float | None = None
    deadline_seconds: float | None = None
    budget: Budget | None = None


ConfigurationObject = Tenant | Program | EnginePool | Tool | App | Policy

OBJECT_TYPES: dict[ObjectKind, type] = {
    ObjectKind.TENANT: Tenant,
    ObjectKind.PROGRAM: Program,
    ObjectKind.ENGINE_POOL: EnginePool,
    ObjectKind.TOOL: Tool,
    ObjectKind.APP: App,
    ObjectKind.POLICY: Policy,
}


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """An object as it stands in the key-value service.

    Attributes:
        revision: The store's modification revision; higher is newer over all objects.
        body: JSON text of the object; empty for a deleted one (a tombstone).
        operation: Id of the write operation that made it.
    """

    kind: ObjectKind
    name: str
    revision: int
    body: str
    operation: str = ""

    @property
    def deleted(self) -> bool:
        """Return whether this is a tombstone."""
        return not self.body
