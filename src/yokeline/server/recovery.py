"""An operator's recovery of shards that lost their majority, at the node that holds a copy.

The guards, in order: this node has been up long enough to have heard of living groups; all
that it knows of the group says that its majority is dead; the copy is the one that the
operator saw; and a compare-and-swap on the key ``<prefix>recovery/<shard>`` succeeds, so that
of operators who race each other, or nodes, exactly one wins. The key keeps the term, so that
every recovery has a higher one than all before it. A node that was paused between the write
and its answer does not start the group: another one may recover it meanwhile.

See ``shards.lineage`` for what becomes of members of the lost group that wake up, and
``runs.recovery`` for what becomes of the runs.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from yokeline.errors import Execution, YokelineError
from yokeline.identifiers import NodeName, ReplicaId, ShardId
from yokeline.runs.model import RecoverShard
from yokeline.server.context import NodeContext
from yokeline.server.recovery_errors import (
    conflict,
    copy_changed,
    majority_not_lost,
    not_decided,
    nothing_held,
    started_too_late,
    store_refused,
    too_early,
)
from yokeline.settings import Settings
from yokeline.shards.copies import ShardCopy, replay_copy
from yokeline.shards.directory import MAX_UPDATES_PER_HEARTBEAT
from yokeline.shards.host import ShardHost
from yokeline.shards.lineage import recovery_term
from yokeline.shards.recovery import recovery_log
from yokeline.store.client import KeyValueClient
from yokeline.store.protocol import RangeResult, SwapResult

RECOVERY_FOLDER = "recovery/"
MUST_NOT_EXIST = 0
NONCE_BITS = 64
JOIN_SECONDS = 15.0
"""Time in which a new node hears of all other nodes, and of the shards of a few."""
START_WITHIN_SECONDS = 10.0
"""A group is started at most so long after the write to the store was sent."""
HOLD_SECONDS = 60.0
"""Time for which nobody else may recover a shard again; well above the one before, by
so much that wall clocks may differ by the rest."""

RecoveryDone = Callable[[Result["Recovered", YokelineError]], None]


class RecoveryOrder(msgspec.Struct, frozen=True, kw_only=True):
    """What the operator decided on.

    Attributes:
        last_term: Term of the last entry of the copy, as listed.
        last_index: Its index.
        seen_term: Highest term of the shard that any node told the operator.
        doubt_seconds: Time for which requests that may have run before are not sent;
            None for as long as a key is remembered.
    """

    last_term: int
    last_index: int
    seen_term: int = 0
    doubt_seconds: float | None = None


class Recovered(msgspec.Struct, frozen=True, kw_only=True):
    """A group that was started anew."""

    shard: int
    node: str
    replica: str
    copy_of: str
    term: int
    last_index: int
    runs: int
    latest_wall: float
    keyed_until_wall: float


class RecoveryRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Value of the key: the latest recovery of a shard.

    Attributes:
        count: Recoveries of the shard so far.
        nonce: Tells writes of one process start apart.
    """

    count: int
    node: NodeName
    replica: ReplicaId
    term: int
    last_term: int
    last_index: int
    wall: float
    nonce: str


class _Attempt:
    """One recovery under way."""

    def __init__(
        self, shard: ShardId, order: RecoveryOrder, copy: ShardCopy, done: RecoveryDone
    ) -> None:
        self.shard = shard
        self.order = order
        self.copy = copy
        self.done = done
        self.expected_revision = MUST_NOT_EXIST
        self.record: RecoveryRecord | None = None
        self.sent_at = 0.0


