"""Binds sans-I/O services to sockets, timers and files: the only place that does I/O."""
