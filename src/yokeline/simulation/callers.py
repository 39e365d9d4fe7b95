"""Callers of one tenant: they post, retry with their keys, watch, ask again and cancel."""

from __future__ import annotations

import random
from collections.abc import Generator

import msgspec
import simpy

from yokeline.effects import Address, Framing, HttpFailed, HttpResponse, HttpStreamItem
from yokeline.simulation.outcomes import STATUS_OK, Verdict, note_answer
from yokeline.simulation.port import Call, ClientPort, Steps, response_to
from yokeline.simulation.records import (
    Attempt,
    Books,
    RequestKind,
    RunRecord,
    TurnRecord,
    WatchRecord,
)
from yokeline.simulation.scripts import (
    Step,
    answer_text,
    child_step,
    encode_app_body,
    encode_script,
    tool_steps,
)
from yokeline.simulation.watching import follow_event

MAX_ATTEMPTS = 25
DEADLINE_SECONDS = 20.0
SHORT_DEADLINE_SECONDS = 2.5
SHORT_DEADLINE_SHARE = 0.15
PATIENT_SECONDS = 22.0
IMPATIENT_SECONDS = 3.0
IMPATIENT_SHARE = 0.3
RETRY_SECONDS = (0.3, 2.0)
TURNS = (2, 4)
TURN_PAUSE_SECONDS = (0.5, 6.0)
CANCEL_AFTER_SECONDS = (0.1, 2.0)
WATCH_SILENCE_SECONDS = 15.0
WATCH_ATTEMPTS = 40
WATCH_ITEMS = (3, 40)
"""Events after which a watcher drops its connection and connects anew."""
DROP_SHARE = 0.5
LOOP_STEPS = 30
MARKERS_PER_CALLER = 10
MUTATING_TOOLS = ("record", "stamp")
ALL_TOOLS = ("search", "record", "stamp")


class Node(msgspec.Struct, frozen=True):
    """A node as callers know it."""

    name: str
    address: Address