class ShardRecovery:
    """Carries recoveries out at this node."""

    def __init__(
        self,
        context: NodeContext,
        settings: Settings,
        store: KeyValueClient,
        host: ShardHost,
    ) -> None:
        """Create it at the start of the node (``context.now``)."""
        self._context = context
        self._settings = settings
        self._store = store
        self._host = host
        self._under_way: dict[ShardId, None] = {}
        gossip_rounds = settings.cluster.shards / MAX_UPDATES_PER_HEARTBEAT
        self._informed_at = (
            context.now + JOIN_SECONDS + gossip_rounds * settings.consensus.heartbeat_seconds
        )

    # ------------------------------------------------------------ what is held

    @property
    def informed(self) -> bool:
        """Whether this node has been up long enough to know of living groups."""
        return self._context.now >= self._informed_at

    def is_lost(self, shard: ShardId) -> bool:
        """Return whether a shard's majority is dead, for all that this node knows by now."""
        return self.informed and self._host.majority_lost(shard)

    def best_copy(self, shard: ShardId) -> ShardCopy | None:
        """Return the most advanced of what this node holds of a shard, in memory or on disk."""
        found = [copy for copy in (self.live_copy(shard), self._disk_copy(shard)) if copy]
        return max(found, key=lambda copy: copy.position, default=None)

    def live_copy(self, shard: ShardId) -> ShardCopy | None:
        """Return what a replica of the lost group that still runs here holds."""
        stored = self._host.copy_of(shard)
        if stored is None or not stored.last_index:
            return None
        return replay_copy(stored).value_or(None)

    def _disk_copy(self, shard: ShardId) -> ShardCopy | None:
        return self._host.copies.usable.get(shard)

    # ------------------------------------------------------------ recovery

    def recover(self, shard: ShardId, order: RecoveryOrder, done: RecoveryDone) -> None:
        """Start a shard's group anew from the copy that this node holds.

        ``done`` is called once; after a failure nothing was started here.
        """
        copy = self.best_copy(shard)
        refusal = self._refusal(shard, order, copy)
        if refusal is not None or copy is None:
            done(Failure(refusal or nothing_held(shard)))
            return
        self._under_way[shard] = None
        attempt = _Attempt(shard, order, copy, done)
        self._store.get(self._key(shard), lambda result: self._read(attempt, result))

    def _refusal(
        self, shard: ShardId, order: RecoveryOrder, copy: ShardCopy | None
    ) -> YokelineError | None:
        if shard in self._under_way:
            return conflict(shard, "a recovery of it is under way at this node")
        if not self.informed:
            return too_early(self._informed_at - self._context.now)
        if not self._host.majority_lost(shard):
            return majority_not_lost(shard)
        if copy is None:
            damaged = self._host.copies.damaged.get(shard)
            return nothing_held(shard) if damaged is None else damaged.error
        if copy.position != (order.last_term, order.last_index):
            return copy_changed(shard)
        return None

    def _read(self, attempt: _Attempt, result: Result[RangeResult, YokelineError]) -> None:
        if isinstance(result, Failure):
            self._fail(attempt, store_refused(result.failure()))
            return
        items = result.unwrap().items
        before: RecoveryRecord | None = None
        if items:
            before = _decoded(items[0].value)
            attempt.expected_revision = items[0].mod_revision
            refusal = self._held_by_other(attempt.shard, before)
            if refusal is not None:
                self._fail(attempt, refusal)
                return
        attempt.record = self._record(attempt, before)
        attempt.sent_at = self._context.now
        self._store.compare_and_swap(
            self._key(attempt.shard),
            attempt.expected_revision,
            msgspec.json.encode(attempt.record),
            lambda swapped: self._swapped(attempt, swapped),
        )

    def _held_by_other(self, shard: ShardId, record: RecoveryRecord | None) -> YokelineError | None:
        if record is None:
            return conflict(shard, f"the key {self._key(shard)} holds no recovery record")
        age = self._context.wall() - record.wall
        if record.replica == self._context.replica or age >= HOLD_SECONDS:
            return None
        error = conflict(shard, f"the node {record.node} has begun to recover it")
        return msgspec.structs.replace(error, retry_after=HOLD_SECONDS - age)

    def _record(self, attempt: _Attempt, before: RecoveryRecord | None) -> RecoveryRecord:
        last_term, last_index = attempt.copy.position
        leader = self._host.leader_of(attempt.shard)
        seen = [last_term, attempt.order.seen_term, self._host.term(attempt.shard)]
        seen += [leader.term if leader is not None else 0]
        seen += [before.term if before is not None else 0]
        return RecoveryRecord(
            count=1 if before is None else before.count + 1,
            node=self._context.name,
            replica=self._context.replica,
            term=recovery_term(seen),
            last_term=last_term,
            last_index=last_index,
            wall=self._context.wall(),
            nonce=f"{self._context.random.getrandbits(NONCE_BITS):016x}",
        )

    def _swapped(self, attempt: _Attempt, result: Result[SwapResult, YokelineError]) -> None:
        if isinstance(result, Failure):
            if result.failure().execution is Execution.NOT_RUN:
                self._fail(attempt, store_refused(result.failure()))
                return
            self._store.get(self._key(attempt.shard), lambda read: self._read_back(attempt, read))
            return
        if result.unwrap().applied:
            self._start(attempt)
            return
        current = result.unwrap().current
        self._settle(attempt, None if current is None else _decoded(current.value))

    def _read_back(self, attempt: _Attempt, result: Result[RangeResult, YokelineError]) -> None:
        """Find out whether a write without an answer was made."""
        if isinstance(result, Failure):
            self._fail(attempt, not_decided(attempt.shard))
            return
        items = result.unwrap().items
        revision = items[0].mod_revision if items else MUST_NOT_EXIST
        if revision == attempt.expected_revision:
            self._fail(attempt, not_decided(attempt.shard))
            return
        self._settle(attempt, _decoded(items[0].value) if items else None)

    def _settle(self, attempt: _Attempt, found: RecoveryRecord | None) -> None:
        if found is not None and found == attempt.record:
            self._start(attempt)
            return
        winner = "another operator" if found is None else f"the node {found.node}"
        self._fail(attempt, conflict(attempt.shard, f"{winner} came first"))

    def _start(self, attempt: _Attempt) -> None:
        assert attempt.record is not None
        del self._under_way[attempt.shard]
        if self._context.now - attempt.sent_at > START_WITHIN_SECONDS:
            attempt.done(Failure(started_too_late(attempt.shard)))
            return
        if not self._host.majority_lost(attempt.shard):
            attempt.done(Failure(majority_not_lost(attempt.shard)))
            return
        command = self._command(attempt)
        copy = attempt.copy.stored
        log = recovery_log(copy, self._context.replica, attempt.record.term, command)
        self._host.recover(attempt.shard, log)
        self._context.warn(
            "shard_recovered", shard=attempt.shard, term=log.term, last_index=copy.last_index
        )
        attempt.done(Success(self._recovered(attempt, log.term, command)))

    def _command(self, attempt: _Attempt) -> RecoverShard:
        wall = self._context.wall()
        keyed = attempt.order.doubt_seconds
        if keyed is None:
            keyed = self._settings.runs.retention_seconds
        unkeyed = min(keyed, self._settings.gateway.max_deadline_seconds)
        return RecoverShard(
            copy_of=attempt.copy.stored.replica,
            last_index=attempt.copy.stored.last_index,
            wall=wall,
            keyed_until_wall=wall + keyed,
            unkeyed_until_wall=wall + unkeyed,
        )

    def _recovered(self, attempt: _Attempt, term: int, command: RecoverShard) -> Recovered:
        return Recovered(
            shard=attempt.shard,
            node=self._context.name,
            replica=self._context.replica,
            copy_of=command.copy_of,
            term=term,
            last_index=command.last_index,
            runs=attempt.copy.runs,
            latest_wall=attempt.copy.latest_wall,
            keyed_until_wall=command.keyed_until_wall,
        )

    def _fail(self, attempt: _Attempt, error: YokelineError) -> None:
        del self._under_way[attempt.shard]
        attempt.done(Failure(error))

    def _key(self, shard: ShardId) -> str:
        return f"{self._settings.platform.store_prefix}{RECOVERY_FOLDER}{shard}"


def _decoded(value: bytes) -> RecoveryRecord | None:
    try:
        return msgspec.json.decode(value, type=RecoveryRecord)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
