"""emulator."""
