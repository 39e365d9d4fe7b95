"""The users' platform: its names, formats and calls. Nothing in here decides."""
