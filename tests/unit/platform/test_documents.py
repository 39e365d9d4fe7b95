from __future__ import annotations

import base64
import json
import tomllib
import unittest
from pathlib import Path

import msgspec
from returns.result import Failure

from yokeline.bearer_tokens import token_digest
from yokeline.effects import Address, HttpResponse
from yokeline.forwarding.model import RouteKind, RoutingTable
from yokeline.forwarding.tenants import Credential
from yokeline.identifiers import RequestId
from yokeline.platform.documents import PlatformDocuments, hash_api_keys
from yokeline.platform.store import KeyValueStore
from yokeline.registry.protocol import (
    FoundItem,
    HistoryLost,
    Page,
    StoredItem,
    StoreRefused,
    WatchEvents,
)
from yokeline.role_settings import RoleSettings

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-hh2b9wu",
            "host": "ficu95.example",
            "path-prefix": "/pufi791/",
            "kind": "streaming",
            "timeout-ms": 3000,
            "target-latency-ms": 200,
            "priority": 0,
            "service": "huvo11a",
            "max-attempts": 1,
            "retain": True,
            "retention-s": 60.0,
            "sticky": True,
            "resumable": True,
            "gap-aim-ms": 300,
        },
        {
            "name": "r-zji9n73",
            "host": "ficu95.example",
            "path-prefix": "/pufi791/deep/",
            "kind": "non_idempotent",
            "timeout-ms": 1500,
            "target-latency-ms": 200,
            "priority": 1,
            "traffic-split": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
            "max-attempts": 1,
        },
    ],
    "services": [
        {
            "name": "huvo11a",
            "health-path": "/health",
            "max-conns": 180,
            "engine": {"slots": 16, "kv-tokens": 568127, "stride": 23, "most": 12},
        },
        {"name": "wuno96b", "health-path": "/health", "max-conns": 110},
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}


class Documents(unittest.TestCase):
    def test_a_configuration_becomes_routes_and_pools(self) -> None:
        value = json.dumps(CONFIGURATION).encode()
        table = PlatformDocuments().read_routing(value).unwrap()
        self.assertEqual(table.version, 7)
        self.assertEqual(table.limits.idle_seconds, 15.0)
        first, second = table.routes
        self.assertEqual(
            (first.kind, first.timeout, first.retain), (RouteKind.STREAMING, 3.0, True)
        )
        self.assertEqual([part.weight for part in second.pools], [90, 10])
        traits = table.pools["huvo11a"].model
        assert traits is not None
        self.assertEqual((traits.slots, traits.tokens_per_event), (16, 23))
        self.assertIsNone(table.pools["wuno96b"].model)

    def test_the_longest_prefix_of_the_host_wins(self) -> None:
        value = json.dumps(CONFIGURATION).encode()
        table = PlatformDocuments().read_routing(value).unwrap()
        deep = table.find("ficu95.example", "/pufi791/deep/x")
        flat = table.find("ficu95.example", "/pufi791/other")
        assert deep is not None
        assert flat is not None
        self.assertEqual((deep.name, flat.name), ("r-zji9n73", "r-hh2b9wu"))
        self.assertIsNone(table.find("other.example", "/pufi791/x"))
        self.assertIsNone(table.find("ficu95.example", "/pufi79"))

    def test_the_error_of_an_invalid_document_names_its_key(self) -> None:
        read = PlatformDocuments().read_routing(b'{"version": "x"}')
        assert isinstance(read, Failure)
        self.assertIn("op/config", read.failure().message)

    def test_an_engine_entry_is_decoded(self) -> None:
        value = (
            b'{"service":"huvo11a","address":"10.128.0.9:8080","zone":"hall-a","version":"v1",'
            b'"slots":16,"state":"draining","cold-left-ms":0,"stage":"both","sequence":4}'
        )
        engine = PlatformDocuments().read_engine("servers/i-7f3a91c2", value).unwrap()
        self.assertEqual(engine.engine_id, "i-7f3a91c2")
        self.assertEqual(engine.address, Address("10.128.0.9", 8080))
        self.assertTrue(engine.draining)

    def test_a_retire_order_is_decoded_and_its_status_encoded(self) -> None:
        documents = PlatformDocuments()
        order = documents.read_retire_order("op/retire/storage-a-1", b'{"duration-s":10}')
        self.assertEqual((order.unwrap().node, order.unwrap().seconds), ("storage-a-1", 10))
        key, value = documents.retire_status("storage-a-1", completed=True)
        self.assertEqual(key, "status/retire/storage-a-1")
        self.assertEqual(json.loads(value), {"state": "completed"})


TENANTS = [
    {
        "name": "hule930",
        "api-keys": ["jvz48wuakn2ftimaj3nr", "26tta828m82thhkmgjqn"],
        "priority": 1,
        "rate-per-s": 163,
        "burst": 160,
    }
]


