"""Canary analysis: compares members that run a new version with members that do not."""
