"""A version that may have begun a stream which can be resumed is among the recorded ones."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from yokeline.ledger.operations import PoolVersion
from yokeline.ledger.version_records import MAX_POOLS, MAX_VERSIONS_PER_POOL, VersionRecords

VERSIONS = ("v1", "v2", "v3")
ABSENT_SECONDS = 10.0
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("record", "delete")),
        st.sampled_from(VERSIONS),
        st.floats(0.0, 15.0),
        st.floats(0.0, 3.0),
    ),
    max_size=30,
)


class Records(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(EVENTS)
    def test_a_version_is_deleted_only_if_it_was_not_recorded_while_it_was_absent(
        self, events: list[tuple[str, str, float, float]]
    ) -> None:
        records, time = VersionRecords(), 100.0
        recorded: dict[str, float] = {}
        for kind, version, pause, _ in events:
            time += pause
            if kind == "record":
                records.transition_record([PoolVersion("p", version)], time)
                recorded[version] = time
                continue
            records.transition_record([PoolVersion("p", version, ABSENT_SECONDS)], time)
            if recorded.get(version, time) <= time - ABSENT_SECONDS:
                del recorded[version]
            self.assertEqual(records.of_pool("p"), tuple(sorted(recorded)))
        self.assertEqual(records.of_pool("p"), tuple(sorted(recorded)))
        self.assertEqual(records.of_pool("q"), ())

    def test_records_are_bounded(self) -> None:
        records = VersionRecords()
        for number in range(MAX_VERSIONS_PER_POOL + 5):
            records.transition_record([PoolVersion("p", f"v{number}")], float(number))
        self.assertEqual(len(records.of_pool("p")), MAX_VERSIONS_PER_POOL)
        self.assertNotIn("v0", records.of_pool("p"))
        for number in range(MAX_POOLS + 5):
            records.transition_record([PoolVersion(f"p{number}", "v")], 1.0)
        self.assertEqual(len(records.pools), MAX_POOLS)


if __name__ == "__main__":
    unittest.main()
