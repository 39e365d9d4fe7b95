"""A tiny virtual-time network of memberships."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import msgspec
import ormsgpack

from yokeline.effects import Address, DatagramArrived, SendDatagram
from yokeline.identifiers import NodeName, new_replica_id
from yokeline.membership.detector import Membership
from yokeline.membership.messages import MAX_DATAGRAM_BYTES
from yokeline.membership.view import Member, MemberState
from yokeline.server.context import NodeContext
from yokeline.settings import ClusterSection, NodeSection, Settings

DELAY = 0.001
STEP = 0.01


class Process:
    def __init__(self, cluster: Cluster, index: int, wall: float) -> None:
        self.address = Address("10.0.0.1", 7000 + index)
        name = NodeName(f"node-{index}")
        seeds = ("10.0.0.1:7000", "10.0.0.1:7001")
        settings = Settings(node=NodeSection(name=name), cluster=ClusterSection(seeds=seeds))
        self.context = NodeContext(
            name=name,
            replica=new_replica_id(name, cluster.source),
            zone=f"zone-{index % 3}",
            source=random.Random(cluster.source.random()),
            wall_offset=0.0,
        )
        self.context.now = cluster.now
        own = Member(
            replica=self.context.replica,
            name=name,
            zone=self.context.zone,
            region="region",
            address=self.address,
            http_address=Address("10.0.0.1", 8000 + index),
            started_wall=wall,
        )
        self.membership = Membership(self.context, settings, own)
        self.paused = False
        self.sent = 0


class Cluster:
    def __init__(self, seed: int = 1) -> None:
        self.now = 0.0
        self.source = random.Random(seed)
        self.processes: dict[Address, Process] = {}
        self.deliver: Callable[[Address, Address], bool] = lambda source, to: True
        self.largest = 0
        self._queue: list[tuple[float, int, Address, DatagramArrived]] = []
        self._count = 0

    def start(self, index: int, wall: float = 0.0) -> Process:
        process = Process(self, index, wall)
        self.processes[process.address] = process
        return process

    def kill(self, process: Process) -> None:
        del self.processes[process.address]

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            while self._queue and self._queue[0][0] <= self.now:
                _, _, to, arrived = heapq.heappop(self._queue)
                process = self.processes.get(to)
                if process is not None and not process.paused:
                    process.context.now = self.now
                    process.membership.receive(arrived)
                    self._carry(process)
            for process in list(self.processes.values()):
                if not process.paused and process.membership.next_deadline() <= self.now:
                    process.context.now = self.now
                    process.membership.tick()
                    self._carry(process)

    def _carry(self, process: Process) -> None:
        for effect in process.context.take_outbox():
            if not isinstance(effect, SendDatagram):
                continue
            process.sent += 1
            encoded = ormsgpack.packb(msgspec.to_builtins(effect.message))
            self.largest = max(self.largest, len(encoded))
            assert len(encoded) < MAX_DATAGRAM_BYTES
            if not self.deliver(process.address, effect.address):
                continue
            self._count += 1
            arrived = DatagramArrived(source=process.address, message=effect.message)
            row = (self.now + DELAY, self._count, effect.address, arrived)
            heapq.heappush(self._queue, row)

    def states(self, observer: Process) -> dict[str, MemberState]:
        return {member.replica: member.state for member in observer.membership.members()}
