from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

from tools.return_report import find_restarts

from tests.processes.child import ROOT
from tests.processes.cluster import wait_until
from tests.processes.platform.deployment import WORDS, Deployment

STREAM = b"".join(f"id: {number}\ndata: word{number}\n\n".encode() for number in range(1, 6))


class WholePath(unittest.TestCase):
    def last_run(self, deployment: Deployment) -> tuple[str, bytes]:
        """Return id and body of the last turn that an engine ran."""
        name, body, _ = max(
            (model.runs[-1] for model in deployment.models if model.runs),
            key=lambda run: deployment.run_order(run[0]),
        )
        return name, body

    def test_calls_turns_budgets_and_chains(self) -> None:
        with Deployment() as deployment:
            self.assertEqual(deployment.ask(0, "/fix/x", "f1"), (200, b"done"))
            self.assertEqual(deployment.app.runs, [("f1", b"input-f1", 0)])
            self.assertEqual(deployment.ask(0, "/nowhere/x", "f2")[0], 404)
            self.assertEqual(deployment.turn(0, "/turn/x", "first"), (200, STREAM))
            # 50 of 200 tokens are spent; three more turns of at most 50 fit, whichever the edge.
            statuses = [deployment.turn(n % 2, "/turn/x", f"b{n}")[0] for n in range(4)]
            self.assertEqual(statuses, [200, 200, 200, 402])
            self.assertEqual(deployment.turn(0, "/kept/x", "k1", program_id="q")[0], 200)
            first, body = self.last_run(deployment)
            follow = {"program_id": "q", "previous_turn": first}
            self.assertEqual(deployment.turn(1, "/kept/x", "k2", **follow)[0], 200)
            second, whole = self.last_run(deployment)
            self.assertEqual(whole, body + WORDS + f"input-{second}".encode())
            unknown = deployment.turn(0, "/kept/x", "k3", program_id="q", previous_turn="k9")
            self.assertEqual(unknown[0], 404)
            self.assertIn("yokeline_forwarding_requests_total", deployment.metrics(0))

    def test_killed_storage_and_a_store_that_is_down_lose_nothing(self) -> None:
        with Deployment() as deployment:
            deployment.turn(0, "/kept/x", "k", program_id="q")
            kept, _ = self.last_run(deployment)
            deployment.store.down = True
            for process in deployment.storage:
                process.kill()
            for process in deployment.storage:
                process.start()
            after = deployment.turn(1, "/kept/x", "a", program_id="q", previous_turn=kept)
            self.assertEqual(after, (200, STREAM))

    def test_all_processes_are_killed_and_start_again(self) -> None:
        """A node that restarts knows the leader before its first turn, and says each phase."""
        with Deployment() as deployment:
            deployment.turn(0, "/kept/x", "k", program_id="q")
            kept, _ = self.last_run(deployment)
            processes = (*deployment.storage, *deployment.edges)
            for process in processes:
                process.kill()
            for process in processes:
                process.start(first_start=False)
            wait_until(
                lambda: all(len(item.lines("started")) == 2 for item in processes),
                "all processes have started again",
            )
            wait_until(
                lambda: all(edge.phases() >= {"leader"} for edge in deployment.edges),
                "edges know the leader without a turn",
            )
            after = deployment.turn(1, "/kept/x", "a", program_id="q", previous_turn=kept)
            self.assertEqual(after, (200, STREAM))
            expected = {"registry", "configuration", "engines", "leader", "ledger", "first_send"}
            self.assertEqual(deployment.edges[1].phases(), expected)
            # Two of three storage nodes serve, and the third may start meanwhile.
            reached = {"disk", "registry", "leader", "applied"}
            for process in deployment.storage:
                wait_until(
                    lambda process=process: process.phases() >= reached,  # type: ignore[misc]
                    f"{process.name} has started",
                )
                self.assertEqual(process.phases(), reached)
            lines: list[dict[str, object]] = []
            for process in processes:
                started = process.lines("started")
                self.assertEqual(len(started), 2, process.name)
                lines.extend({**line, "on": process.name, "at": 0.0} for line in started)
            self.assertEqual([len(item.starts) for item in find_restarts(lines)], [len(processes)])

    def test_a_stream_goes_on_when_its_engine_breaks_off(self) -> None:
        with Deployment() as deployment:
            deployment.turn(0, "/turn/x", "warm", program_id="w")
            preferred = next(model for model in deployment.models if model.runs)
            preferred.break_after = 2
            for number in range(4):
                status, body = deployment.turn(0, "/turn/x", f"r{number}", program_id=f"p{number}")
                self.assertEqual((status, body), (200, STREAM))
            begun_after = [after for model in deployment.models for _, _, after in model.runs]
            self.assertIn(2, begun_after)

    def test_a_planned_stop_cuts_nothing_and_a_reload_neither(self) -> None:
        with Deployment() as deployment:
            deployment.turn(0, "/turn/x", "warm", program_id="w")
            for model in deployment.models:
                model.event_seconds = 0.2
            answers: list[tuple[int, bytes]] = []
            caller = threading.Thread(
                target=lambda: answers.append(deployment.turn(0, "/turn/x", "long", program_id="l"))
            )
            runs_before = sum(len(model.runs) for model in deployment.models)
            caller.start()
            wait_until(
                lambda: sum(len(model.runs) for model in deployment.models) > runs_before, "it runs"
            )
            deployment.edges[0].send(signal.SIGHUP)
            deployment.edges[0].send(signal.SIGTERM)
            caller.join(30)
            self.assertEqual(answers, [(200, STREAM)])
            self.assertEqual(deployment.edges[0].wait(), 0)
            self.assertTrue(deployment.edges[0].lines("reloaded"))
            self.assertTrue(deployment.edges[0].lines("stopped"))
            self.assertTrue(deployment.is_ready(1))

    def test_a_new_configuration_is_in_force_and_a_gone_engine_gets_nothing(self) -> None:
        with Deployment() as deployment:
            deployment.configure(4, fix_prefix="/repair/")
            for edge in range(2):
                wait_until(
                    lambda e=edge: deployment.ask(e, "/repair/x", f"n{e}{time.time()}")[0] == 200,  # type: ignore[misc]
                    "the new route is served",
                )
                self.assertEqual(deployment.ask(edge, "/fix/x", f"o{edge}")[0], 404)
            gone = deployment.models[0]
            deployment.forget_engine(gone)
            for edge in deployment.edges:
                wait_until(lambda e=edge: e.lines("engine_gone"), "the engine is gone")  # type: ignore[misc]
            deployment.turn(0, "/turn/x", "warm", program_id="w")
            before = len(gone.runs)
            for number in range(4):
                deployment.turn(0, "/turn/x", f"g{number}", program_id=f"g{number}")
            self.assertEqual(len(gone.runs), before)


