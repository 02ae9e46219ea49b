"""A member's process: its part in the fleet, its heartbeats, and its own drain by permit."""
