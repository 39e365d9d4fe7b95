"""Lookups, policy resolution and its explanation, and cheap immutable changes."""

from __future__ import annotations

import json
import unittest

from returns.result import Failure, Success

from yokeline.labels.objects import ObjectKind, Policy, Program, StoredObject, Tenant, TokenRole
from yokeline.labels.references import check_clashes, check_references
from yokeline.labels.view import ConfigurationView

DIGEST = "ab" * 32


def stored(kind: ObjectKind, revision: int, **body: object) -> StoredObject:
    owner = f"{body['tenant']}/" if body.get("tenant") else ""
    name = owner + str(body["name"])
    return StoredObject(kind=kind, name=name, revision=revision, body=json.dumps(body))


def gone(kind: ObjectKind, revision: int, name: str) -> StoredObject:
    return StoredObject(kind=kind, name=name, revision=revision, body="")


def policy(revision: int, name: str, **fields: object) -> StoredObject:
    return stored(ObjectKind.POLICY, revision, name=name, **fields)


BASE = (
    stored(ObjectKind.TENANT, 2, name="dallim", tokens=[{"digest": DIGEST, "role": "operator"}]),
    stored(
        ObjectKind.PROGRAM,
        3,
        name="bibs",
        tenant="dallim",
        model="m",
        tools=["clubs"],
        labels={"tier": "gold"},
    ),
    stored(ObjectKind.TOOL, 4, name="clubs", addresses=["10.0.0.1:80"]),
    stored(ObjectKind.ENGINE_POOL, 5, name="east", addresses=["10.0.0.2:80"], models=["m"]),
    stored(
        ObjectKind.ENGINE_POOL,
        6,
        name="west",
        addresses=["10.0.0.3:80"],
        models=["m"],
        labels={"zone": "west", "size": "big"},
    ),
)


class LookupTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = ConfigurationView().with_objects(BASE)

    def test_lookups(self) -> None:
        self.assertEqual(self.view.revision, 6)
        grant = self.view.token(DIGEST)
        self.assertEqual((grant.tenant, grant.role), ("dallim", TokenRole.OPERATOR))
        self.assertIsNone(self.view.program("other", "bibs"))
        self.assertEqual([pool.name for pool in self.view.pools()], ["east", "west"])

    def test_a_tenants_own_tool_hides_the_shared_one_from_it_alone(self) -> None:
        own = stored(ObjectKind.TOOL, 7, name="clubs", tenant="dallim", addresses=["10.0.0.9:80"])
        view = self.view.with_objects([own])
        self.assertEqual(view.tool("dallim", "clubs").addresses, ("10.0.0.9:80",))
        self.assertEqual(view.tool("other", "clubs").addresses, ("10.0.0.1:80",))
        view = view.with_objects([gone(ObjectKind.TOOL, 8, "dallim/clubs")])
        self.assertEqual(view.tool("dallim", "clubs").addresses, ("10.0.0.1:80",))

    def test_an_older_revision_changes_nothing_and_old_views_stay(self) -> None:
        later = self.view.with_objects([gone(ObjectKind.TENANT, 9, "dallim")])
        self.assertIsNone(later.token(DIGEST))
        again = later.with_objects(BASE)
        self.assertIsNone(again.tenant("dallim"))
        self.assertEqual(again.revision, 9)
        self.assertIsNotNone(self.view.tenant("dallim"))
        self.assertEqual(later.tombstone_count(), 1)

    def test_a_token_moves_with_its_tenants_new_version(self) -> None:
        changed = stored(ObjectKind.TENANT, 7, name="dallim", tokens=[{"digest": "cd" * 32}])
        view = self.view.with_objects([changed])
        self.assertIsNone(view.token(DIGEST))
        self.assertEqual(view.token("cd" * 32).role, TokenRole.CALLER)

    def test_a_token_that_two_tenants_claim_is_good_for_neither(self) -> None:
        thief = stored(ObjectKind.TENANT, 7, name="thief", tokens=[{"digest": DIGEST}])
        view = self.view.with_objects([thief])
        self.assertIsNone(view.token(DIGEST))
        self.assertIsInstance(check_clashes(self.view, view.tenant("thief")), Failure)
        self.assertIsInstance(check_clashes(self.view, self.view.tenant("dallim")), Success)
        view = view.with_objects([gone(ObjectKind.TENANT, 8, "thief")])
        self.assertEqual(view.token(DIGEST).tenant, "dallim")

    def test_objects_that_fail_the_checks_are_left_out_and_listed(self) -> None:
        bad = StoredObject(kind=ObjectKind.TOOL, name="clubs", revision=7, body="{}")
        liar = StoredObject(
            kind=ObjectKind.PROGRAM,
            name="other/bibs",
            revision=8,
            body='{"name":"bibs","tenant":"dallim","model":"m"}',
        )
        view = self.view.with_objects([bad, liar])
        self.assertIsNone(view.tool("dallim", "clubs"))
        self.assertIsNone(view.program("other", "bibs"))
        self.assertEqual([item.revision for item in view.invalid()], [8, 7])
        self.assertEqual(
            view.with_objects([gone(ObjectKind.TOOL, 9, "clubs")]).invalid()[0], view.invalid()[0]
        )

    def test_keys_of_a_later_version_are_left_out(self) -> None:
        later = stored(ObjectKind.TENANT, 7, name="dallim", colour="red", tokens=[])
        self.assertIsNone(self.view.with_objects([later]).token(DIGEST))
        self.assertEqual(self.view.with_objects([later]).tenant("dallim").tokens, ())

    def test_the_order_by_revision_is_kept_through_changes(self) -> None:
        view = self.view
        for revision in range(7, 30):
            view.stored_objects()
            name = f"t{revision % 5}"
            view = view.with_objects([stored(ObjectKind.TENANT, revision, name=name)])
            fresh = ConfigurationView().with_objects(view._objects.values())
            self.assertEqual(view.stored_objects(), fresh.stored_objects())
        self.assertEqual([item.revision for item in view.objects_after(26)], [27, 28, 29])


