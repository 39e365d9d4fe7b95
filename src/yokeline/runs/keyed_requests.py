"""Sending tool and app calls, and asking what became of them, by the kind of back end."""

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

Content = Result[str, YokelineError]
ContentDone = Callable[[Content], None]


class KeyedCall:
    """A tool or app call under way.

    Attributes:
        run: The run it belongs to.
        target: The back end as it is configured.
        connection: The open connection, for closing it.
        lookups_until: Monotonic seconds until which its outcome is asked for.
    """

    __slots__ = ("activity", "address", "connection", "lookups_until", "record", "run", "target")

    def __init__(
        self, activity: Activity, run: Run, record: CallRecord, target: Target, address: Address
    ) -> None:
        """Create a call that is not sent yet."""
        self.activity = activity
        self.run = run
        self.record = record
        self.target = target
        self.address = address
        self.connection: RequestId | None = None
        self.lookups_until = 0.0


class KeyedSender:
    """Sends calls through the client of their kind."""

    def __init__(self, context: NodeContext) -> None:
        """Create a sender that sends through ``context``."""
        self._tools = ToolClient(context)
        self._apps = AppClient(context)

    def send(self, request: KeyedCall, timeout: float, done: ContentDone) -> RequestId:
        """Send a call; ``done`` gets the content of its answer."""
        if request.target.kind is CallKind.APP:
            call = self._app_call(request, timeout)

            def app_done(result: Result[AppAnswer, YokelineError]) -> None:
                done(result.map(lambda answer: answer.content))

            return self._apps.call(call, app_done)

        def tool_done(result: Result[ToolAnswer, YokelineError]) -> None:
            done(result.map(lambda answer: answer.content))

        return self._tools.call(self._tool_call(request, timeout), tool_done)

    def _app_call(self, request: KeyedCall, timeout: float) -> AppCall:
        return AppCall(
            app=request.target.name,
            address=request.address,
            path=request.target.path,
            body=request.run.history[0].content,
            run=request.run.run,
            call=request.record.number,
            fence=request.activity.term,
            timeout=timeout,
            repeatable=request.record.repeatable,
        )

    def _tool_call(self, request: KeyedCall, timeout: float) -> ToolCall:
        tool_request = request.record.tool_request
        return ToolCall(
            tool=request.target.name,
            address=request.address,
            path=request.target.path,
            arguments=tool_request.arguments if tool_request is not None else "{}",
            run=request.run.run,
            call=request.record.number,
            fence=request.activity.term,
            timeout=timeout,
            repeatable=request.record.repeatable,
        )

    def look_up(self, request: KeyedCall, done: LookupDone) -> RequestId:
        """Ask the back end what became of a call."""
        timeout = request.target.timeout
        if request.target.kind is CallKind.APP:
            return self._apps.lookup(self._app_call(request, timeout), done)
        return self._tools.lookup(self._tool_call(request, timeout), done)


def content_of(target: Target, body: bytes) -> Content:
    """Return the content of a recorded response, which is of the form of a direct one."""
    if target.kind is CallKind.APP:
        return app_answer(target.name, body).map(lambda found: found.content)
    return tool_answer(target.name, body).map(lambda found: found.content)
