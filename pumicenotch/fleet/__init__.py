"""What the fleet has agreed: members, budgets, drains, halts. No I/O, no clock."""
