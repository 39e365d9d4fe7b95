"""Distances between places, and the measured times to other regions."""

from __future__ import annotations

import unittest
from unittest.mock import Mock, patch

from yokeline.scheduling.topology import (
    MEASUREMENT_SECONDS,
    UNMEASURED_ROUND_TRIP_SECONDS,
    Distance,
    Topology,
)

REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south", "west-a": "west"}


class Distances(unittest.TestCase):
    def test_the_distance_follows_zone_and_region(self) -> None:
        topology = Topology("north-a", REGIONS)
        self.assertTrue(topology.has_regions)
        self.assertIs(topology.distance("north-a"), Distance.SAME_ZONE)
        self.assertIs(topology.distance("north-b"), Distance.SAME_REGION)
        self.assertIs(topology.distance("south-a"), Distance.OTHER_REGION)

    def test_a_zone_of_an_unknown_region_is_far_only_if_there_are_several_regions(self) -> None:
        self.assertIs(Topology("north-a", REGIONS).distance("new"), Distance.OTHER_REGION)
        for regions in ({}, {"a": "north", "b": "north"}):
            topology = Topology("a", regions)
            self.assertFalse(topology.has_regions)
            self.assertIs(topology.distance("b"), Distance.SAME_REGION)

    def test_the_zones_are_not_scanned_for_each_distance(self) -> None:
        """A choice of an engine asks for the distance to each engine."""
        topology = Topology("north-a", REGIONS)
        with patch.object(topology, "_regions", Mock(get=REGIONS.get)) as regions:
            topology.distance("south-a")
            self.assertTrue(topology.has_regions)
            regions.values.assert_not_called()


class RoundTrips(unittest.TestCase):
    def setUp(self) -> None:
        self.topology = Topology("north-a", REGIONS)

    def test_the_fastest_connection_counts_since_others_waited_at_the_engine(self) -> None:
        for seconds in (0.09, 0.026, 0.2):
            self.topology.record_connect("south-a", seconds, 1.0)
        self.assertEqual(self.topology.round_trip("south-a", 1.0), 0.026)
        self.assertEqual(self.topology.round_trip("west-a", 1.0), UNMEASURED_ROUND_TRIP_SECONDS)

    def test_a_route_that_became_slower_is_known_after_two_periods(self) -> None:
        self.topology.record_connect("south-a", 0.026, 1.0)
        for period in (1, 2):
            self.topology.record_connect("south-a", 0.08, 1.0 + period * MEASUREMENT_SECONDS)
        now = 1.0 + 2 * MEASUREMENT_SECONDS
        self.assertEqual(self.topology.round_trip("south-a", now), 0.08)

    def test_a_measurement_is_kept_until_there_is_a_newer_one(self) -> None:
        self.topology.record_connect("south-a", 0.026, 1.0)
        self.assertEqual(self.topology.round_trip("south-a", 100.0), 0.026)

    def test_connections_within_the_region_are_not_measured(self) -> None:
        self.topology.record_connect("north-b", 0.001, 1.0)
        self.assertEqual(self.topology.round_trip("north-b", 1.0), UNMEASURED_ROUND_TRIP_SECONDS)
