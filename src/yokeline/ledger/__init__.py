"""The replicated ledger of programs on the storage nodes: token budgets and retained turns.

Terms used in this package:

- Program: a set of requests with a common token budget, e.g. one run of an agent.
- Session: a conversation within a program; its prompts share a prefix.
- Turn: one request to an engine and its answer.
- Chain: a turn and the turns that it continues, linked by ``previous``.
- Kind: the class of a program, named after the route of its first turn. Programs of a kind are
  expected to have similar sizes.
- Forwarding node: a node that receives requests and forwards them to engines. A storage node holds
  a replica of the ledger.
- Ledger time: the leader's wall clock, made monotonic; used for expiry.
- Leadership time: seconds for which replicas have led, counted by
  :class:`yokeline.ledger.quotas.LeadershipClock`; used for rate limits. Names contain
  ``leader_time``.
- Running turns: turns that were sent to an engine and have not ended.
- Slots: the requests that the engines of a pool can serve concurrently; ``places`` in messages.
"""
