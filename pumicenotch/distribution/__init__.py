"""Versioned configuration as changes: tables, publications, subscriptions, relays and replicas. Reducers
only: no I/O, no clock, the standard library alone.
"""
