"""Runs admission controllers for the simulator, over a binary protocol on standard streams."""
