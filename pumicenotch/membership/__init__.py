"""Group membership: which members are believed to be alive.

SWIM (2002) with suspicion and incarnations, and Lifeguard's local health awareness (2017). What it
says is an opinion: nothing that must be safe rests on it alone. No I/O and no clock.
"""
