"""Fleet state agreed by consensus: members, budgets, drains, releases, halts. No I/O, no clock."""