class Caller:
    """Makes one request of a tenant, as a simpy process.

    Each caller has a random source of its own, so that what one request meets does not
    change what another does.
    """

    def __init__(
        self,
        port: ClientPort,
        *,
        tenant: str,
        number: int,
        token: str,
        nodes: tuple[Node, ...],
        books: Books,
        source: random.Random,
    ) -> None:
        """Create the caller ``number`` of a tenant, who knows the ``nodes``."""
        self._port = port
        self._tenant = tenant
        self._token = token
        self._nodes = nodes
        self._books = books
        self._source = source
        self._environment = port.simulation.schedule.environment
        self._number = number
        self._count = 0

    # ------------------------------------------------------------ requests

    def posting(self, program: str, operation: str) -> Steps:
        """Post something that may not be repeated."""
        return self._app_request(program, operation, RequestKind.POSTING)

    def lookup(self, program: str) -> Steps:
        """Ask an app something that may be repeated."""
        return self._app_request(program, "result_lookup", RequestKind.LOOKUP)

    def agent(self, program: str, *, cancelled: bool = False, watched: bool = False) -> Steps:
        """Run an agent with tools and a child."""
        marker = self._new_marker()
        count = self._source.randint(1, 4)
        tools = tuple(self._source.choice(ALL_TOOLS) for _ in range(count))
        steps: tuple[Step, ...] = tool_steps(marker, tools)
        if self._source.random() < 0.5:
            answer = answer_text(marker, self._source)
            steps = (*steps, child_step(marker, "summarize", answer))
        turn = self._script_turn(marker, steps)
        record = self._new_run(program, RequestKind.AGENT, turn, count)
        if cancelled:
            yield from self._start_and_cancel(record)
        elif watched:
            yield from self._start_and_watch(record)
        else:
            yield from self._submit(record, turn, self._runs_path(program), wait=True)

    def loop(self, program: str) -> Steps:
        """Run an agent whose script is longer than its budget."""
        marker = self._new_marker()
        tools = tuple(ALL_TOOLS[number % len(ALL_TOOLS)] for number in range(LOOP_STEPS))
        turn = self._script_turn(marker, tool_steps(marker, tools))
        record = self._new_run(program, RequestKind.LOOP, turn, LOOP_STEPS)
        yield from self._submit(record, turn, self._runs_path(program), wait=True)

    def conversation(self, program: str) -> Steps:
        """Talk with an agent over several turns."""
        marker = self._new_marker()
        turn = self._script_turn(marker, tool_steps(marker, ("search",)))
        record = self._new_run(program, RequestKind.CONVERSATION, turn, 1)
        yield from self._submit(record, turn, self._runs_path(program), wait=True)
        for _ in range(self._source.randint(*TURNS) - 1):
            if turn.answer is None or not record.run:
                return
            yield self._pause(TURN_PAUSE_SECONDS)
            marker = self._new_marker()
            turn = self._script_turn(marker, tool_steps(marker, ("search",)))
            record.turns.append(turn)
            path = f"/v1/runs/{record.run}/turns"
            yield from self._submit(record, turn, path, wait=True)

    # ------------------------------------------------------------ parts

    def _app_request(self, program: str, operation: str, kind: RequestKind) -> Steps:
        marker = self._new_marker()
        body = encode_app_body(operation, marker, self._number)
        turn = TurnRecord(key=marker, marker=marker, input=body, sent_at=self._environment.now)
        record = self._new_run(program, kind, turn, 0)
        yield from self._submit(record, turn, self._runs_path(program), wait=True)

    def _start_and_cancel(self, record: RunRecord) -> Steps:
        turn = record.turns[0]
        yield from self._submit(record, turn, self._runs_path(record.program), wait=False)
        yield self._pause(CANCEL_AFTER_SECONDS)
        if not record.run:
            return
        record.given_up = True
        for _ in range(MAX_ATTEMPTS):
            node = self._source.choice(self._nodes)
            call = self._call(node, "DELETE", f"/v1/runs/{record.run}", PATIENT_SECONDS)
            answer = response_to((yield self._port.send(call).next()))
            if isinstance(answer, HttpResponse) and answer.status < 500:
                return
            yield self._pause(RETRY_SECONDS)

    def _start_and_watch(self, record: RunRecord) -> Steps:
        turn = record.turns[0]
        yield from self._submit(record, turn, self._runs_path(record.program), wait=False)
        if not record.run:
            return
        record.watch = WatchRecord()
        last_id = ""
        for _ in range(WATCH_ATTEMPTS):
            last_id = yield from self._watch_once(record, record.watch, last_id)
            if record.watch.finished:
                break
            yield self._pause(RETRY_SECONDS)
        yield from self._submit(record, turn, self._runs_path(record.program), wait=True)

    def _watch_once(
        self, record: RunRecord, watch: WatchRecord, last_id: str
    ) -> Generator[simpy.Event, object, str]:
        node = self._source.choice(self._nodes)
        headers = {"accept": "text/event-stream"}
        if last_id:
            headers["last-event-id"] = last_id
        call = self._call(node, "GET", f"/v1/runs/{record.run}/events", WATCH_SILENCE_SECONDS)
        headers.update(call.headers)
        streamed = msgspec.structs.replace(
            call, headers=headers, framing=Framing.SERVER_SENT_EVENTS
        )
        connection = Attempt(node=node.name, sent_at=self._environment.now)
        watch.connections.append(connection)
        dropping = self._source.random() < DROP_SHARE
        remaining = self._source.randint(*WATCH_ITEMS) if dropping else None
        pending = self._port.send(streamed)
        while True:
            answer = yield pending.next()
            if isinstance(answer, HttpStreamItem):
                last_id = answer.event_id or last_id
                follow_event(watch, answer)
                if remaining is not None:
                    remaining -= 1
                    if remaining <= 0:
                        pending.cancel()
                        break
            elif not isinstance(answer, HttpResponse) or answer.status != STATUS_OK:
                connection.failure = answer.reason if isinstance(answer, HttpFailed) else ""
                break
        connection.answered_at = self._environment.now
        return last_id

    def _submit(self, record: RunRecord, turn: TurnRecord, path: str, *, wait: bool) -> Steps:
        hasty = self._source.random() < SHORT_DEADLINE_SHARE
        deadline = SHORT_DEADLINE_SECONDS if hasty else DEADLINE_SECONDS
        body = f'{{"input":{turn.input if _is_app(record) else _quoted(turn.input)},'
        body += f'"deadline_seconds":{deadline},"wait":{str(wait).lower()}}}'
        for _ in range(MAX_ATTEMPTS):
            impatient = self._source.random() < IMPATIENT_SHARE
            timeout = IMPATIENT_SECONDS if impatient else PATIENT_SECONDS
            node = self._source.choice(self._nodes)
            call = self._call(node, "POST", path, timeout, turn.key, body.encode())
            attempt = Attempt(node=node.name, sent_at=self._environment.now)
            turn.attempts.append(attempt)
            answer = response_to((yield self._port.send(call).next()))
            attempt.answered_at = self._environment.now
            verdict = note_answer(record, turn, attempt, answer, wait=wait)
            if verdict is Verdict.FINAL:
                return
            yield self._pause(RETRY_SECONDS)

    def _call(
        self,
        node: Node,
        method: str,
        path: str,
        timeout: float,
        key: str = "",
        body: bytes = b"",
    ) -> Call:
        headers = {"authorization": f"Bearer {self._token}"}
        if body:
            headers["content-type"] = "application/json"
        if key:
            headers["idempotency-key"] = key
        return Call(
            address=node.address,
            method=method,
            path=path,
            headers=headers,
            body=body,
            timeout=timeout,
        )

    def _pause(self, bounds: tuple[float, float]) -> simpy.Event:
        pause: simpy.Event = self._environment.timeout(self._source.uniform(*bounds))
        return pause

    def _script_turn(self, marker: str, steps: tuple[Step, ...]) -> TurnRecord:
        answer = answer_text(marker, self._source)
        return TurnRecord(
            key=marker,
            marker=marker,
            input=encode_script(steps, answer),
            sent_at=self._environment.now,
            expected=answer,
        )

    def _new_run(self, program: str, kind: RequestKind, turn: TurnRecord, steps: int) -> RunRecord:
        record = RunRecord(
            tenant=self._tenant, program=program, kind=kind, turns=[turn], steps=steps
        )
        self._books.runs.append(record)
        return record

    def _new_marker(self) -> str:
        self._count += 1
        number = self._number * MARKERS_PER_CALLER + self._count
        return f"{self._tenant}-m{number}-{self._source.getrandbits(32):08x}"

    def _runs_path(self, program: str) -> str:
        return f"/v1/programs/{program}/runs"


def _is_app(record: RunRecord) -> bool:
    return record.kind in (RequestKind.POSTING, RequestKind.LOOKUP)


def _quoted(text: str) -> str:
    return msgspec.json.encode(text).decode()
