"""Keeps an instance's copy of the configuration current: sources, deltas, transfers and audits."""
