"""Tests of the engine directory and the cache reconciler over fake engines."""

from __future__ import annotations

import json
import random
import unittest

from returns.result import Failure, Success

from tests.unit.scheduling.support import RUN, demand
from yokeline.effects import Address, HttpFailed, HttpRequest, HttpResponse
from yokeline.identifiers import NodeName, ReplicaId, RunId
from yokeline.labels.objects import EnginePool
from yokeline.scheduling.cache_reconciler import (
    INVENTORY_PERIOD_SECONDS,
    PresenceHandler,
    RunPresence,
)
from yokeline.scheduling.directory import EngineDirectory, MachineEntry
from yokeline.scheduling.interface import CacheAction, PauseKind, ProgramPause
from yokeline.scheduling.policies import make_policy
from yokeline.server.context import NodeContext
from yokeline.settings import NodeSection, Settings

FIRST = "agents/10.0.0.1:80"
SECOND = "agents/10.0.0.2:80"


class Bench:
    """A directory over two engines, with a manual clock."""

    def __init__(self) -> None:
        self.context = NodeContext(
            name=NodeName("n1"),
            replica=ReplicaId("n1~1"),
            zone="z",
            source=random.Random(3),
            wall_offset=0.0,
        )
        self.pools = (EnginePool(name="agents", addresses=("10.0.0.1:80", "10.0.0.2:80")),)
        self.machines: tuple[MachineEntry, ...] = ()
        self.presence: dict[str, RunPresence] = {}
        self.asked: list[tuple[RunId, str]] = []
        self.load = {"running": 0, "waiting": 0, "cache_tokens": 100_000}
        self.entries: list[dict[str, object]] = []
        self.reachable = True
        self.requests: list[HttpRequest] = []
        self.directory = EngineDirectory(
            self.context,
            Settings(node=NodeSection(name="n1")),
            make_policy("affinity"),
            lambda: self.pools,
            lambda: self.machines,
            reconciles=lambda engine: engine == FIRST,
            look_up_run=self._run_exists,
        )
        self.directory.refresh()

    def _run_exists(self, run: RunId, tenant: str, done: PresenceHandler) -> None:
        self.asked.append((run, tenant))
        done(self.presence.get(run, RunPresence.UNKNOWN))

    def advance(self, seconds: float) -> None:
        """Advance the clock with a tick at each deadline; engines answer immediately."""
        end = self.context.now + seconds
        for _ in range(1000):
            due = self.directory.next_deadline()
            if due is None or due > end:
                break
            self.context.now = max(self.context.now, due)
            self.directory.tick()
            self._answer()
        self.context.now = end

    def _answer(self) -> None:
        for effect in self.context.take_outbox():
            if not isinstance(effect, HttpRequest):
                continue
            self.requests.append(effect)
            if not self.reachable:
                answer = HttpFailed(request=effect.request, sent=False, reason="refused")
                self.context.dispatch_http(answer)
                continue
            body: object = self.load if effect.path == "/v1/load" else None
            if effect.path == "/v1/cache":
                body = {"entries": self.entries, "sequence": 1}
            status = 204 if body is None else 200
            data = b"" if body is None else json.dumps(body).encode()
            self.context.dispatch_http(
                HttpResponse(request=effect.request, status=status, headers={}, body=data)
            )

    def dropped(self) -> list[tuple[Address, str]]:
        """Return the dropped cache entries with the engine's address."""
        found = [r for r in self.requests if r.method == "DELETE" and "/entries/" in r.path]
        return [(r.address, r.path.rpartition("/")[2]) for r in found]


def entry(key: str) -> dict[str, object]:
    """Return an inventory entry."""
    return {"cache_key": key, "cache_salt": "dallim", "tokens": 64, "held_seconds": None}


