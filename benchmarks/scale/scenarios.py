"""The measurements on hollow nodes; each prints one table and the slopes it gives."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from benchmarks.scale.changes import ChangeWriter
from benchmarks.scale.hollow import BALANCED_SECONDS, HollowCluster, Window
from benchmarks.scale.load import LoadGenerator, RequestMaker, agent, long_input, posting
from benchmarks.scale.tables import print_slope, print_table
from yokeline.settings import Settings

IDLE_SECONDS = 20.0
LOAD_WARM_UP_SECONDS = 8.0
LOAD_SECONDS = 12.0
LOAD_SHARDS = 16
LOAD_ENGINES = 8
REPEATS = 3
"""Runs of each point; the one with the median processor time counts."""
MICROSECONDS = 1e6
PERCENT = 100.0
PACKET_HEADER_BYTES = 52
"""TCP and IPv4 headers with the timestamp option; 28 for a datagram."""
DATAGRAM_HEADER_BYTES = 28
_HTTP_KINDS = "http"


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """A load and what its slope is over.

    Attributes:
        unit: Value of the varied quantity (tools of a run, words of an answer).
    """

    name: str
    unit: float
    rate: float
    make: RequestMaker


class Measured(msgspec.Struct, frozen=True, kw_only=True):
    """What requests cost.

    Attributes:
        commands: Commands committed per request.
    """

    load: Load
    requests: int
    commands: float
    window: Window
    outcomes: str


def idle_by_nodes(counts: Sequence[int], shards: int) -> None:
    """Measure idle nodes at several numbers of nodes with a fixed number of shards."""
    windows = [_idle(nodes, shards) for nodes in counts]
    rows = [f"{nodes} nodes" for nodes in counts]
    _print_control(f"idle, {shards} shards, by nodes", rows, windows)
    print_slope("heartbeats a second and node, per node", _points(counts, windows, "Heartbeat"))
    print_slope("datagrams a second and node, per node", _points(counts, windows, "datagrams"))
    for role in ("heartbeat", "membership", "timers"):
        points = [
            (float(count), window.mean_cpu().get(role, 0.0) * PERCENT)
            for count, window in zip(counts, windows, strict=True)
        ]
        print_slope(f"{role}: % of a core per node in the cluster", points)


def idle_by_shards(nodes: int, counts: Sequence[int]) -> None:
    """Measure idle nodes at several numbers of shards."""
    windows = [_idle(nodes, shards) for shards in counts]
    rows = [f"{shards} shards" for shards in counts]
    _print_control(f"idle, {nodes} nodes, by shards", rows, windows)
    replicas = [shards * 5 / nodes for shards in counts]
    for role in ("raft", "heartbeat", "timers", "codec"):
        points = [
            (held, window.mean_cpu().get(role, 0.0) * PERCENT)
            for held, window in zip(replicas, windows, strict=True)
        ]
        print_slope(f"{role}: % of a core per replica held", points)
    parts = [
        (held, window.total_traffic()["RaftBatch"].parts / nodes / window.seconds)
        for held, window in zip(replicas, windows, strict=True)
    ]
    print_slope("Raft messages sent a second and node, per replica held", parts)


def idle_by_period(nodes: int, shards: int, periods: Sequence[float]) -> None:
    """Measure idle nodes at several heartbeat periods."""

    def with_period(seconds: float) -> Callable[[Settings], Settings]:
        def adjust(settings: Settings) -> Settings:
            consensus = msgspec.structs.replace(settings.consensus, heartbeat_seconds=seconds)
            return msgspec.structs.replace(settings, consensus=consensus)

        return adjust

    windows = [_idle(nodes, shards, adjust=with_period(period)) for period in periods]
    rows = [f"heartbeat {period:g} s" for period in periods]
    _print_control(f"idle, {nodes} nodes, {shards} shards, by heartbeat period", rows, windows)


def engines(nodes: int, counts: Sequence[int]) -> None:
    """Measure idle nodes at several numbers of engines."""
    windows = [_idle(nodes, LOAD_SHARDS, engines=count) for count in counts]
    rows = [f"{count} engines" for count in counts]
    _print_control(f"idle, {nodes} nodes, by engines", rows, windows)
    for role in ("engines", "timers"):
        points = [
            (float(count), window.mean_cpu().get(role, 0.0) * PERCENT)
            for count, window in zip(counts, windows, strict=True)
        ]
        print_slope(f"{role}: % of a core per engine", points)
    points = [
        (float(count), window.total_traffic()["http to engines"].count / nodes / window.seconds)
        for count, window in zip(counts, windows, strict=True)
    ]
    print_slope("load readings a second and node, per engine", points)


def requests(nodes: int) -> None:
    """Measure what a request, a call and a command cost."""
    loads = [
        Load(name="one app call", unit=1, rate=60.0, make=posting),
        Load(name="1 model call", unit=0, rate=20.0, make=agent(0, 40)),
        Load(name="3 model, 2 tool calls", unit=2, rate=10.0, make=agent(2, 40)),
        Load(name="5 model, 4 tool calls", unit=4, rate=6.0, make=agent(4, 40)),
        Load(name="9 model, 8 tool calls", unit=8, rate=3.0, make=agent(8, 40)),
    ]
    measured = [_under_load(nodes, load) for load in loads]
    _print_loads(f"requests, {nodes} nodes, {LOAD_SHARDS} shards", measured)
    agents = measured[1:]
    for role in ("gateway", "router"):
        print_slope(f"{role}: us per further tool turn", _by_unit(agents, role))
    for role in ("executor", "raft", "codec", "timers", "other"):
        print_slope(f"{role}: us per tool turn (2 calls, 4 commands)", _by_unit(agents, role))
    messages = [(one.commands, _per_request(one, "RaftBatch").count) for one in measured]
    print_slope("Raft batches sent per command", messages)
    parts = [(one.commands, _per_request(one, "RaftBatch").bytes) for one in measured]
    print_slope("Raft bytes sent per command", parts)
    raft = [
        (one.commands, one.window.total_cpu()["raft"] / one.requests * MICROSECONDS)
        for one in measured
    ]
    print_slope("raft: us per command, all replicas", raft)


def streams(nodes: int) -> None:
    """Measure what a streamed token costs, by the length of the answer."""
    loads = [
        Load(name=f"{words} words", unit=words, rate=4.0, make=agent(0, words, streamed=True))
        for words in (50, 200, 400)
    ]
    measured = [_under_load(nodes, load) for load in loads]
    _print_loads(f"streamed answers, {nodes} nodes", measured)
    for role in ("executor", "router", "gateway", "codec", "timers", "other", "raft"):
        print_slope(f"{role}: us per word", _by_unit(measured, role))
    for kind in ("RunEvents", "http stream pieces"):
        counts = [(one.load.unit, _per_request(one, kind).count) for one in measured]
        print_slope(f"{kind} per word", counts)


def history(nodes: int) -> None:
    """Measure what a model call costs by the length of the run's history."""
    loads = [
        Load(name=f"{words} words of history", unit=words, rate=4.0, make=long_input(words))
        for words in (100, 5_000, 20_000)
    ]
    measured = [_under_load(nodes, load) for load in loads]
    _print_loads(f"model calls by history, {nodes} nodes", measured)
    for role in ("executor", "router", "gateway", "codec", "raft"):
        print_slope(f"{role}: us per word of history", _by_unit(measured, role))


