"""What each metric of a node counts or measures, for the HELP lines of ``GET /metrics``.

The first words of a line name the unit: of a counter what is counted, of a gauge what it is
a number of. Seconds are said so.
"""

from __future__ import annotations

_HTTP = {
    "yokeline_http_requests_total": "HTTP requests answered, by route and class of status.",
    "yokeline_http_request_duration_seconds": (
        "Seconds from the arrival of an HTTP request to the end of its answer, by route."
    ),
    "yokeline_http_problems_total": "Error answers, by kind of error.",
    "yokeline_http_requests_waiting": "HTTP requests under way at this node.",
    "yokeline_http_callers_gone_total": "Callers that closed before their answer ended.",
    "yokeline_http_slow_readers_cut_off_total": "Callers cut off since all read too slowly.",
    "yokeline_requests_refused_for_memory_total": "Whole requests refused for want of memory.",
    "yokeline_buffers_freed_total": "Buffers freed beyond the memory bound, by what they held.",
    "yokeline_buffer_bytes": "Bytes that buffers took when the process last looked.",
    "yokeline_http_connections_refused_total": (
        "Connections of callers refused because this node had as many as it takes."
    ),
    "yokeline_http_idle_connections_closed_total": (
        "Connections of callers closed while they had no request, to make room for new ones."
    ),
    "yokeline_requests_shed_total": "Requests refused by a limit of this node, by reason.",
    "yokeline_event_stream_gaps_total": "Gaps in event streams to callers, each fetched again.",
    "yokeline_internal_errors_total": "HTTP requests that met a fault of the code.",
}

_RUNS = {
    "yokeline_runs_held": "Runs in the shard replicas of this node.",
    "yokeline_runs_ended_total": "Runs that ended at this leader, by status.",
    "yokeline_calls_total": "Changes of calls at this leader, by kind of call and what changed.",
    "yokeline_call_retries_total": "Calls tried again after a failure.",
    "yokeline_calls_recovered_total": "Calls taken over unfinished from an earlier leader.",
    "yokeline_calls_shed_total": "Calls refused because the queue for engines was full.",
    "yokeline_lookups_total": "Questions to tools and apps what became of a request.",
    "yokeline_stream_resumes_total": "Streams of engines resumed after a lost connection.",
    "yokeline_commands_rejected_total": "Commands that a shard's state machine refused.",
}

_SCHEDULING = {
    "yokeline_engines_usable": "Engines that may get a call from this node.",
    "yokeline_scheduling_choices_total": "Engines chosen for calls, by cause.",
    "yokeline_scheduling_waits_total": "Decisions to let a call wait, by cause.",
    "yokeline_scheduling_cache_decisions_total": (
        "Decisions on a context in a pause, by action and cause."
    ),
    "yokeline_cache_actions_total": "Cache requests to engines, by action and outcome.",
    "yokeline_cache_reconciled_total": "Cache entries of runs that are gone, found and dropped.",
}

_NODES_AND_SHARDS = {
    "yokeline_nodes_alive": "Nodes that this node takes to be alive, itself included.",
    "yokeline_shards_led": "Shards that this node leads.",
    "yokeline_shard_replicas": "Shard replicas at this node.",
    "yokeline_shards_majority_lost": "Shards that this node knows to be without a quorum.",
    "yokeline_shards_recovered_total": "Shards started anew here on an operator's order.",
    "yokeline_leaderships_gained_total": "Shards whose leader this node became.",
    "yokeline_leaderships_lost_total": "Shards whose leader this node ceased to be.",
    "yokeline_leadership_transfers_total": "Leaderships that this node offered to another.",
    "yokeline_replica_added_total": "Replicas added to groups that this node leads.",
    "yokeline_replica_removed_total": "Replicas removed from groups that this node leads.",
    "yokeline_requests_resent_total": "Shard requests sent again after a silence.",
    "yokeline_requests_expired_total": "Shard requests without an answer at their deadline.",
    "yokeline_late_replies_total": "Replies to shard requests that nobody waits for.",
    "yokeline_late_events_total": "Messages with run events that nobody waits for.",
    "yokeline_event_gaps_total": "Gaps in run events between nodes, each fetched again.",
}

_MESSAGES = {
    "yokeline_heartbeats_sent_total": "Heartbeats sent to other nodes.",
    "yokeline_raft_batches_sent_total": "Batches of Raft messages sent to other nodes.",
    "yokeline_membership_datagrams_sent_total": "Membership datagrams sent.",
    "yokeline_membership_unexpected_datagrams_total": "Datagrams of no kind that is known.",
    "yokeline_peer_messages_unroutable_total": "Messages to nodes that membership does not know.",
    "yokeline_peer_frames_dropped_total": "Frames from and to other nodes dropped, by reason.",
    "yokeline_peer_connections_refused_total": (
        "Connections of other nodes refused because this node had as many as it takes."
    ),
    "yokeline_datagrams_dropped_total": "Datagrams dropped, by reason.",
    "yokeline_unexpected_http_answers_total": "Answers of back ends that nobody waits for.",
}

