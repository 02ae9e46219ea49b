"""Failover between zones and regions: which fraction of each zone's traffic is served where.

The modules only compute decisions: they perform no I/O and read no clock.
"""
