"""The emulated world round real servers: worker pools, database, registry, gateways with habits, faults; and
the load and experiments on it. Nothing here decides anything for a server.
"""
