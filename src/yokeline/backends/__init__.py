"""Clients of back ends: model engines, tool services and app engines; no I/O of their own.

A client builds HTTP requests as effects and turns the answers into typed outcomes. A failure
carries in ``execution`` whether the back end surely did nothing (``NOT_RUN``), surely did it
(``DONE``) or may have done it (``UNKNOWN``). A malformed answer is a failure, never an
exception.
"""
