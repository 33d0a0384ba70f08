"""Real node processes on loopback with faults between them, and the check of what they recorded."""
