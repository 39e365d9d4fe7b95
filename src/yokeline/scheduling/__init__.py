"""Choice of engines, queue order, admission and cache decisions.

The package has two halves. For the model calls of runs, ``interface`` defines the types,
``policies`` the policies by name, ``engine_state_tracker`` the state of the engines, and
``directory`` the engines that the policies choose from. For the turns of proxied programs, there
are ``queue_order``, ``room_waits``, ``tenant_shares``, ``engine_model`` and the ``program_*``
modules. In the names of this half, "room" means free request slots at the engines.

Policies, estimates and learned models are pure: they do no I/O and read no clock; times are
arguments. Only ``directory`` and ``cache_reconciler`` use a node's context: they read its clock and
send HTTP requests to engines.
"""
