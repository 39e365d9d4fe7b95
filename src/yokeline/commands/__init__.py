"""The commands of the command line, one module per group."""