class Tenants(unittest.TestCase):
    def read(self, document: dict[str, object]) -> RoutingTable:
        value = hash_api_keys(json.dumps(document).encode())
        return PlatformDocuments().read_routing(value).unwrap()

    def test_an_api_key_is_stored_as_a_digest_that_finds_its_tenant(self) -> None:
        document = {**CONFIGURATION, "tenants": TENANTS}
        value = hash_api_keys(json.dumps(document).encode())
        self.assertNotIn(b"jvz48", value)
        self.assertNotIn(b"26tta", value)
        table = PlatformDocuments().read_routing(value).unwrap()
        assert table.tenants is not None
        for key in TENANTS[0]["api-keys"]:  # type: ignore[attr-defined]
            tenant = table.tenants.find(Credential(token_digest(key)))
            assert tenant is not None
            self.assertEqual((tenant.name, tenant.priority), ("hule930", 1))
            self.assertEqual((tenant.rate, tenant.burst), (163, 160))
        self.assertIsNone(table.tenants.find(Credential(token_digest("other"))))
        self.assertIsNone(table.tenants.find(None))

    def test_hashing_keys_is_idempotent(self) -> None:
        value = hash_api_keys(json.dumps({**CONFIGURATION, "tenants": TENANTS}).encode())
        self.assertEqual(hash_api_keys(value), value)

    def test_a_configuration_without_tenants_needs_no_keys(self) -> None:
        self.assertIsNone(self.read(CONFIGURATION).tenants)
        self.assertIsNone(self.read({**CONFIGURATION, "tenants": []}).tenants)

    def test_an_invalid_configuration_exposes_no_keys(self) -> None:
        for value in (b'{"tenants": [1], "k": "key"}', b"key", b'[{"api-keys": ["key"]}]'):
            self.assertNotIn(b"key", hash_api_keys(value))

    def test_a_public_route_is_decoded(self) -> None:
        routes = [{**CONFIGURATION["routes"][0], "public": True}]  # type: ignore[index]
        self.assertTrue(self.read({**CONFIGURATION, "routes": routes}).routes[0].public)


class StoreRequests(unittest.TestCase):
    def setUp(self) -> None:
        self.store = KeyValueStore(Address("10.200.1.7", 8142))

    def answer(self, status: int, body: object) -> object:
        raw = json.dumps(body).encode()
        return self.store.read_answer(HttpResponse(request=RequestId("r"), status=status, body=raw))

    def test_requests_follow_the_protocol(self) -> None:
        stale = self.store.list_call(RequestId("r"), "my/", "", may_lag=True)
        self.assertEqual(stale.target, "/-/kv-range?path-prefix=my/&stale=1")
        listing = self.store.list_call(RequestId("r"), "servers/", "servers/i-1", may_lag=False)
        self.assertEqual(listing.target, "/-/kv-range?path-prefix=servers/&after=servers/i-1")
        watch = self.store.watch_call(RequestId("r"), "my/", 411, 20.0)
        self.assertEqual(watch.target, "/-/kv-watch?path-prefix=my/&after=411&wait-ms=20000")
        self.assertGreater(watch.timeout, 20.0)
        write = self.store.write_call(RequestId("r"), "my/leader", b"node-1", 0)
        self.assertEqual((write.method, write.path), ("POST", "/-/kv-txn"))
        self.assertEqual(
            json.loads(write.body),
            {
                "expected-rev": [{"private-key": "my/leader", "rev": 0}],
                "put": [{"private-key": "my/leader", "value": "bm9kZS0x", "lease": 0}],
            },
        )

    def test_a_single_item_is_read_linearizably(self) -> None:
        call = self.store.read_call(RequestId("r"), "op/config")
        self.assertEqual(call.target, "/-/kv-key?private-key=op/config")
        item = {"private-key": "my/leader", "value": "bm9kZS0x", "rev": 412, "at": 530}
        self.assertEqual(self.answer(200, item), FoundItem(StoredItem("my/leader", b"node-1", 412)))
        self.assertEqual(self.answer(404, {}), StoreRefused(404, ()))

    def test_decoded_items_contain_no_api_key(self) -> None:
        raw = json.dumps({**CONFIGURATION, "tenants": TENANTS}).encode()
        item = {"private-key": "op/config", "value": base64.b64encode(raw).decode(), "rev": 7}
        for body in (item, {"items": [item], "at": 8}, {"events": [item], "at": 8}):
            self.assertNotIn("jvz48", str(self.answer(200, body)))

    def test_responses_are_decoded_by_type(self) -> None:
        item = {"private-key": "my/leader", "value": "bm9kZS0x", "rev": 412, "made": 412}
        page = self.answer(200, {"items": [item], "more": False, "at": 530})
        self.assertEqual(page, Page((StoredItem("my/leader", b"node-1", 412),), False, 530))
        gone = {"private-key": "my/old", "rev": 413, "gone": True}
        events = self.answer(200, {"events": [gone], "at": 413})
        self.assertEqual(events, WatchEvents((StoredItem("my/old", None, 413),), 413))
        self.assertEqual(self.answer(410, {}), HistoryLost())
        self.assertEqual(self.answer(429, {}), StoreRefused(429, ()))
        self.assertEqual(self.answer(200, {"strange": 1}), StoreRefused(200, ()))


class SettingsTemplate(unittest.TestCase):
    def test_the_template_names_only_fields_of_the_settings(self) -> None:
        text = (Path(__file__).parents[3] / "deploy" / "node.toml").read_text()
        names = {
            line.split(" = ")[0].split("}}")[-1] for line in text.splitlines() if " = " in line
        }
        known = {field.encode_name for field in msgspec.structs.fields(RoleSettings)}
        self.assertLessEqual(names, known)

    def test_the_deploy_file_has_both_roles(self) -> None:
        text = (Path(__file__).parents[3] / "deploy" / "system.toml").read_text()
        roles = tomllib.loads(text)["roles"]
        self.assertEqual({role["serves"][0] for role in roles.values()}, {"edge", "storage"})
