"""The router in front of cells. It speaks the gateways' protocol to its callers and to the nodes.

`decide` has no I/O and no clock.
"""