def changes(counts: Sequence[int], rate: float) -> None:
    """Measure what a change of configuration costs, by the number of nodes."""
    rows = []
    points = []
    for nodes in counts:
        cluster = HollowCluster(nodes=nodes, shards=LOAD_SHARDS)
        cluster.start()
        quiet = cluster.measure(IDLE_SECONDS)
        writer = ChangeWriter(cluster)
        writer.start(rate, IDLE_SECONDS)
        window = cluster.measure(IDLE_SECONDS + 2.0)
        written = writer.outcomes[200] + writer.outcomes[201]
        rows.append(_change_row(nodes, quiet, window, written, writer))
        used = _configuration_seconds(window) - _configuration_seconds(quiet)
        points.append((float(nodes), used / written * MICROSECONDS))
    head: tuple[str, ...] = ("nodes", "written", "others", "us a change, all nodes")
    head += (
        "us a change and node",
        "deltas a change",
        "delta bytes a change",
        "max us a change at one node",
    )
    print_table(f"changes of configuration, {rate:g} a second", head, rows)
    print_slope("us a change over all nodes, per node", points)


def _change_row(
    nodes: int, quiet: Window, window: Window, written: int, writer: ChangeWriter
) -> tuple[str, ...]:
    used = _configuration_seconds(window) - _configuration_seconds(quiet)
    most = max(table.get("configuration", 0.0) for table in window.cpu)
    delta = window.total_traffic()["ConfigurationDelta"]
    return (
        str(nodes),
        str(written),
        str(sum(writer.outcomes.values()) - written),
        f"{used / written * MICROSECONDS:.0f}",
        f"{used / written / nodes * MICROSECONDS:.1f}",
        f"{delta.count / written:.1f}",
        f"{delta.bytes / written:.0f}",
        f"{most / written * MICROSECONDS:.0f}",
    )


def _configuration_seconds(window: Window) -> float:
    return window.total_cpu().get("configuration", 0.0)


# ---------------------------------------------------------------- helpers


