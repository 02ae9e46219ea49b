"""The router in front of cells: gateways' protocol on both sides. `decide` has no I/O and no clock."""
