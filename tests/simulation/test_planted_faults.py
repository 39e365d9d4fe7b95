"""For each point: a node whose mechanism is broken, and a check that finds it.

A check that cannot fail is no proof. Each test first shows that nothing is found without the
fault planted (``test_determinism.QuietTest``), or runs the same seed with a sound node.
"""

import unittest
from unittest import mock

import msgspec
from returns.result import Success

from tests.simulation.planted import (
    SMALL_PLAN,
    SMALL_WORLD,
    TamperedNode,
    run_small,
    violations,
)
from yokeline.effects import (
    Effect,
    Event,
    Exit,
    HttpArrived,
    HttpReply,
    HttpRequest,
    HttpResponse,
    StopRequested,
)
from yokeline.identifiers import RequestId
from yokeline.runs import budget
from yokeline.simulation.checks.result import Point
from yokeline.simulation.faults import FaultKind
from yokeline.simulation.runner import SeedRun, make_node

CHAT = "/v1/chat/completions"
APP = "/v1/requests"


def as_new(request: HttpRequest, suffix: str, **changes: object) -> HttpRequest:
    identity = RequestId(f"{request.request}-{suffix}")
    return msgspec.structs.replace(request, request=identity, **changes)


class SendsAnOldCallAgain(TamperedNode):
    first: HttpRequest | None = None

    def outgoing(self, effect: Effect) -> list[Effect]:
        if not isinstance(effect, HttpRequest) or effect.path != CHAT:
            return [effect]
        if self.first is None:
            self.first = effect
            return [effect]
        call = msgspec.json.decode(self.first.body)["call_id"]
        if msgspec.json.decode(effect.body)["call_id"][:36] == call[:36]:
            return [effect, as_new(self.first, effect.request)]
        return [effect]


class ForgetsTheFirstMessage(TamperedNode):
    def outgoing(self, effect: Effect) -> list[Effect]:
        if not isinstance(effect, HttpRequest) or effect.path != CHAT:
            return [effect]
        body = msgspec.json.decode(effect.body)
        if len(body["messages"]) > 2:
            del body["messages"][0]
        return [msgspec.structs.replace(effect, body=msgspec.json.encode(body))]


class HoldsMemoryForEver(TamperedNode):
    def outgoing(self, effect: Effect) -> list[Effect]:
        if isinstance(effect, HttpRequest) and effect.method == "DELETE":
            return []
        if not isinstance(effect, HttpRequest) or effect.path != CHAT:
            return [effect]
        chat = msgspec.json.decode(effect.body)
        hold = {"cache_key": chat["cache_key"], "cache_salt": chat["cache_salt"], "seconds": 120}
        body = msgspec.json.encode(hold)
        return [effect, as_new(effect, "hold", path="/v1/cache/holds", body=body)]

    def incoming(self, event: Event) -> Event | None:
        if isinstance(event, HttpResponse) and event.request.endswith("-hold"):
            return None
        return event


class CutsAnswers(TamperedNode):
    def outgoing(self, effect: Effect) -> list[Effect]:
        if not isinstance(effect, HttpReply) or effect.status != 200:
            return [effect]
        body = msgspec.json.decode(effect.body)
        if not isinstance(body, dict) or not isinstance(body.get("answer"), str):
            return [effect]
        body["answer"] = body["answer"][:-1]
        return [msgspec.structs.replace(effect, body=msgspec.json.encode(body))]


class DeniesWhatRan(TamperedNode):
    def outgoing(self, effect: Effect) -> list[Effect]:
        if not isinstance(effect, HttpReply) or b'"program":"alert"' not in effect.body:
            return [effect]
        problem = {"kind": "overloaded", "execution": "not_run", "run_status": "refused"}
        body = msgspec.json.encode(problem)
        return [msgspec.structs.replace(effect, status=503, body=body)]


class PostsTwice(TamperedNode):
    def outgoing(self, effect: Effect) -> list[Effect]:
        if isinstance(effect, HttpRequest) and effect.path == APP and effect.method == "POST":
            return [effect, as_new(effect, "twice")]
        return [effect]


class IgnoresLeaving(TamperedNode):
    def incoming(self, event: Event) -> Event | None:
        if isinstance(event, HttpResponse) and b'"leaving"' in event.body:
            body = event.body.replace(b'"leaving"', b'"live"')
            return msgspec.structs.replace(event, body=body)
        return event


class StopsAtOnce(TamperedNode):
    def handle(self, event: Event, now: float) -> list[Effect]:
        if isinstance(event, StopRequested):
            return [Exit()]
        return super().handle(event, now)


class ServesItsFirstConfiguration(TamperedNode):
    def incoming(self, event: Event) -> Event | None:
        if isinstance(event, HttpArrived) and event.method == "GET":
            self.__dict__.setdefault("paths", {})[event.exchange] = event.path
        return event

    def outgoing(self, effect: Effect) -> list[Effect]:
        if not isinstance(effect, HttpReply) or effect.status != 200:
            return [effect]
        path = self.__dict__.setdefault("paths", {}).get(effect.exchange, "")
        if self.name != "node-2" or "/policies/" not in path:
            return [effect]
        first = self.__dict__.setdefault("first", {}).setdefault(path, effect)
        return [msgspec.structs.replace(first, exchange=effect.exchange)]


class PlantedFaultsTest(unittest.TestCase):
    def assert_found(
        self, point: Point, factory: object, kinds: tuple[FaultKind, ...] = ()
    ) -> None:
        self.assertNotEqual(violations(run_small(kinds=kinds, factory=factory), point), [])

    def test_order(self) -> None:
        self.assert_found(Point.ORDER, SendsAnOldCallAgain)

    def test_history(self) -> None:
        self.assert_found(Point.HISTORY, ForgetsTheFirstMessage)

    def test_budget(self) -> None:
        with mock.patch.object(budget, "check_call", return_value=Success(None)):
            self.assert_found(Point.BUDGET, make_node)

    def test_engine_memory(self) -> None:
        self.assert_found(Point.ENGINE_MEMORY, HoldsMemoryForEver)

    def test_whole_answers(self) -> None:
        self.assert_found(Point.WHOLE_ANSWERS, CutsAnswers)

    def test_true_refusals(self) -> None:
        self.assert_found(Point.TRUE_REFUSALS, DeniesWhatRan)

    def test_at_most_once(self) -> None:
        self.assert_found(Point.AT_MOST_ONCE, PostsTwice)

    def test_leaving_backends(self) -> None:
        plan = msgspec.structs.replace(SMALL_PLAN, workload_seconds=28.0, faults_end=30.0)
        kinds = (FaultKind.LEAVING,)

        def found(factory: object) -> list[str]:
            run = SeedRun(SMALL_WORLD, 1, kinds, plan=plan, node_factory=factory)  # type: ignore[arg-type]
            return violations(run.run(), Point.LEAVING_BACKENDS)

        self.assertEqual(found(make_node), [])
        self.assertNotEqual(found(IgnoresLeaving), [])

    def test_planned_stops(self) -> None:
        kinds = (FaultKind.DRAIN,)
        self.assertEqual(violations(run_small(kinds=kinds), Point.PLANNED_STOPS), [])
        self.assert_found(Point.PLANNED_STOPS, StopsAtOnce, kinds)

    def test_configuration(self) -> None:
        self.assert_found(Point.CONFIGURATION, ServesItsFirstConfiguration)
