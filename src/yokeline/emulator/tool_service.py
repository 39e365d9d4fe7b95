"""A tool service: any tool by name, with an answer that is deterministic from its request."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import xxhash

from yokeline.effects import HttpArrived
from yokeline.emulator.request_books import ReceivedRequest
from yokeline.emulator.request_service import RequestService
from yokeline.emulator.routing import PathParameters
from yokeline.emulator.settings import ToolSettings
from yokeline.errors import ErrorKind, YokelineError


class ToolRequestBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a tool request."""

    arguments: dict[str, Any] = {}
    run: str = ""
    call: int = 0


class ToolAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a tool's answer."""

    content: str


class ToolService(RequestService):
    """Serves ``POST {path}/{tool}`` and ``GET {path}/{tool}/requests/{key}``."""

    def __init__(self, settings: ToolSettings, source: random.Random) -> None:
        """Create a tool service that has seen no request."""
        super().__init__(settings, source)
        self._tool_settings = settings
        self.router.add("POST", settings.path + "/{tool}", self._post)
        self.router.add("GET", settings.path + "/{tool}/requests/{key:path}", self._get)

    def check(self, request: ReceivedRequest) -> YokelineError | None:
        """Return an error if the body is not a tool request."""
        try:
            msgspec.json.decode(request.body, type=ToolRequestBody)
        except msgspec.MsgspecError as error:
            return YokelineError(
                kind=ErrorKind.BAD_REQUEST, message=str(error), remedy="correct the arguments"
            )
        return None

    def perform(self, request: ReceivedRequest) -> bytes:
        """Run the tool: some words that depend on its name and arguments alone."""
        body = msgspec.json.decode(request.body, type=ToolRequestBody)
        content = tool_content(request.operation, body.arguments, self._tool_settings.answer_words)
        return msgspec.json.encode(ToolAnswer(content=content))

    def delay_of(self, request: ReceivedRequest) -> float:
        """Return the seconds that a request takes, by its tool."""
        special = self._tool_settings.delays.get(request.operation)
        usual = super().delay_of(request)
        return usual if special is None else usual - self._settings.delay_seconds + special

    def always_hangs(self, request: ReceivedRequest) -> bool:
        """Return whether the tool is one of those that hang."""
        return request.operation in self._tool_settings.hang_tools

    def _post(self, request: HttpArrived, parameters: PathParameters) -> None:
        self.receive(request, parameters["tool"])

    def _get(self, request: HttpArrived, parameters: PathParameters) -> None:
        self.look_up(request, parameters["key"])


def tool_content(tool: str, arguments: dict[str, Any], words: int) -> str:
    """Return what a tool answers to some arguments: ``words`` words."""
    ordered = msgspec.json.encode(arguments, order="sorted")
    seed = xxhash.xxh3_64_intdigest(tool.encode() + b"\x00" + ordered)
    source = random.Random(seed)
    values = [f"{tool}:{source.randrange(10_000):04d}" for _ in range(words)]
    return " ".join(values)
