"""An app engine: posted requests with simple state, one call a request."""

from __future__ import annotations

import random

import msgspec

from yokeline.effects import HttpArrived
from yokeline.emulator.app_operations import AppRequestBody, AppState
from yokeline.emulator.request_books import ReceivedRequest
from yokeline.emulator.request_service import RequestService
from yokeline.emulator.routing import PathParameters
from yokeline.emulator.settings import AppSettings
from yokeline.errors import ErrorKind, YokelineError


class AppService(RequestService):
    """Serves ``POST {path}`` and ``GET {path}/{key}``.

    Attributes:
        state: The records.
    """

    def __init__(self, settings: AppSettings, source: random.Random) -> None:
        """Create an app engine without records."""
        super().__init__(settings, source)
        self.state = AppState()
        self.router.add("POST", settings.path, self._post)
        self.router.add("GET", settings.path + "/{key:path}", self._get)

    def check(self, request: ReceivedRequest) -> YokelineError | None:
        """Return an error if the body is not a request that the app knows."""
        try:
            body = msgspec.json.decode(request.body, type=AppRequestBody)
        except msgspec.MsgspecError as error:
            return YokelineError(
                kind=ErrorKind.BAD_REQUEST, message=str(error), remedy="correct the request"
            )
        request.operation = body.operation.value
        return None

    def perform(self, request: ReceivedRequest) -> bytes:
        """Apply a request to the records."""
        body = msgspec.json.decode(request.body, type=AppRequestBody)
        return msgspec.json.encode(self.state.apply(body))

    def _post(self, request: HttpArrived, _: PathParameters) -> None:
        self.receive(request, "")

    def _get(self, request: HttpArrived, parameters: PathParameters) -> None:
        self.look_up(request, parameters["key"])