def _idle(
    nodes: int,
    shards: int,
    *,
    engines: int = 2,
    adjust: Callable[[Settings], Settings] | None = None,
) -> Window:
    windows = []
    for _ in range(REPEATS):
        cluster = HollowCluster(nodes=nodes, shards=shards, engines=engines, adjust=adjust)
        cluster.start(BALANCED_SECONDS)
        windows.append(cluster.measure(IDLE_SECONDS))
    return sorted(windows, key=Window.total_seconds)[REPEATS // 2]


def _under_load(nodes: int, load: Load) -> Measured:
    measured = [_one_load(nodes, load) for _ in range(REPEATS)]
    measured.sort(key=lambda one: one.window.total_seconds() / one.requests)
    return measured[REPEATS // 2]


def _one_load(nodes: int, load: Load) -> Measured:
    cluster = HollowCluster(nodes=nodes, shards=LOAD_SHARDS, engines=LOAD_ENGINES)
    cluster.start()
    generator = LoadGenerator(cluster, load.make)
    generator.start(load.rate, LOAD_WARM_UP_SECONDS + LOAD_SECONDS + 1.0)
    cluster.run(LOAD_WARM_UP_SECONDS)
    ended = sum(generator.outcomes.values())
    applied = cluster.commands_applied()
    window = cluster.measure(LOAD_SECONDS)
    count = sum(generator.outcomes.values()) - ended
    return Measured(
        load=load,
        requests=count,
        commands=(cluster.commands_applied() - applied) / count,
        window=window,
        outcomes=str(dict(sorted(generator.outcomes.items()))),
    )


def _per_request(measured: Measured, kind: str) -> _Mean:
    row = measured.window.total_traffic().get(kind)
    if row is None:
        return _Mean(0.0, 0.0)
    return _Mean(row.count / measured.requests, row.bytes / measured.requests)


class _Mean(msgspec.Struct, frozen=True):
    count: float
    bytes: float


def _by_unit(measured: Sequence[Measured], role: str) -> list[tuple[float, float]]:
    return [
        (one.load.unit, one.window.total_cpu().get(role, 0.0) / one.requests * MICROSECONDS)
        for one in measured
    ]


def _points(
    counts: Sequence[int], windows: Sequence[Window], kind: str
) -> list[tuple[float, float]]:
    return [
        (float(count), window.total_traffic()[kind].count / window.nodes / window.seconds)
        for count, window in zip(counts, windows, strict=True)
    ]


def _print_control(title: str, names: Sequence[str], windows: Sequence[Window]) -> None:
    roles = sorted({role for window in windows for role in window.mean_cpu()})
    rows = []
    for name, window in zip(names, windows, strict=True):
        cpu = window.mean_cpu()
        cells = [f"{cpu.get(role, 0.0) * PERCENT:.3f}" for role in roles]
        rows.append((name, *cells, f"{sum(cpu.values()) * PERCENT:.2f}"))
    print_table(f"{title}: % of a core and node", ("", *roles, "sum"), rows)
    kinds = sorted({kind for window in windows for kind in window.total_traffic()})
    rows = []
    for name, window in zip(names, windows, strict=True):
        traffic = window.total_traffic()
        share = window.nodes * window.seconds
        cells = [
            f"{traffic[kind].count / share:.2f} / {traffic[kind].bytes / share:.0f}"
            if kind in traffic
            else "-"
            for kind in kinds
        ]
        rows.append((name, *cells, f"{_bytes_with_headers(window):.0f}"))
    head = ("", *kinds, "B/s with headers")
    print_table(f"{title}: messages / payload bytes sent, a second and node", head, rows)


def _bytes_with_headers(window: Window) -> float:
    """Return bytes sent a second and node between nodes, with a header for each message."""
    total = 0.0
    for kind, row in window.total_traffic().items():
        if kind.startswith(_HTTP_KINDS):
            continue
        header = DATAGRAM_HEADER_BYTES if kind == "datagrams" else PACKET_HEADER_BYTES
        total += row.bytes + row.count * header
    return total / window.nodes / window.seconds


def _print_loads(title: str, measured: Sequence[Measured]) -> None:
    roles = sorted({role for one in measured for role in one.window.total_cpu()})
    rows = []
    for one in measured:
        cpu = one.window.total_cpu()
        cells = [f"{cpu.get(role, 0.0) / one.requests * MICROSECONDS:.0f}" for role in roles]
        total = sum(cpu.values()) / one.requests * MICROSECONDS
        name = (one.load.name, str(one.requests), f"{one.commands:.1f}")
        rows.append((*name, *cells, f"{total:.0f}", one.outcomes))
    head = ("load", "requests", "commands", *roles, "sum", "statuses")
    print_table(f"{title}: us of processor time per request, all nodes", head, rows)
    kinds = sorted({kind for one in measured for kind in one.window.total_traffic()})
    rows = [
        (
            one.load.name,
            *(
                f"{_per_request(one, kind).count:.2f} / {_per_request(one, kind).bytes:.0f}"
                for kind in kinds
            ),
        )
        for one in measured
    ]
    print_table(f"{title}: messages / payload bytes per request", ("load", *kinds), rows)
