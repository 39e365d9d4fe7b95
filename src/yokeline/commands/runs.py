"""Commands about runs."""

from __future__ import annotations

import json
import secrets
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from yokeline.commands.client import (
    ANSWER_SECONDS,
    ERROR_STATUS,
    Reply,
    ServerSentEvent,
    error_of,
    path_of,
)
from yokeline.commands.connection import Session, connected
from yokeline.commands.output import Output
from yokeline.errors import (
    EXIT_FAILURE,
    EXIT_OK,
    ErrorKind,
    YokelineError,
    YokelineException,
)

KEY_BYTES = 16
SILENCE_SECONDS = 60.0
RECONNECTS = 10
RECONNECT_PAUSE_SECONDS = 1.0
BROKEN = frozenset({ErrorKind.OUTCOME_UNKNOWN, ErrorKind.UNAVAILABLE, ErrorKind.OVERLOADED})
ANSWERED = frozenset({"succeeded", "idle"})
STANDARD_INPUT = "-"
LIST_COLUMNS = ("run", "program", "status", "execution", "turn", "calls", "labels", "created")


@connected
def start(
    session: Session,
    program: str,
    input: str,
    *,
    key: str = "",
    deadline: float = 0.0,
    label: list[str] | None = None,
    wait: bool = False,
    watch: bool = False,
) -> int:
    """Start a run of a program.

    Exit code 0: recorded (with --wait or --watch: answered); 1: refused, failed or unknown.

    Args:
        session: The node to ask, and where the result goes.
        program: Name of the program.
        input: Text, a JSON object, @FILE, or - for standard input.
        key: Idempotency key; repeat a request with the key it printed, it runs at most once.
        deadline: Seconds from now by which the answer is wanted; 0: the policy's.
        label: A label KEY=VALUE of the run; once per label.
        wait: Wait for the answer.
        watch: Show the run's events until it is answered.
    """
    key = key or f"cli-{secrets.token_hex(KEY_BYTES)}"
    body: dict[str, Any] = {"input": read_input(input), "labels": read_labels(label or [])}
    if deadline > 0:
        body["deadline_seconds"] = deadline
    if wait or watch:
        body["wait"] = wait and not watch
    try:
        reply = session.client.request(
            "POST",
            path_of("v1", "programs", program, "runs"),
            body=msgspec.json.encode(body),
            headers={"idempotency-key": key},
            seconds=max(ANSWER_SECONDS, deadline * 2),
        )
    except YokelineException as error:
        session.output.note(f"idempotency key: {key}")
        raise error
    if reply.status >= ERROR_STATUS:
        session.output.note(f"idempotency key: {key}")
        _raise_problem(session.output, reply)
    run = reply.json()
    if watch:
        return _watch(session, run["run"], "")
    _show(session.output, run)
    return EXIT_OK


@connected
def show(session: Session, run: str, *, wait: float = 0.0) -> int:
    """Show a run: its status, its answer and which engine served each call, and why.

    Exit code 0: answered or under way; 1: the run failed or is not known.

    Args:
        session: The node to ask, and where the result goes.
        run: Id of the run.
        wait: Seconds to wait for its answer.
    """
    reply = session.client.request(
        "GET",
        path_of("v1", "runs", run),
        query={"wait": f"{wait:g}" if wait > 0 else ""},
        seconds=ANSWER_SECONDS + wait,
    )
    if reply.status >= ERROR_STATUS:
        _raise_problem(session.output, reply)
    _show(session.output, reply.json())
    return EXIT_OK


@connected
def watch(session: Session, run: str, *, after: str = "") -> int:
    """Show a run's events as they come, until it is answered.

    A broken stream is taken up again after the last event. Exit code 0: the run was
    answered; 1: it was not, or the stream could not be taken up again.

    Args:
        session: The node to ask, and where the result goes.
        run: Id of the run.
        after: Id of the last event seen before, to go on after it.
    """
    return _watch(session, run, after)


@connected
def cancel(session: Session, run: str) -> int:
    """Cancel a run.

    Args:
        session: The node to ask, and where the result goes.
        run: Id of the run.
    """
    _show(session.output, session.client.ask("DELETE", path_of("v1", "runs", run)).json())
    return EXIT_OK


