"""What callers do in a simulation, and how long its phases are."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokeline.simulation.callers import Caller
from yokeline.simulation.objects import (
    AGENT_PROGRAM,
    ALERT_PROGRAM,
    LOOKUP_PROGRAM,
    LOOP_PROGRAM,
    POSTING_PROGRAM,
    TALK_PROGRAM,
)
from yokeline.simulation.port import Steps


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Lengths of a simulation's phases, and requests of each kind per tenant.

    Attributes:
        workload_seconds: Requests start within this time.
        faults_start: Seconds after the start of the workload when faults may begin.
        faults_end: Seconds after it when all are healed.
        settled_at: Seconds after it when the auditor begins; longer than a caller's last
            deadline after the last fault.
    """

    workload_seconds: float = 30.0
    faults_start: float = 2.0
    faults_end: float = 32.0
    settled_at: float = 85.0
    postings: int = 8
    alerts: int = 5
    lookups: int = 4
    agents: int = 6
    watched: int = 4
    cancelled: int = 2
    talks: int = 3
    loops: int = 1


DEFAULT_PLAN = Plan()
Request = Callable[[Caller], Steps]
"""Makes the simpy process of one request."""


def requests_of(plan: Plan) -> list[Request]:
    """Return the requests of one tenant, in the order in which their times are drawn."""
    return [
        *[lambda caller: caller.posting(POSTING_PROGRAM, "post_finish")] * plan.postings,
        *[lambda caller: caller.posting(ALERT_PROGRAM, "weigh_in_alert")] * plan.alerts,
        *[lambda caller: caller.lookup(LOOKUP_PROGRAM)] * plan.lookups,
        *[lambda caller: caller.agent(AGENT_PROGRAM)] * plan.agents,
        *[lambda caller: caller.agent(AGENT_PROGRAM, watched=True)] * plan.watched,
        *[lambda caller: caller.agent(AGENT_PROGRAM, cancelled=True)] * plan.cancelled,
        *[lambda caller: caller.conversation(TALK_PROGRAM)] * plan.talks,
        *[lambda caller: caller.loop(LOOP_PROGRAM)] * plan.loops,
    ]
