"""Cells for tenants: which nodes serve a tenant, how one is moved, and what a router and a node decide of a
task. Decisions without I/O or clock; docs/cells.md has the rules and why they hold.
"""
