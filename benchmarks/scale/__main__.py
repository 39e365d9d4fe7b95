"""The scale run: ``python -m benchmarks.scale COMMAND``; see docs/CAPACITY.md."""

from __future__ import annotations

import sys

import defopt

from benchmarks.scale import memory as memory_scenarios
from benchmarks.scale import real as real_processes
from benchmarks.scale import scenarios
from benchmarks.scale.speed import print_percentiles


def nodes(*, counts: list[int] | None = None, shards: int = 64) -> None:
    """Measure idle hollow nodes by their number.

    Args:
        counts: Numbers of nodes.
        shards: Number of shards, the same for all.
    """
    scenarios.idle_by_nodes(counts or [5, 10, 20, 40], shards)


def shards(*, nodes: int = 10, counts: list[int] | None = None) -> None:
    """Measure idle hollow nodes by the number of shards.

    Args:
        nodes: Number of nodes.
        counts: Numbers of shards.
    """
    scenarios.idle_by_shards(nodes, counts or [16, 64, 128, 256])


def periods(*, nodes: int = 40, shards: int = 512) -> None:
    """Measure idle hollow nodes by the heartbeat period.

    Args:
        nodes: Number of nodes.
        shards: Number of shards.
    """
    scenarios.idle_by_period(nodes, shards, [0.25, 0.5, 1.0])


def engines(*, nodes: int = 5, counts: list[int] | None = None) -> None:
    """Measure idle hollow nodes by the number of engines.

    Args:
        nodes: Number of nodes.
        counts: Numbers of engines.
    """
    scenarios.engines(nodes, counts or [2, 20, 60, 120])


def requests(*, nodes: int = 5) -> None:
    """Measure requests, calls and commands.

    Args:
        nodes: Number of nodes.
    """
    scenarios.requests(nodes)


def streams(*, nodes: int = 5) -> None:
    """Measure streamed answers by their length.

    Args:
        nodes: Number of nodes.
    """
    scenarios.streams(nodes)


def history(*, nodes: int = 5) -> None:
    """Measure model calls by the length of the history.

    Args:
        nodes: Number of nodes.
    """
    scenarios.history(nodes)


def changes(*, counts: list[int] | None = None, rate: float = 2.0) -> None:
    """Measure changes of configuration by the number of nodes.

    Args:
        counts: Numbers of nodes.
        rate: Changes a second.
    """
    scenarios.changes(counts or [5, 10, 20, 40], rate)


def memory() -> None:
    """Measure memory per replica, run, engine, configuration object and member."""
    memory_scenarios.memory()


def real(
    *,
    nodes: list[int] | None = None,
    seconds: float = 20.0,
    rate: float = 0.0,
    tools: int = 2,
    words: int = 40,
    streamed: bool = False,
) -> None:
    """Measure real node processes, idle or under load.

    Args:
        nodes: Numbers of nodes, one deployment after the other.
        seconds: Length of the measured span.
        rate: Agent runs a second over all nodes; 0 for idle.
        tools: Tool calls of a run; it makes one model call more.
        words: Words of the answer.
        streamed: Read the runs as server-sent events.
    """
    load = real_processes.RealLoad(rate=rate, tools=tools, words=words, streamed=streamed)
    for count in nodes or [5]:
        real_processes.measure(count, seconds, load)


def speed(*, count: int = 2000) -> None:
    """Time the probe that all processor times are related to.

    Args:
        count: Number of probes.
    """
    print_percentiles(count)


def main() -> None:
    """Run a command."""
    commands = [
        nodes,
        shards,
        periods,
        engines,
        requests,
        streams,
        history,
        changes,
        memory,
        real,
        speed,
    ]
    defopt.run(commands, argv=sys.argv[1:], short={}, show_defaults=False, show_types=False)


if __name__ == "__main__":
    main()
