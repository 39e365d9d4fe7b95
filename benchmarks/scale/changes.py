"""Writes changes of configuration at a steady rate."""

from __future__ import annotations

from collections import Counter

import msgspec

from benchmarks.scale.hollow import TENANTS, HollowCluster
from yokeline.effects import HttpResponse
from yokeline.labels.objects import ObjectKind, Policy
from yokeline.simulation.objects import operator_token
from yokeline.simulation.port import Call, ClientPort, Steps


class ChangeWriter:
    """An operator who writes new policies, each through the next node.

    Attributes:
        outcomes: Writes by HTTP status (0: no answer).
    """

    def __init__(self, cluster: HollowCluster) -> None:
        """Prepare; nothing is written before :meth:`start`."""
        self.outcomes: Counter[int] = Counter()
        self._cluster = cluster
        self._port = ClientPort(cluster.simulation, "changes")
        self._nodes = cluster.deployment.public_nodes()

    def start(self, rate: float, seconds: float) -> None:
        """Write ``rate`` objects a second for a span of virtual time."""
        environment = self._cluster.simulation.schedule.environment
        environment.process(self._write_all(rate, int(rate * seconds)))

    def _write_all(self, rate: float, count: int) -> Steps:
        environment = self._cluster.simulation.schedule.environment
        for number in range(count):
            environment.process(self._write(number))
            yield environment.timeout(1.0 / rate)

    def _write(self, number: int) -> Steps:
        name = f"change-{number}"
        policy = Policy(name=name, tenant=TENANTS[0], program_selector="kind=none", priority=1)
        call = Call(
            address=self._nodes[number % len(self._nodes)].address,
            method="PUT",
            path=f"/admin/v1/{ObjectKind.POLICY.value}/{name}",
            headers={"authorization": f"Bearer {operator_token(TENANTS[0])}"},
            body=msgspec.json.encode(policy),
        )
        answer = yield self._port.send(call).next()
        self.outcomes[answer.status if isinstance(answer, HttpResponse) else 0] += 1
