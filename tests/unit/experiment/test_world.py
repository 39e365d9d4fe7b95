import unittest

import msgspec

from yokeline.experiment import policies
from yokeline.experiment.engines import AGENT_ENGINE
from yokeline.experiment.script import (
    Arrival,
    ChildUse,
    ModelStep,
    ProgramScript,
    ToolUse,
    Turn,
    turn_service,
)
from yokeline.experiment.workloads import WORKLOADS
from yokeline.experiment.workloads.workload import Workload
from yokeline.experiment.world import RunResult, World
from yokeline.scheduling.baselines import PrefixFcfsPolicy
from yokeline.scheduling.interface import (
    CacheAction,
    CacheCause,
    CacheDecision,
    PauseContext,
    PauseKind,
)

RATE = 0.5


def short(name: str, seconds: float = 120.0) -> Workload:
    return msgspec.structs.replace(
        WORKLOADS[name], warmup_seconds=0.0, horizon_seconds=seconds, drain_seconds=300.0
    )


def run(name: str, policy: str, seed: int) -> RunResult:
    workload = short(name)
    arrivals = [item for item in workload.arrivals(seed, RATE) if item.at < 120.0]
    clairvoyant = policies.is_clairvoyant(policy)
    world = World(workload, policies.make(policy), arrivals, seed, clairvoyant=clairvoyant)
    return world.run()


class DeterminismTest(unittest.TestCase):
    def test_same_seed_gives_the_same_numbers(self) -> None:
        for policy in (policies.PRODUCT, policies.CLAIRVOYANT):
            with self.subTest(policy):
                first, second = run("harvest", policy, 3), run("harvest", policy, 3)
                self.assertEqual(first.metrics, second.metrics)
                self.assertEqual(first.latencies, second.latencies)

    def test_policies_serve_the_same_arrivals(self) -> None:
        for name, workload in WORKLOADS.items():
            with self.subTest(name):
                self.assertEqual(workload.arrivals(5, RATE), workload.arrivals(5, RATE))
                self.assertNotEqual(workload.arrivals(5, RATE), workload.arrivals(6, RATE))
        outcomes = [run("dallim", policy, 4) for policy in policies.BASELINES]
        issued = [[(item.kind, item.issued_at) for item in result.records] for result in outcomes]
        self.assertTrue(issued[0])
        self.assertEqual(issued[0], issued[1])
        self.assertEqual(issued[0], issued[2])

    def test_load_changes_arrivals_but_not_scripts(self) -> None:
        for name, workload in WORKLOADS.items():
            with self.subTest(name):
                few, many = workload.arrivals(1, 0.1), workload.arrivals(1, 1.0)
                self.assertGreater(len(many), len(few))
                self.assertEqual(
                    [item.script for item in few], [item.script for item in many[: len(few)]]
                )


def one_program(*steps: ModelStep, call_limit: int = 100) -> ProgramScript:
    return ProgramScript(
        kind="test",
        tenant="t",
        program="p",
        system_tokens=640,
        turns=(Turn(steps=steps),),
        call_limit=call_limit,
    )


def serve(script: ProgramScript, policy: str = "prefix_fcfs") -> RunResult:
    arrivals = (Arrival(at=1.0, number=0, script=script),)
    return World(short("dallim"), policies.make(policy), arrivals, 1).run()


