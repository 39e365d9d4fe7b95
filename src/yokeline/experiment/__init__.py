"""Experiments: scheduling policies measured on the users' workloads, on a virtual clock.

``workloads`` make seeded arrivals of scripted programs, ``world`` runs them against engine
models under a policy, ``metrics`` measures program latency and wasted cache, ``saturation``
finds the load that counts as 1, ``live`` sends the same requests to a real deployment.
"""
