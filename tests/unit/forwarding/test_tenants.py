from __future__ import annotations

import unittest

import msgspec

from tests.unit.forwarding.support import TABLE, Played, route
from yokeline.bearer_tokens import token_digest
from yokeline.forwarding.configuration_lease import LeaseState
from yokeline.forwarding.held_requests import MAX_HOLD_SECONDS
from yokeline.forwarding.model import RouteKind, RoutingTable
from yokeline.forwarding.tenant_limits import MAX_WAITING_PER_TENANT, MAX_WAITS, LimitTolerance
from yokeline.forwarding.tenants import Credential, KeyHolder, Tenant, TenantDirectory, scoped
from yokeline.ledger.messages import LedgerReply
from yokeline.ledger.operations import Draw, Drawn, Granted, QuotaSpent, Reserve, Settle
from yokeline.scheduling.retry_delays import LIMIT_JITTER


def key(text: str) -> Credential:
    return Credential(token_digest(text))


HULE = Tenant(name="hule", priority=3)
MIRA = Tenant(name="mira", rate=10.0, burst=5.0)
OTHER_KEYS = (
    KeyHolder(key("m1"), MIRA),
    KeyHolder(key("m2"), MIRA),
)


def table(*holders: KeyHolder, version: int = 3) -> RoutingTable:
    public = route("/open/", RouteKind.IDEMPOTENT, "apps", public=True)
    return msgspec.structs.replace(
        TABLE,
        version=version,
        routes=(*TABLE.routes, public),
        tenants=TenantDirectory(holders),
    )


class Tenants(unittest.TestCase):
    def setUp(self) -> None:
        self.played = Played()
        self.played.forwarder.table = table(KeyHolder(key("h1"), HULE), *OTHER_KEYS)

    def fields(self, index: int = -1) -> dict[str, str]:
        return dict(self.played.sent[index].header_items)


class KnownKeys(Tenants):
    def test_an_engine_is_told_whose_request_it_is_and_not_the_key(self) -> None:
        self.played.request("/look/x", authorization="Bearer h1", tenant="mira")
        self.assertEqual(self.fields()["x-yokeline-tenant"], "hule")
        self.assertNotIn("authorization", self.fields())

    def test_an_unknown_key_and_none_get_401_and_do_not_run(self) -> None:
        for fields in ({"authorization": "Bearer h2"}, {}):
            self.played.request("/look/x", **fields)
            self.assertEqual(self.played.replies[-1].status, 401)
        self.assertEqual(self.played.sent, [])

    def test_a_public_route_needs_no_key_and_believes_no_tenant(self) -> None:
        self.played.request("/open/x", tenant="mira")
        self.assertNotIn("x-yokeline-tenant", self.fields())

    def test_an_unknown_route_is_404_with_any_key(self) -> None:
        self.played.request("/nowhere/x", authorization="Bearer h1")
        self.assertEqual(self.played.replies[-1].status, 404)

    def test_a_tenants_rank_counts_before_its_routes(self) -> None:
        self.played.request("/look/x", authorization="Bearer h1")
        (exchange,) = self.played.forwarder._state.exchanges.values()
        self.assertEqual((exchange.priority, exchange.route.priority), (3, 0))


