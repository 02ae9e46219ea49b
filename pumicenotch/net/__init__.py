"""Sockets, protocols and processes around the cores, which do no I/O themselves."""
