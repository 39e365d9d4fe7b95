"""Data that nodes of an earlier release write and send, with the fields of that release.

``git archive RELEASE src | tar -x -C FOLDER`` and ``PYTHONPATH=FOLDER/src python -m
tests.unit.ledger.release_samples FILE`` write the bytes of that release.
"""

from __future__ import annotations

import base64
import json
import sys
from pathlib import Path

import msgspec

from yokeline.consensus.messages import AppendEntries, EntryKind, LogEntry
from yokeline.consensus.types import HardState, Snapshot
from yokeline.effects import Address
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.ledger.codec import LedgerCodec, encode_command, encode_state
from yokeline.ledger.disk_records import (
    AddressesRecord,
    EntriesRecord,
    HardStateRecord,
    IdentityRecord,
    SnapshotRecord,
    encode_record,
)
from yokeline.ledger.messages import (
    ConfigurationAsk,
    ConfigurationProof,
    EngineLoad,
    EngineTurns,
    HistoryAsk,
    HistoryReply,
    Join,
    LeaderAnswer,
    LeaderHint,
    LeaderQuery,
    LedgerReply,
    LedgerRequest,
    LoadDigest,
    LoadReport,
    MissingTexts,
    NodeTurns,
    PassedOnRequest,
    RegistryAsk,
    RegistryItem,
    RegistryNews,
    ReplicaMessage,
    TextCopy,
    TurnServed,
)
from yokeline.ledger.operations import (
    BudgetSpent,
    CachedContext,
    Draw,
    Drawn,
    Granted,
    KeptTurn,
    NoSuchTurn,
    QuotaSpent,
    RateLimit,
    Reserve,
    Settle,
    Settled,
)
from yokeline.ledger.state import LedgerCommand, LedgerState

SAMPLES = Path(__file__).with_name("release_samples.json")
SENDER = ReplicaId("storage-1~4f")
RECIPIENT = ReplicaId("storage-2~9c")
ADDRESS = Address("10.0.0.7", 7180)
LIMIT = RateLimit("t", 5.0, 3.0, 2)
TURN = KeptTurn(turn_id="k1", previous="", text=b"input and output", retention=60.0)
CONTEXT = CachedContext(engine_id="i-7f3a91c2", tokens=140)
RESERVE = Reserve(request_id="r1", program="p", session="s", budget=200, tokens=50, limit=LIMIT)
SETTLE = Settle(request_id="r1", program="p", session="s", tokens=40, turn=TURN, context=CONTEXT)
DRAW = Draw(request_id="r2", limit=LIMIT, is_owed=True)
OPEN = Reserve(request_id="r3", program="p", session="s", budget=200, tokens=50, previous="k1")


def commands() -> list[LedgerCommand]:
    """Return the commands of a log."""
    return [
        LedgerCommand(time=1000.0, operations=(RESERVE,), passed=1.0),
        LedgerCommand(time=1001.0, operations=(SETTLE, DRAW), passed=2.0),
        LedgerCommand(time=1002.0, operations=(OPEN,), passed=3.0),
    ]


def state() -> LedgerState:
    """Return the state after the commands."""
    ledger = LedgerState()
    for command in commands():
        ledger.transition_apply(command)
    return ledger


def messages(entry: bytes) -> list[msgspec.Struct]:
    """Return messages of each type; ``entry`` is the encoded command of a log entry."""
    hint = LeaderHint(SENDER, ADDRESS)
    turns = NodeTurns(3, (EngineLoad("i-1", 2),), (TurnServed("i-1", True, 1.5, True),))
    results = (
        Granted(spent=40, turns=(TURN,), context=CONTEXT),
        BudgetSpent(spent=200),
        NoSuchTurn(turn_id="k9"),
        Settled(),
        Drawn(),
        QuotaSpent(retry_after=0.5, is_empty=True),
    )
    append = AppendEntries(
        term=4,
        leader=SENDER,
        previous_index=1,
        previous_term=1,
        entries=(LogEntry(index=2, term=4, kind=EntryKind.COMMAND, command=entry),),
        commit_index=2,
        round=9,
    )
    return [
        LedgerRequest(
            number=7, asker=ADDRESS, operations=(RESERVE, SETTLE, DRAW), turns=turns, is_copied=True
        ),
        PassedOnRequest(number=8, asker=ADDRESS, operation=OPEN),
        LedgerReply(
            number=7,
            results=results,
            leader=hint,
            term=4,
            engines=(EngineTurns("i-1", 2, 10, 150),),
            copies_to=(hint,),
        ),
        LeaderQuery(asker=ADDRESS),
        LeaderAnswer(term=4, leader=hint),
        HistoryAsk(number=1, asker=ADDRESS, last="k1"),
        HistoryReply(number=1, turns=(TURN,)),
        TextCopy(turn_id="k1", text=b"text"),
        MissingTexts(),
        ReplicaMessage(sender_address=ADDRESS, message=append),
        Join(node=NodeName("storage-3"), replica=ReplicaId("storage-3~1"), address=ADDRESS),
        RegistryAsk(asker=ADDRESS, after=5),
        RegistryNews(revision=6, items=(RegistryItem("k", b"v", 6),), since=5),
        ConfigurationAsk(number=2, asker=ADDRESS, known=5),
        ConfigurationProof(number=2, revision=6, age=0.2, item=RegistryItem("k", None, 6)),
    ]


def datagrams() -> list[msgspec.Struct]:
    """Return the datagrams between forwarding nodes."""
    report = LoadReport(
        node=NodeName("edge-1"),
        sequence=4,
        loads=(EngineLoad("i-7f3a91c2", 2),),
        waiting={"models": 3},
        revision=9,
        process=ReplicaId("edge-1~1"),
        address=ADDRESS,
        reaches_ledger=True,
        watches=True,
    )
    return [report, LoadDigest(sender=NodeName("edge-1"), zone="a", reports=(report,))]


def disk() -> bytes:
    """Return the records of a replica's log file."""
    entries = [
        LogEntry(index=number, term=1, kind=EntryKind.COMMAND, command=encode_command(command))
        for number, command in enumerate(commands(), 1)
    ]
    records = [
        IdentityRecord(replica=SENDER, first_start=True),
        SnapshotRecord(snapshot=Snapshot(0, 0, (SENDER, RECIPIENT), encode_state(LedgerState()))),
        HardStateRecord(hard_state=HardState(term=1, voted_for=SENDER)),
        EntriesRecord(entries=tuple(entries)),
        AddressesRecord(addresses={RECIPIENT: ADDRESS}),
    ]
    return b"".join(encode_record(record) for record in records)


def encoded() -> dict[str, list[bytes]]:
    """Return the bytes that the running release writes, by type."""
    codec = LedgerCodec()
    entries = [encode_command(command) for command in commands()]
    return {
        "commands": entries,
        "state": [encode_state(state())],
        "messages": [codec.encode_peer(SENDER, RECIPIENT, item) for item in messages(entries[1])],
        "datagrams": [codec.encode_datagram(item) for item in datagrams()],
        "disk": [disk()],
    }


def stored() -> dict[str, list[bytes]]:
    """Return the stored bytes of the earlier release."""
    rows: dict[str, list[str]] = json.loads(SAMPLES.read_text())
    return {kind: [base64.b64decode(item) for item in items] for kind, items in rows.items()}


if __name__ == "__main__":
    text = {
        kind: [base64.b64encode(item).decode() for item in items]
        for kind, items in encoded().items()
    }
    Path(sys.argv[1]).write_text(json.dumps(text, indent=1) + "\n")
