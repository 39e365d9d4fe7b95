"""Processes of an earlier release serve beside those of the present one, as in an upgrade."""

from __future__ import annotations

import http.client
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.processes.child import ROOT
from tests.processes.cluster import wait_until
from tests.processes.platform.deployment import WORDS, Deployment, RoleProcess
from tests.processes.platform.stand_ins import EngineStandIn
from tests.processes.platform.streams import CallerStream, versions_of

EARLIER_RELEASE = "b7f3a54ab5a880527ad485e05733e8d222f90791"
"""The last commit before engines' starts had names of their own."""
STREAM = b"".join(f"id: {number}\ndata: word{number}\n\n".encode() for number in range(1, 6))
OK = 200
BUDGET_SPENT = 402
TURN_TOKENS = 50
"""What a turn generates, and reserves."""


def earlier_source(folder: Path) -> Path:
    """Return the source folder of the earlier release, taken from the repository's history."""
    archive = subprocess.run(
        ["git", "archive", EARLIER_RELEASE, "src"], cwd=ROOT, capture_output=True, check=False
    )
    if archive.returncode:
        raise AssertionError(
            f"commit {EARLIER_RELEASE} is not in this clone; fetch the whole history: "
            f"{archive.stderr.decode(errors='replace')}"
        )
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    return folder / "src"


