"""Turner and Key's call gapping counter: a rate limiter that works like a token bucket refilled in steps.

It limits customers' use by quotas and ceilings, the slow start of servers, further attempts by the retry
budget, and speculative admission.  Amounts are in the unit of what is limited, such as units of use, requests
or attempts.
"""

from __future__ import annotations

import math

from gingerworks.policy.constants import EPSILON

INTERVALS_TO_FULL = 40  # the N that the paper recommends, counted in increments m (its Table 1)


class GapCounter:
    """The COUNTER of the paper: ``m`` is added in each interval, up to ``cap``, which is its N; equation (6).

    The paper's interval T is m divided by the rate of refill.  Here ``phase`` is the part of the running
    interval that has passed, so it stays valid when the rate changes, and one long refill does exactly what
    many short ones do.  ``level`` is the allowance left.
    """

    def __init__(self, cap: float, level: float, phase: float) -> None:
        self.cap = cap
        self.level = level
        self.m = cap / INTERVALS_TO_FULL
        self.phase = phase

    def refill(self, amount: float) -> None:
        """Advance by the time in which the rate of refill brings this amount."""
        self.phase += amount / self.m
        intervals = math.floor(self.phase)
        self.phase -= intervals
        self.level = min(self.cap, self.level + intervals * self.m)

    def resize(self, cap: float) -> None:
        """Change the cap; the level stays the same fraction of it."""
        self.level *= cap / self.cap
        self.cap = cap
        self.m = cap / INTERVALS_TO_FULL

    def covers(self, units: float) -> bool:
        """Whether the allowance covers a request in full."""
        return self.level >= units - EPSILON

    def adjust(self, amount: float) -> None:
        """Give back allowance, or take it if the amount is below 0."""
        self.level = min(self.cap, self.level + amount)
