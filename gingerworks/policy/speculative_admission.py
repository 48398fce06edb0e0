"""Requests that a gateway's own slice does not cover: which to ask about, and which to let in unasked.

A call of the shared counter is spent where a wrong decision would cost the most, and a guess only where its
expected gain exceeds its expected cost.  What guesses may cost in the long run is held to a share of the
worth let in.  Worth is that of the class, times the price of the plan, times the units of the request.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from gingerworks.policy.constants import EPSILON
from gingerworks.policy.gap_counter import GapCounter

CUSTOMER_MEMORY = 0.8  # of a customer's earlier readings, at each further one: about the last five count
GATEWAY_MEMORY = 0.98  # of all readings of a kind: about the last fifty count
PRIOR_READINGS = 2.0  # as many readings of a kind weigh as much as all that is known of a wider kind
START_CHANCE = 0.75  # before any reading: stores start full
BUSY_DEMAND = 0.25  # of the burst: recent demand above which a customer without a reading counts as busy
SCANT_HEADROOM = 0.25  # of the burst
AMPLE_HEADROOM = 0.6  # of the burst
OVERRUN_BUDGET_SHARE = 0.02  # of the worth let in: what guesses are expected to cost by units beyond quotas
OVERRUN_BUDGET_REQUESTS = 5.0  # mean requests' worth that the cost of guesses may run ahead
MIN_MEAN_GAIN = 0.02  # of running means: about the last fifty requests count


class Headroom(Enum):
    """What a gateway knows of the room for a request in its customer's store."""

    UNREAD = "no reading has been taken"
    UNREAD_BUSY = "no reading has been taken, though requests have come at some rate"
    NONE = "less than the request needs"
    SCANT = "hardly more than the request needs"
    SOME = "more than the request needs"
    AMPLE = "most of the store is unused"
    BEYOND_PART = "enough in the quota, but not in this gateway's part of the ceiling"


def headroom_of(left: float) -> Headroom:
    """The room where this part of the burst is left after the request."""
    if left < 0:
        return Headroom.NONE
    if left < SCANT_HEADROOM:
        return Headroom.SCANT
    return Headroom.SOME if left < AMPLE_HEADROOM else Headroom.AMPLE


class PassRate:
    """How many of the readings of a kind let the request pass; older ones fade."""

    def __init__(self) -> None:
        self.readings = 0.0
        self.passed = 0.0

    def estimate(self, prior: float) -> float:
        """The part that passed, where ``prior`` is what is known from elsewhere."""
        return (self.passed + PRIOR_READINGS * prior) / (self.readings + PRIOR_READINGS)

    def add(self, passed: bool, memory: float) -> None:
        """Count one reading; ``memory`` is what remains of the earlier ones."""
        self.readings = self.readings * memory + 1.0
        self.passed = self.passed * memory + passed


NO_READINGS = PassRate()


@dataclass(frozen=True, slots=True)
class UncertainRequest:
    """A request that the slice does not cover, and what is known of it.

    ``chance`` is that of a reading to let it pass.  ``overrun_cost`` is the cost, for each worth, of letting
    it in although it is beyond the quota.
    """

    plan: str
    is_retry: bool
    headroom: Headroom
    chance: float
    worth: float
    overrun_cost: float

    @property
    def expected_cost(self) -> float:
        """Expected cost of letting it in unasked."""
        return (1.0 - self.chance) * self.overrun_cost * self.worth

    @property
    def is_worthwhile(self) -> bool:
        """Whether letting it in unasked is expected to gain more than it costs."""
        return self.chance * self.worth >= self.expected_cost

    @property
    def loss_without_reading(self) -> float:
        """Expected loss if it is not asked about, whichever way is then chosen."""
        refused = self.chance * self.worth
        return refused if self.headroom is Headroom.BEYOND_PART else min(refused, self.expected_cost)


class SpeculativeAdmission:
    """Learns from readings, and decides on the doubtful requests of one gateway."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pass_rates: dict[tuple[bool, Headroom], PassRate] = {}
        self._plan_pass_rates: dict[tuple[str, bool, Headroom], PassRate] = {}
        self._mean_loss = Mean()
        self._mean_worth = Mean()
        # Empty at first: what a former life of this gateway let in is not known.
        self._budget = GapCounter(EPSILON, 0.0, 0.0)

    def chance(self, plan: str, is_retry: bool, headroom: Headroom, customer_rate: PassRate) -> float:
        """The chance that a reading lets such a request of a customer with these readings pass."""
        overall_rate = self._pass_rates.get((is_retry, headroom), NO_READINGS)
        plan_rate = self._plan_pass_rates.get((plan, is_retry, headroom), NO_READINGS)
        return customer_rate.estimate(plan_rate.estimate(overall_rate.estimate(START_CHANCE)))

    def learn(self, uncertain: UncertainRequest, customer_rate: PassRate, passed: bool) -> None:
        """Take in a reading for a doubtful request."""
        customer_rate.add(passed, CUSTOMER_MEMORY)
        kind = uncertain.is_retry, uncertain.headroom
        self._pass_rates.setdefault(kind, PassRate()).add(passed, GATEWAY_MEMORY)
        self._plan_pass_rates.setdefault((uncertain.plan, *kind), PassRate()).add(passed, GATEWAY_MEMORY)

    def should_read(self, uncertain: UncertainRequest, read_fraction: float) -> bool:
        """Whether to spend a call: for the dearest first; ``read_fraction`` 1 asks about all."""
        self._mean_loss.add(uncertain.loss_without_reading)
        if read_fraction >= 1.0:
            return True
        # Reads about that fraction of the requests while it is small, and ever nearer to all as it nears 1.
        odds = read_fraction / (1.0 - read_fraction**2)
        return self._rng.random() < odds * uncertain.loss_without_reading / max(
            EPSILON, self._mean_loss.value
        )

    def admits(self, uncertain: UncertainRequest) -> bool:
        """Whether to let in a request unasked: its gain is worth it, the more so the less budget is left."""
        cost, budget = uncertain.expected_cost, self._budget
        if not budget.covers(cost) or uncertain.chance * uncertain.worth * budget.level < cost * budget.cap:
            return False
        budget.adjust(-cost)
        return True

    def record_sent(self, worth: float) -> None:
        """A request was sent on: what guesses may cost grows with it."""
        self._mean_worth.add(worth)
        self._budget.resize(max(EPSILON, OVERRUN_BUDGET_REQUESTS * self._mean_worth.value))
        self._budget.refill(OVERRUN_BUDGET_SHARE * worth)


class Mean:
    """A running mean: exact at first, then of about the last fifty values."""

    def __init__(self) -> None:
        self.value = 0.0
        self._count = 0

    def add(self, value: float) -> None:
        """Take in one value."""
        self._count += 1
        self.value += max(MIN_MEAN_GAIN, 1.0 / self._count) * (value - self.value)