class Releases(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.earlier = earlier_source(Path(folder.name))
        self.asked = 0
        self.chain: list[bytes] = []
        self.last = ""
        self.spent = 0

    def begin(self, deployment: Deployment) -> None:
        self.deployment = deployment

    # ------------------------------------------------------------ machines

    def replace(
        self, process: RoleProcess, source: Path | None, *, loses_disk: bool = False
    ) -> None:
        """Stop a process as planned and start it from a release, with its disk or without."""
        process.send(signal.SIGTERM)
        process.wait()
        self.start(process, source, loses_disk=loses_disk)

    def start(self, process: RoleProcess, source: Path | None, *, loses_disk: bool = False) -> None:
        if loses_disk:
            shutil.rmtree(self.deployment.data_folder(process))
        process.source = source
        process.start(first_start=False)
        wait_until(process.listens, f"{process.name} listens")
        if process in self.deployment.edges:
            number = self.deployment.edges.index(process)
            wait_until(lambda: self.deployment.is_ready(number), f"{process.name} is ready")

    def leader(self) -> RoleProcess:
        """Return the storage node that leads, as the edges know, once it serves."""
        self.serve()
        lines = [row for edge in self.deployment.edges for row in edge.lines("ledger_leader_known")]
        latest = max(lines, key=lambda row: int(str(row["term"])))
        name = str(latest["leader"]).rpartition("~")[0]
        return next(item for item in self.deployment.storage if item.name == name)

    # ------------------------------------------------------------ what is served

    def serve(self) -> None:
        """Let each edge serve calls, and go on with the chain and the budget."""
        for edge in range(len(self.deployment.edges)):
            self.asked += 1
            name = f"n{self.asked}"
            wait_until(lambda e=edge, n=name: self.answers_call(e, n), f"edge-{edge} serves a call")  # type: ignore[misc]
            self.continue_chain(edge, f"k{self.asked}")
            self.spend(edge, f"b{self.asked}")

    def answers_call(self, edge: int, name: str) -> bool:
        try:
            status, body = self.deployment.ask(edge, "/look/x", f"{name}-{time.monotonic_ns()}")
        except (OSError, http.client.HTTPException):
            return False
        return (status, body) == (OK, b"done")

    def continue_chain(self, edge: int, name: str) -> None:
        """Ask for the next turn of the chain; its engine gets the whole history, once."""
        fields = {"program_id": "chain", "token_budget": "100000", "token_usage": "100,50"}
        if self.last:
            fields["previous_turn"] = self.last
        answer = self.deployment.turn(edge, "/kept/x", name, **fields)
        self.assertEqual(answer, (OK, STREAM), name)
        run, body = self.run_of(name)
        self.chain.append(f"input-{run}".encode())
        self.assertEqual(body, b"".join(self.chain), name)
        self.chain.append(WORDS)
        self.last = run

    def spend(self, edge: int, name: str) -> None:
        """Spend a turn's tokens of a budget that fits just what was spent so far."""
        fields = {"program_id": "budget", "token_usage": "100,50"}
        self.spent += TURN_TOKENS
        fitting = self.deployment.turn(
            edge, "/turn/x", name, token_budget=str(self.spent), **fields
        )
        self.assertEqual(fitting, (OK, STREAM), name)
        over = self.deployment.turn(
            edge, "/turn/x", f"{name}-over", token_budget=str(self.spent), **fields
        )
        self.assertEqual(over[0], BUDGET_SPENT, name)

    def run_of(self, name: str) -> tuple[str, bytes]:
        """Return id and body of the one run of a turn; a try that was refused ran nowhere."""
        engines: list[EngineStandIn] = self.deployment.models
        runs = [
            (run, body)
            for engine in engines
            for run, body, _ in engine.runs
            if run == name or run.startswith(f"{name}.")
        ]
        self.assertEqual(len(runs), 1, name)
        return runs[0]

    # ------------------------------------------------------------ tests

    def test_the_earlier_source_is_what_runs(self) -> None:
        """Otherwise the other tests would show nothing."""
        found = subprocess.run(
            [sys.executable, "-c", "import yokeline; print(yokeline.__file__)"],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(self.earlier)},
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertTrue(found.stdout.startswith(str(self.earlier)), found.stdout)

    def test_an_upgrade_with_changes_of_leader_a_way_back_and_a_lost_disk(self) -> None:
        with Deployment(source=self.earlier) as deployment:
            self.begin(deployment)
            first = self.leader()
            # A present edge, and storage nodes of the earlier release.
            self.replace(deployment.edges[0], None)
            self.serve()
            # An earlier leader, and followers of the present release.
            followers = [item for item in deployment.storage if item is not first]
            for follower in followers:
                self.replace(follower, None)
                self.serve()
            # From an earlier leader to a present one; the earlier one comes back as it was.
            self.depose_earlier()
            second = self.leader()
            self.assertIsNone(second.source)
            # One machine is rolled back, and an earlier node leads again.
            rolled_back = next(
                item for item in deployment.storage if item.source is None and item is not second
            )
            self.replace(rolled_back, self.earlier)
            self.serve()
            second.kill()
            self.serve()
            self.assertEqual(self.leader().source, self.earlier)
            # It comes back without its disk.
            self.start(second, None, loses_disk=True)
            self.serve()
            # An earlier edge, and present storage nodes; then all are of the present release.
            for process in deployment.storage:
                if process.source is not None:
                    self.replace(process, None)
                    self.serve()
            self.replace(deployment.edges[1], None)
            self.serve()
            self.assertEqual(self.faults(), [])

    def test_no_stream_crosses_versions_while_storage_nodes_keep_no_records(self) -> None:
        """Guards against taking a missing record of an earlier leader for any version."""
        with Deployment(source=self.earlier, models=4, versions=("v1", "v2")) as deployment:
            self.begin(deployment)
            for edge in deployment.edges:
                self.replace(edge, None)
            for model in deployment.models:
                model.event_seconds = 0.12
            streams = [CallerStream(f"s{number}", "/turn/x", f"p{number}") for number in range(8)]
            with ThreadPoolExecutor(len(streams)) as callers:
                list(callers.map(lambda stream: stream.begin(deployment, 0), streams))
            elsewhere, here = streams[:4], streams[4:]
            for stream in elsewhere:
                self.assertEqual(stream.resume(deployment, 1).status, 503)
            for stream in here:
                self.assertEqual(stream.resume(deployment, 0).status, OK)
            for stream in streams:
                self.assertEqual(len(versions_of(stream, deployment.models)), 1, stream.name)
            self.assertEqual(self.faults(), [])

    def depose_earlier(self) -> None:
        """Kill each storage node of the earlier release; those of the present one go on."""
        for process in self.deployment.storage:
            if process.source is not None:
                process.kill()
                self.serve()
                self.start(process, self.earlier)

    def faults(self) -> list[str]:
        """Return the faults that processes met and wrote."""
        processes = (*self.deployment.edges, *self.deployment.storage)
        return [
            str(row)
            for process in processes
            for event in ("service_fault", "effect_fault", "frame_refused")
            for row in process.lines(event)
        ]
