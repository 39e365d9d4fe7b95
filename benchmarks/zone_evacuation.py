"""Compares when sessions with cached context leave an evacuated zone.

Run ``python -m benchmarks.zone_evacuation``; it replays the evacuation of one of three zones on
several seeds and prints the cost to callers and the last send to the zone.
"""

from __future__ import annotations

from tests.unit.scheduling.evacuation_replay import Move, Replay

SEEDS = range(1, 9)
LOADS = (0.7, 1.0, 1.3)


def main() -> None:
    """Print a row for each load and way."""
    print("| load | sessions move | programs | late | mean seconds | rebuilt tokens | last send |")
    print("|---|---|---|---|---|---|---|")
    for load in LOADS:
        for move in Move:
            results = [Replay(move, seed, load).run() for seed in SEEDS]
            programs = sum(result.programs for result in results)
            print(
                f"| {load} | {move.value} | {programs} | {sum(item.late for item in results)}"
                f" | {sum(item.seconds for item in results) / programs:.4f}"
                f" | {sum(item.rebuilt_tokens for item in results)}"
                f" | {'-' if move is Move.NEVER else f'{max(r.last_send for r in results):.2f}'} |"
            )


if __name__ == "__main__":
    main()
