"""Programs against the real decisions of one node, on a virtual clock, with emulated engines.

Programs come at a rate, some of them in a burst; each takes turns with pauses between them, and
its callers return after a refusal as they are told, a few times. The same seed gives the same
arrivals whatever is decided.
"""

from __future__ import annotations

import random

import msgspec

from tests.unit.forwarding.support import STORAGE, TABLE, Played
from tests.unit.forwarding.virtual_clock import VirtualClock
from yokeline.bearer_tokens import token_digest
from yokeline.effects import HttpReply, HttpRequest, HttpResponse, HttpStreamEnded, HttpStreamItem
from yokeline.forwarding.configuration_lease import LeaseState
from yokeline.forwarding.tenants import Credential, KeyHolder, Tenant, TenantDirectory
from yokeline.ledger.messages import LedgerReply
from yokeline.ledger.operations import Granted, OperationResult, Reserve, Settled

ENGINES = 4
SLOTS = 6
QUEUE = 4
"""Requests that an engine takes beyond its places."""
TURN_SECONDS = 0.2
TURNS = 4
PAUSE_SECONDS = 0.15
GIVEN_FACTOR = 1.4
TARGET_SECONDS = 0.2
DEADLINE_SECONDS = 3.0
TRIES = 2
"""Tries of one turn; after them its program is lost."""
HONOURED_SHARE = 1 / 3
KEY = "h1"
SETTLING_SECONDS = 4.0
"""Time before the burst, in which the node learns."""
LATE_WORTH = 0.4
"""Worth of a program that ends within twice the time that it was given."""
WARM_UP_LOAD = 0.6
FULL_RATE = ENGINES * SLOTS / TURN_SECONDS / TURNS
"""Programs a second that would take all places."""


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """What comes after the settling.

    Attributes:
        load: Share of all places that programs would take before and after the burst.
        burst_factor: The rate in the burst as a multiple of that.
        burst_seconds: Its length.
        seconds: Time for which programs come, after the settling.
        outage_seconds: Time from the begin of the burst in which the node cannot prove its
            configuration, and refuses everybody.
    """

    load: float = WARM_UP_LOAD
    burst_factor: float = 1.0
    burst_seconds: float = 0.0
    seconds: float = 4.0
    outage_seconds: float = 0.0


class Replayed(msgspec.Struct, kw_only=True):
    """What became of the programs that came after the settling.

    Attributes:
        programs: How many came.
        in_time: Of those, ended within the time that they were given.
        late: Ended within twice that.
        refused_first: Refusals of first turns.
        refused_begun: Refusals of later turns.
        lost_begun: Programs lost after they had begun.
        lost_waits: Seconds that turns had waited which were then refused.
        longest_lost_wait: The longest of those.
        most_waiting: Longest queue.
        refused_in_outage: Refusals for want of a proof.
        return_times: When each refused caller was told to return.
    """

    programs: int = 0
    in_time: int = 0
    late: int = 0
    refused_first: int = 0
    refused_begun: int = 0
    lost_begun: int = 0
    lost_waits: float = 0.0
    longest_lost_wait: float = 0.0
    most_waiting: int = 0
    refused_in_outage: int = 0
    return_times: list[float] = msgspec.field(default_factory=list)

    @property
    def worth(self) -> float:
        """Share of the programs' worth that they got."""
        return (self.in_time + LATE_WORTH * self.late) / max(1, self.programs)


class _Program(msgspec.Struct, kw_only=True):
    name: str
    began: float
    given: float
    turns: int = 0
    tries: int = 0
    tokens: int = 0
    counts: bool = True


