"""Requests that a gateway's own share of a quota does not cover: which to read for, which to admit at once.

Such requests are called uncertain.  A reading is a call to the shared counter that shows whether the quota
still covers a request.  While the counter cannot take a call for each uncertain request, calls are spent
where a wrong decision is expected to cost the most.  A request without a reading is admitted speculatively
only if its expected gain exceeds the expected cost of an overrun, which is use beyond the quota.  The
expected costs of such overruns are held to a small fraction of the worth of all requests sent to servers.

The worth of a request is that of its class, times the price of its plan, times its units.  The chance that a
reading admits a request is learned from earlier readings: of its customer, of its plan and of all customers.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from gingerworks.policy.constants import EPSILON
from gingerworks.policy.gap_counter import GapCounter

# Each new reading of a customer's shared count multiplies the weight of the customer's earlier readings by
# this, so that about the last five count.
CUSTOMER_MEMORY = 0.8
# Each new reading at a gateway multiplies the weight of earlier ones for the same kind of request by this, so
# that about the last fifty count.
GATEWAY_MEMORY = 0.98
# An estimate from a wider group, such as all customers of a plan, weighs as much as so many readings of the
# narrower group, such as one customer.
PRIOR_READINGS = 2.0
# Before any reading, a reading is expected to admit its request with this chance: quotas start unused.
START_CHANCE = 0.75
# A customer for whom no reading has been taken counts as one of high demand if it lately requested at least
# this fraction of its burst.
HIGH_DEMAND_FRACTION = 0.25
SCANT_HEADROOM = 0.25  # headroom is scant if less than this fraction of the burst is left after a request
AMPLE_HEADROOM = 0.6  # headroom is ample if at least this fraction of the burst is left after a request
# Speculative overruns may be expected to cost this fraction of the worth of all requests sent to servers.
OVERRUN_BUDGET_FRACTION = 0.02
OVERRUN_BUDGET_REQUESTS = 5.0  # the budget for overruns saves up at most the mean worth of so many requests
# A new value has at least this weight in a running mean, so that about the last fifty values count.
MIN_MEAN_GAIN = 0.02


class Headroom(Enum):
    """What a gateway knows of the units left for a request in its customer's quota."""

    UNREAD = "no reading has been taken"
    UNREAD_HIGH_DEMAND = "no reading has been taken, although the customer has sent many requests lately"
    NONE = "less than the request needs"
    SCANT = "hardly more than the request needs"
    SOME = "more than the request needs"
    AMPLE = "most of the quota is unused"
    BEYOND_PART = "enough in the quota, but not in this gateway's part of the ceiling"


def headroom_of(fraction_left: float) -> Headroom:
    """The headroom of a request that leaves this fraction of the burst unused; below 0, it lacks units."""
    if fraction_left < 0:
        return Headroom.NONE
    if fraction_left < SCANT_HEADROOM:
        return Headroom.SCANT
    return Headroom.SOME if fraction_left < AMPLE_HEADROOM else Headroom.AMPLE


class AdmitFraction:
    """The fraction of readings of the shared count that admitted their request; older ones count for less."""

    __slots__ = ("admitted_weight", "weight")

    def __init__(self) -> None:
        self.weight = 0.0
        self.admitted_weight = 0.0

    def estimate(self, prior: float) -> float:
        """The estimated chance that a reading admits a request.

        ``prior`` is the estimate from a wider group of readings, which matters most while there are few here.
        """
        return (self.admitted_weight + PRIOR_READINGS * prior) / (self.weight + PRIOR_READINGS)

    def add(self, admitted: bool, memory: float) -> None:
        """Add whether a reading admitted its request; ``memory`` multiplies the weight of earlier ones."""
        self.weight = self.weight * memory + 1.0
        self.admitted_weight = self.admitted_weight * memory + admitted


NO_READINGS = AdmitFraction()


