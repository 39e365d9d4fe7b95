"""The sans-I/O node: composes all cores into one :class:`yokeline.effects.Service`."""
