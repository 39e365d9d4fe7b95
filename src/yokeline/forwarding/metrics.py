"""Metrics of a forwarding node."""

from __future__ import annotations

from yokeline.forwarding.edge_node import EdgeNode
from yokeline.status_service import NodeFigures


def edge_figures(node: EdgeNode) -> NodeFigures:
    """Return the counters, gauges and histograms of a forwarding node."""
    forwarder = node.forwarder
    counters = {name: float(count) for name, count in forwarder.counters.items()}
    for cause, count in node.ledger.counts.repetitions.items():
        counters[f'yokeline_ledger_repetitions_total{{cause="{cause}"}}'] = float(count)
    counters["yokeline_ledger_turn_ends_dropped_total"] = float(node.ledger.turns.dropped)
    for ending, count in node.histories.counts.items():
        counters[f'yokeline_ledger_history_fetches_total{{ending="{ending}"}}'] = float(count)
    for outcome, count in sorted(node.residency.texts.counts.items()):
        name = f'yokeline_forwarding_regional_texts_total{{outcome="{outcome}"}}'
        counters[name] = float(count)
    counters["yokeline_ledger_texts_copied_total"] = float(node.ledger.counts.texts_copied)
    counters["yokeline_ledger_engine_asks_total"] = float(node.ledger.counts.engine_asks)
    counters["yokeline_ledger_late_answers_total"] = float(node.ledger.counts.late_answers)
    counters["yokeline_ledger_sent_through_peers_total"] = float(node.ledger.counts.through_peers)
    counters["yokeline_ledger_passed_on_total"] = float(node.ledger.counts.for_peers)
    counters["yokeline_forwarding_proof_reads_total"] = float(node.lease.service_reads)
    counters["yokeline_forwarding_proof_asks_total"] = float(node.lease.peer_queries)
    cold_rates = node.cold_engines.rates
    if cold_rates.has_rates:
        counters["yokeline_forwarding_cold_sends_total"] = float(cold_rates.sends)
        counters["yokeline_forwarding_cold_sends_withheld_total"] = float(cold_rates.withheld)
    table = forwarder.table
    gauges = {
        "yokeline_forwarding_under_way": float(forwarder.under_way),
        "yokeline_forwarding_waiting": float(sum(forwarder.waiting().values())),
        "yokeline_forwarding_configuration_version": float(table.version if table else 0),
        "yokeline_registry_age_seconds": node.registry_age(),
        "yokeline_forwarding_proof_age_seconds": node.proof_age(),
        "yokeline_ledger_reached": float(node.ledger.reaches_ledger),
    }
    if cold_rates.has_rates:
        gauges["yokeline_forwarding_engines_cold"] = float(node.cold_count())
    if node.evacuations is not None and node.evacuations.zones.is_enabled:
        zones = node.evacuations.zones.zones
        gauges["yokeline_forwarding_zones_evacuated"] = float(len(zones))
    for pool, level in forwarder.share_levels().items():
        gauges[f'yokeline_forwarding_share_level{{pool="{pool}"}}'] = level
    gauges.update(node.phases.gauges())
    gauges.update(forwarder.engine_gauges())
    histograms = {
        "yokeline_forwarding_added_seconds": forwarder.added_seconds,
        "yokeline_forwarding_first_event_seconds": forwarder.first_event_seconds,
        "yokeline_forwarding_prediction_error_ratio": forwarder.prediction_error,
        "yokeline_forwarding_expected_wait_seconds": forwarder.expected_waits,
        "yokeline_forwarding_room_wait_seconds": forwarder.room_waits,
        "yokeline_ledger_answer_seconds": node.ledger.answer_seconds,
    }
    return NodeFigures(counters=counters, gauges=gauges, histograms=histograms)
