"""Divides the rate that a cold engine sustains between forwarding nodes, without messages.

Rendezvous hashing over the registered nodes gives each engine a fixed set of nodes, the holders of
its shares. A holder may have a fixed number of requests in its window (:class:`SendWindow`) and
sends at an equal part of the rate, so the sum over all holders is bounded whatever each one does.
A node without a share sends nothing to the engine while it is cold.

Nodes may have different views of which nodes exist. A view is used only while it is fresh, and a
node holds a share only if each view of the last :data:`VIEW_OVERLAP_SECONDS` gives it one. So a
node that loses a share has stopped before the node that gets the share begins.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable

import msgspec
import xxhash

USED_BOUND_SHARE = 0.8
"""Share of the bound that is divided. The rest covers requests sent before a node learns that the
engine is cold, requests delayed in the network, and probes of silent engines."""
MAX_VIEW_AGE_SECONDS = 4.0
"""Age of the registry's last confirmation at which a node stops using its shares. Watching nodes
hear from the service every 1.4 s, so a slow or lost answer does not end the shares."""
CONFIRMATION_LAG_SECONDS = 3.0
"""Time by which a confirmed view may still be out of date: a watching node counts as such for 2.6 s
after the service's last answer, and its report takes up to 0.4 s through relays."""
WINDOW_SECONDS = 1.0
"""Length of the window in which arrivals at a cold engine are bounded."""
VIEW_OVERLAP_SECONDS = MAX_VIEW_AGE_SECONDS + CONFIRMATION_LAG_SECONDS + WINDOW_SECONDS
"""Time for which a replaced view still excludes nodes that it gives no share."""
MAX_VIEWS = 64
"""Views stored; if there are more changes, the node has no share until the oldest has expired."""
MAX_POSITIONS = 32_768
"""Engines for which the position of this node is stored."""
MAX_UNRESOLVED_SECONDS = 30.0
"""Time after which a request without any outcome is removed from its window."""
LOST_REQUEST_SECONDS = 4.0
"""Time for which a request that ended without an answer may still be on its way to the engine: the
transport closes a silent connection after 3 s, and a lost segment is repeated within another."""


class SharePlan(msgspec.Struct, frozen=True):
    """How an engine's rate is divided.

    Attributes:
        holders: Number of nodes with a share; 0 if the bound allows no request.
        window_sends: Requests that one holder may have in its window.
        interval: Average seconds between two sends of one holder.
    """

    holders: int
    window_sends: int
    interval: float


def max_arrivals(rate: float, overage: float, slack: float) -> float:
    """Return how many requests may arrive at a cold engine within a second."""
    return rate * overage + slack


