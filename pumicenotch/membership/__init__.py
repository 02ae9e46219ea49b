"""Who is up, as an opinion: SWIM (2002) with suspicion, incarnations and Lifeguard's self-awareness (2017).
Nothing safe rests on it alone. No I/O, no clock.
"""
