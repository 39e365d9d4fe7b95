"""Figures of a forwarding node, by metric name."""

from __future__ import annotations

from yokeline.forwarding.edge_node import EdgeNode


def edge_figures(node: EdgeNode) -> dict[str, float]:
    """Return counters and gauges of a forwarding node."""
    forwarder = node.forwarder
    figures = {
        f"yokeline_forwarding_{name}_total": float(count)
        for name, count in sorted(forwarder.counters.items())
    }
    figures["yokeline_forwarding_under_way"] = float(forwarder.under_way)
    figures["yokeline_forwarding_waiting"] = float(sum(forwarder.waiting().values()))
    version = forwarder.table.version if forwarder.table is not None else 0
    figures["yokeline_configuration_version"] = float(version)
    figures["yokeline_ledger_resends_total"] = float(node.ledger.resends)
    return figures
