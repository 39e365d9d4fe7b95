"""Each check finds its planted violation, and is content with sound books."""

import unittest
from collections.abc import Callable

import msgspec

from yokeline.emulator.engine.prompt import PromptMessage
from yokeline.emulator.engine_protocol import ChatRequest
from yokeline.simulation.checks.answers import check_answers, check_at_most_once, check_refusals
from yokeline.simulation.checks.calls import check_budget, check_order
from yokeline.simulation.checks.configuration import check_configuration
from yokeline.simulation.checks.history import check_history
from yokeline.simulation.checks.platform import (
    check_engine_memory,
    check_leaving,
    check_planned_stops,
)
from yokeline.simulation.checks.result import CheckResult
from yokeline.simulation.outcomes import ProblemView, RunView
from yokeline.simulation.records import (
    AppliedRequest,
    Attempt,
    BackendRequest,
    Books,
    ConfigurationReading,
    ConfigurationWrite,
    EngineAudit,
    Leaving,
    PlannedStop,
    RequestKind,
    RunAudit,
    RunRecord,
    TurnRecord,
)

Check = Callable[[Books], CheckResult]
RUN = "run-" + "0" * 32
MARKER = "team-m1-00000001"
OTHER = "team-m2-00000002"


def chat(number: int, at: float, *messages: tuple[str, str], host: str = "engine-1") -> object:
    body = ChatRequest(
        model="m",
        call_id=f"{RUN}-{number}-1",
        messages=tuple(PromptMessage(role=role, content=text) for role, text in messages),
    )
    return BackendRequest(
        host=host,
        start=1,
        arrived_at=at,
        method="POST",
        path="/v1/chat/completions",
        headers={},
        body=msgspec.json.encode(body),
        status=200,
    )


def app_request(marker: str, reply: bytes, at: float = 1.0) -> BackendRequest:
    return BackendRequest(
        host="app-1",
        start=1,
        arrived_at=at,
        method="POST",
        path="/v1/requests",
        headers={"idempotency-key": f"{RUN}/1"},
        body=f'{{"bib":"{marker}"}}'.encode(),
        status=200,
        reply=reply,
    )


def record(
    kind: RequestKind = RequestKind.POSTING, marker: str = MARKER, **turn: object
) -> RunRecord:
    only = TurnRecord(key=marker, marker=marker, input=marker, sent_at=0.0, **turn)
    return RunRecord(tenant="team", program="p", kind=kind, turns=[only], run=RUN)


def applied(times: int, host: str = "app-1") -> list[AppliedRequest]:
    body = f'{{"bib":"{MARKER}"}}'.encode()
    if host != "app-1":
        body = f'{{"arguments":{{"marker":"{MARKER}","step":1}}}}'.encode()
    one = AppliedRequest(host=host, key="k", operation="record", body=body, applied_at=1.0)
    return [one] * times


def refused(at: float) -> Attempt:
    body = msgspec.json.encode(ProblemView(kind="overloaded", execution="not_run"))
    return Attempt(node="node-1", sent_at=0.0, answered_at=at, status=503, body=body)


def audit(status: int, run_status: str, asked_as: str = "team") -> RunAudit:
    view = RunView(run=RUN, status=run_status, execution="done")
    body = msgspec.json.encode(view)
    return RunAudit(run=RUN, tenant="team", asked_as=asked_as, status=status, body=body)


def reading(revision: int, at: float, version: int | None = None) -> ConfigurationReading:
    shown = revision if version is None else version
    return ConfigurationReading(
        node="node-1", start=1, tenant="team", asked_at=at, version=shown, revision=revision
    )


def write(revision: int, at: float) -> ConfigurationWrite:
    return ConfigurationWrite(
        tenant="team",
        version=revision,
        sent_at=at,
        answered_at=at,
        status=200,
        revision=revision,
    )


