"""The deployment under load: one or three nodes before several emulated engines."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

from tests.processes.child import ROOT
from tests.processes.cluster import HOST, PLATFORM_TOKEN, Cluster, NodeProcess, digest_of

TENANT = "dallim"
TENANT_TOKEN = "dallim-token"
PROGRAM = "reconcile"
MODEL = "small-1"
SHARDS = 8
TENANT_RUNS_PER_SECOND = 200.0
"""The one tenant is all callers; its limit must be above the load."""


class LiveDeployment(Cluster):
    """A cluster with as many engines as asked for, whose shards have a replica on each node."""

    def __init__(self, *, nodes: int, engines: int, steps_per_event: int, profile: Path | None):
        """Prepare it; nothing runs yet.

        Args:
            nodes: Number of nodes, each of them a replica of every shard.
            engines: Number of emulated engines, a process each.
            steps_per_event: Tokens that an engine sends as one event.
            profile: File for the profile of the first node, which then runs under cProfile.
        """
        self._replicas = nodes
        settings = f'[parameters]\nmodels = ["{MODEL}"]\nsteps_per_event = {steps_per_event}\n'
        super().__init__({"engine": settings}, node_count=nodes)
        for number in range(len(self.engines) + 1, engines + 1):
            self.engines.append(self._stand_in("engine", f"engine-{number}"))
        if profile is not None:
            first = self.nodes[0]
            file = self.folder / f"{first.name}.toml"
            self.nodes[0] = ProfiledNode(first, file, profile, self.folder)

    def _node_settings(
        self, name: str, zone: str, http_port: int, peer_port: int, seeds: list[str]
    ) -> str:
        return f"""
[node]
name = "{name}"
zone = "{zone}"
host = "{HOST}"
http_port = {http_port}
peer_port = {peer_port}
[cluster]
seeds = {json.dumps(seeds)}
expected_nodes = {self._replicas}
shards = {SHARDS}
replicas = {self._replicas}
[platform]
store = "{self.store.address}"
machine_list = "{self.machines.address}"
[gateway]
platform_token_digest = "{digest_of(PLATFORM_TOKEN)}"
"""

    def pids(self) -> dict[str, int]:
        """Return the process of each node and engine, and of this tool, by name."""
        running = {"tool": os.getpid()}
        for child in (*self.nodes, *self.engines):
            process = child._process
            assert process is not None, f"{child.name} does not run"
            running[child.name] = process.pid
        return running

    def objects(self) -> list[tuple[str, str, dict[str, Any]]]:
        """Return the configuration: a tenant, a pool of all engines, and a program."""
        token = {"digest": digest_of(TENANT_TOKEN), "role": "operator"}
        limits = {"requests_per_second": TENANT_RUNS_PER_SECOND}
        pool = {
            "name": "reconcilers",
            "labels": {"work": "reconcile"},
            "addresses": [engine.address for engine in self.engines],
            "models": [MODEL],
        }
        return [
            ("tenants", "", {"name": TENANT, "tokens": [token], "limits": limits}),
            ("engine-pools", "", pool),
            ("programs", TENANT, {"name": PROGRAM, "model": MODEL}),
        ]


class ProfiledNode(NodeProcess):
    """A node under cProfile, for scratch runs; the profile is written when it stops."""

    def __init__(self, node: NodeProcess, settings: Path, profile: Path, folder: Path) -> None:
        """Take the place of ``node``."""
        port = int(node.url.rpartition(":")[2])
        super().__init__(node.name, port, ["node", str(settings)], folder / f"{node.name}.log")
        self._profile = profile

    def start(self, *extra: str) -> None:
        """Start it under the profiler."""
        command = [sys.executable, "-m", "cProfile", "-o", str(self._profile)]
        command += ["-m", "yokeline.cli", *self._arguments, *extra]
        with self._log.open("ab") as output:
            self._process = subprocess.Popen(command, cwd=ROOT, stdout=output, stderr=output)