def plan_shares(rate: float, overage: float, slack: float, nodes: int) -> SharePlan:
    """Divide a rate between as many holders as the bound allows.

    More holders let more nodes serve requests themselves. Fewer holders with several requests each
    use no more of the rate (``python -m benchmarks.cold_rate_shares``).
    """
    bound = max_arrivals(rate, overage, slack)
    budget = int(USED_BOUND_SHARE * bound) or min(1, int(bound))
    holders = min(nodes, budget)
    if holders <= 0 or rate <= 0:
        return SharePlan(0, 0, math.inf)
    return SharePlan(holders, budget // holders, holders / rate)


def probe_interval(rate: float, overage: float, slack: float, nodes: int) -> float:
    """Return the seconds between two probes of a silent engine by a node without a share.

    All nodes together use half of what the shares leave of the bound, since their probes may
    coincide.
    """
    bound = max_arrivals(rate, overage, slack)
    plan = plan_shares(rate, overage, slack, nodes)
    unused = int(bound) - plan.holders * plan.window_sends
    return nodes / (unused / 2.0) if unused > 0 else math.inf


def share_rank(node: str, engine: str) -> int:
    """Return the rank of a node for the shares of an engine; the lowest ranks hold them."""
    return xxhash.xxh64_intdigest(f"cold/{node}/{engine}".encode())


def share_holders(engine: str, nodes: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` nodes that hold the shares of an engine, lowest rank first."""
    return heapq.nsmallest(count, nodes, key=lambda node: (share_rank(node, engine), node))


class NodeViews:
    """The registered forwarding nodes as one node has seen them lately.

    Attributes:
        nodes: The nodes in the latest view.
    """

    def __init__(self, own: str) -> None:
        """Start without a view; ``own`` is the name of this node."""
        self.nodes: tuple[str, ...] = ()
        self._own = own
        self._replaced: list[tuple[float, tuple[str, ...]]] = []
        self._unknown_until = -math.inf
        self._positions: dict[tuple[str, int], int | None] = {}

    def set_nodes(self, names: Iterable[str], now: float) -> None:
        """Set the registered nodes.

        The first view counts as having been in force all along: a node that has restarted is in it
        and in the views of the others, and a new node is not and has no share yet.
        """
        nodes = tuple(sorted(set(names)))
        if nodes == self.nodes:
            return
        if self.nodes:
            self._replaced.append((now, self.nodes))
            if len(self._replaced) > MAX_VIEWS:
                del self._replaced[0]
                self._unknown_until = now + VIEW_OVERLAP_SECONDS
        self.nodes = nodes
        self._positions.clear()

    def largest_size(self, now: float) -> int:
        """Return the number of nodes in the largest recent view.

        Nodes that were removed may not know it yet, and still use the share of the larger fleet.
        """
        self._drop_expired(now)
        return max(len(self.nodes), *(len(view) for _, view in self._replaced), 0)

    def position(self, engine: str, holders: int, now: float) -> int | None:
        """Return this node's position among the holders of an engine; None without a share."""
        self._drop_expired(now)
        if now < self._unknown_until:
            return None
        key = (engine, holders)
        if key not in self._positions:
            if len(self._positions) >= MAX_POSITIONS:
                self._positions.clear()
            self._positions[key] = self._compute_position(engine, holders)
        return self._positions[key]

    def _drop_expired(self, now: float) -> None:
        if self._replaced and now - self._replaced[0][0] >= VIEW_OVERLAP_SECONDS:
            self._replaced = [
                item for item in self._replaced if now - item[0] < VIEW_OVERLAP_SECONDS
            ]
            self._positions.clear()

    def _compute_position(self, engine: str, holders: int) -> int | None:
        views = [*(view for _, view in self._replaced), self.nodes]
        if any(self._own not in share_holders(engine, view, holders) for view in views):
            return None
        return share_holders(engine, self.nodes, holders).index(self._own)


class _Send(msgspec.Struct):
    sent_at: float
    leaves_at: float | None = None


class SendWindow:
    """Requests of one node that may arrive at an engine within the same second.

    A request arrives at some time between its send and the first part of its answer, whatever the
    network delays. It therefore stays in the window until :data:`WINDOW_SECONDS` after the answer,
    and the window's size bounds the arrivals in any second.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._sends: list[_Send] = []

    def add(self, now: float) -> None:
        """Add a request that is sent."""
        self._sends.append(_Send(now))

    def record_answer(self, sent_at: float, now: float) -> None:
        """Record that a request sent at ``sent_at`` was answered."""
        self._set_leaving(sent_at, now + WINDOW_SECONDS)

    def record_lost(self, sent_at: float, now: float) -> None:
        """Record that a request ended without an answer and may still arrive."""
        self._set_leaving(sent_at, now + LOST_REQUEST_SECONDS + WINDOW_SECONDS)

    def discard(self, sent_at: float, now: float) -> None:
        """Remove a request that has not arrived or does not count."""
        self._set_leaving(sent_at, now)

    def count(self, now: float) -> int:
        """Return the number of requests in the window."""
        self._sends = [send for send in self._sends if now < _leaves_at(send)]
        return len(self._sends)

    def next_leaving(self, now: float) -> float | None:
        """Return when the next answered request leaves the window; None if there is none."""
        times = (send.leaves_at for send in self._sends if send.leaves_at is not None)
        return min((at for at in times if at > now), default=None)

    def _set_leaving(self, sent_at: float, leaves_at: float) -> None:
        for send in self._sends:
            if send.sent_at == sent_at and send.leaves_at is None:
                send.leaves_at = leaves_at
                return


def _leaves_at(send: _Send) -> float:
    return send.leaves_at if send.leaves_at is not None else send.sent_at + MAX_UNRESOLVED_SECONDS
