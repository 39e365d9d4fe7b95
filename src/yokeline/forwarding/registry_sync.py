"""Synchronizes the registry between forwarding nodes; few watch the key-value service.

Nodes that do not watch follow the watching nodes: a load report with a later revision shows that
there are changes to query. A node that the service refuses does the same.
"""

from __future__ import annotations

from yokeline.effects import Effect, LogRecord, SendPeer
from yokeline.forwarding.load_reporting import LoadReporter
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import LoadReport, RegistryAsk, RegistryItem, RegistryNews
from yokeline.registry.client import RegistryClient
from yokeline.registry.nodes import NodeRecord
from yokeline.registry.protocol import StoredItem
from yokeline.registry.watch import WATCH_SECONDS, Changes, Whole

ROLE_CHECK_SECONDS = 0.25
"""Interval between checks of whether this node is to watch."""
WATCHER_TTL_SECONDS = 2 * WATCH_SECONDS
"""Age of the service's last answer at which a node stops counting as a watcher."""
STARTUP_WAIT_SECONDS = 1.0
"""Time after the first list in which a node waits for a report of a watcher and assumes that all
registered nodes are alive. It grows with the report intervals in a large fleet. Without the wait,
nodes that start together would all watch and be woken by each registration. That caused 417 calls
in the first 3 s of 79 nodes."""
MIN_QUERY_INTERVAL_SECONDS = 0.1
"""Least interval between queries for changes to other nodes."""


class RegistrySync:
    """Queries and answers about registry changes between nodes."""

    def __init__(
        self, record: NodeRecord, registry: RegistryClient, load_reporter: LoadReporter, now: float
    ) -> None:
        """Query and answer for the node of ``record``."""
        self._record = record
        self._registry = registry
        self._load_reporter = load_reporter
        self._next_role_check = now
        self._next_query = now
        self._listed_at: float | None = None
        self._watcher_heard_at = now
        self._confirmed_at = float("-inf")
        self._follows = False

    def age(self, now: float) -> float:
        """Return the time since the registry's contents were last confirmed (seconds).

        They are confirmed by the key-value service, or by a watching node without later changes.
        """
        return max(0.0, now - max(self._registry.heard_at(), self._confirmed_at))

    @property
    def reads_service(self) -> bool:
        """Whether this node reads the key-value service itself and does not follow other nodes."""
        return not self._follows

    def watches(self, now: float) -> bool:
        """Return whether other nodes may rely on this node for changes."""
        return not self._follows and now - self._registry.heard_at() <= WATCHER_TTL_SECONDS

    def nodes_changed(self, now: float) -> None:
        """Check the role of this node soon, since a node was added or removed."""
        self._next_role_check = min(self._next_role_check, now)

    def update_role(self, now: float) -> None:
        """Watch the service, or follow others while another node watches."""
        is_first_list = self._listed_at is None and self._registry.complete
        if now < self._next_role_check and not is_first_list:
            return
        self._next_role_check = now + ROLE_CHECK_SECONDS
        if is_first_list:
            self._listed_at = now
        startup_seconds = STARTUP_WAIT_SECONDS * self._load_reporter.interval_factor
        is_starting = self._listed_at is not None and now - self._listed_at < startup_seconds
        if is_starting or self._load_reporter.has_other_watcher(now):
            self._watcher_heard_at = now
        self._follows = not self._load_reporter.is_watcher(
            now, assume_alive=is_starting, seconds_without_watcher=now - self._watcher_heard_at
        )
        self._registry.follow(self._follows)

    def handle_report(self, report: LoadReport, now: float) -> list[Effect]:
        """Query a node that has read a later revision, at once if this node follows others.

        A node that watches waits for its own call first, and lists again if that call is not
        answered. Either kind queries once it has been behind for too long.
        """
        if report.revision <= self._registry.last_change():
            if report.watches:
                self._confirmed_at = now
            return []
        is_behind, effects = self._registry.hear_of(report.revision, now)
        should_ask = is_behind or (self._follows and now >= self._next_query)
        if should_ask and report.address is not None:
            self._next_query = now + MIN_QUERY_INTERVAL_SECONDS
            question = RegistryAsk(asker=self._record.address, after=self._registry.last_change())
            to, address = report.process, report.address
            effects.append(SendPeer(to=to, address=address, message=question))
        return effects

    def answer_query(self, asker: ReplicaId, question: RegistryAsk) -> list[Effect]:
        """Answer with the changes after a revision, or all items if they are not stored."""
        changes = self._registry.changes_after(question.after)
        if changes is not None:
            items = _to_registry_items(changes.items)
            news = RegistryNews(revision=changes.revision, items=items, since=changes.since)
            return [SendPeer(to=asker, address=question.asker, message=news)]
        snapshot = self._registry.whole()
        if snapshot is None:
            return []
        news = RegistryNews(revision=snapshot.revision, items=_to_registry_items(snapshot.items))
        return [SendPeer(to=asker, address=question.asker, message=news)]

    def apply_news(
        self, sender: ReplicaId, news: RegistryNews, now: float
    ) -> tuple[list[StoredItem], list[Effect]]:
        """Apply what another node has read; return the changed items and effects."""
        items = tuple(StoredItem(item.key, item.value, item.revision) for item in news.items)
        if news.since:
            changes = Changes(news.since, news.revision, items)
            changed = self._registry.adopt_changes(changes, now)
        else:
            changed = self._registry.adopt(Whole(news.revision, items), now)
        if not changed:
            return [], []
        fields: dict[str, str | int | float | bool | None] = {
            "from": sender,
            "revision": news.revision,
            "since": news.since,
            "changed": len(changed),
        }
        return changed, [LogRecord(event="registry_adopted", fields=fields)]


def _to_registry_items(items: tuple[StoredItem, ...]) -> tuple[RegistryItem, ...]:
    return tuple(RegistryItem(item.key, item.value, item.revision) for item in items)
