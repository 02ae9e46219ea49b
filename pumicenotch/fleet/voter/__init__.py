"""The process of a voter: its replica of the log, the leader's duties, and answers to requests."""
