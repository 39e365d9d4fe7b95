"""Tenants of the soak, an operator who takes keys away, and the promises that concern them."""

from __future__ import annotations

import random
import threading
import time

import msgspec

from tests.processes.platform.deployment import REVOKE_SECONDS, Deployment, TenantKeys
from tests.processes.platform.stand_ins import SeenRequest
from tests.soak.faults import SharedFaults
from tests.soak.records import Asked
from tests.soak.regions import BOUND_REGIONS

FORGED = "forged"
FORGED_FIELDS = {
    "X-Yokeline-Tenant": FORGED,
    "X-Yokeline-Hold": FORGED,
    "X-Yokeline-Pin-Ms": FORGED,
    "X-Yokeline-Kv-Backup": FORGED,
    "X-Yokeline-Request-Priority": FORGED,
    "Kv-From": FORGED,
    "kv_fetch": FORGED,
    "x_yokeline_tenant": FORGED,
    "Connection": "keep-alive, x-yokeline-deadline-ms, x-yokeline-tenant",
}
"""Fields that a caller is not to set, and a ``Connection`` that would take the system's away."""
QUOTA_SECONDS = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20
"""Bound of a limit: in any time of that length so many requests more than it gives."""
LONGEST_KEY_PAUSE_SECONDS = 3.0
FIRST_CHANGE_SECONDS = 1.0


def soak_tenants() -> list[TenantKeys]:
    """Return four tenants: free, bound to a region, limited, and with keys taken away."""
    return [
        TenantKeys("amber", ["key-of-amber"]),
        TenantKeys("birch", ["key-of-birch", "other-key-of-birch"], allowed_regions=BOUND_REGIONS),
        TenantKeys("cedar", ["key-of-cedar"], rate=8.0, burst=4.0),
        TenantKeys("denim", ["key-of-denim-0"]),
    ]


class KeyTaken(msgspec.Struct, frozen=True):
    """A key that no configuration holds from ``at`` on (monotonic seconds)."""

    key: str
    at: float


class KeyOperator:
    """Takes the last tenant's key away again and again, and gives it another one.

    Attributes:
        taken: What was taken away, in order.
    """

    def __init__(self, deployment: Deployment, shared: SharedFaults, seed: int) -> None:
        """Prepare; it changes the configuration only while no fault does."""
        self.taken: list[KeyTaken] = []
        self._deployment = deployment
        self._shared = shared
        self._random = random.Random(f"{seed}/keys")
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def stop(self) -> None:
        """Change nothing more."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        self._stop.wait(FIRST_CHANGE_SECONDS)
        while not self._stop.is_set():
            with self._shared.holding("configuration") as is_free:
                if is_free:
                    self._change()
            self._stop.wait(self._random.uniform(0.1, LONGEST_KEY_PAUSE_SECONDS))

    def _change(self) -> None:
        """Replace the key; callers go on with the old one, beside the new one."""
        tenant = self._deployment.tenants[-1]
        old = tenant.keys[-1]
        tenant.in_force = [f"key-of-denim-{len(self.taken) + 1}"]
        tenant.keys = [old, *tenant.in_force]
        self._shared.version += 1
        self._deployment.configure(self._shared.version)
        self.taken.append(KeyTaken(old, time.monotonic()))
        self._shared.note(f"{old} is taken away")


def tenant_violations(
    asked: list[Asked], seen: list[SeenRequest], taken: list[KeyTaken], tenants: list[TenantKeys]
) -> list[str]:
    """Return each broken promise in a line."""
    by_id = {item.request_id: item for item in asked}
    return [
        *_wrong_fields(by_id, seen),
        *_ran_without_key(by_id, seen, taken),
        *_beyond_limits(by_id, seen, tenants),
    ]


def _wrong_fields(by_id: dict[str, Asked], seen: list[SeenRequest]) -> list[str]:
    found = []
    for request in seen:
        item = by_id.get(request.request_id)
        if item is None:
            found.append(f"{request.request_id} ran and nobody sent it")
            continue
        tenant = request.fields.get("x-yokeline-tenant")
        if tenant != item.tenant:
            found.append(f"{request.request_id} of {item.tenant} ran for {tenant}")
        values = [value for value in request.fields.values() if FORGED in value]
        if values or "authorization" in request.fields or item.key in str(request.fields):
            found.append(f"{request.request_id} ran with fields of its caller: {request.fields}")
        if "x-yokeline-deadline-ms" not in request.fields:
            found.append(f"{request.request_id} ran without a deadline")
    return found


def _ran_without_key(
    by_id: dict[str, Asked], seen: list[SeenRequest], taken: list[KeyTaken]
) -> list[str]:
    """Return requests that ran though they were sent long after their key was taken away."""
    taken_at = {item.key: item.at for item in taken}
    found = []
    for request in seen:
        item = by_id.get(request.request_id)
        if item is None or item.key not in taken_at:
            continue
        late = item.sent_at - taken_at[item.key]
        if late > REVOKE_SECONDS:
            found.append(f"{item.request_id} ran, sent {late:.2f} s after {item.key} was taken")
    return found


def _beyond_limits(
    by_id: dict[str, Asked], seen: list[SeenRequest], tenants: list[TenantKeys]
) -> list[str]:
    """Return the spans of time in which more ran than a tenant's limit allows."""
    found = []
    for tenant in tenants:
        if not tenant.rate:
            continue
        given = tenant.rate * QUOTA_SECONDS + tenant.burst
        most = given * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
        counted = [
            request
            for request in seen
            if request.request_id in by_id and by_id[request.request_id].tenant == tenant.name
        ]
        worst = worst_count(counted, by_id)
        if worst > most:
            found.append(f"{worst} requests of {tenant.name} ran in a window; {most:.0f} may")
    return found


def worst_count(counted: list[SeenRequest], by_id: dict[str, Asked]) -> int:
    """Return the most requests that were sent and ran within one window."""
    worst = 0
    for first in counted:
        begin = by_id[first.request_id].sent_at
        end = begin + QUOTA_SECONDS
        inside = [
            request
            for request in counted
            if by_id[request.request_id].sent_at >= begin and request.at <= end
        ]
        worst = max(worst, len(inside))
    return worst
