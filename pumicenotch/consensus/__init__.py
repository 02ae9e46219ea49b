"""A log replicated among voters with Raft, as described in Ongaro's thesis (2014, corrected 2015).

The package performs no I/O and reads no clock. Time, received messages and completed writes are
inputs (`inputs`); messages to send, state to persist and entries to apply are effects (`effects`).
"""