class PolicyTest(unittest.TestCase):
    def resolve(self, *policies: StoredObject):
        self.view = ConfigurationView().with_objects([*BASE, *policies])
        self.program = self.view.program("dallim", "bibs")
        return self.view.resolve(self.program)

    def test_defaults(self) -> None:
        resolved = self.resolve()
        self.assertEqual((resolved.priority, resolved.worth, resolved.reasons), (0, 1.0, ()))
        self.assertEqual(len(self.view.pools_for(self.program)), 2)

    def test_order_then_name_and_the_platform_last(self) -> None:
        resolved = self.resolve(
            policy(10, "z", order=1, priority=1, worth=2.0),
            policy(11, "b", order=2, priority=2),
            policy(12, "a", order=2, priority=3, deadline_seconds=9.0),
            policy(13, "own", tenant="dallim", order=99, priority=7, budget={"tokens": 5}),
            policy(14, "foreign", tenant="other", priority=8),
            policy(15, "silver", program_selector="tier=silver", worth=9.0),
        )
        self.assertEqual(resolved.priority, 2)
        self.assertEqual((resolved.worth, resolved.deadline_seconds), (2.0, 9.0))
        self.assertEqual(resolved.budget.tokens, 5)
        applied = [(reason.policy, reason.fields) for reason in resolved.reasons]
        expected = [
            ("own", ("budget",)),
            ("z", ("worth",)),
            ("a", ("deadline_seconds",)),
            ("b", ("priority",)),
        ]
        self.assertEqual(applied, expected)
        self.assertEqual(resolved.reasons[0].overridden, ("priority by b",))
        explained = {reason.policy: reason for reason in self.view.explain(self.program)}
        self.assertNotIn("foreign", explained)
        self.assertFalse(explained["silver"].applies)
        self.assertIn("tier=silver", explained["silver"].detail)
        self.assertIn("tier=gold", explained["silver"].detail)

    def test_engine_selectors_add_up(self) -> None:
        resolved = self.resolve(
            policy(10, "west", engine_selector="zone=west"),
            policy(11, "big", engine_selector="size in (big,huge)"),
        )
        self.assertEqual(resolved.engine_selector, ("size in (big,huge)", "zone=west"))
        self.assertEqual([pool.name for pool in self.view.pools_for(self.program)], ["west"])
        narrower = self.view.with_objects([policy(12, "small", engine_selector="size=small")])
        self.assertEqual(narrower.pools_for(self.program), ())
        self.assertIsNot(narrower.resolve(self.program), resolved)

    def test_warnings_for_references_that_lead_nowhere(self) -> None:
        self.resolve(policy(10, "none", engine_selector="zone=north"))
        lost = Program(name="x", tenant="ghost", model="nope", tools=("t",), children=("c",))
        self.assertEqual(len(check_references(self.view, lost)), 4)
        self.assertEqual(len(check_references(self.view, self.program)), 1)
        self.assertEqual(len(check_references(self.view, Policy(name="p"))), 1)
        self.assertEqual(check_references(self.view, Tenant(name="t")), [])


if __name__ == "__main__":
    unittest.main()
