"""A soak: real servers, clients that never stop sending, signals in series, and a kill at the end."""
