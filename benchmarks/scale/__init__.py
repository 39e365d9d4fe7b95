"""The scale run: what each role of a node costs, and how that grows."""
