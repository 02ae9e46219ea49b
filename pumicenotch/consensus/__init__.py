"""A replicated log among voters by Raft, as Ongaro's thesis describes it (2014, corrected in 2015).

The package does no I/O and reads no clock: time, messages and finished writes are inputs
(`inputs`), and what is to be sent, persisted or applied are effects (`effects`).
"""
