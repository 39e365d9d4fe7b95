"""Tests of runs after their shard is recovered from a copy after the loss of its quorum."""

from __future__ import annotations

import unittest

from yokeline.errors import Execution
from yokeline.identifiers import ReplicaId, RunId
from yokeline.runs.model import (
    AddTurn,
    CallFinished,
    CallKind,
    CallStarted,
    CallStatus,
    ChatMessage,
    CreateRun,
    FinishRun,
    RecoverShard,
    Reservation,
    Role,
    RunSpec,
    RunStatus,
    Usage,
)
from yokeline.runs.state_machine import RunStateMachine

POSTING = RunSpec(tenant="t", program="post", app="results", repeatable=False)
LOOKUP = RunSpec(tenant="t", program="look", app="results", repeatable=True)
AGENT = RunSpec(tenant="t", program="agent", model="m", tools=("search",), conversation=True)
TALK = RunSpec(tenant="t", program="talk", model="m", conversation=True)
RECOVERED = 100.0
KEYED, UNKEYED = 200.0, 150.0


def keyed(spec: RunSpec, key: str) -> RunSpec:
    return RunSpec(
        **{name: getattr(spec, name) for name in spec.__struct_fields__} | {"idempotency_key": key}
    )


class RecoveryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state_machine = RunStateMachine()

    def create(self, name: str, spec: RunSpec, wall: float = 1.0) -> RunId:
        run = RunId(f"run-{name}")
        command = CreateRun(run=run, spec=spec, input="x", wall=wall)
        self.assertTrue(self.state_machine.apply(command).accepted)
        return run

    def start_call(self, run: RunId, kind: CallKind) -> None:
        command = CallStarted(
            run=run,
            number=1,
            attempt=1,
            kind=kind,
            backend="b",
            repeatable=False,
            fence=1,
            reserved=Reservation(),
            reason="",
            wall=2.0,
            leader=ReplicaId("n~1"),
        )
        self.assertTrue(self.state_machine.apply(command).accepted)

    def recover(self) -> None:
        command = RecoverShard(
            copy_of=ReplicaId("n~1"),
            last_index=7,
            wall=RECOVERED,
            keyed_until_wall=KEYED,
            unkeyed_until_wall=UNKEYED,
        )
        self.assertTrue(self.state_machine.apply(command).accepted)
        self.state_machine = RunStateMachine.restore(self.state_machine.snapshot())

    def status(self, run: RunId) -> RunStatus:
        return self.state_machine.runs[run].status

    def test_runs_that_may_have_advanced_end_as_unknown(self) -> None:
        """Only an app run with its call in the copy stays active; no lost call is repeated."""
        unsent = self.create("unsent", POSTING)
        sent = self.create("sent", POSTING)
        self.start_call(sent, CallKind.APP)
        agent = self.create("agent", AGENT)
        self.start_call(agent, CallKind.MODEL)
        self.recover()
        self.assertEqual(self.status(unsent), RunStatus.OUTCOME_UNKNOWN)
        self.assertEqual(self.status(sent), RunStatus.ACTIVE)
        self.assertEqual(self.status(agent), RunStatus.OUTCOME_UNKNOWN)
        run = self.state_machine.runs[agent]
        self.assertEqual((run.calls[0].status, run.reserved.calls), (CallStatus.UNKNOWN, 0))
        assert run.error is not None
        self.assertIs(run.error.execution, Execution.UNKNOWN)

    def test_unsafe_requests_in_the_doubt_window_are_not_run(self) -> None:
        self.recover()
        cases = {
            "keyed": (keyed(POSTING, "k"), KEYED - 1, RunStatus.OUTCOME_UNKNOWN),
            "keyed-later": (keyed(POSTING, "l"), KEYED, RunStatus.ACTIVE),
            "unkeyed": (POSTING, UNKEYED - 1, RunStatus.OUTCOME_UNKNOWN),
            "unkeyed-later": (POSTING, UNKEYED, RunStatus.ACTIVE),
            "agent": (keyed(AGENT, "a"), KEYED - 1, RunStatus.OUTCOME_UNKNOWN),
            "repeatable": (keyed(LOOKUP, "r"), KEYED - 1, RunStatus.ACTIVE),
            "talk": (keyed(TALK, "t"), KEYED - 1, RunStatus.ACTIVE),
        }
        for name, (spec, wall, expected) in cases.items():
            with self.subTest(name):
                run = self.create(name, spec, wall)
                self.assertEqual(self.status(run), expected)
                self.create(name, spec, KEYED + 10.0)
                self.assertEqual(self.status(run), expected, "a repetition changes nothing")

    def test_unsafe_turns_of_recovered_conversations_are_rejected(self) -> None:
        runs = [self.idle("agent", AGENT, 1.0), self.idle("talk", TALK, 1.0)]
        self.recover()
        runs.append(self.idle("new", AGENT, KEYED + 1.0))
        accepted = []
        for run in runs:
            command = AddTurn(run=run, turn_key="k", input="y", wall=KEYED - 1)
            result = self.state_machine.apply(command)
            accepted.append(result.accepted)
            if result.error is not None:
                self.assertIs(result.error.execution, Execution.UNKNOWN)
        self.assertEqual(accepted, [False, True, True])

    def idle(self, name: str, spec: RunSpec, wall: float) -> RunId:
        run = self.create(name, spec, wall)
        self.start_call(run, CallKind.MODEL)
        finished = CallFinished(
            run=run,
            number=1,
            attempt=1,
            status=CallStatus.SUCCEEDED,
            usage=Usage(),
            wall=wall,
            message=ChatMessage(role=Role.ASSISTANT, content="a"),
        )
        self.assertTrue(self.state_machine.apply(finished).accepted)
        end = FinishRun(run=run, status=RunStatus.IDLE, wall=wall, answer="a")
        self.assertTrue(self.state_machine.apply(end).accepted)
        return run


if __name__ == "__main__":
    unittest.main()
