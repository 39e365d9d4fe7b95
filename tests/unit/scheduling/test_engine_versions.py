"""Which versions a pool has had of late, and which engines a begun stream may use."""

from __future__ import annotations

import unittest

from yokeline.scheduling.eligibility import EngineQuery, Ineligibility
from yokeline.scheduling.engine_versions import (
    VERSION_MEMORY_SECONDS,
    PoolVersions,
    VersionRestriction,
)

NOW = 100.0


class VersionsOfAPool(unittest.TestCase):
    def setUp(self) -> None:
        self.versions = PoolVersions(NOW)

    def test_a_pool_without_engines_has_no_sole_version(self) -> None:
        self.assertIsNone(self.versions.sole)
        self.assertFalse(self.versions.are_several)

    def test_a_version_counts_for_a_while_after_its_last_engine_has_left(self) -> None:
        self.versions.observe({"v1"}, NOW)
        self.assertEqual(self.versions.sole, "v1")
        self.versions.observe({"v2"}, NOW + 1)
        self.assertTrue(self.versions.are_several)
        self.versions.observe({"v2"}, NOW + 0.9 + VERSION_MEMORY_SECONDS)
        self.assertIsNone(self.versions.sole)
        self.versions.observe({"v2"}, NOW + 1 + VERSION_MEMORY_SECONDS)
        self.assertEqual(self.versions.sole, "v2")

    def test_a_version_that_returns_is_present_again(self) -> None:
        for present, at in (({"v1"}, 0), ({"v2"}, 1), ({"v1"}, 2)):
            self.versions.observe(present, NOW + at)
        self.versions.observe({"v1"}, NOW + 2 + VERSION_MEMORY_SECONDS)
        self.assertEqual(self.versions.sole, "v1")

    def test_a_view_is_settled_once_it_is_as_old_as_the_memory(self) -> None:
        self.assertFalse(self.versions.is_settled(NOW + VERSION_MEMORY_SECONDS - 0.1))
        self.assertTrue(self.versions.is_settled(NOW + VERSION_MEMORY_SECONDS))


class Engines(unittest.TestCase):
    def test_a_begun_stream_uses_engines_of_its_version_only(self) -> None:
        restriction = VersionRestriction()
        for allowed, expected in (
            (None, None),
            (frozenset({"v1"}), None),
            (frozenset({"v2"}), Ineligibility.OTHER_VERSION),
            (frozenset(), Ineligibility.OTHER_VERSION),
        ):
            query = EngineQuery(engine_id="e", zone="a", version="v1", allowed_versions=allowed)
            self.assertIs(restriction.check(query, NOW), expected)
        self.assertFalse(Ineligibility.OTHER_VERSION.is_temporary)
