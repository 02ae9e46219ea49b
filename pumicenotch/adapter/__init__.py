"""Carries controllers on the simulator's wire; it decides nothing."""
