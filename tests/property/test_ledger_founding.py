"""The ledger is bootstrapped once, with any faults during the first start.

``python -m tests.property.test_ledger_founding RUNS`` runs that many random plans.
"""

from __future__ import annotations

import random
import sys
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.unit.ledger.cluster import Cluster, Machine, MemoryStore
from yokeline.ledger.operations import Granted, KeptTurn, Reserve, Settle, Settled
from yokeline.registry.nodes import FOUNDERS_KEY, decode_founders

FAULTS_UNTIL_SECONDS = 5.0
"""Founders are chosen between 0.5 s and 3 s after the start."""
QUIET_SECONDS = 20.0
"""Time without faults within which all running machines become members."""
FAULT_KINDS = ("kill", "power", "all_power", "freeze", "disk_hangs", "store_down")
STORE_SECONDS = (0.004, 0.05, 0.4)
"""Response times of the key-value service."""
FEW = settings(derandomize=True, deadline=None, max_examples=60)


class Fault(msgspec.Struct, frozen=True):
    """A fault that begins at a time and ends after some seconds."""

    at: float
    kind: str
    machine: int
    seconds: float


class Plan(msgspec.Struct, frozen=True):
    """A first start: start times of the machines, faults, and one lost disk.

    Attributes:
        comes_back: Whether the machine with the lost disk starts again.
    """

    seed: int
    starts: tuple[float, ...]
    faults: tuple[Fault, ...]
    lost_at: float
    lost_machine: int
    comes_back: bool
    store_seconds: float


seconds = st.floats(0.0, FAULTS_UNTIL_SECONDS)
faults = st.builds(
    Fault,
    at=seconds,
    kind=st.sampled_from(FAULT_KINDS),
    machine=st.integers(0, 4),
    seconds=st.floats(0.05, 1.5),
)
plans = st.builds(
    Plan,
    seed=st.integers(0, 10_000),
    starts=st.lists(st.floats(0.0, 1.2), min_size=3, max_size=5).map(tuple),
    faults=st.lists(faults, max_size=6).map(tuple),
    lost_at=seconds,
    lost_machine=st.integers(0, 4),
    comes_back=st.booleans(),
    store_seconds=st.sampled_from(STORE_SECONDS),
)


def random_plan(source: random.Random) -> Plan:
    """Return a random plan with the distribution of ``plans``."""
    drawn_faults = tuple(
        Fault(
            at=source.uniform(0.0, FAULTS_UNTIL_SECONDS),
            kind=source.choice(FAULT_KINDS),
            machine=source.randrange(5),
            seconds=source.uniform(0.05, 1.5),
        )
        for _ in range(source.randrange(7))
    )
    return Plan(
        seed=source.randrange(10_000),
        starts=tuple(source.uniform(0.0, 1.2) for _ in range(source.randint(3, 5))),
        faults=drawn_faults,
        lost_at=source.uniform(0.0, FAULTS_UNTIL_SECONDS),
        lost_machine=source.randrange(5),
        comes_back=source.random() < 0.5,
        store_seconds=source.choice(STORE_SECONDS),
    )


class Play:
    """Runs a plan and checks its outcome."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.cluster = Cluster(0, plan.seed)
        self.cluster.store_seconds = plan.store_seconds
        self.lost_machines: set[str] = set()
        for number, start in enumerate(plan.starts):
            machine = self.cluster.prepare_machine(number)
            self.cluster.at(start, lambda m=machine: self.start(m))
        for fault in plan.faults:
            self.cluster.at(fault.at, lambda f=fault: self.begin(f))
        self.cluster.at(plan.lost_at, self.lose_disk)

    def machine(self, number: int) -> Machine:
        return self.cluster.machines[number % len(self.cluster.machines)]

    def start(self, machine: Machine) -> None:
        if machine.node is None and machine.name not in self.lost_machines:
            self.cluster.start(machine)

    def begin(self, fault: Fault) -> None:
        machine = self.machine(fault.machine)
        if fault.kind in ("kill", "power", "all_power"):
            affected = self.cluster.machines if fault.kind == "all_power" else [machine]
            for item in affected:
                end = self.cluster.kill if fault.kind == "kill" else self.cluster.power_off
                end(item)
                self.cluster.at(
                    self.cluster.now + fault.seconds, lambda item=item: self.start(item)
                )
            return
        target: Machine | MemoryStore = machine
        field = {"freeze": "frozen"}.get(fault.kind, fault.kind)
        if fault.kind == "store_down":
            target, field = self.cluster.store, "down"
        setattr(target, field, True)
        self.cluster.at(self.cluster.now + fault.seconds, lambda: setattr(target, field, False))

    def lose_disk(self) -> None:
        machine = self.machine(self.plan.lost_machine)
        self.cluster.wipe(machine)
        if self.plan.comes_back:
            self.cluster.at(self.cluster.now + 0.5, lambda: self.start(machine))
        else:
            self.lost_machines.add(machine.name)

    def broken(self) -> str | None:
        """Run the plan; return the violation, if any."""
        self.cluster.run(FAULTS_UNTIL_SECONDS + 2.0)
        if not self.cluster.run_until(self.all_running_are_members, QUIET_SECONDS):
            return f"not all are members: {sorted(self.cluster.members())}"
        kept = Settle(
            request_id="t", turn=KeptTurn(turn_id="t", previous="", text=b"x", retention=60.0)
        )
        if self.cluster.ask(kept) != Settled():
            return "the turn was not retained"
        found = self.cluster.ask(Reserve(request_id="look", previous="t", missing_from="t"))
        if not isinstance(found, Granted):
            return "the turn is lost"
        return self.group_violation()

    def all_running_are_members(self) -> bool:
        """Return whether all running machines are members that have caught up.

        A machine that is gone may still be a member.
        """
        leader = self.cluster.leader()
        if leader is None or leader.node is None:
            return False
        running = {item.replica for item in self.cluster.machines if item.node is not None}
        group = leader.node.replica.group
        others = running - {leader.replica}
        is_caught_up = all(group.has_caught_up(other) for other in others)
        return is_caught_up and running <= self.cluster.members()

    def group_violation(self) -> str | None:
        """Check for a second group, and for two leaders of one term."""
        chosen = decode_founders(self.cluster.store.items[FOUNDERS_KEY].value or b"")
        for record in self.cluster.log:
            is_founding = record.event == "ledger_founded"
            if is_founding and record.fields["founders"] != " ".join(chosen):
                return f"another group was bootstrapped: {record.fields}"
        leaders: dict[object, object] = {}
        for record in self.cluster.log:
            if record.event == "ledger_role_changed" and record.fields["role"] == "leader":
                term = record.fields["term"]
                if leaders.setdefault(term, record.fields["leader"]) != record.fields["leader"]:
                    return f"two leaders of term {term}"
        return None


class LedgerFounding(unittest.TestCase):
    @given(plan=plans)
    @FEW
    def test_one_group_is_founded_whatever_one_disk_is_lost(self, plan: Plan) -> None:
        self.assertIsNone(Play(plan).broken())


def main(runs: int) -> int:
    """Run random plans; print those with a violation."""
    failed = 0
    for _ in range(runs):
        seed = random.SystemRandom().getrandbits(48)
        plan = random_plan(random.Random(seed))
        broken = Play(plan).broken()
        if broken is not None:
            failed += 1
            print(f"seed {seed}: {broken}\n  {plan}")
    print(f"{runs} plans, {failed} broken")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 100))