_CONFIGURATION_AND_PLATFORM = {
    "yokeline_configuration_revision": "Revision of the configuration in force at this node.",
    "yokeline_configuration_advances_total": "Rises of the revision at this node.",
    "yokeline_configuration_deltas_total": "Configuration deltas received, by outcome.",
    "yokeline_configuration_pulls_total": "Configuration deltas asked for.",
    "yokeline_configuration_writes_total": "Writes of configuration objects, by outcome.",
    "yokeline_configuration_listings_failed_total": (
        "Attempts to read the whole configuration from the key-value service that failed."
    ),
    "yokeline_store_available": "Whether the key-value service is taken to answer: 1 or 0.",
    "yokeline_store_requests_total": (
        "Requests to the key-value service: sent, and those without success by outcome."
    ),
    "yokeline_store_watch_connects_total": "Watches opened at the key-value service.",
    "yokeline_store_watch_malformed_total": "Lines of a watch that cannot be read.",
    "yokeline_store_regressions_total": (
        "Listings whose revision was lower than one known before: the service lost writes."
    ),
    "yokeline_machine_list_failures_total": "Attempts to read the machine list that failed.",
}

_FORWARDING_AND_LEDGER = {
    "yokeline_forwarding_requests_total": "Requests ended at this node, by outcome and status.",
    "yokeline_forwarding_under_way": "Requests at this node without a final answer.",
    "yokeline_forwarding_waiting": "Requests that wait at this node for an engine with room.",
    "yokeline_forwarding_rejections_total": "Requests that an engine said it did not run.",
    "yokeline_forwarding_engine_refusals_total": (
        "Requests that an engine said it did not run, by whom that is charged to."
    ),
    "yokeline_forwarding_tenant_requests_total": (
        "Requests ended at this node, by class of tenant (limited or not) and outcome."
    ),
    "yokeline_forwarding_proof_age_seconds": (
        "Seconds since this node's configuration was proved to be the newest."
    ),
    "yokeline_forwarding_proof_reads_total": ("Reads of the key-value service for such a proof."),
    "yokeline_forwarding_proof_asks_total": "Questions to other nodes for such a proof.",
    "yokeline_ledger_claims": "Programs that hold a claim on their tenant's limit.",
    "yokeline_ledger_programs_refused_total": "New programs refused by the ledger, by cause.",
    "yokeline_ledger_tenants": "Tenants whose requests this replica counts.",
    "yokeline_forwarding_refusals_total": "Requests refused, not run, by reason.",
    "yokeline_forwarding_room_refusals_total": "Requests refused for want of room, by cause.",
    "yokeline_forwarding_zones_evacuated": "Zones that this node knows to be evacuated.",
    "yokeline_forwarding_sends_restricted_total": (
        "Requests sent while engines of their pool were not eligible, by cause."
    ),
    "yokeline_forwarding_expected_wait_seconds": (
        "Seconds in which a place was likely to be free, of requests that found none."
    ),
    "yokeline_forwarding_room_wait_seconds": (
        "Seconds that requests waited for room which then got a place."
    ),
    "yokeline_forwarding_engine_streams_total": (
        "Streams of engines, by their framing and how they ended."
    ),
    "yokeline_forwarding_repeats_total": "Requests sent again after they may have run.",
    "yokeline_forwarding_requests_quarantined_total": (
        "Sends that were not made because of the engines that the request was lost at, by reason."
    ),
    "yokeline_forwarding_answers_malformed_total": (
        "Answers of engines that were malformed or beyond a limit, by part."
    ),
    "yokeline_forwarding_engine_state_requests_total": (
        "Engines asked for their state because a request was lost at them."
    ),
    "yokeline_forwarding_streams_resumed_total": (
        "Streams that callers resumed at this node, by who knew the version that began them."
    ),
    "yokeline_forwarding_stream_beginnings_total": (
        "Resumed streams of turns to be kept, by whether the events that their callers had are"
        " known."
    ),
    "yokeline_forwarding_stream_copies_total": (
        "Messages to other nodes with events of streams whose turns are to be kept."
    ),
    "yokeline_forwarding_streams_recorded_total": (
        "Versions of streams sent to the ledger, while several versions serve."
    ),
    "yokeline_forwarding_restricted_sends_total": (
        "Sends of requests with allowed regions, by route and region of the engine."
    ),
    "yokeline_forwarding_regional_texts_total": (
        "Writes and reads of texts that are bound to regions, by outcome."
    ),
    "yokeline_forwarding_configuration_version": "Version of the configuration in force here.",
    "yokeline_forwarding_added_seconds": (
        "Seconds from the arrival of a request to its first send to an engine."
    ),
    "yokeline_forwarding_first_event_seconds": (
        "Seconds from the arrival of a turn to its first event."
    ),
    "yokeline_registry_age_seconds": (
        "Seconds since the key-value service last confirmed what this node knows."
    ),
    "yokeline_ledger_answer_seconds": (
        "Seconds from a question to the ledger to its leader's answer."
    ),
    "yokeline_forwarding_prediction_error_ratio": (
        "Share by which the predicted time of a turn at its engine was wrong."
    ),
    "yokeline_forwarding_engine_pace_ratio": (
        "Lasting time between events at an engine, as a multiple of its pool's usual."
    ),
    "yokeline_forwarding_engine_spell_ratio": (
        "Present time between events at an engine, as a multiple of its lasting one."
    ),
    "yokeline_forwarding_sends_beyond_subset_total": (
        "Requests sent to engines that this node does not prefer."
    ),
    "yokeline_forwarding_engines_cold": "Engines that count as cold at this node.",
    "yokeline_forwarding_cold_sends_total": "Requests sent to cold engines.",
    "yokeline_forwarding_cold_sends_withheld_total": (
        "Choices of an engine that left out a cold engine, counted for each engine."
    ),
    "yokeline_ledger_reached": "Number 1 while the ledger answers this node, otherwise 0.",
    "yokeline_ledger_sent_through_peers_total": (
        "Questions to the ledger sent through another forwarding node."
    ),
    "yokeline_ledger_passed_on_total": "Questions of other nodes that this one asked the ledger.",
    "yokeline_start_seconds": "Seconds from the process's first instruction to a phase, by phase.",
    "yokeline_ledger_repetitions_total": "Questions to the ledger sent again, by cause.",
    "yokeline_ledger_history_fetches_total": "Chains of turns asked of a replica, by ending.",
    "yokeline_ledger_engine_asks_total": "Questions for news of engines while requests waited.",
    "yokeline_ledger_texts_copied_total": "Turns whose texts went to the followers as well.",
    "yokeline_ledger_entries_restored_total": "Entries put together with texts from nodes.",
    "yokeline_ledger_texts_lacking_total": "Messages dropped, since a text did not come.",
    "yokeline_ledger_late_answers_total": "Answers of the ledger that came too late.",
    "yokeline_ledger_turn_ends_dropped_total": "Ends of turns that no leader could be told.",
    "yokeline_peer_bytes_total": "Bytes of messages between nodes, by direction and kind.",
    "yokeline_ledger_operations_total": "Operations that other nodes asked this replica for.",
    "yokeline_ledger_programs": "Programs whose budgets this replica keeps.",
    "yokeline_ledger_regional_texts": "Texts bound to regions that this storage node keeps.",
    "yokeline_ledger_regional_text_bytes": "Bytes of the texts that are bound to regions.",
    "yokeline_ledger_regional_texts_unchecked": (
        "Texts bound to regions whose other copies are not confirmed."
    ),
    "yokeline_ledger_regional_texts_total": (
        "Texts bound to regions at this storage node, by what happened to them."
    ),
    "yokeline_ledger_kept_text_bytes": "Bytes of the texts of kept turns in this replica's state.",
    "yokeline_ledger_kept_texts_refused_total": (
        "Turns refused by this leader since their texts would not fit into its memory."
    ),
    "yokeline_ledger_turns": "Turns that this replica keeps.",
    "yokeline_ledger_term": "Number of the ledger's current term.",
    "yokeline_ledger_commit_index": "Number of the last entry known to be committed.",
    "yokeline_ledger_leads": "Number 1 while this replica leads the ledger, otherwise 0.",
    "yokeline_ledger_turns_under_way": "Turns at engines, as nodes have told this replica.",
    "yokeline_ledger_share_level": (
        "Places for a weight of one, by pool with too few places; at the leader."
    ),
    "yokeline_ledger_tenant_turns": (
        "Turns at engines of each tenant beyond its share, by pool; at the leader."
    ),
    "yokeline_forwarding_share_level": (
        "Places for a weight of one, by pool with too few places, as the leader told last."
    ),
    "yokeline_forwarding_held_back_total": (
        "First turns refused while their tenants left places to others, by class of tenant."
    ),
    "yokeline_ledger_cannot_lead": (
        "Whether this node may not lead since the other of two members was chosen as the survivor:"
        " 1 or 0."
    ),
    "yokeline_ledger_disk_refuses": "Whether the disk of this node refuses writes: 1 or 0.",
    "yokeline_ledger_disk_refusals_total": "Times at which the disk began to refuse writes.",
    "yokeline_ledger_members": "Replicas in the ledger's configuration, as this one knows it.",
    "yokeline_log_lines_dropped_total": "Log lines dropped for a slow reader, by event.",
}

METRIC_HELP = {
    **_FORWARDING_AND_LEDGER,
    **_HTTP,
    **_RUNS,
    **_SCHEDULING,
    **_NODES_AND_SHARDS,
    **_MESSAGES,
    **_CONFIGURATION_AND_PLATFORM,
}
"""Help text by metric name."""
