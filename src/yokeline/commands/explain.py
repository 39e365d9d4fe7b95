"""The command that tells the story of one request from the logs of several nodes."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from yokeline.errors import EXIT_FAILURE, EXIT_OK, ErrorKind, YokelineError, YokelineException

BELIEF_EVENTS = frozenset(
    (
        "configuration_applied",
        "configuration_refused",
        "dependency_lost",
        "dependency_regained",
        "engine_changed",
        "engine_gone",
        "ledger_leader_known",
        "ledger_role_changed",
        "leadership_handed_over",
        "members_changed",
        "membership_step",
        "registry_adopted",
        "registry_behind",
        "replica_lost",
        "started",
        "stopping",
        "stopped",
    )
)
"""Events that change what a process believes."""
BELIEFS_SHOWN = 6
"""Changes of belief shown from before the request's first line."""
_HIDDEN = ("time", "level", "event", "request")


class LogLine(msgspec.Struct, frozen=True):
    """One line of a node's log.

    Attributes:
        resumes: The request whose stream the line's request resumes; empty for none.
    """

    time: str
    source: str
    event: str
    request: str
    rest: str
    resumes: str = ""


def explain(request: str, *files: str) -> int:
    """Tell the story of one request, in order, from the logs of several nodes.

    Args:
        request: The request's id.
        files: Log files of nodes (JSON lines; text before the JSON names the source).
    """
    lines = sorted((line for name in files for line in read_lines(name)), key=_time_of)
    story = story_of(lines, request)
    if not story:
        print(f"no line of request {request} in {len(files)} files", file=sys.stderr)
        return EXIT_FAILURE
    for line in story:
        rest = line.rest if line.request in ("", request) else f"request={line.request} {line.rest}"
        print(f"{line.time}  {line.source:24}  {line.event:22}  {rest}")
    return EXIT_OK


def story_of(lines: list[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request, with what its nodes came to believe meanwhile.

    The lines of all requests that began or resumed its stream belong to them.
    """
    requests = requests_of_stream(lines, request)
    own = [line for line in lines if line.request in requests]
    if not own:
        return []
    sources = {line.source for line in own}
    first, last = own[0].time, own[-1].time
    beliefs = [line for line in lines if line.source in sources and line.event in BELIEF_EVENTS]
    before = [line for line in beliefs if line.time < first][-BELIEFS_SHOWN:]
    during = [line for line in beliefs if first <= line.time <= last]
    return sorted([*before, *own, *during], key=_time_of)


def requests_of_stream(lines: list[LogLine], request: str) -> set[str]:
    """Return a request, the one whose stream it resumes, and the others that resume it."""
    origins = {line.resumes for line in lines if line.request == request and line.resumes}
    origin = min(origins, default=request)
    return {request, origin} | {line.request for line in lines if line.resumes == origin}


def _time_of(line: LogLine) -> str:
    """Return the key by which lines are sorted; those of one time keep their order in a log."""
    return line.time


def read_lines(name: str) -> Iterable[LogLine]:
    """Yield the JSON lines of a log file; other lines are passed over.

    Raises:
        YokelineException: The file cannot be read.
    """
    path = Path(name)
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise YokelineException(
            YokelineError(
                kind=ErrorKind.BAD_SETTING,
                message=f"the log file {name} cannot be read: {error.strerror or error}",
                remedy="name files that hold the standard output of nodes",
            )
        ) from error
    for row in text.splitlines():
        before, brace, rest = row.partition("{")
        fields = _fields(brace + rest)
        if fields is not None:
            words = before.split()
            yield _line(fields, words[-1] if words else path.stem)


def _fields(text: str) -> dict[str, Any] | None:
    try:
        fields = json.loads(text)
    except ValueError:
        return None
    return fields if isinstance(fields, dict) and "event" in fields else None


def _line(fields: dict[str, Any], source: str) -> LogLine:
    shown = (f"{name}={value}" for name, value in fields.items() if name not in _HIDDEN)
    return LogLine(
        time=str(fields.get("time", "")),
        source=source,
        event=str(fields["event"]),
        request=str(fields.get("request", "")),
        rest=" ".join(shown),
        resumes=str(fields.get("resumes", "")),
    )