class RoomReplay:
    """One run."""

    def __init__(self, seed: int, load: Load) -> None:
        self.played = Played(engines_per_pool=ENGINES, slots=SLOTS)
        tenants = TenantDirectory((KeyHolder(Credential(token_digest(KEY)), Tenant(name="t")),))
        self.played.forwarder.table = msgspec.structs.replace(TABLE, tenants=tenants)
        self.played.forwarder.lease_state = self._currency
        self.result = Replayed()
        self._load = load
        self._random = random.Random(seed)
        self._clock = VirtualClock(self.played, self._follow_up)
        self._running: dict[str, int] = {}
        self._queued: dict[str, list[HttpRequest]] = {}
        self._turns: dict[str, tuple[_Program, float]] = {}
        self._answered = self._replied = 0
        self._begin = self.played.now + SETTLING_SECONDS
        self._end = self._begin + load.seconds

    def run(self) -> Replayed:
        """Play until nothing is left."""
        self._plan_arrival()
        self._clock.run()
        return self.result

    def _follow_up(self) -> None:
        """Let the ledger, the engines and the callers see what the node did."""
        self._answer_ledger()
        self._clock.bring_sent(self._reach)
        while self._replied < len(self.played.replies):
            reply = self.played.replies[self._replied]
            self._replied += 1
            self._refused(reply)
        waiting = sum(self.played.forwarder.waiting().values())
        self.result.most_waiting = max(self.result.most_waiting, waiting)

    def _answer_ledger(self) -> None:
        while self._answered < len(self.played.asked):
            number, operation = self.played.asked[self._answered]
            self._answered += 1
            result: OperationResult = Settled()
            if isinstance(operation, Reserve):
                program, _ = self._turns[operation.request_id.rpartition("/")[2]]
                result = Granted(spent=program.tokens)
            reply = LedgerReply(number=number, results=(result,), leader=STORAGE)
            self.played.take(self.played.ledger.take_reply(reply, self.played.now))
            self.played.take(self.played.forwarder.tick(self.played.now))

    def _currency(self, now: float) -> LeaseState:
        is_away = 0 <= now - self._begin < self._load.outage_seconds
        return LeaseState.EXPIRED if is_away else LeaseState.VALID

    # ------------------------------------------------------------ callers

    def _rate(self) -> float:
        since = self.played.now - self._begin
        if since < 0:
            return WARM_UP_LOAD * FULL_RATE
        is_burst = since < self._load.burst_seconds
        return self._load.load * FULL_RATE * (self._load.burst_factor if is_burst else 1.0)

    def _plan_arrival(self) -> None:
        when = self.played.now + self._random.expovariate(self._rate())
        if when < self._end:
            self._clock.at(when, self._arrive)

    def _arrive(self) -> None:
        self._plan_arrival()
        turns = self._random.choice((TURNS - 2, TURNS, TURNS + 2))
        idle = turns * TURN_SECONDS + (turns - 1) * PAUSE_SECONDS
        now = self.played.now
        program = _Program(
            name=f"p{next(self._clock.numbers)}",
            began=now,
            given=GIVEN_FACTOR * idle + TARGET_SECONDS,
            turns=turns,
            counts=now >= self._begin,
        )
        self.result.programs += program.counts
        self._take_turn(program)

    def _take_turn(self, program: _Program) -> None:
        now = self.played.now
        left = program.given - (now - program.began)
        request_id = self.played.turn(
            program_id=program.name,
            session_id=program.name,
            finish_ms=str(int(1000 * left)),
            deadline_ms=str(int(1000 * DEADLINE_SECONDS)),
            token_budget="100000",
            authorization=f"Bearer {KEY}",
        )
        self._turns[request_id] = (program, now)
        self._answer_ledger()

    def _refused(self, reply: HttpReply) -> None:
        program, since = self._turns[str(reply.exchange)]
        waited = self.played.now - since
        told = float(reply.headers.get("retry-after", "0"))
        program.tries += 1
        if program.counts:
            self._count_refusal(reply, program, waited, told)
        if reply.status != 503 or program.tries >= TRIES:
            self.result.lost_begun += program.counts and program.tokens > 0
            return
        pause = min(told, HONOURED_SHARE * (DEADLINE_SECONDS - waited))
        self._clock.at(self.played.now + pause, lambda: self._take_turn(program))

    def _count_refusal(
        self, reply: HttpReply, program: _Program, waited: float, told: float
    ) -> None:
        self.result.return_times.append(self.played.now + told)
        if b"stale_configuration" in reply.body:
            self.result.refused_in_outage += 1
            return
        self.result.refused_first += program.tokens == 0
        self.result.refused_begun += program.tokens > 0
        self.result.lost_waits += waited
        self.result.longest_lost_wait = max(self.result.longest_lost_wait, waited)

    # ------------------------------------------------------------ engines

    def _reach(self, request: HttpRequest, engine: str) -> None:
        running = self._running.get(engine, 0)
        queued = self._queued.setdefault(engine, [])
        if running < SLOTS:
            self._run(request, engine)
        elif len(queued) < QUEUE:
            queued.append(request)
        else:
            headers = {"x-yokeline-not-executed": "1"}
            response = HttpResponse(request=request.request, status=503, headers=headers)
            self.played.take(self.played.forwarder.handle_engine_event(response, self.played.now))

    def _run(self, request: HttpRequest, engine: str) -> None:
        self._running[engine] = self._running.get(engine, 0) + 1
        self._clock.at(self.played.now + TURN_SECONDS, lambda: self._end_turn(request, engine))

    def _end_turn(self, request: HttpRequest, engine: str) -> None:
        self._running[engine] -= 1
        if self._queued[engine]:
            self._run(self._queued[engine].pop(0), engine)
        node, now = self.played.forwarder, self.played.now
        number = request.request
        head = HttpResponse(
            request=number, status=200, headers={"x-yokeline-server-stamp": "s"}, body=b""
        )
        item = HttpStreamItem(request=number, data=b"id: 1\ndata: word\n\n", event_id="1")
        for event in (head, item, HttpStreamEnded(number)):
            self.played.take(node.handle_engine_event(event, now))
        program, _ = self._turns[dict(request.header_items)["x-yokeline-request-id"]]
        self._turn_done(program)

    def _turn_done(self, program: _Program) -> None:
        program.tries = 0
        program.tokens += 10
        program.turns -= 1
        if program.turns:
            self._clock.at(self.played.now + PAUSE_SECONDS, lambda: self._take_turn(program))
            return
        taken = self.played.now - program.began
        if program.counts:
            self.result.in_time += taken <= program.given
            self.result.late += program.given < taken <= 2 * program.given


def replay(seed: int, load: Load) -> Replayed:
    """Play a load."""
    return RoomReplay(seed, load).run()
