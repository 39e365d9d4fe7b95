"""Compares when sessions with cached context leave an evacuated zone.

Run ``python -m benchmarks.zone_evacuation``; it replays the evacuation of one of three zones on
40 seeds and prints the cost to callers and the last send to the zone. The difference is how much
longer a program takes than with sessions that move at once: the mean over the seeds and its
standard error.
"""

from __future__ import annotations

import statistics

from tests.unit.scheduling.evacuation_replay import Move, Replay, Result

SEEDS = range(1, 41)
LOADS = (0.7, 1.0, 1.3)


def main() -> None:
    """Print a row for each load and way."""
    print("| load | sessions move | programs | late | mean s | difference, ms | last send, s |")
    print("|---|---|---|---|---|---|---|")
    for load in LOADS:
        by_move = {move: [Replay(move, seed, load).run() for seed in SEEDS] for move in Move}
        for move, results in by_move.items():
            programs = sum(result.programs for result in results)
            print(
                f"| {load} | {move.value} | {programs} | {sum(item.late for item in results)}"
                f" | {sum(item.seconds for item in results) / programs:.3f}"
                f" | {_difference(results, by_move[Move.AT_ONCE])}"
                f" | {'-' if move is Move.NEVER else f'{max(r.last_send for r in results):.2f}'} |",
                flush=True,
            )


def _difference(results: list[Result], base: list[Result]) -> str:
    """Return the mean difference per program over the seeds (ms), and its standard error."""
    differences = [
        (mine.seconds / mine.programs - other.seconds / other.programs) * 1000
        for mine, other in zip(results, base, strict=True)
    ]
    error = statistics.stdev(differences) / len(differences) ** 0.5
    return f"{statistics.mean(differences):.1f} ± {error:.1f}"


if __name__ == "__main__":
    main()
