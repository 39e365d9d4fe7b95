"""Counters and gauges of a storage node."""

from __future__ import annotations

from yokeline.ledger.admission_controller import CAUSES
from yokeline.ledger.storage_node import StorageNode
from yokeline.status_service import NodeFigures


def storage_figures(node: StorageNode) -> NodeFigures:
    """Return the counters and gauges of a storage node, by metric name."""
    state = node.replica.state()
    gauges = {
        "yokeline_ledger_programs": float(len(state.programs)),
        "yokeline_ledger_tenants": float(len(state.quotas.accounts)),
        "yokeline_ledger_turns": float(len(state.turns)),
        "yokeline_ledger_kept_text_bytes": float(
            sum(len(stored.turn.text) for stored in state.turns.values())
        ),
        "yokeline_ledger_term": float(node.replica.group.term),
        "yokeline_ledger_commit_index": float(node.replica.group.commit_index),
        "yokeline_ledger_leads": float(node.replica.leads),
        "yokeline_ledger_turns_under_way": float(len(node.batches.turns)),
        "yokeline_ledger_claims": float(node.batches.admission.claims),
        "yokeline_ledger_disk_refuses": float(node.replica.disk_refuses),
        "yokeline_ledger_members": float(len(node.replica.group.members)),
        "yokeline_ledger_cannot_lead": float(node.is_blocked),
    }
    gauges.update(node.phases.gauges())
    gauges.update(node.batches.places.gauges())
    if node.texts is not None:
        gauges.update(node.texts.gauges())
    counters = {
        "yokeline_ledger_operations_total": float(node.batches.operations),
        "yokeline_ledger_kept_texts_refused_total": float(node.batches.kept_texts.refused),
        "yokeline_ledger_entries_restored_total": float(node.replica.entries_restored),
        "yokeline_ledger_disk_refusals_total": float(node.disk_refusals),
        "yokeline_ledger_texts_lacking_total": float(node.replica.messages_missing_texts),
    }
    for outcome, count in sorted(node.texts.counts.items() if node.texts is not None else ()):
        name = f'yokeline_ledger_regional_texts_total{{outcome="{outcome}"}}'
        counters[name] = float(count)
    for cause in CAUSES:
        name = f'yokeline_ledger_programs_refused_total{{cause="{cause}"}}'
        counters[name] = float(node.batches.admission.refused[cause])
    return NodeFigures(counters=counters, gauges=gauges)
