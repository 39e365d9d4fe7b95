"""The admin API: configuration objects, operations, what the node tells of itself."""

from __future__ import annotations

import json
import unittest
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families
from returns.result import Failure, Success

from tests.unit.gateway.support import OPERATOR, PLATFORM, Bench
from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.gateway.openapi import build_document, openapi_json
from yokeline.gateway.routes import ROUTES
from yokeline.labels.objects import ObjectKind, StoredObject
from yokeline.store.history import OperationStatus
from yokeline.store.writes import WriteResult

TALK = "/admin/v1/programs/talk"
UNKNOWN = YokelineError(
    kind=ErrorKind.OUTCOME_UNKNOWN, message="lost", remedy="read", execution=Execution.UNKNOWN
)


class ObjectTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()

    def put(
        self, path: str, body: object, token: str = OPERATOR, **headers: str
    ) -> tuple[int, dict]:
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        answer = self.bench.answer(self.bench.send("PUT", path, body, token=token, headers=names))
        return answer.status, answer.json() if answer.replies else {}

    def test_read_gives_the_object_and_its_revision(self) -> None:
        answer = self.bench.answer(self.bench.send("GET", TALK, token=OPERATOR))
        self.assertEqual('"13"', answer.headers["etag"])
        self.assertEqual(("talk", "dallim"), (answer.json()["name"], answer.json()["tenant"]))
        same = {"if-none-match": '"13"'}
        self.assertEqual(
            304,
            self.bench.answer(self.bench.send("GET", TALK, token=OPERATOR, headers=same)).status,
        )
        own = self.bench.answer(self.bench.send("GET", "/admin/v1/tenants/dallim", token=OPERATOR))
        self.assertEqual(200, own.status)

    def test_write_is_a_compare_and_swap_of_what_the_operator_saw(self) -> None:
        body = {"model": "small-1", "conversation": True}
        for headers, expected in (
            ({"if_match": '"13"'}, 13),
            ({"if_match": "*"}, 13),
            ({"if_match": '"7"'}, 7),
        ):
            with self.subTest(str(headers)):
                self.put(TALK, body, **headers)
                write = self.bench.writer.writes[-1]
                self.assertEqual(
                    (ObjectKind.PROGRAM, "dallim/talk", expected),
                    (write.kind, write.name, write.expected),
                )
                self.assertEqual("dallim", json.loads(write.body or "")["tenant"])
        count = len(self.bench.writer.writes)
        refused = (
            ({}, 412, "precondition_failed"),
            ({"if_none_match": "*"}, 412, "precondition_failed"),
            ({"if_match": "13"}, 400, "bad_request"),
            ({"if_none_match": '"1"'}, 400, "bad_request"),
        )
        for headers, status, kind in refused:
            with self.subTest(str(headers)):
                found, problem = self.put(TALK, body, **headers)
                self.assertEqual((status, kind), (found, problem["kind"]))
        self.assertEqual(count, len(self.bench.writer.writes))

    def test_a_new_object_is_created_with_warnings(self) -> None:
        path = "/admin/v1/programs/new"
        exchange = self.bench.send("PUT", path, {"model": "big-1", "tools": ["t"]}, token=OPERATOR)
        write = self.bench.writer.writes[-1]
        self.assertEqual(0, write.expected)
        write.done(Success(WriteResult(revision=40, operation=write.operation)))
        answer = self.bench.answer(exchange)
        shown = answer.json()
        self.assertEqual(
            (201, '"40"', 40), (answer.status, answer.headers["etag"], shown["revision"])
        )
        self.assertEqual((write.operation, 2), (shown["operation"], len(shown["warnings"])))

    def test_bad_objects_are_refused_before_the_store_is_asked(self) -> None:
        cases = (
            ({"model": "m", "nmae": 1}, 400),
            ({"model": "m", "name": "other"}, 400),
            ({"model": "m", "tenant": "harvest"}, 400),
            ([], 400),
            (b"{", 400),
        )
        for body, status in cases:
            with self.subTest(str(body)):
                self.assertEqual(status, self.put("/admin/v1/programs/new", body)[0])
        path = "/admin/v1/tools/new"
        for address in ("127.0.0.1:2379", "127.0.0.1:9201"):
            status, problem = self.put(path, {"addresses": [address]})
            self.assertEqual((403, "forbidden"), (status, problem["kind"]))
        self.assertEqual([], self.bench.writer.writes)
        self.put(path + "?tenant=dallim", {"addresses": ["127.0.0.1:2379"]}, PLATFORM)
        self.assertEqual(1, len(self.bench.writer.writes))

    def test_an_unknown_outcome_names_its_operation_and_is_resolved_by_it(self) -> None:
        body = {"model": "small-1"}
        exchange = self.bench.send("PUT", TALK, body, token=OPERATOR, headers={"if-match": '"13"'})
        write = self.bench.writer.writes[-1]
        write.done(Failure(UNKNOWN))
        problem = self.bench.answer(exchange).json()
        self.assertEqual(("outcome_unknown", "unknown"), (problem["kind"], problem["execution"]))
        self.assertEqual(write.operation, problem["operation"])
        cases = (
            (
                OperationStatus(operation="", applied=True, revision=30, current_revision=31),
                "applied",
            ),
            (OperationStatus(operation="", applied=False, current_revision=31), "not_applied"),
            (OperationStatus(operation="", applied=False, current_revision=13), "unknown"),
            (OperationStatus(operation="", applied=None, current_revision=31), "unknown"),
        )
        for status, outcome in cases:
            asked = self.bench.send(
                "GET", f"/admin/v1/operations/{write.operation}", token=OPERATOR
            )
            self.bench.writer.resolving(Success(status))
            self.assertEqual(outcome, self.bench.answer(asked).json()["outcome"])
        stored = StoredObject(
            kind=write.kind,
            name=write.name,
            revision=30,
            body=write.body or "",
            operation=write.operation,
        )
        self.bench.configuration.current = self.bench.configuration.current.with_objects([stored])
        asked = self.bench.send("GET", f"/admin/v1/operations/{write.operation}", token=OPERATOR)
        self.bench.writer.resolving(Failure(UNKNOWN))
        self.assertEqual("applied", self.bench.answer(asked).json()["outcome"])

    def test_a_surely_refused_write_says_so(self) -> None:
        error = YokelineError(
            kind=ErrorKind.NOT_APPLIED, message="down", remedy="wait", retry_after=3.0
        )
        exchange = self.bench.send("DELETE", TALK, token=OPERATOR, headers={"if-match": '"13"'})
        self.assertIsNone(self.bench.writer.writes[-1].body)
        self.bench.writer.writes[-1].done(Failure(error))
        answer = self.bench.answer(exchange)
        self.assertEqual(
            (503, "not_applied", "not_run"),
            (answer.status, answer.json()["kind"], answer.json()["execution"]),
        )

    def test_lists_show_a_tenants_operator_only_its_own(self) -> None:
        cases = (
            ("programs?limit=2", OPERATOR, ["dallim/post", "dallim/reconcile"]),
            ("programs?after=dallim/reconcile", OPERATOR, ["dallim/talk"]),
            ("tenants", OPERATOR, ["dallim"]),
            ("engine-pools", OPERATOR, []),
            ("tenants", PLATFORM, ["dallim", "harvest"]),
            ("programs?tenant=harvest", PLATFORM, ["harvest/tally"]),
        )
        for path, token, names in cases:
            with self.subTest(path):
                answer = self.bench.answer(self.bench.send("GET", f"/admin/v1/{path}", token=token))
                self.assertEqual(names, [item["name"] for item in answer.json()["items"]])


