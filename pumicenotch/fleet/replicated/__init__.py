"""What the voters have agreed: the state, the commands that change it, and its snapshots."""
