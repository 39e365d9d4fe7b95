"""Refusal of programs whose tenant's limit cannot carry them to the end."""

from __future__ import annotations

import unittest

import msgspec

from tests.unit.ledger.cluster import Cluster, Machine
from tests.unit.ledger.test_storage_nodes import StorageCase
from yokeline.effects import Address, LogRecord, PeerMessage
from yokeline.identifiers import ReplicaId
from yokeline.ledger.admission_controller import (
    CAUSE_CLAIMS,
    MAX_LOG_RECORDS_PER_SECOND,
    AdmissionController,
)
from yokeline.ledger.claims import MAX_IDLE_SECONDS, MAX_TURN_SECONDS
from yokeline.ledger.codec import decode_command, decode_state, encode_command, encode_state
from yokeline.ledger.messages import LedgerRequest
from yokeline.ledger.operations import (
    BudgetSpent,
    CachedContext,
    Draw,
    Granted,
    KeptTurn,
    OperationResult,
    QuotaSpent,
    RateLimit,
    Reserve,
    Settle,
)
from yokeline.ledger.quotas import TenantQuotas
from yokeline.ledger.state import LedgerCommand, LedgerState, Program, StoredTurn
from yokeline.ledger.storage_figures import storage_figures
from yokeline.messages.structs import decode_struct, encode_struct
from yokeline.scheduling.program_sizes import MIN_PROGRAMS

WIDE = RateLimit("hule", rate=1000.0, burst=1000.0, version=1)
LIMIT = RateLimit("hule", rate=1.0, burst=200.0, version=2)
SIZE = 20
TERM = 1


def first_turn(program: str, limit: RateLimit | None = LIMIT, request: str = "") -> Reserve:
    return Reserve(
        request_id=request or f"{program}/0",
        program=program,
        budget=10**6,
        tokens=1,
        limit=limit,
        kind="k",
    )


class AdmissionCase(unittest.TestCase):
    def setUp(self) -> None:
        self.state = LedgerState()
        self.controller = AdmissionController()
        self.now = 0.0
        self.lines: list[LogRecord] = []

    def ask(self, operation: Reserve | Draw | Settle) -> OperationResult:
        """Submit an operation, and commit it if it is admitted."""
        self.controller.tick(self.state, self.now)
        spent, lines = self.controller.refusal(operation, self.state, TERM, self.now)
        self.lines.extend(lines)
        return spent if spent is not None else self.commit(operation)

    def commit(self, operation: Reserve | Draw | Settle) -> OperationResult:
        command = LedgerCommand(time=self.now, operations=(operation,), passed=self.now)
        (result,) = self.state.transition_apply(command)
        self.controller.note_result(operation, result, self.state, TERM)
        return result

    def run_program(self, name: str, limit: RateLimit) -> None:
        self.ask(first_turn(name, limit))
        self.ask(Settle(request_id=f"{name}/0", program=name, tokens=1))
        for number in range(1, SIZE):
            self.ask(Draw(request_id=f"{name}/{number}", limit=limit, program=name))

    def learn_size(self) -> None:
        """Let programs of 20 requests end under a wider limit."""
        for number in range(MIN_PROGRAMS):
            self.run_program(f"earlier{number}", WIDE)
        self.now += MAX_IDLE_SECONDS

    def begin_programs(self, count: int) -> list[OperationResult]:
        return [self.ask(first_turn(f"new{number}")) for number in range(count)]


