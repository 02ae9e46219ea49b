"""A voter's process: its replica of the log, what a leader decides, and the answers to requests."""
