"""A replicated log among voters, by Raft as Ongaro's thesis publishes it (2014, with the correction of 2015
to changes of one voter). No I/O, no clock: storage, sending and time are effects and inputs.
"""