class ProgramTest(unittest.TestCase):
    def test_latency_is_the_sum_of_calls_and_pauses(self) -> None:
        tool = ToolUse(tool="read", seconds=3.0)
        script = one_program(
            ModelStep(input_tokens=640, answer_tokens=64, follow_up=tool),
            ModelStep(input_tokens=128, answer_tokens=64),
        )
        result = serve(script)
        latency, bound = result.latencies[0], result.metrics.latency_alone
        rate, step = AGENT_ENGINE.prefill_tokens_per_second, AGENT_ENGINE.step_seconds
        self.assertGreater(bound, (640 + 128) / rate + 2 * 64 * step + 3.0)
        # The bound does without the prefill of the system prompt and of the block that the
        # call before had not filled.
        self.assertGreater(latency, bound + 640 / rate)
        self.assertLess(latency, bound + (640 + 2 * 64) / rate + 2 * step)

    def test_no_request_is_faster_than_alone(self) -> None:
        for policy in (policies.PRODUCT, policies.CLAIRVOYANT):
            records = run("dallim", policy, 2).records
            self.assertGreater(len(records), 10)
            for record in records:
                assert record.answered_at is not None
                latency = record.answered_at - record.issued_at
                self.assertGreaterEqual(latency, record.alone_seconds - 1e-6)

    def test_parent_waits_for_its_child(self) -> None:
        child = one_program(ModelStep(input_tokens=64, answer_tokens=200))
        step = ModelStep(input_tokens=64, answer_tokens=10, follow_up=ChildUse(child=child))
        script = one_program(step, ModelStep(input_tokens=64, answer_tokens=10))
        self.assertEqual(turn_service(script.turns[0]), 74 + 264 + 74)
        alone = serve(child).latencies[0]
        self.assertGreater(serve(script).latencies[0], alone)

    def test_hanging_tool_ends_at_its_time_out(self) -> None:
        tool = ToolUse(tool="hangs", seconds=1e6)
        script = one_program(
            ModelStep(input_tokens=64, answer_tokens=10, follow_up=tool),
            ModelStep(input_tokens=64, answer_tokens=10),
        )
        latency = serve(script).latencies[0]
        timeout = short("dallim").tool_timeout_seconds
        self.assertGreater(latency, timeout)
        self.assertLess(latency, timeout + 5.0)

    def test_loop_is_ended_by_its_limit(self) -> None:
        step = ModelStep(
            input_tokens=64, answer_tokens=10, follow_up=ToolUse(tool="again", seconds=0.1)
        )
        result = serve(one_program(*[step] * 10, call_limit=3))
        self.assertEqual(result.metrics.ended, 1)
        self.assertEqual(result.metrics.on_time_worth, 0.0)
        self.assertEqual(result.latencies, ())


class Holding(PrefixFcfsPolicy):
    """Holds each context at a tool's pause for a fixed time."""

    def __init__(self, seconds: float) -> None:
        super().__init__()
        self.seconds = seconds

    def cache_decision(self, pause: PauseContext) -> CacheDecision:
        if pause.kind is PauseKind.END:
            return CacheDecision(action=CacheAction.DROP, cause=CacheCause.ENDED, reason="")
        return CacheDecision(
            action=CacheAction.HOLD,
            cause=CacheCause.COSTLY_REBUILD,
            reason="",
            hold_seconds=self.seconds,
        )


class HoldTest(unittest.TestCase):
    def serve(self, seconds: float, pause: float) -> World:
        script = one_program(
            ModelStep(
                input_tokens=640,
                answer_tokens=65,
                follow_up=ToolUse(tool="read", seconds=pause),
            ),
            ModelStep(input_tokens=64, answer_tokens=10),
        )
        arrivals = (Arrival(at=1.0, number=0, script=script),)
        return World(short("dallim"), Holding(seconds), arrivals, 1)

    def test_hold_that_outlasts_the_pause_is_released_at_the_next_call(self) -> None:
        world = self.serve(seconds=50.0, pause=5.0)
        world.run()
        totals = world.cache_totals()
        # 1,344 tokens (whole blocks of 64) for the pause and the next call's prefill.
        self.assertAlmostEqual(totals.held_token_seconds, 1344 * 5.0, delta=1344 * 0.2)
        self.assertLess(totals.wasted_hold_token_seconds, 1344 * 0.2)

    def test_hold_that_ends_before_the_pause_is_wasted(self) -> None:
        world = self.serve(seconds=2.0, pause=5.0)
        world.run()
        totals = world.cache_totals()
        self.assertAlmostEqual(totals.wasted_hold_token_seconds, 1344 * 2.0, delta=1.0)
        self.assertEqual(totals.wasted_hold_token_seconds, totals.held_token_seconds)


if __name__ == "__main__":
    unittest.main()
