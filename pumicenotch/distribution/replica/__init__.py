"""What keeps an instance's copy up to date: its sources, deltas, transfers and audits."""