class ChecksTest(unittest.TestCase):
    def sound(self, check: Check, books: Books) -> None:
        result = check(books)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.checks, 0)

    def broken(self, check: Check, books: Books) -> None:
        self.assertNotEqual(check(books).violations, [])

    def test_order(self) -> None:
        first, second = chat(1, 1.0), chat(2, 2.0)
        self.sound(check_order, Books(backend_requests=[first, second]))
        self.broken(check_order, Books(backend_requests=[second, chat(1, 3.0)]))

    def test_history_grows(self) -> None:
        runs = [record(RequestKind.AGENT)]
        asked = ("user", MARKER)
        first = chat(1, 1.0, asked)
        second = chat(2, 2.0, asked, ("assistant", "x"))
        self.sound(check_history, Books(runs=runs, backend_requests=[first, second]))
        forgetful = chat(2, 2.0, ("assistant", "x"))
        self.broken(check_history, Books(runs=runs, backend_requests=[first, forgetful]))

    def test_history_is_not_mixed(self) -> None:
        runs = [record(RequestKind.AGENT), record(RequestKind.AGENT, OTHER)]
        mixed = chat(1, 1.0, ("user", MARKER), ("assistant", OTHER))
        self.broken(check_history, Books(runs=runs, backend_requests=[mixed]))

    def test_history_is_not_lost_and_not_shown_to_others(self) -> None:
        run = record(attempts=[Attempt(node="n", sent_at=0.0, status=202)])
        self.sound(check_history, Books(runs=[run], run_audits=[audit(200, "succeeded")]))
        self.broken(check_history, Books(runs=[run], run_audits=[audit(404, "")]))
        self.broken(check_history, Books(runs=[run], run_audits=[audit(202, "active")]))
        leaked = audit(200, "succeeded", asked_as="others")
        self.broken(check_history, Books(runs=[run], run_audits=[leaked]))

    def test_budget(self) -> None:
        runs = [record(RequestKind.LOOP)]
        calls = [chat(number, float(number), ("user", MARKER)) for number in range(1, 14)]
        self.sound(check_budget, Books(runs=runs, backend_requests=calls[:12]))
        self.broken(check_budget, Books(runs=runs, backend_requests=calls))

    def test_engine_memory(self) -> None:
        held = [EngineAudit(engine="engine-1", held=(RUN,), busy=0)]
        idle, over = audit(200, "idle"), audit(200, "succeeded")
        self.sound(check_engine_memory, Books(engine_audits=held, run_audits=[idle]))
        self.broken(check_engine_memory, Books(engine_audits=held, run_audits=[over]))
        busy = [EngineAudit(engine="engine-1", held=(), busy=1)]
        self.broken(check_engine_memory, Books(engine_audits=busy, run_audits=[over]))

    def test_answers(self) -> None:
        runs = [record(answer='{"sequence":1}')]
        right = [app_request(MARKER, b'{"sequence": 1}')]
        self.sound(check_answers, Books(runs=runs, backend_requests=right))
        crossed = [app_request(OTHER, b'{"sequence": 1}')]
        self.broken(check_answers, Books(runs=runs, backend_requests=crossed))
        view = msgspec.json.encode(RunView(run=RUN, status="succeeded", execution="done"))
        attempt = Attempt(node="n", sent_at=0.0, status=200, body=view)
        torn = record(RequestKind.AGENT, answer="one", expected="one two", attempts=[attempt])
        self.broken(check_answers, Books(runs=[torn]))

    def test_refusals(self) -> None:
        runs = [record(execution="not_run", attempts=[refused(0.5)])]
        self.sound(check_refusals, Books(runs=runs))
        self.broken(check_refusals, Books(runs=runs, applied=applied(1)))
        early = [record(execution="done", attempts=[refused(2.0)])]
        self.broken(check_refusals, Books(runs=early, applied=applied(1)))

    def test_at_most_once(self) -> None:
        runs = [record(answer="{}")]
        self.sound(check_at_most_once, Books(runs=runs, applied=applied(1)))
        self.broken(check_at_most_once, Books(runs=runs, applied=applied(2)))
        self.broken(check_at_most_once, Books(runs=runs))
        twice = applied(2, host="tool-1")
        self.broken(check_at_most_once, Books(runs=[record(RequestKind.AGENT)], applied=twice))

    def test_leaving(self) -> None:
        leaving = [Leaving(host="engine-1", since=10.0, until=40.0)]
        early = [chat(1, 12.0)]
        self.sound(check_leaving, Books(leaving=leaving, backend_requests=early))
        self.broken(check_leaving, Books(leaving=leaving, backend_requests=[chat(1, 20.0)]))

    def test_planned_stops(self) -> None:
        stop = PlannedStop(node="node-1", asked_at=1.0, ended_at=9.0, exit_code=0)
        whole = Attempt(node="node-1", sent_at=0.5, answered_at=2.0, status=200)
        self.sound(check_planned_stops, Books(stops=[stop], runs=[record(attempts=[whole])]))
        cut = Attempt(node="node-1", sent_at=0.5, answered_at=2.0, failure="connection reset")
        self.broken(check_planned_stops, Books(stops=[stop], runs=[record(attempts=[cut])]))
        hung = PlannedStop(node="node-1", asked_at=1.0)
        self.broken(check_planned_stops, Books(stops=[hung]))

    def test_configuration(self) -> None:
        accepted = [write(5, 1.0)]
        fresh = [reading(4, 0.5), reading(5, 20.0)]
        self.sound(check_configuration, Books(writes=accepted, readings=fresh))
        self.broken(check_configuration, Books(writes=accepted, readings=[reading(4, 20.0)]))
        back = [reading(5, 2.0), reading(4, 3.0)]
        self.broken(check_configuration, Books(writes=accepted, readings=back))
        other = [reading(5, 2.0, version=9)]
        self.broken(check_configuration, Books(writes=accepted, readings=other))
        lost_race = ConfigurationWrite(
            tenant="team", version=7, sent_at=1.0, status=412, execution="not_run"
        )
        visible = [reading(6, 2.0, version=7)]
        self.broken(check_configuration, Books(writes=[lost_race], readings=visible))
