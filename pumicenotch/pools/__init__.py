"""Class pools: a reserve for the cheapest classes, and budgets for retries.

Decisions without I/O or clock. `ClassPools` is what a controller sees as `interface.Pools`.
"""

from pumicenotch.pools.class_pools import ClassPools
from pumicenotch.pools.plan import PoolPlan, PoolsPlan

__all__ = ["ClassPools", "PoolPlan", "PoolsPlan"]
