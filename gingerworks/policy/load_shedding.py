"""Load shedding: estimates how far the servers are overloaded, and refuses the requests of least worth first.

The estimate is the load ratio: the time that this gateway's attempts have recently spent in flight, divided
by the time that the answers received meanwhile should have taken (the target answer time of each).  By
Little's law the former grows as soon as requests queue, so the ratio rises before late answers arrive.  When
it is clearly above 1, a request is refused with a probability that grows with the ratio.  Requests are ranked
by worth per work: the more of the offered work is worth more than a request's, the likelier it is refused.

Whatever slows the servers raises the ratio: overload, lost servers, expensive requests, pauses.  Shedding
does harm where answers are slow for another reason than load.

Times and durations are nanoseconds.
"""

from __future__ import annotations

import math

from gingerworks import interface
from gingerworks.policy.constants import SECOND, TARGET_AIM_FRACTIONS

# Load is remembered over this time, which is long enough for several answers at a gateway that gets few
# requests.
LOAD_MEMORY_NS = 3 * SECOND
# The load ratio is computed as if so many answers had come in the target time, in addition to those seen.
# With so many, random variation moves the ratio by a tenth, if the standard deviation of the work of requests
# equals its mean.
PRIOR_ANSWERS = 40.0
# Requests are shed only at load ratios above this.  Without overload, random variation reaches about this
# ratio, given the PRIOR_ANSWERS.
LOAD_RATIO_TOLERANCE = 1.1
# This exponent sets how steeply shedding grows with the load ratio.  A tenth above LOAD_RATIO_TOLERANCE, half
# of the requests of middle rank are refused: it is steep because queues cost the most.
SHED_EXPONENT = 12.0
# Each new request multiplies the recorded work and worth of earlier ones by this, so that requests are ranked
# among about the last hundred.
OFFER_MEMORY = 0.99


class LoadShedder:
    """The load ratio of one gateway, and the probability with which a request passes at that ratio."""

    def __init__(self, settings: interface.Settings, now: int) -> None:
        self.attempts_in_flight = 0
        self.time_in_flight_ns = self.time_allowed_ns = 0.0
        # Added to the time in flight and to the time allowed: otherwise a gateway with few requests, as each
        # has in a large fleet, would take random variation for overload.
        self.prior_ns = (
            PRIOR_ANSWERS
            * TARGET_AIM_FRACTIONS[0]
            * min(request_class.aim_ns for request_class in settings.classes)
        )
        self.updated_at_ns = now
        # Recently offered work and worth of each request class and plan.
        self.offered_work_and_worth = {
            (c.name, p.name): [0.0, 0.0] for c in settings.classes for p in settings.plans
        }

    def adjust_in_flight(self, change: int, now: int) -> None:
        """Account for the time since the last call, then change the number of attempts in flight."""
        elapsed = now - self.updated_at_ns
        fade = math.exp(-elapsed / LOAD_MEMORY_NS)
        self.time_in_flight_ns = self.time_in_flight_ns * fade + self.attempts_in_flight * elapsed
        self.time_allowed_ns *= fade
        self.updated_at_ns = now
        self.attempts_in_flight += change

    def load_ratio(self, now: int) -> float:
        """Attempts' time in flight divided by the time allowed for answers; above 1 means overload."""
        self.adjust_in_flight(0, now)
        return (self.time_in_flight_ns + self.prior_ns) / (self.time_allowed_ns + self.prior_ns)

    def pass_probability(
        self, request_class: interface.RequestClass, plan: interface.Plan, units: float, work: float, now: int
    ) -> float:
        """Record a request and return the probability of not shedding it, least for the least worth per work.

        ``work`` is the mean answer time of its class, as a measure of the work that it causes.
        """
        for offer in self.offered_work_and_worth.values():
            offer[0] *= OFFER_MEMORY
            offer[1] *= OFFER_MEMORY
        own = self.offered_work_and_worth[request_class.name, plan.name]
        own[0] += work
        own[1] += request_class.worth * plan.price * units
        worth_per_work = own[1] / own[0]
        total = sum(offer[0] for offer in self.offered_work_and_worth.values())
        work_worth_more = sum(
            offer[0]
            for offer in self.offered_work_and_worth.values()
            if offer[0] > 0 and offer[1] / offer[0] > worth_per_work
        )
        rank = (work_worth_more + 0.5 * own[0]) / total
        return math.pow(max(1.0, self.load_ratio(now) / LOAD_RATIO_TOLERANCE), -SHED_EXPONENT * rank)