class ChoiceTest(unittest.TestCase):
    def test_unreachable_engines_get_nothing_until_they_answer_again(self) -> None:
        bench = Bench()
        bench.reachable = False
        bench.advance(3.0)
        failure = bench.directory.choose(demand())
        assert isinstance(failure, Failure)
        self.assertIsNotNone(failure.failure().retry_after)
        bench.reachable = True
        bench.advance(2.0)
        self.assertIsInstance(bench.directory.choose(demand()), Success)

    def test_leaving_machine_gets_nothing_and_removed_engines_are_forgotten(self) -> None:
        bench = Bench()
        bench.machines = (MachineEntry(address=Address("10.0.0.1", 80), labels={}, leaving=True),)
        bench.directory.refresh()
        self.assertEqual(bench.directory.choose(demand()).unwrap().engine, SECOND)
        bench.pools = ()
        bench.directory.refresh()
        self.assertIsNone(bench.directory.address_of(SECOND))

    def test_waiting_says_why(self) -> None:
        bench = Bench()
        bench.load["running"] = 32
        bench.advance(1.0)
        failure = bench.directory.choose(demand())
        assert isinstance(failure, Failure)
        self.assertIn("full", failure.failure().message)

    def test_program_stays_where_its_context_is(self) -> None:
        bench = Bench()
        first = bench.directory.choose(demand()).unwrap()
        bench.directory.call_sent(first.engine, demand(), "a")
        bench.directory.text_received("a")
        bench.directory.call_ended(
            "a", prompt_tokens=4000, cached_tokens=0, completion_tokens=50, ok=True
        )
        again = bench.directory.choose(demand(prompt_tokens=4100)).unwrap()
        self.assertEqual(again.engine, first.engine)
        self.assertIn("4050 of 4100 tokens cached", again.reason)
        self.assertEqual(bench.directory.sent_to(first.engine), 0)


class CachePlanTest(unittest.TestCase):
    def plan(self, bench: Bench) -> CacheAction | None:
        pause = ProgramPause(
            run=RUN,
            cache_key=RUN,
            tenant="dallim",
            kind=PauseKind.TOOL,
            name="roster",
            engine=FIRST,
            context_tokens=4000,
        )
        planned = bench.directory.pause_started(pause)
        return planned.decision.action if planned is not None else None

    def test_learned_short_pause_at_a_crowded_engine_is_held_once(self) -> None:
        bench = Bench()
        bench.advance(1.0)
        for number in range(9):
            other = RunId(f"run-other-{number}")
            call = demand(run=other, cache_key=other, prompt_tokens=10_000)
            bench.directory.call_sent(FIRST, call, str(number))
        self.assertIsNone(self.plan(bench))
        for _ in range(10):
            bench.directory.pause_ended(PauseKind.TOOL, "roster", 1.0)
        self.assertIs(self.plan(bench), CacheAction.HOLD)
        self.assertEqual(bench.directory.hold_ended(FIRST, RUN), Address("10.0.0.1", 80))
        self.assertIsNone(bench.directory.hold_ended(FIRST, RUN))


class StewardTest(unittest.TestCase):
    def test_only_entries_of_runs_that_are_gone_are_dropped(self) -> None:
        bench = Bench()
        bench.entries = [entry(key) for key in ("run-gone", "run-here", "run-dark", "other")]
        bench.presence = {"run-gone": RunPresence.GONE, "run-here": RunPresence.NEEDED}
        bench.advance(INVENTORY_PERIOD_SECONDS)
        self.assertEqual(bench.dropped(), [(Address("10.0.0.1", 80), "run-gone")])
        self.assertEqual(
            bench.asked, [(RunId(run), "dallim") for run in ("run-dark", "run-gone", "run-here")]
        )

    def test_program_with_a_call_under_way_is_not_asked_about(self) -> None:
        bench = Bench()
        bench.directory.call_sent(FIRST, demand(), "a")
        bench.entries = [entry(RUN)]
        bench.presence = {RUN: RunPresence.GONE}
        bench.advance(INVENTORY_PERIOD_SECONDS)
        self.assertEqual((bench.asked, bench.dropped()), ([], []))

    def test_evicted_context_is_believed_no_longer(self) -> None:
        bench = Bench()
        bench.directory.call_sent(FIRST, demand(), "a")
        bench.directory.call_ended(
            "a", prompt_tokens=4000, cached_tokens=0, completion_tokens=50, ok=True
        )
        bench.advance(INVENTORY_PERIOD_SECONDS)
        reason = bench.directory.choose(demand()).unwrap().reason
        self.assertIn("0 of 4000 tokens cached", reason)


if __name__ == "__main__":
    unittest.main()
