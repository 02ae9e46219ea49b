"""Zones and regions: which share of whose traffic goes where, decided in common. No I/O, no clock."""
