"""Drain permits: which members may leave service now, within the fleet's disruption budgets."""
