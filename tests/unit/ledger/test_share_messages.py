"""Compatibility of messages with the release before tenant shares."""

from __future__ import annotations

import unittest

import msgspec
from msgspec import UNSET

from yokeline.effects import Address
from yokeline.ledger.messages import (
    EngineLoad,
    EngineTurns,
    LeaderHint,
    LedgerReply,
    LedgerRequest,
    NodeTurns,
    PoolLoad,
    PoolShares,
    TenantLoad,
)
from yokeline.ledger.operations import Operation, OperationResult
from yokeline.messages.structs import decode_struct, encode_struct


class EarlierRequest(msgspec.Struct, frozen=True, kw_only=True, tag="request"):
    """The fields of :class:`LedgerRequest` before tenant shares."""

    number: int
    asker: Address
    operations: tuple[Operation, ...]
    turns: NodeTurns | None = None
    is_copied: bool = False


class EarlierReply(msgspec.Struct, frozen=True, kw_only=True, tag="reply"):
    """The fields of :class:`LedgerReply` before tenant shares."""

    number: int
    results: tuple[OperationResult, ...] = ()
    leader: LeaderHint | None = None
    term: int = 0
    passed_on: bool = False
    engines: tuple[EngineTurns, ...] = ()
    copies_to: tuple[LeaderHint, ...] = ()


ASKER = Address("10.0.0.1", 7)
TURNS = NodeTurns(sequence=3, loads=(EngineLoad("e", 2),))
LOADS = (PoolLoad("models", 288, (TenantLoad("hot", 533.0, 4, 2),)),)
SHARES = (PoolShares("models", 0.25, ("hot",)),)
ENGINES = (EngineTurns("e", 2, 0, 100),)


class ReleaseCompatibility(unittest.TestCase):
    def test_the_earlier_release_reads_our_requests(self) -> None:
        message = LedgerRequest(
            number=1, asker=ASKER, operations=(), turns=TURNS, tenant_loads=LOADS
        )
        read = decode_struct(encode_struct(message), EarlierRequest).unwrap()
        self.assertEqual(read, EarlierRequest(number=1, asker=ASKER, operations=(), turns=TURNS))

    def test_the_earlier_release_reads_our_replies(self) -> None:
        message = LedgerReply(number=1, engines=ENGINES, shares=SHARES)
        read = decode_struct(encode_struct(message), EarlierReply).unwrap()
        self.assertEqual(read, EarlierReply(number=1, engines=ENGINES))

    def test_we_read_messages_of_the_earlier_release(self) -> None:
        request = EarlierRequest(number=1, asker=ASKER, operations=(), turns=TURNS)
        reply = EarlierReply(number=1, engines=ENGINES)
        read = decode_struct(encode_struct(request), LedgerRequest).unwrap()
        self.assertEqual(read, LedgerRequest(number=1, asker=ASKER, operations=(), turns=TURNS))
        self.assertIs(read.tenant_loads, UNSET)
        self.assertIs(decode_struct(encode_struct(reply), LedgerReply).unwrap().shares, UNSET)

    def test_we_read_our_own_messages(self) -> None:
        request = LedgerRequest(
            number=1, asker=ASKER, operations=(), turns=TURNS, tenant_loads=LOADS
        )
        reply = LedgerReply(number=1, shares=SHARES)
        self.assertEqual(decode_struct(encode_struct(request), LedgerRequest).unwrap(), request)
        self.assertEqual(decode_struct(encode_struct(reply), LedgerReply).unwrap(), reply)

    def test_without_tenants_the_encoding_is_unchanged(self) -> None:
        request = LedgerRequest(number=1, asker=ASKER, operations=(), turns=TURNS)
        earlier = EarlierRequest(number=1, asker=ASKER, operations=(), turns=TURNS)
        self.assertEqual(encode_struct(request), encode_struct(earlier))
        reply = LedgerReply(number=1, engines=ENGINES)
        self.assertEqual(
            encode_struct(reply), encode_struct(EarlierReply(number=1, engines=ENGINES))
        )
