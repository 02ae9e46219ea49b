"""Admission and scheduling for servers behind balancers that cannot be changed."""