class StateOfTenants(Tenants):
    def test_equal_ids_of_two_tenants_never_meet(self) -> None:
        for key in ("h1", "m1"):
            self.played.turn(
                "/kept/x",
                authorization=f"Bearer {key}",
                request_id="same",
                session_id="s",
                previous_turn="before",
            )
        first, second = (item for item in self.played.operations() if isinstance(item, Reserve))
        self.assertNotEqual(first.request_id, second.request_id)
        self.assertNotEqual(first.program, second.program)
        self.assertNotEqual(first.session, second.session)
        self.assertNotEqual(first.previous, second.previous)

    def test_a_caller_that_gives_all_its_requests_one_id_has_each_counted(self) -> None:
        """Else one id would be reserved, and counted against the limit, once for all of them."""
        for _ in range(2):
            self.played.request("/look/x", authorization="Bearer m1", request_id="same")
            self.played.turn(authorization="Bearer m1", request_id="same")
        operations = [item.request_id for item in self.played.operations()]
        self.assertEqual(len(set(operations)), 4)
        self.played.ledger_answers(Granted())
        self.assertEqual(self.fields()["x-yokeline-request-id"], "same")

    def test_a_kept_turn_goes_by_the_callers_own_id(self) -> None:
        self.played.turn("/kept/x", authorization="Bearer h1", request_id="turn-1")
        self.played.ledger_answers(Granted())
        self.played.engine_begins()
        self.played.engine_sends(1)
        self.played.engine_ends()
        settle = self.played.operations()[-1]
        assert isinstance(settle, Settle)
        assert settle.turn is not None
        self.assertEqual(settle.turn.turn_id, scoped("hule", "turn-1"))

    def test_no_two_pairs_of_tenant_and_id_have_one_name(self) -> None:
        pairs = [("a", "b:c"), ("a:b", "c"), ("", "1:a:b"), ("a", "b"), ("1:a", "b")]
        self.assertEqual(len({scoped(*pair) for pair in pairs}), len(pairs))
        self.assertEqual(scoped(None, "p"), "p")


class KeysTakenAway(Tenants):
    def revoke(self) -> None:
        self.played.forwarder.table = table(*OTHER_KEYS, version=4)
        self.played.take(self.played.forwarder.tick(self.played.now))

    def test_what_waits_for_the_ledger_is_refused(self) -> None:
        self.played.turn(authorization="Bearer h1")
        self.revoke()
        self.assertEqual(self.played.replies[-1].status, 401)
        self.played.ledger_answers(Granted())
        self.assertEqual(self.played.sent, [])

    def test_what_waits_for_an_engine_is_refused_and_another_tenants_is_not(self) -> None:
        self.played = Played(engines_per_pool=1, slots=1)
        self.played.forwarder.table = table(KeyHolder(key("h1"), HULE), *OTHER_KEYS)
        for _ in range(4):
            self.played.request("/fix/x", authorization="Bearer h1")
        sent = len(self.played.sent)
        self.revoke()
        self.assertEqual([item.status for item in self.played.replies], [401] * (4 - sent))
        self.assertLess(sent, 4)

    def test_what_runs_goes_on_and_is_not_sent_once_more(self) -> None:
        self.played.request("/look-twice/x", authorization="Bearer h1")
        self.revoke()
        self.assertEqual(self.played.cancelled, [])
        self.played.engine_breaks()
        self.played.wait(0.3)
        self.assertEqual(len(self.played.sent), 1)
        self.assertEqual(self.played.replies[-1].status, 502)

    def test_what_an_engine_did_not_run_is_refused_truly(self) -> None:
        self.played.request("/fix/x", authorization="Bearer h1")
        self.revoke()
        self.played.engine_rejects()
        self.played.wait(0.1)
        self.assertEqual((len(self.played.sent), self.played.replies[-1].status), (1, 401))


class StaleConfiguration(Tenants):
    def setUp(self) -> None:
        super().setUp()
        self.currency = LeaseState.EXPIRED
        self.played.forwarder.lease_state = lambda now: self.currency

    def test_a_node_that_cannot_prove_its_keys_neither_runs_nor_denies(self) -> None:
        for key in ("h1", "unknown"):
            self.played.request("/look/x", authorization=f"Bearer {key}")
            self.assertEqual(self.played.replies[-1].status, 503)
            self.assertIn("retry-after", self.played.replies[-1].headers)
        self.assertEqual(self.played.sent, [])

    def test_public_routes_go_on(self) -> None:
        self.played.request("/open/x")
        self.assertEqual(len(self.played.sent), 1)

    def test_a_proof_that_comes_soon_is_waited_for(self) -> None:
        self.currency = LeaseState.PENDING
        self.played.request("/look/x", authorization="Bearer h1")
        self.played.wait(0.1)
        self.assertEqual((self.played.sent, self.played.replies), ([], []))
        self.currency = LeaseState.VALID
        self.played.wait(0.02)
        self.assertEqual(len(self.played.sent), 1)

    def test_one_that_does_not_come_is_not_waited_for_long(self) -> None:
        self.currency = LeaseState.PENDING
        self.played.request("/look/x", authorization="Bearer h1")
        self.played.wait(MAX_HOLD_SECONDS + 0.1)
        self.assertEqual(self.played.replies[-1].status, 503)


