"""The replicated state of the fleet, the commands that change the state, and its snapshots."""