class Admission(AdmissionCase):
    def test_new_programs_are_admitted_while_their_size_is_unknown(self) -> None:
        self.assertTrue(all(isinstance(item, Granted) for item in self.begin_programs(50)))

    def test_admits_as_many_programs_as_the_limit_carries_to_the_end(self) -> None:
        self.learn_size()
        results = self.begin_programs(50)
        admitted = sum(isinstance(item, Granted) for item in results)
        self.assertEqual(admitted, 200 // SIZE)
        refused = next(item for item in results if isinstance(item, QuotaSpent))
        self.assertFalse(refused.is_empty)
        self.assertGreater(refused.retry_after, 1.0)
        for name in (f"new{number}" for number in range(admitted)):
            for number in range(1, SIZE):
                draw = Draw(request_id=f"{name}/{number}", limit=LIMIT, program=name)
                self.assertNotIsInstance(self.ask(draw), QuotaSpent)

    def test_begun_programs_and_tenants_without_a_limit_are_never_refused(self) -> None:
        self.learn_size()
        self.begin_programs(50)
        self.assertIsInstance(self.ask(first_turn("new0", request="sub-agent")), Granted)
        self.assertIsInstance(self.ask(first_turn("free", limit=None)), Granted)

    def test_a_program_that_exhausts_its_budget_releases_its_claim_and_its_size_is_ignored(
        self,
    ) -> None:
        """Looping programs would otherwise inflate the expected size of their kind."""
        for number in range(MIN_PROGRAMS):
            name = f"loop{number}"
            self.run_program(name, WIDE)
            more = msgspec.structs.replace(first_turn(name, WIDE, f"{name}/more"), tokens=10**7)
            self.assertIsInstance(self.ask(more), BudgetSpent)
        self.assertEqual(self.controller.claims, 0)
        self.now += MAX_IDLE_SECONDS
        self.assertTrue(all(isinstance(item, Granted) for item in self.begin_programs(50)))

    def test_a_program_whose_first_turn_is_in_flight_is_not_new(self) -> None:
        self.learn_size()
        self.assertIsNone(self.controller.refusal(first_turn("a"), self.state, TERM, self.now)[0])
        self.begin_programs(50)
        sub_agent = first_turn("a", request="sub-agent")
        self.assertIsNone(self.controller.refusal(sub_agent, self.state, TERM, self.now)[0])

    def test_idle_programs_release_their_claims(self) -> None:
        self.learn_size()
        self.begin_programs(50)
        self.assertIsInstance(self.ask(first_turn("late")), QuotaSpent)
        self.now += MAX_TURN_SECONDS
        self.assertIsInstance(self.ask(first_turn("late")), Granted)

    def test_a_lowered_limit_admits_no_program_until_the_claims_fit(self) -> None:
        self.learn_size()
        self.begin_programs(5)
        lowered = RateLimit("hule", rate=0.5, burst=100.0, version=3)
        self.assertIsInstance(self.ask(first_turn("late", lowered)), QuotaSpent)
        for number in range(5):
            self.ask(Settle(request_id=f"new{number}/0", program=f"new{number}"))
        self.now += MAX_IDLE_SECONDS
        self.assertIsInstance(self.ask(first_turn("late", lowered)), Granted)

    def test_a_refusal_leaves_the_state_unchanged(self) -> None:
        self.learn_size()
        self.begin_programs(10)
        before = encode_state(self.state)
        self.assertIsInstance(self.ask(first_turn("late")), QuotaSpent)
        self.assertEqual(encode_state(self.state), before)

    def test_refusals_are_counted_and_logged_at_a_limited_rate(self) -> None:
        self.learn_size()
        results = self.begin_programs(300)
        refused = sum(isinstance(item, QuotaSpent) for item in results)
        self.assertEqual(self.controller.refused[CAUSE_CLAIMS], refused)
        self.assertEqual(len(self.lines), MAX_LOG_RECORDS_PER_SECOND)
        fields = self.lines[0].fields
        self.assertEqual((fields["expected_requests"], fields["claims"]), (SIZE, 200 // SIZE))
        self.assertGreater(fields["retry_after"] or 0, 0)
        self.now += 1.0
        self.ask(first_turn("late"))
        self.assertEqual(
            self.lines[-1].fields["left_out_before"], refused - MAX_LOG_RECORDS_PER_SECOND
        )


class NewLeader(AdmissionCase):
    def successor(self, *, has_committed: bool) -> AdmissionController:
        """Return the controller of a new leader, which may have committed an entry of its term."""
        controller = AdmissionController()
        if has_committed:
            settle = Settle(request_id="x", program="y")
            controller.note_result(settle, self.state._apply(settle), self.state, TERM + 1)
        controller.tick(self.state, self.now)
        return controller

    def test_a_new_leader_rebuilds_sizes_and_claims_from_the_state(self) -> None:
        self.learn_size()
        self.begin_programs(10)
        controller = self.successor(has_committed=True)
        self.assertEqual(controller.claims, self.controller.claims)
        spent, _lines = controller.refusal(first_turn("late"), self.state, TERM + 1, self.now)
        self.assertIsInstance(spent, QuotaSpent)

    def test_a_new_leader_refuses_nothing_before_it_has_applied_an_entry_of_its_term(self) -> None:
        """Entries of the previous leader may be in flight, also if the same replica led before."""
        self.learn_size()
        self.begin_programs(10)
        late = first_turn("late")
        for controller in (self.successor(has_committed=False), self.controller):
            spent, _lines = controller.refusal(late, self.state, TERM + 1, self.now)
            self.assertIsNone(spent)

    def test_a_replica_that_no_longer_leads_has_no_claims(self) -> None:
        self.learn_size()
        self.begin_programs(10)
        self.controller.reset()
        self.assertEqual(self.controller.claims, 0)


class Wiring(StorageCase):
    def learn_size(self, cluster: Cluster) -> None:
        for program in range(MIN_PROGRAMS):
            name = f"earlier{program}"
            cluster.ask(first_turn(name, WIDE))
            cluster.ask(Settle(request_id=f"{name}/0", program=name, tokens=1))
            for number in range(1, SIZE):
                cluster.ask(Draw(request_id=f"{name}/{number}", limit=WIDE, program=name))
        cluster.run(MAX_IDLE_SECONDS + 0.1)

    def begin_programs(self, cluster: Cluster, count: int) -> list[OperationResult | None]:
        return [cluster.ask(first_turn(f"new{number}")) for number in range(count)]

    def test_a_refusal_needs_no_log_entry(self) -> None:
        cluster = self.cluster()
        leader = self.leader(cluster)
        assert leader.node is not None
        self.learn_size(cluster)
        results = self.begin_programs(cluster, 20)
        before = leader.node.replica.group.last_index
        spent = cluster.ask(first_turn("late"))
        assert isinstance(spent, QuotaSpent)
        self.assertFalse(spent.is_empty)
        self.assertEqual(leader.node.replica.group.last_index, before)
        self.assertGreater(sum(isinstance(item, Granted) for item in results), 2)
        figures = storage_figures(leader.node)
        refused = sum(isinstance(item, QuotaSpent) for item in results) + 1
        name = f'yokeline_ledger_programs_refused_total{{cause="{CAUSE_CLAIMS}"}}'
        self.assertEqual(figures.counters[name], refused)
        self.assertGreater(figures.gauges["yokeline_ledger_claims"], 2)
        self.assertTrue(any(line.event == "program_not_admitted" for line in cluster.log))

    def test_a_duplicate_of_an_applied_operation_gets_the_same_result(self) -> None:
        cluster = self.cluster()
        self.learn_size(cluster)
        results = self.begin_programs(cluster, 20)
        admitted = [number for number, item in enumerate(results) if isinstance(item, Granted)]
        for number in admitted:
            self.assertIsInstance(cluster.ask(first_turn(f"new{number}")), Granted)

    def test_a_duplicate_of_a_proposed_operation_is_not_refused_even_by_a_new_leader(
        self,
    ) -> None:
        for seed in range(6):
            cluster = self.cluster(seed=seed)
            self.learn_size(cluster)
            self.begin_programs(cluster, 3)
            leader = self.leader(cluster)
            asked = first_turn("asked")
            self.send_request(cluster, leader, asked)
            if seed % 2:
                cluster.run(0.002 * seed)
                cluster.kill(leader)
                leader = self.leader(cluster)
            assert leader.node is not None
            refused = leader.node.batches.admission.refused[CAUSE_CLAIMS]
            self.send_request(cluster, leader, asked, number=2)
            self.assertEqual(leader.node.batches.admission.refused[CAUSE_CLAIMS], refused)
            self.assertIsInstance(cluster.ask(asked), Granted)

    def test_a_new_leader_keeps_the_claims(self) -> None:
        cluster = self.cluster()
        self.learn_size(cluster)
        self.begin_programs(cluster, 20)
        cluster.kill(self.leader(cluster))
        cluster.run_until(lambda: cluster.leader() is not None, 5.0)
        cluster.ask(Settle(request_id="z", program="z"))
        self.assertIsInstance(cluster.ask(first_turn("late")), QuotaSpent)

    def send_request(
        self, cluster: Cluster, leader: Machine, operation: Reserve, number: int = 1
    ) -> None:
        request = LedgerRequest(
            number=number, asker=Address("10.0.9.8", 1), operations=(operation,)
        )
        cluster.deliver_event(leader, PeerMessage(sender=ReplicaId("edge~2"), message=request))


class _EarlierReserve(msgspec.Struct, frozen=True, kw_only=True, tag="reserve"):
    request_id: str
    program: str = ""
    session: str = ""
    budget: int = 0
    tokens: int = 0
    retention: float = 60.0
    previous: str = ""
    missing_from: str = ""
    limit: RateLimit | None = None


class _EarlierDraw(msgspec.Struct, frozen=True, kw_only=True, tag="draw"):
    request_id: str
    limit: RateLimit
    is_owed: bool = False


class _EarlierCommand(msgspec.Struct, frozen=True, kw_only=True):
    time: float
    operations: tuple[_EarlierReserve | Settle | _EarlierDraw, ...]
    passed: float = 0.0


class _EarlierProgram(msgspec.Struct, kw_only=True):
    spent: int = 0
    reserved: dict[str, int] = {}
    settled: list[str] = []
    contexts: dict[str, CachedContext] = {}
    retention: float = 60.0
    expires: float = 0.0


class _EarlierState(msgspec.Struct, kw_only=True):
    time: float = 0.0
    next_expiry: float = 0.0
    programs: dict[str, _EarlierProgram] = {}
    turns: dict[str, StoredTurn] = {}
    quotas: TenantQuotas = msgspec.field(default_factory=TenantQuotas)


class EarlierRelease(AdmissionCase):
    """Replicas of the previous release run beside this one during an upgrade."""

    def setUp(self) -> None:
        super().setUp()
        kept = KeptTurn(turn_id="t", previous="", text=b"x", retention=60.0)
        self.operations = (
            first_turn("p"),
            Draw(request_id="d", limit=LIMIT, program="p"),
            Settle(request_id="p/0", program="p", tokens=3, turn=kept),
        )
        self.command = LedgerCommand(time=1e9, operations=self.operations, passed=5.0)

    def test_the_earlier_release_reads_our_entries_and_snapshots_without_the_new_fields(
        self,
    ) -> None:
        read = decode_struct(encode_command(self.command), _EarlierCommand).unwrap()
        self.assertEqual(len(read.operations), 3)
        first = read.operations[0]
        assert isinstance(first, _EarlierReserve)
        self.assertEqual((first.program, first.limit), ("p", LIMIT))
        self.state.transition_apply(self.command)
        state = decode_struct(encode_state(self.state), _EarlierState).unwrap()
        self.assertEqual(state.programs["p"].settled, ["p/0"])
        self.assertEqual(state.quotas, self.state.quotas)

    def test_we_read_entries_and_snapshots_of_the_earlier_release(self) -> None:
        theirs = _EarlierCommand(
            time=1e9,
            operations=(
                _EarlierReserve(request_id="p/0", program="p", budget=9, tokens=1, limit=LIMIT),
                _EarlierDraw(request_id="d", limit=LIMIT),
            ),
        )
        command = decode_command(encode_struct(theirs)).unwrap()
        first, second = command.operations
        assert isinstance(first, Reserve) and isinstance(second, Draw)
        self.assertEqual((first.kind, second.program), ("", ""))
        snapshot = _EarlierState(programs={"p": _EarlierProgram(settled=["p/0"])})
        state = decode_state(encode_struct(snapshot)).unwrap()
        self.assertEqual(state.programs["p"], Program(settled=["p/0"]))

    def test_an_entry_that_an_earlier_leader_wrote_gives_the_same_results(self) -> None:
        """A leader of the earlier release drops the new fields from operations and writes none."""
        read = decode_struct(encode_command(self.command), _EarlierCommand).unwrap()
        theirs = decode_command(encode_struct(read)).unwrap()
        other = LedgerState()
        self.assertEqual(other.transition_apply(theirs), self.state.transition_apply(self.command))