class Limits(Tenants):
    def call(self) -> None:
        self.played.request("/look/x", authorization="Bearer m1")

    def test_a_call_of_a_limited_tenant_runs_once_the_ledger_counts_it(self) -> None:
        self.call()
        self.assertEqual(self.played.sent, [])
        draw = self.played.operations()[-1]
        assert isinstance(draw, Draw)
        self.assertEqual((draw.limit.tenant, draw.limit.rate, draw.limit.burst), ("mira", 10, 5))
        self.played.ledger_answers(Drawn())
        self.assertEqual(len(self.played.sent), 1)

    def test_what_the_operator_tolerates_makes_the_bucket_deeper_but_never_breaks_the_bound(
        self,
    ) -> None:
        tolerance = LimitTolerance(window=5.0, overage=0.1, slack=20.0)
        for rate, burst in ((6.0, 6.0), (30.0, 30.0), (163.0, 163.0), (1.0, 0.0)):
            tenant = Tenant(name="t", rate=rate, burst=burst)
            depth = tolerance.bucket_size(tenant)
            bound = (rate * 5.0 + burst) * 1.1 + 20.0
            self.assertGreater(depth, burst + 10.0)
            self.assertLess(rate * 5.0 + depth, bound)

    def test_a_turn_is_counted_with_its_reservation(self) -> None:
        self.played.turn(authorization="Bearer m1")
        reserve = self.played.operations()[-1]
        assert isinstance(reserve, Reserve)
        assert reserve.limit is not None
        self.assertEqual(reserve.limit.tenant, "mira")

    def test_a_tenant_without_a_limit_is_not_counted(self) -> None:
        self.played.request("/look/x", authorization="Bearer h1")
        self.assertEqual((len(self.played.sent), self.played.operations()), (1, []))

    def test_a_request_that_the_limit_lets_in_soon_waits_for_that(self) -> None:
        self.call()
        self.played.ledger_answers(QuotaSpent(retry_after=0.03, is_empty=True))
        self.assertEqual(self.played.replies, [])
        self.played.wait(0.05)
        self.played.ledger_answers(Drawn())
        self.assertEqual(len(self.played.sent), 1)

    def test_so_does_a_turn_of_a_program_that_has_begun(self) -> None:
        self.played.turn(authorization="Bearer m1")
        self.played.ledger_answers(QuotaSpent(retry_after=0.2, is_empty=True))
        self.assertEqual(self.played.replies, [])
        self.played.wait(0.22)
        self.played.ledger_answers(Granted())
        self.assertEqual(len(self.played.sent), 1)

    def test_a_program_that_is_not_admitted_is_refused_at_once_with_the_time(self) -> None:
        self.played.turn(authorization="Bearer m1")
        self.played.ledger_answers(QuotaSpent(retry_after=0.2, is_empty=False))
        reply = self.played.replies[-1]
        self.assertEqual(reply.status, 429)
        told = float(reply.headers["retry-after"])
        self.assertGreaterEqual(told, 0.2)
        self.assertLessEqual(told, 0.2 * (1 + LIMIT_JITTER) + 0.01)
        self.played.wait(0.3)
        self.assertEqual(len([op for op in self.played.operations() if isinstance(op, Reserve)]), 1)

    def test_programs_that_are_refused_together_do_not_come_back_together(self) -> None:
        for _ in range(8):
            self.played.turn(authorization="Bearer m1")
            self.played.ledger_answers(QuotaSpent(retry_after=2.0, is_empty=False))
        told = {reply.headers["retry-after"] for reply in self.played.replies}
        self.assertGreater(len(told), 4)

    def test_the_ledger_is_told_the_kind_of_a_program_and_whose_a_call_is(self) -> None:
        self.played.turn(authorization="Bearer m1")
        reserve = self.played.operations()[-1]
        assert isinstance(reserve, Reserve)
        self.assertTrue(reserve.kind)
        self.played.request("/look/x", authorization="Bearer m1", program_id="p")
        draw = self.played.operations()[-1]
        assert isinstance(draw, Draw)
        self.assertEqual(draw.program, reserve.program)

    def test_it_does_not_wait_again_and_again(self) -> None:
        self.call()
        for _ in range(MAX_WAITS):
            self.played.ledger_answers(QuotaSpent(retry_after=0.1, is_empty=False))
            self.assertEqual(self.played.replies, [])
            self.played.wait(0.12)
        self.played.ledger_answers(QuotaSpent(retry_after=0.1, is_empty=False))
        self.assertEqual(self.played.replies[-1].status, 429)

    def test_of_many_requests_beyond_the_limit_few_wait_and_the_others_are_refused_at_once(
        self,
    ) -> None:
        self.call()
        self.played.ledger_answers(QuotaSpent(retry_after=0.2, is_empty=True))
        for _ in range(10):
            self.call()
        self.assertEqual([reply.status for reply in self.played.replies], [429] * 9)
        asked = len(self.played.operations())
        self.played.wait(0.21)
        self.assertEqual(len(self.played.operations()), asked + 2)

    def test_a_caller_that_leaves_gives_its_place_to_wait_back(self) -> None:
        for _ in range(MAX_WAITING_PER_TENANT):
            self.played.request("/look/x", authorization="Bearer m1")
        for number, _ in list(self.played.asked):
            reply = LedgerReply(
                number=number, results=(QuotaSpent(retry_after=0.1, is_empty=False),)
            )
            self.played.take(self.played.ledger.take_reply(reply, self.played.now))
        for name in list(self.played.forwarder._state.exchanges):
            self.played.leave(str(name))
        self.played.wait(0.2)
        self.call()
        self.played.ledger_answers(QuotaSpent(retry_after=0.1, is_empty=False))
        self.assertEqual(self.played.replies, [])

    def test_beyond_the_limit_it_is_told_when_to_come_back(self) -> None:
        self.call()
        self.played.ledger_answers(QuotaSpent(retry_after=0.3, is_empty=True))
        self.assertEqual(self.played.replies[-1].status, 429)
        self.assertEqual(self.played.replies[-1].headers["retry-after"], "0.30")
        self.assertEqual(self.played.sent, [])

    def test_while_nothing_is_left_the_ledger_is_not_asked_again(self) -> None:
        self.call()
        self.played.ledger_answers(QuotaSpent(retry_after=0.3, is_empty=True))
        asked = len(self.played.operations())
        self.call()
        self.assertEqual(
            (len(self.played.operations()), self.played.replies[-1].status), (asked, 429)
        )
        self.played.wait(0.31)
        self.call()
        self.assertEqual(len(self.played.operations()), asked + 1)

    def test_a_limit_on_new_programs_alone_lets_others_ask(self) -> None:
        self.played.turn(authorization="Bearer m1")
        self.played.ledger_answers(QuotaSpent(retry_after=0.3, is_empty=False))
        asked = len(self.played.operations())
        self.call()
        self.assertEqual(len(self.played.operations()), asked + 1)

    def test_a_call_that_goes_to_another_engine_counts_again_and_waits_for_nothing(self) -> None:
        self.played.request("/look-twice/x", authorization="Bearer m1")
        self.played.ledger_answers(Drawn())
        self.played.engine_breaks()
        self.played.wait(0.01)
        self.assertEqual(len(self.played.sent), 2)
        first, again = (item for item in self.played.operations() if isinstance(item, Draw))
        self.assertEqual((first.is_owed, again.is_owed), (False, True))
        self.assertNotEqual(first.request_id, again.request_id)

    def test_one_that_no_engine_ran_counts_once(self) -> None:
        self.call()
        self.played.ledger_answers(Drawn())
        self.played.engine_rejects()
        self.played.wait(0.01)
        self.assertEqual((len(self.played.sent), len(self.played.operations())), (2, 1))

    def test_without_an_answer_of_the_ledger_it_does_not_run(self) -> None:
        self.call()
        self.played.wait(2.1)
        self.assertEqual((self.played.sent, self.played.replies[-1].status), ([], 503))
