"""Turner and Key's call gapping counter: a rate limiter that works like a token bucket refilled in steps.

It limits customers' use (quotas and ceilings), the requests sent to cold servers (slow start), retries and
hedges (retry budget), and speculative admission.  Amounts are in the unit of what is limited, such as units
of use, requests or attempts.
"""

from __future__ import annotations

import math

from gingerworks.policy.constants import EPSILON

# An empty counter is full after so many intervals.  It is the cap N that Turner and Key recommend (Table 1 of
# their paper), counted in increments m.
INTERVALS_TO_FULL = 40


class GapCounter:
    """The COUNTER of Turner and Key's paper.

    ``m`` is added in each interval, up to ``cap``, which is the N of the paper's equation (6).
    The paper's interval T is m divided by the rate of refill.  Here ``phase`` is the part of the running
    interval that has passed, so it stays valid when the rate changes, and one long refill does exactly what
    many short ones do.  ``level`` is the allowance left.
    """

    __slots__ = ("cap", "level", "m", "phase")

    def __init__(self, cap: float, level: float, phase: float) -> None:
        self.cap = cap
        self.level = level
        self.m = cap / INTERVALS_TO_FULL
        self.phase = phase

    def refill(self, amount: float) -> None:
        """Advance by the time that refilling this amount takes; the level rises by whole increments ``m``."""
        self.phase += amount / self.m
        intervals = math.floor(self.phase)
        self.phase -= intervals
        self.level = min(self.cap, self.level + intervals * self.m)

    def resize(self, cap: float) -> None:
        """Change the cap; the level stays the same fraction of it."""
        self.level *= cap / self.cap
        self.cap = cap
        self.m = cap / INTERVALS_TO_FULL

    def covers(self, amount: float) -> bool:
        """Whether the level is at least this amount, apart from rounding; nothing is taken from it."""
        return self.level >= amount - EPSILON

    def adjust(self, amount: float) -> None:
        """Add an amount to the level, up to the cap; a negative amount uses up allowance."""
        self.level = min(self.cap, self.level + amount)
