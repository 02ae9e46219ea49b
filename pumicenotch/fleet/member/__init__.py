"""The fleet client in a member's process: membership, heartbeats, and drains by permit."""
