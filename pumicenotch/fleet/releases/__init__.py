"""Releases: which version each node is to run, wave by wave, and what the voters agree of it."""
