"""Choice of engines, queue order and cache decisions.

Pure: no I/O, no clock read. ``interface`` defines the types, ``policies`` the policies by name, and
``directory`` tracks the engines that the policies choose from.
"""
