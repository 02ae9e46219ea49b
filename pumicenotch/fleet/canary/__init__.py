"""Canary analysis: whether members with a new version do worse than members without it."""
