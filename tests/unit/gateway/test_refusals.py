"""Requests that are refused: kind, remedy, status and what is said about execution."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec

from tests.unit.gateway.support import CALLER, OPERATOR, OTHER, PLATFORM, Bench
from yokeline.errors import ErrorKind, Execution, YokelineError

RUNS = "/v1/programs/reconcile/runs"
KEY = {"idempotency-key": "k"}
RUN = "/v1/runs/run-" + "0" * 32
GOOD = {"input": "x"}
MISSING_RUN = YokelineError(kind=ErrorKind.NOT_FOUND, message="no such run", remedy="check it")


class Case(msgspec.Struct, frozen=True):
    """A bad request and what it must be answered."""

    name: str
    method: str
    path: str
    body: Any
    kind: str
    status: int
    execution: str = "not_run"
    token: str | None = CALLER
    headers: dict[str, str] = {}
    too_large: bool = False


def bad(name: str, body: Any, **fields: Any) -> Case:
    """Return a bad request for a new run."""
    return Case(name, "POST", RUNS, body, "bad_request", 400, **fields)


def hidden(path: str, token: str = OPERATOR) -> Case:
    """Return a request for something that its sender may not know of."""
    return Case(path, "GET", "/admin/v1/" + path, None, "not_found", 404, token=token)


LONG_KEY = {"idempotency-key": "k" * 256}
EMPTY_KEY = {"idempotency-key": " "}
NO_PROGRAM = ("POST", "/v1/programs/nope/runs", GOOD, "not_found", 404)
LIMITS = "/admin/v1/tenants/dallim"
BAD_ID = {"last-event-id": "1"}

CASES = (
    Case("unknown program", *NO_PROGRAM),
    Case("unknown program, key", *NO_PROGRAM, "unknown", headers=KEY),
    Case("other tenant's program", "POST", "/v1/programs/tally/runs", GOOD, "not_found", 404),
    Case("no token", "POST", RUNS, GOOD, "unauthenticated", 401, token=None),
    Case("bad token", "POST", RUNS, GOOD, "unauthenticated", 401, token="wrong"),
    Case("bad token, key", "POST", RUNS, GOOD, "unauthenticated", 401, "unknown", "no", KEY),
    Case("token of spaces", "GET", "/v1/runs", None, "unauthenticated", 401, token=" "),
    Case("platform token", "POST", RUNS, GOOD, "forbidden", 403, token=PLATFORM),
    Case("too large", "POST", RUNS, None, "body_too_large", 413, headers=KEY, too_large=True),
    bad("bad JSON", b"{", headers=KEY),
    bad("deep JSON", b'{"input":' + b"[" * 9999),
    bad("not UTF-8", b'{"input":"\xff"}'),
    bad("unknown field", {**GOOD, "inputs": 1}),
    bad("wrong type", {**GOOD, "wait": "yes"}),
    bad("no input", {}),
    bad("input is a list", {"input": [1]}),
    bad("deadline 0", {**GOOD, "deadline_seconds": 0}),
    bad("deadline too far", {**GOOD, "deadline_seconds": 1e9}),
    bad("bad label", {**GOOD, "labels": {"a b": "c"}}),
    bad("empty key", GOOD, headers=EMPTY_KEY),
    bad("long key", GOOD, headers=LONG_KEY),
    Case("no such path", "GET", "/v1/nope", None, "not_found", 404),
    Case("wrong method", "PATCH", "/v1/runs", None, "bad_request", 405),
    Case("long path", "GET", "/" + "a" * 3000, None, "bad_request", 400),
    Case("no run id", "GET", "/v1/runs/nope", None, "not_found", 404, "unknown"),
    Case("bad wait", "GET", RUN + "?wait=soon", None, "bad_request", 400, "unknown"),
    Case("bad id", "GET", RUN + "/events", None, "bad_request", 400, "unknown", headers=BAD_ID),
    Case("bad limit", "GET", "/v1/runs?limit=0", None, "bad_request", 400),
    Case("bad cursor", "GET", "/v1/runs?after=99:x", None, "bad_request", 400),
    Case("caller on admin", "GET", "/admin/v1/programs", None, "forbidden", 403),
    Case("operator on nodes", "GET", "/admin/v1/nodes", None, "forbidden", 403, token=OPERATOR),
    Case("operator drains", "POST", "/admin/v1/drain", None, "forbidden", 403, token=OPERATOR),
    Case("operator raises limits", "PUT", LIMITS, {}, "forbidden", 403, token=OPERATOR),
    Case("no tenant", "GET", "/admin/v1/programs/x", None, "bad_request", 400, token=PLATFORM),
    hidden("nopes/x"),
    hidden("programs/tally?tenant=harvest"),
    hidden("tenants/harvest"),
    hidden("engine-pools/north"),
    hidden("operations/op:programs:dallim~talk:0:" + "0" * 16, OTHER),
)


class RefusalTest(unittest.TestCase):
    def test_each_bad_request_names_kind_remedy_and_execution(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                bench = Bench()
                exchange = bench.send(
                    case.method,
                    case.path,
                    case.body,
                    token=case.token,
                    headers=case.headers,
                    too_large=case.too_large,
                )
                answer = bench.answer(exchange)
                problem = answer.json()
                self.assertEqual((case.status, 1), (answer.status, answer.replies))
                self.assertEqual("application/problem+json", answer.headers["content-type"])
                self.assertEqual((case.kind, case.status), (problem["kind"], problem["status"]))
                self.assertEqual(case.execution, problem["execution"])
                self.assertTrue(problem["remedy"] and problem["detail"])
                self.assertEqual([], bench.router.asked)
                self.assertEqual(0, bench.gateway.waiting())

    def test_run_of_another_tenant_looks_like_none_and_claims_nothing(self) -> None:
        for method, path in (("GET", RUN), ("DELETE", RUN), ("GET", RUN + "/events")):
            with self.subTest(method + path):
                bench = Bench()
                exchange = bench.send(method, path, token=OTHER)
                self.assertEqual("harvest", bench.router.last().operation.tenant)  # type: ignore[union-attr]
                bench.fail(MISSING_RUN)
                answer = bench.answer(exchange)
                self.assertEqual(404, answer.status)
                self.assertEqual("unknown", answer.json()["execution"])

    def test_router_may_say_not_run_only_without_a_key(self) -> None:
        error = YokelineError(
            kind=ErrorKind.UNAVAILABLE, message="no leader", remedy="retry", retry_after=0.4
        )
        for headers, execution in (({}, "not_run"), (KEY, "unknown")):
            bench = Bench()
            exchange = bench.send("POST", RUNS, GOOD, headers=headers)
            bench.fail(error)
            answer = bench.answer(exchange)
            self.assertEqual((503, "1"), (answer.status, answer.headers["retry-after"]))
            self.assertEqual(execution, answer.json()["execution"])
            self.assertEqual(bench.router.last().operation.run, answer.json()["run"])  # type: ignore[union-attr]

    def test_unready_configuration_is_no_bad_token(self) -> None:
        bench = Bench()
        bench.configuration.is_ready = False
        answer = bench.answer(bench.send("POST", RUNS, GOOD))
        self.assertEqual((503, "unavailable"), (answer.status, answer.json()["kind"]))
        answer = bench.answer(bench.send("GET", "/admin/v1/nodes", token=PLATFORM))
        self.assertEqual(200, answer.status)

    def test_a_silent_router_is_answered_for(self) -> None:
        bench = Bench()
        exchange = bench.send("POST", RUNS, {**GOOD, "deadline_seconds": 2})
        bench.advance(60)
        answer = bench.answer(exchange)
        self.assertEqual((504, "unknown"), (answer.status, answer.json()["execution"]))
        self.assertEqual([bench.router.last().request], bench.router.cancelled)

    def test_a_fault_in_a_handler_claims_nothing(self) -> None:
        bench = Bench()
        bench.configuration.view = None  # type: ignore[assignment,method-assign]
        answer = bench.answer(bench.send("POST", RUNS, GOOD))
        self.assertEqual((500, "unknown"), (answer.status, answer.json()["execution"]))
        self.assertEqual(Execution.UNKNOWN.value, answer.json()["execution"])
