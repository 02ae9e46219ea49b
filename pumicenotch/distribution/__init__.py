"""Published configuration: versioned changes, from voters over relays to those that need them.

Reducers without I/O or clock: `Node` in an instance, `VoterSource` in a voter, and `Publications`,
a subject of the voters' replicated state. The standard library alone.
"""