class NodeTest(unittest.TestCase):
    def test_explain_tells_policies_and_pools(self) -> None:
        bench = Bench()
        shown = bench.answer(bench.send("GET", "/admin/v1/explain/post", token=OPERATOR)).json()
        self.assertEqual(
            (7, 3.0, "site=n"), (shown["priority"], shown["worth"], shown["engine_selector"])
        )
        self.assertEqual(
            [("posts", True)], [(p["policy"], p["applies"]) for p in shown["policies"]]
        )
        path = "/admin/v1/explain/reconcile?tenant=dallim"
        shown = bench.answer(bench.send("GET", path, token=PLATFORM)).json()
        self.assertEqual([("north", True)], [(p["pool"], p["allowed"]) for p in shown["pools"]])

    def test_lists_are_paged(self) -> None:
        bench = Bench()
        names = []
        after: str | None = ""
        while after is not None:
            path = f"/admin/v1/nodes?limit=2&after={after}"
            page = bench.answer(bench.send("GET", path, token=PLATFORM)).json()
            names += [item["name"] for item in page["items"]]
            after = page["next"]
        self.assertEqual(["node-1", "node-2", "node-3"], names)

    def test_drain_is_answered_and_begun(self) -> None:
        bench = Bench()
        answer = bench.answer(bench.send("POST", "/admin/v1/drain", token=PLATFORM))
        self.assertEqual((202, True), (answer.status, bench.admin.drained))

    def test_metrics_are_in_the_exposition_format(self) -> None:
        bench = Bench()
        bench.send("GET", "/healthz", token=None)
        bench.context.counters['yokeline_odd_total{a="1"}'] += 2
        bench.context.counters["yokeline_odd_total"] += 1
        bench.context.counters["not a name"] += 1
        answer = bench.answer(bench.send("GET", "/metrics", token=None))
        samples = {
            (sample.name, tuple(sorted(sample.labels.items()))): sample.value
            for family in text_string_to_metric_families(answer.body.decode())
            for sample in family.samples
        }
        route = ("route", "GET /healthz")
        self.assertEqual(1.0, samples["yokeline_http_requests_total", (route, ("status", "2xx"))])
        self.assertEqual(1.0, samples["yokeline_http_request_duration_seconds_count", (route,)])
        self.assertEqual(2.0, samples["yokeline_odd_total", (("a", "1"),)])
        self.assertEqual(1.0, samples["yokeline_odd_total", ()])
        self.assertEqual(4.0, samples["yokeline_shards_led", (("zone", "a"),)])
        dropped = ("yokeline_datagrams_dropped_total", (("reason", "malformed"),))
        self.assertEqual(3.0, samples[dropped])

    def test_every_route_has_a_handler_and_is_described(self) -> None:
        handlers = Bench().gateway._handlers
        self.assertEqual(sorted(handlers), sorted(route.handler for route in ROUTES))
        paths = build_document()["paths"]
        self.assertEqual(len(ROUTES), sum(len(methods) for methods in paths.values()))
        document = Path(__file__).parents[3] / "docs" / "openapi.json"
        remedy = "python -m yokeline.gateway.openapi > docs/openapi.json"
        self.assertEqual(openapi_json().decode().strip(), document.read_text().strip(), remedy)
