"""Distribution of published configuration from the voters, through relays, to the instances.

The package consists of reducers without I/O or clock: `Node` in an instance, `VoterSource` in a
voter, and `Publications`, a subject of the voters' replicated state. It uses the standard library
only.
"""