class BadSettings(unittest.TestCase):
    def run_role(self, text: str) -> subprocess.CompletedProcess[str]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text)
            return subprocess.run(
                [sys.executable, "-m", "yokeline.platform", "edge"],
                cwd=ROOT,
                env={**os.environ, "YOKELINE_NODE_FILE": str(path)},
                capture_output=True,
                text=True,
                timeout=60,
                check=False,
            )

    def test_a_missing_field_is_named_in_one_line_with_the_remedy(self) -> None:
        ended = self.run_role('name = "a"\n')
        self.assertEqual(ended.returncode, 2)
        self.assertIn("missing required field `host`", ended.stderr)
        self.assertIn("correct the field", ended.stderr)
        self.assertEqual(len(ended.stderr.splitlines()), 1)


class EarlySignals(unittest.TestCase):
    def test_a_reload_during_the_start_does_not_end_the_process(self) -> None:
        """The settings are read later than that in any case."""
        with Deployment() as deployment:
            storage = deployment.storage[0]
            wait_until(lambda: len(storage.lines("started")) == 1, "it has started")
            storage.kill()
            storage.start()
            wait_until(storage.listens, "it listens, before its imports")
            for _ in range(20):
                storage.send(signal.SIGHUP)
                time.sleep(0.02)
            wait_until(lambda: len(storage.lines("started")) == 2, "it has started again")
            self.assertTrue(storage.is_running)
