"""Drain permits: which members may go out of service now, under the fleet's disruption budgets."""
