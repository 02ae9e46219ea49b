"""The server's core, without I/O or clock: one call handles an event and returns effects."""
