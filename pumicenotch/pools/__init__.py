"""Class pools, the reserve for the cheapest classes, and budgets for repeated attempts: decisions without I/O
or clock. `pools.Pools` meets the decision module through the Protocol of that name in `interface.py`.
"""

from pumicenotch.pools.class_pools import Pools
from pumicenotch.pools.plan import Plan, Pool

__all__ = ["Plan", "Pool", "Pools"]
