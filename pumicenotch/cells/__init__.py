"""Cells: which nodes serve a tenant, how a tenant moves, and how routers and nodes treat its requests.

All decisions are free of I/O and clocks. docs/cells.md has the rules and explains why they are safe.
"""
