"""Failover between zones and regions: which fraction of whose traffic goes where.

The modules decide only: they have neither I/O nor a clock.
"""
