import random
import unittest

from yokeline.simulation.faults import (
    DEFAULT_FAULTS,
    MEMORY_LOSING,
    NODE_FAULTS,
    REPAIR_SECONDS,
    FaultKind,
    make_schedule,
    parse_faults,
)


class FaultsTest(unittest.TestCase):
    def test_names(self) -> None:
        self.assertEqual(parse_faults(""), DEFAULT_FAULTS)
        self.assertEqual(parse_faults("none"), ())
        self.assertEqual(parse_faults("crash, cut"), (FaultKind.CRASH, FaultKind.CUT))
        with self.assertRaisesRegex(ValueError, "store_down"):
            parse_faults("crash,earthquake")

    def test_schedules_depend_on_the_seed_and_keep_their_distances(self) -> None:
        seen: set[FaultKind] = set()
        for seed in range(200):
            events = make_schedule(DEFAULT_FAULTS, 2.0, 32.0, random.Random(seed))
            again = make_schedule(DEFAULT_FAULTS, 2.0, 32.0, random.Random(seed))
            self.assertEqual(events, again)
            seen.update(event.kind for event in events)
            losing = [event for event in events if event.kind in MEMORY_LOSING]
            for first, second in zip(losing, losing[1:], strict=False):
                self.assertGreaterEqual(second.at, first.at + first.seconds + REPAIR_SECONDS)
            stops = [event for event in events if event.kind is FaultKind.DRAIN]
            for stop in stops:
                for event in events:
                    if event.kind in NODE_FAULTS:
                        apart = event.at >= stop.at + stop.seconds
                        before = event.at + event.seconds <= stop.at
                        self.assertTrue(apart or before)
            self.assertTrue(all(event.at + event.seconds <= 32.0 for event in events))
        self.assertEqual(seen, set(FaultKind))
