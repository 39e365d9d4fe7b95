"""What a turn costs while engines of one and of two software versions serve, with real processes.

``python -m benchmarks.stream_versions`` prints for each the ledger operations of a turn, the time
to its first event, and once the bytes of the messages that record a stream.
"""

from __future__ import annotations

import re
import statistics

from tests.processes.platform.deployment import Deployment
from tests.processes.platform.streams import CallerStream

from yokeline.effects import Address
from yokeline.identifiers import ReplicaId
from yokeline.ledger.codec import LedgerCodec, encode_command
from yokeline.ledger.messages import LedgerReply, LedgerRequest
from yokeline.ledger.operations import Granted, Reserve
from yokeline.ledger.state import LedgerCommand

ENGINES = 4
TURNS = 200
WARM_UP_TURNS = 20
MS = 1000.0
_ANSWERS = re.compile(r"^yokeline_ledger_answer_seconds_count (\S+)", re.MULTILINE)


def answers(deployment: Deployment) -> float:
    """Return how many operations the ledger has answered to the first forwarding node."""
    found = _ANSWERS.search(deployment.metrics(0))
    return float(found[1]) if found else 0.0


def measure(versions: tuple[str, ...]) -> str:
    """Play turns one after the other, each to its first event; return a row of the table."""
    with Deployment(models=ENGINES, versions=versions) as deployment:
        seconds: list[float] = []
        before = 0.0
        for number in range(WARM_UP_TURNS + TURNS):
            if number == WARM_UP_TURNS:
                seconds.clear()
                before = answers(deployment)
            stream = CallerStream(f"t{number}", "/turn/x", f"p{number}")
            seconds.append(stream.begin(deployment, 0).seconds)
        operations = (answers(deployment) - before) / TURNS
    ranked = sorted(seconds)
    return (
        f"{len(versions)} version(s): {operations:.2f} ledger operations a turn, first event after"
        f" {statistics.median(ranked) * MS:.1f} ms (median), {ranked[-TURNS // 20] * MS:.1f} ms"
        " (95 in 100)"
    )


def message_bytes() -> str:
    """Return the bytes of a reservation, and of the messages that record a stream."""
    from yokeline.ledger.operations import StreamVersion

    codec, node = LedgerCodec(), ReplicaId("edge-hall-a-1~0123456789abcdef")
    asker = Address("10.1.0.38", 7380)
    record = Reserve(
        request_id=f"{node}/streams/1234",
        streams=(StreamVersion("8e5ae2a8ca842e62", "v1.2", 3.0),),
    )
    reserve = Reserve(request_id="8e5ae2a8ca842e62", program="3fa81c", session="77d20b")

    def size(operation: Reserve) -> int:
        request = LedgerRequest(number=1234, asker=asker, operations=(operation,))
        return len(codec.encode_peer(node, node, request))

    reply = len(codec.encode_peer(node, node, LedgerReply(number=1234, results=(Granted(),))))
    entry = len(encode_command(LedgerCommand(time=1e9, operations=(record,))))
    return (
        f"reservation {size(reserve)} bytes; record of a stream: request {size(record)}, answer"
        f" {reply}, log entry {entry} to each follower"
    )


def main() -> None:
    """Print the table."""
    for versions in (("v1",), ("v1", "v2")):
        print(measure(versions), flush=True)
    print(message_bytes())


if __name__ == "__main__":
    main()
