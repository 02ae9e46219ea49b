"""Short names of requests, and the ids that the protocols make of them."""


def rid(name: str) -> str:
    """A test's short name of a task, as the protocol wants it."""
    return name.encode().hex().zfill(16)


def short(rid: str) -> str:
    return bytes.fromhex(rid).strip(b"\0").decode()