@connected
def listing(session: Session) -> int:
    """List the tenant's runs.

    Args:
        session: The node to ask, and where the result goes.
    """
    session.output.rows(session.client.pages("/v1/runs", "runs", {}), LIST_COLUMNS)
    return EXIT_OK


def read_input(text: str) -> Any:
    """Return the input that an argument stands for: text, or a JSON object as it is.

    Raises:
        YokelineException: If a file cannot be read.
    """
    if text == STANDARD_INPUT:
        text = sys.stdin.read()
    elif text.startswith("@"):
        try:
            text = Path(text[1:]).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise YokelineException(
                _usage(f"the input file cannot be read: {error}", "check its name")
            ) from error
    if text.lstrip().startswith("{"):
        try:
            json.loads(text)
        except ValueError:
            return text
        return msgspec.Raw(text.strip())
    return text


def read_labels(items: list[str]) -> dict[str, str]:
    """Return labels from ``KEY=VALUE`` texts.

    Raises:
        YokelineException: If one is of another form.
    """
    labels: dict[str, str] = {}
    for item in items:
        key, separator, value = item.partition("=")
        if not separator or not key:
            raise YokelineException(_usage(f"--label is {item!r}", "write KEY=VALUE"))
        labels[key] = value
    return labels


def _watch(session: Session, run: str, after: str) -> int:
    printer = _EventPrinter(session.output)
    failures = 0
    while True:
        try:
            headers = {"last-event-id": after} if after else {}
            path = path_of("v1", "runs", run, "events")
            for event in session.client.events(
                "GET", path, headers=headers, silence_seconds=SILENCE_SECONDS
            ):
                failures = 0
                after = event.id or after
                printer.show(event)
                if event.kind == "finished":
                    return EXIT_OK if printer.answered else EXIT_FAILURE
        except YokelineException as error:
            if error.error.kind not in BROKEN or failures >= RECONNECTS:
                raise
        failures += 1
        if failures > RECONNECTS:
            session.output.note("the stream ended without the last event")
            return EXIT_FAILURE
        time.sleep(RECONNECT_PAUSE_SECONDS)


class _EventPrinter:
    """Writes events: JSON lines, or the answer's text with notes about calls."""

    def __init__(self, output: Output) -> None:
        self._output = output
        self._has_text = False
        self.answered = False

    def show(self, event: ServerSentEvent) -> None:
        data = json.loads(event.data)
        if event.kind == "finished":
            self.answered = data["status"] in ANSWERED
        if self._output.as_json:
            line = {"id": event.id, "event": event.kind, "data": data}
            print(json.dumps(line, ensure_ascii=False), flush=True)
            return
        self._show_for_people(event.kind, data)

    def _show_for_people(self, kind: str, data: dict[str, Any]) -> None:
        if kind == "text":
            self._has_text = True
            print(data["text"], end="", flush=True)
            return
        if self._has_text:
            print(flush=True)
            self._has_text = False
        if kind == "call_started":
            line = f"[{data['kind']} call to {data['backend']}: {data['reason']}]"
        elif kind == "restart":
            line = "[the text above is void, it is generated anew]"
        elif kind == "call_finished":
            line = f"[call {data['status']}]"
        elif kind == "finished":
            line = f"[{data['status']}] {data['answer']}"
        else:
            line = f"[{kind}] {data}"
        print(line, flush=True)


def _show(output: Output, run: dict[str, Any]) -> None:
    if output.as_json:
        output.value(run)
        return
    output.rows([{key: run.get(key) for key in ("run", "status", "execution", "turn")}])
    if run.get("calls"):
        output.rows(run["calls"], ("number", "attempt", "kind", "backend", "status", "reason"))
    answer = run.get("answer")
    if answer is not None:
        print(answer if isinstance(answer, str) else json.dumps(answer, ensure_ascii=False))


def _raise_problem(output: Output, reply: Reply) -> None:
    problem = reply.json() if reply.body[:1] == b"{" else {}
    if output.as_json:
        output.value(problem)
    if problem.get("run"):
        output.note(f"run: {problem['run']}; execution: {problem.get('execution')}")
    raise YokelineException(error_of(reply))


def _usage(message: str, remedy: str) -> YokelineError:
    return YokelineError(kind=ErrorKind.BAD_SETTING, message=message, remedy=remedy)
