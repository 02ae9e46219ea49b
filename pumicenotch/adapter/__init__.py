"""Hosts controls on a wire; it decides nothing."""