@dataclass(frozen=True, slots=True)
class UncertainRequest:
    """A request that the gateway's share of the quota does not cover, and what is known of it.

    ``chance`` is the probability that a reading admits it.  ``overrun_cost`` is what it costs to admit it
    beyond the quota, as a multiple of its worth.
    """

    plan: str
    is_retry: bool
    headroom: Headroom
    chance: float
    worth: float
    overrun_cost: float

    @property
    def expected_cost(self) -> float:
        """Expected cost of admitting the request without a reading."""
        return (1.0 - self.chance) * self.overrun_cost * self.worth

    @property
    def is_worthwhile(self) -> bool:
        """Whether admitting the request without a reading is expected to gain at least what it costs."""
        return self.chance * self.worth >= self.expected_cost

    @property
    def loss_without_reading(self) -> float:
        """Expected loss if no reading is taken, by the better choice of admitting and refusing the request.

        A request beyond this gateway's part of the ceiling would be refused in any case.
        """
        refused = self.chance * self.worth
        return refused if self.headroom is Headroom.BEYOND_PART else min(refused, self.expected_cost)


class SpeculativeAdmission:
    """Learns from readings, and decides on the uncertain requests of one gateway."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._admit_fractions: dict[tuple[bool, Headroom], AdmitFraction] = {}
        self._plan_admit_fractions: dict[tuple[str, bool, Headroom], AdmitFraction] = {}
        self._mean_loss = Mean()
        self._mean_worth = Mean()
        # The budget for overruns starts empty: what this gateway admitted before a restart is not known.
        self._budget = GapCounter(EPSILON, 0.0, 0.0)

    def chance(
        self, plan: str, is_retry: bool, headroom: Headroom, customer_fraction: AdmitFraction
    ) -> float:
        """The chance that a reading admits a request of this kind from a customer with this record."""
        overall_fraction = self._admit_fractions.get((is_retry, headroom), NO_READINGS)
        plan_fraction = self._plan_admit_fractions.get((plan, is_retry, headroom), NO_READINGS)
        return customer_fraction.estimate(plan_fraction.estimate(overall_fraction.estimate(START_CHANCE)))

    def learn(self, uncertain: UncertainRequest, customer_fraction: AdmitFraction, admitted: bool) -> None:
        """Record whether a reading of the shared count admitted an uncertain request, for later estimates."""
        customer_fraction.add(admitted, CUSTOMER_MEMORY)
        kind = uncertain.is_retry, uncertain.headroom
        self._admit_fractions.setdefault(kind, AdmitFraction()).add(admitted, GATEWAY_MEMORY)
        self._plan_admit_fractions.setdefault((uncertain.plan, *kind), AdmitFraction()).add(
            admitted, GATEWAY_MEMORY
        )

    def should_read(self, uncertain: UncertainRequest, read_fraction: float) -> bool:
        """Whether to take a reading for a request; likelier, the larger the expected loss without a reading.

        ``read_fraction`` is the fraction of uncertain requests that readings are taken for; 1 stands for all.
        """
        self._mean_loss.add(uncertain.loss_without_reading)
        if read_fraction >= 1.0:
            return True
        # The chance of a reading averages about ``read_fraction`` while that is small, and nears 1 with it.
        odds = read_fraction / (1.0 - read_fraction**2)
        return self._rng.random() < odds * uncertain.loss_without_reading / max(
            EPSILON, self._mean_loss.value
        )

    def admits(self, uncertain: UncertainRequest) -> bool:
        """Whether to admit a request without a reading; its expected cost is taken from the overrun budget.

        The less of the budget is left, the more the expected gain has to exceed the expected cost.
        """
        cost, budget = uncertain.expected_cost, self._budget
        if not budget.covers(cost) or uncertain.chance * uncertain.worth * budget.level < cost * budget.cap:
            return False
        budget.adjust(-cost)
        return True

    def record_sent(self, worth: float) -> None:
        """Record the worth of a request sent to a server; a fraction of it is added to the overrun budget."""
        self._mean_worth.add(worth)
        self._budget.resize(max(EPSILON, OVERRUN_BUDGET_REQUESTS * self._mean_worth.value))
        self._budget.refill(OVERRUN_BUDGET_FRACTION * worth)


class Mean:
    """A running mean: exact at first, then of about the last fifty values."""

    def __init__(self) -> None:
        self.value = 0.0
        self._count = 0

    def add(self, value: float) -> None:
        """Update the mean with one more value."""
        self._count += 1
        self.value += max(MIN_MEAN_GAIN, 1.0 / self._count) * (value - self.value)
