import random
import unittest

from yokeline.effects import HttpFailed, HttpRequest, HttpResponse
from yokeline.identifiers import NodeName, new_replica_id
from yokeline.membership.machine_list import MachineListReader
from yokeline.server.context import NodeContext
from yokeline.settings import NodeSection, PlatformSection, Settings

GOOD = b"""[{"targets": ["10.0.0.1:80", "10.0.0.2:80"], "labels": {"zone": "a"}},
{"targets": ["10.0.0.3:80"], "labels": {"yokeline_state": "leaving"}}]"""


class MachineListTest(unittest.TestCase):
    def setUp(self) -> None:
        name = NodeName("node")
        self.context = NodeContext(
            name=name,
            replica=new_replica_id(name, random.Random(1)),
            zone="zone",
            source=random.Random(1),
            wall_offset=0.0,
        )
        settings = Settings(
            node=NodeSection(name=name),
            platform=PlatformSection(machine_list="10.0.0.9:90"),
        )
        self.reader = MachineListReader(self.context, settings)

    def read(self, status: int, body: bytes) -> None:
        self.context.now += 10.0
        self.reader.tick()
        (request,) = self.context.take_outbox()
        assert isinstance(request, HttpRequest)
        answer = HttpResponse(request=request.request, status=status, body=body)
        self.context.dispatch_http(answer)

    def test_the_last_good_answer_outlives_failures_and_garbage(self) -> None:
        changes = []
        self.reader.on_change.append(lambda: changes.append(1))
        self.read(200, GOOD)
        self.assertEqual(self.reader.leaving(), {"10.0.0.3:80"})
        self.assertEqual(self.reader.machines()[0].labels, {"zone": "a"})
        for body in (b"", b"[1]", b"{}", b'[{"targets":"x"}]', b"\xff\x00"):
            self.read(200, body)
        self.read(500, GOOD)
        self.assertEqual(len(self.reader.machines()), 3)
        self.assertEqual(self.reader.age(), 60.0)
        self.assertEqual(len(changes), 1)

    def test_it_reads_again_after_a_failure(self) -> None:
        self.reader.tick()
        (request,) = self.context.take_outbox()
        assert isinstance(request, HttpRequest)
        self.assertIsNone(self.reader.next_deadline())
        failed = HttpFailed(request=request.request, sent=True, reason="timeout")
        self.context.dispatch_http(failed)
        self.read(200, GOOD)
        self.assertEqual(len(self.reader.machines()), 3)
