"""Group membership: which members of the fleet are believed to be alive.

The package implements SWIM (2002) with suspicion and incarnations, and Lifeguard's local health
awareness (2017). Its result is only a belief: nothing that must be safe relies on it alone. The
package performs no I/O and reads no clock.
"""
