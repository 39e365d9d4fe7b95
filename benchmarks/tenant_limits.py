"""What limits of tenants cost the ledger: state a tenant, bytes and processor time a draw.

``python -m benchmarks.tenant_limits`` prints, for 75 and 2,500 tenants, the snapshot's bytes a
tenant, the bytes of an entry a draw (batches of 4), and the time to apply a draw. Measured on a
shared machine (one run): 75 and 77 bytes of state a tenant, 104 and 105 bytes of log a draw, 4.8
and 5.5 us to apply one.
"""

from __future__ import annotations

import time

from yokeline.ledger.codec import decode_command, encode_command, encode_state
from yokeline.ledger.operations import Draw, RateLimit
from yokeline.ledger.state import LedgerCommand, LedgerState

DRAWS_PER_ENTRY = 4
ENTRIES = 5000


def measure(tenants: int) -> None:
    """Print one row."""
    state = LedgerState()
    empty = len(encode_state(state))
    commands = [
        LedgerCommand(time=1e9, operations=_draws(number, tenants), passed=number / 150)
        for number in range(ENTRIES)
    ]
    entries = [encode_command(command) for command in commands]
    began = time.process_time()
    for entry in entries:
        state.transition_apply(decode_command(entry).unwrap())
    seconds = time.process_time() - began
    draws = ENTRIES * DRAWS_PER_ENTRY
    state_bytes = (len(encode_state(state)) - empty) / len(state.quotas.accounts)
    entry_bytes = sum(len(entry) for entry in entries) / draws
    print(
        f"{tenants:6} tenants: {state_bytes:5.0f} B of state a tenant, "
        f"{entry_bytes:5.0f} B of log a draw, {1e6 * seconds / draws:5.1f} us to apply one"
    )


def _draws(number: int, tenants: int) -> tuple[Draw, ...]:
    return tuple(
        Draw(
            request_id=f"7:hule930:{number:08}{index:08}",
            limit=RateLimit(f"tenant{(number * DRAWS_PER_ENTRY + index) % tenants}", 10.0, 30.0, 7),
        )
        for index in range(DRAWS_PER_ENTRY)
    )


if __name__ == "__main__":
    for count in (75, 2500):
        measure(count)
