"""Load shedding: how hard the servers are pressed, and which requests are refused first then."""

from __future__ import annotations

import math

from gingerworks import interface
from gingerworks.policy.constants import SECOND, TARGET_AIM_FRACTIONS

LOAD_MEMORY_NS = 3 * SECOND  # memory of the load: several answers at a gateway of few requests
PRIOR_ANSWERS = 40.0  # unpressed ones taken for granted: as many vary by a tenth if work varies by its mean
CHANCE = 1.1  # times the time allowed, that is: so far it strays without overload, as the prior tells
SHED_POWER = 12.0  # a tenth too much time refuses half of the middling requests: queues cost most
VALUE_MEMORY = 0.99  # of the offered worth, a request: a hundred requests tell what is dear and what is not


class LoadShedder:
    """How hard the back end is pressed, and who is refused first then: the least worth for its work.

    Weighs the time that attempts spend out against the time that answers should take (Little's law), so it
    rises before late answers come.  Whatever slows the back end raises it: overload, lost servers, dear
    requests, pauses.  It does harm where slow answers are not a matter of load.
    """

    def __init__(self, settings: interface.Settings, now: int) -> None:
        self.attempts_in_flight = 0
        self.time_in_flight_ns = self.time_allowed_ns = 0.0
        # Guards against a gateway of few requests, as each is in a large fleet, taking chance for overload.
        self.prior_ns = (
            PRIOR_ANSWERS
            * TARGET_AIM_FRACTIONS[0]
            * min(request_class.aim_ns for request_class in settings.classes)
        )
        self.updated_ns = now
        self.offered_work_and_worth = {
            (c.name, p.name): [0.0, 0.0] for c in settings.classes for p in settings.plans
        }

    def adjust_in_flight(self, change: int, now: int) -> None:
        """Book a change of what is out."""
        gone = now - self.updated_ns
        fade = math.exp(-gone / LOAD_MEMORY_NS)
        self.time_in_flight_ns = self.time_in_flight_ns * fade + self.attempts_in_flight * gone
        self.time_allowed_ns *= fade
        self.updated_ns = now
        self.attempts_in_flight += change

    def load_ratio(self, now: int) -> float:
        """Time spent out over time allowed; above 1 the back end is pressed."""
        self.adjust_in_flight(0, now)
        return (self.time_in_flight_ns + self.prior_ns) / (self.time_allowed_ns + self.prior_ns)

    def pass_probability(
        self, request_class: interface.RequestClass, plan: interface.Plan, units: float, work: float, now: int
    ) -> float:
        """The part of such requests that may pass: the least worth for its work is refused first."""
        for row in self.offered_work_and_worth.values():
            row[0] *= VALUE_MEMORY
            row[1] *= VALUE_MEMORY
        mine = self.offered_work_and_worth[request_class.name, plan.name]
        mine[0] += work
        mine[1] += request_class.worth * plan.price * units
        value = mine[1] / mine[0]
        total = sum(row[0] for row in self.offered_work_and_worth.values())
        dearer = sum(
            row[0] for row in self.offered_work_and_worth.values() if row[0] > 0 and row[1] / row[0] > value
        )
        rank = (dearer + 0.5 * mine[0]) / total
        return math.pow(max(1.0, self.load_ratio(now) / CHANCE), -SHED_POWER * rank)
