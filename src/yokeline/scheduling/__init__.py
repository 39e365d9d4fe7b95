"""Scheduling: which engine serves a call, when, and what becomes of its cached context.

Pure: no I/O, no clock read. ``interface`` has the types, ``policies`` the choice of engine,
``directory`` the bookkeeping of engines that the policies read.
"""
