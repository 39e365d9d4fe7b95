"""Stand-ins for the systems that yokeline serves, each a sans-I/O ``effects.Service``.

The same objects run in processes of their own (``node.process.run_service``) and in the
simulation on a virtual clock. All time comes from the events, all chance from a seeded source.
"""
