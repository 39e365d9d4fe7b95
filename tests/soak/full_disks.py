"""Storage nodes of the soak whose disks refuse writes for some seconds."""

from __future__ import annotations

from tests.soak.operators import Operator

LONGEST_REFUSAL_SECONDS = 3.0
LEAST_LOG_ROOM_BYTES = 32_768
"""The limit holds for the process's log as well, which must stay below it."""
ROOM_BYTES = 400
"""Most bytes that are still written before a refusal, so that records are torn, too."""


class DiskOperator(Operator):
    """Fills the disk of one storage node after the other by the largest size of its files."""

    name = "disks"
    longest_pause_seconds = 6.0

    def act(self) -> None:
        """Let a storage node's writes fail for a time."""
        process = self.random.choice(self.deployment.storage)
        seconds = self.random.uniform(0.2, LONGEST_REFUSAL_SECONDS)
        room = self.random.randrange(ROOM_BYTES)
        with self.shared.holding(process.name) as is_free:
            files = list(self.deployment.data_folder(process).glob("*.log"))
            if not is_free or not files:
                return
            limit = max(path.stat().st_size for path in files) + room
            if limit < process.log_bytes + LEAST_LOG_ROOM_BYTES:
                return
            self.shared.note(f"{process.name} refuses writes for {seconds:.2f} s")
            process.limit_files(limit)
            self.stopping.wait(seconds)
            process.limit_files(None)
