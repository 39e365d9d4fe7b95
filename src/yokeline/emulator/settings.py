"""Settings of the stand-ins: one typed struct per kind, readable from TOML."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from yokeline.emulator.engine.parameters import (
    EngineParameters,
    NonNegativeFloat,
    PositiveFloat,
    PositiveInt,
    Probability,
)
from yokeline.errors import ErrorKind, YokelineError
from yokeline.labels.objects import Lookup


class StandInKind(enum.Enum):
    """Kinds of stand-ins; the value is the argument of ``yokeline emulate``."""

    ENGINE = "engine"
    TOOL = "tool"
    APP = "app"
    STORE = "store"
    MACHINES = "machines"
    WEIGHTS = "weights"


class _Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the settings: immutable, keyword only, unknown keys refused."""


class EngineSettings(_Section, frozen=True, kw_only=True):
    """Settings of a model engine.

    Attributes:
        parameters: What the engine can do and how fast.
        weights: Address (``ip:port``) of the weight store; empty: loads take the fixed times
            of the parameters.
        weights_timeout_seconds: Longest wait for one fetch of weights.
        weights_retries: Fetches that may fail before a load is given up.
    """

    name: str = "engine"
    parameters: EngineParameters = EngineParameters()
    weights: str = ""
    weights_timeout_seconds: PositiveFloat = 300.0
    weights_retries: PositiveInt = 20


class FaultSettings(_Section, frozen=True, kw_only=True):
    """Chances of each way in which a request can go wrong; the rest goes well.

    Attributes:
        refuse: 4xx, not applied.
        fail_before: 5xx, not applied.
        fail_after: 5xx though applied.
        lose_answer: Applied, and the connection breaks instead of an answer.
        hang_before: No answer, not applied.
        hang_after: Applied, and no answer.
    """

    refuse: Probability = 0.0
    fail_before: Probability = 0.0
    fail_after: Probability = 0.0
    lose_answer: Probability = 0.0
    hang_before: Probability = 0.0
    hang_after: Probability = 0.0


class RequestSettings(_Section, frozen=True, kw_only=True):
    """What tool services and app engines have in common.

    Attributes:
        path: Path that requests are posted to.
        delay_seconds: Least time of a request.
        delay_jitter_seconds: Mean of the exponential time added to it.
        hang_seconds: Time after which a hung request is dropped.
        lookup: Whether it can say what became of a request.
        deduplicate: Answer a repeated key with the first answer instead of doing it again.
        faults: Chances of failures.
    """

    name: str = "requests"
    path: str = "/v1/requests"
    delay_seconds: NonNegativeFloat = 0.05
    delay_jitter_seconds: NonNegativeFloat = 0.0
    hang_seconds: PositiveFloat = 600.0
    lookup: Lookup = Lookup.FENCED
    deduplicate: bool = False
    faults: FaultSettings = FaultSettings()


class ToolSettings(RequestSettings, frozen=True, kw_only=True):
    """Settings of a tool service.

    Attributes:
        hang_tools: Tools that always hang (before they do anything).
        delays: Least time of single tools, in place of ``delay_seconds``.
        answer_words: Words of a tool's answer.
    """

    name: str = "tool"
    path: str = "/v1/tools"
    hang_tools: tuple[str, ...] = ()
    delays: dict[str, NonNegativeFloat] = {}
    answer_words: PositiveInt = 12


class AppSettings(RequestSettings, frozen=True, kw_only=True):
    """Settings of an app engine."""

    name: str = "app"


class StoreSettings(_Section, frozen=True, kw_only=True):
    """Settings of the key-value service.

    Attributes:
        delay_seconds: Time of an answer.
        requests_per_second: Sustained rate of requests taken; more get 429.
        burst: Requests that may come at once.
        progress_seconds: Time between progress notices on a watch that asks for them.
        history_limit: Revisions kept before the oldest are compacted.
    """

    name: str = "store"
    delay_seconds: NonNegativeFloat = 0.002
    requests_per_second: PositiveFloat = 200.0
    burst: PositiveInt = 400
    progress_seconds: PositiveFloat = 10.0
    history_limit: PositiveInt = 100_000


class MachineState(enum.Enum):
    """State of a machine in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class Machine(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A machine in the list, by the address (``ip:port``) of what runs there."""

    address: str
    state: MachineState = MachineState.LIVE
    labels: dict[str, str] = {}


class MachinesSettings(_Section, frozen=True, kw_only=True):
    """Settings of the machine list.

    Attributes:
        lag_seconds: Age of the list that readers get.
        machines: The list at the start.
    """

    name: str = "machines"
    path: str = "/v1/machines"
    lag_seconds: NonNegativeFloat = 5.0
    machines: tuple[Machine, ...] = ()


class WeightsSettings(_Section, frozen=True, kw_only=True):
    """Settings of the weight store.

    Attributes:
        bytes_per_second: Bandwidth that all fetches share, one after the other.
        queue_limit: Fetches that may wait; more get 429.
        default_bytes: Size of weights that are not named in ``sizes``.
        sizes: Bytes by name.
    """

    name: str = "weights"
    bytes_per_second: PositiveFloat = 2e9
    queue_limit: PositiveInt = 8
    default_bytes: Annotated[int, msgspec.Meta(ge=0)] = 16_000_000_000
    sizes: dict[str, int] = {}


StandInSettings = (
    EngineSettings | ToolSettings | AppSettings | StoreSettings | MachinesSettings | WeightsSettings
)

SETTINGS_TYPES: dict[StandInKind, type[StandInSettings]] = {
    StandInKind.ENGINE: EngineSettings,
    StandInKind.TOOL: ToolSettings,
    StandInKind.APP: AppSettings,
    StandInKind.STORE: StoreSettings,
    StandInKind.MACHINES: MachinesSettings,
    StandInKind.WEIGHTS: WeightsSettings,
}


def parse_settings(kind: StandInKind, text: str) -> Result[StandInSettings, YokelineError]:
    """Return the settings of a stand-in from TOML text (empty text: all defaults)."""
    try:
        settings: StandInSettings = msgspec.toml.decode(text, type=SETTINGS_TYPES[kind])
    except msgspec.MsgspecError as error:
        return Failure(
            YokelineError(
                kind=ErrorKind.BAD_SETTING,
                message=f"settings of the {kind.value} stand-in: {error}",
                remedy="correct the settings file",
            )
        )
    return Success(settings)
