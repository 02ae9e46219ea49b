"""Class pools: slots reserved for the cheapest request classes, and budgets for retries.

This package does no I/O and reads no clock. `ClassPools` implements `interface.Pools`, through
which an admission controller uses it.
"""

from pumicenotch.pools.class_pools import ClassPools
from pumicenotch.pools.plan import PoolPlan, PoolsPlan

__all__ = ["ClassPools", "PoolPlan", "PoolsPlan"]
