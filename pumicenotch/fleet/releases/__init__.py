"""Releases: the agreed version of each node, rolled out wave by wave."""
