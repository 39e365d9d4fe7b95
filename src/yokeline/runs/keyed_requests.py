"""Sends tool and app calls and outcome lookups through the client of their back end."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Result

from yokeline.backends.app import AppAnswer, AppCall, AppClient, app_answer
from yokeline.backends.keyed import LookupDone
from yokeline.backends.tool import ToolAnswer, ToolCall, ToolClient, tool_answer
from yokeline.effects import Address
from yokeline.errors import YokelineError
from yokeline.identifiers import RequestId
from yokeline.runs.activity import Activity
from yokeline.runs.model import CallKind, CallRecord, Run
from yokeline.runs.targets import Target
from yokeline.server.context import NodeContext

ContentResult = Result[str, YokelineError]
ContentDone = Callable[[ContentResult], None]


class KeyedCall:
    """A tool or app call in flight.

    Attributes:
        run: The run that made the call.
        target: The configured back end.
        address: The selected address of the back end.
        connection: Id of the open HTTP request, if any.
        lookup_deadline: Monotonic seconds at which outcome lookups end.
    """

    __slots__ = ("activity", "address", "connection", "lookup_deadline", "record", "run", "target")

    def __init__(
        self, activity: Activity, run: Run, record: CallRecord, target: Target, address: Address
    ) -> None:
        self.activity = activity
        self.run = run
        self.record = record
        self.target = target
        self.address = address
        self.connection: RequestId | None = None
        self.lookup_deadline = 0.0


class KeyedSender:
    """Sends calls and lookups to tools and apps."""

    def __init__(self, context: NodeContext) -> None:
        self._tools = ToolClient(context)
        self._apps = AppClient(context)

    def send(self, call: KeyedCall, timeout: float, done: ContentDone) -> RequestId:
        """Send a call; ``done`` receives the content of the answer."""
        if call.target.kind is CallKind.APP:
            app_call = self._app_call(call, timeout)

            def app_done(result: Result[AppAnswer, YokelineError]) -> None:
                done(result.map(lambda answer: answer.content))

            return self._apps.call(app_call, app_done)

        def tool_done(result: Result[ToolAnswer, YokelineError]) -> None:
            done(result.map(lambda answer: answer.content))

        return self._tools.call(self._tool_call(call, timeout), tool_done)

    def _app_call(self, call: KeyedCall, timeout: float) -> AppCall:
        return AppCall(
            app=call.target.name,
            address=call.address,
            path=call.target.path,
            body=call.run.history[0].content,
            run=call.run.run,
            call=call.record.number,
            fence=call.activity.term,
            timeout=timeout,
            repeatable=call.record.repeatable,
        )

    def _tool_call(self, call: KeyedCall, timeout: float) -> ToolCall:
        tool_request = call.record.tool_request
        return ToolCall(
            tool=call.target.name,
            address=call.address,
            path=call.target.path,
            arguments=tool_request.arguments if tool_request is not None else "{}",
            run=call.run.run,
            call=call.record.number,
            fence=call.activity.term,
            timeout=timeout,
            repeatable=call.record.repeatable,
        )

    def look_up(self, call: KeyedCall, done: LookupDone) -> RequestId:
        """Ask the back end for the outcome of a call."""
        timeout = call.target.timeout
        if call.target.kind is CallKind.APP:
            return self._apps.lookup(self._app_call(call, timeout), done)
        return self._tools.lookup(self._tool_call(call, timeout), done)


def content_of(target: Target, body: bytes) -> ContentResult:
    """Return the content of a recorded response, which has the format of a direct response."""
    if target.kind is CallKind.APP:
        return app_answer(target.name, body).map(lambda found: found.content)
    return tool_answer(target.name, body).map(lambda found: found.content)
