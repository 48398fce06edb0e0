"""A simulation of one customer that asks for far more than its quota in bursts, through several gateways.

The decision modules run on one virtual clock and share nothing but the counter, which answers each call after
the same time.  Servers answer every attempt, so that all effects come from the quotas.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass
from functools import partial

from gingerworks import interface
from gingerworks.policy import Policy
from tests.agenda import Agenda
from tests.quota_fleet import Ceiling, Store, plan
from tests.support import MS, SAFE, SECOND, SharedCounts, listing, server, settings

ANSWER_NS = 30 * MS
CALL_TIMEOUT_NS = 50 * MS
REQUEST_GAP_NS = 20_000  # between the requests of a burst
DEADLINE_NS = 2500 * MS
START_S = 5.0  # the gateways agree on the time, and their parts of the ceiling fill


@dataclass(frozen=True)
class Customer:
    """The plan of the customer, and its traffic: again and again a spell of many requests, and a burst.

    ``ceiling`` is a multiple of the quota.  ``spell_factor`` is the rate of requests in a spell as a multiple
    of the quota's, ``burst_s`` the number of requests in a burst as seconds of that rate.
    """

    rate: float = 18.0
    burst: float = 36.0
    ceiling: float = 1.6
    spell_factor: float = 7.0
    spell_s: float = 4.0
    rest_s: float = 2.6
    burst_s: float = 8.0
    rounds: int = 3

    @property
    def plan(self) -> interface.Plan:
        return plan("high", self.rate, self.burst, 1.8, 1.2, self.ceiling, max_units=1.0)


@dataclass
class Result:
    """What was sent to servers, in requests of one unit each."""

    beyond_ceiling: float = 0.0
    sent: int = 0
    beyond_quota: int = 0
    offered: int = 0  # as if a single gateway decided
    calls: int = 0
    longest_held_ns: int = 0  # from a request to its first attempt or its refusal


class BurstFleet(Agenda):
    """The gateways, the counter and the customer."""

    def __init__(
        self,
        customer: Customer,
        seed: int,
        gateways: int = 4,
        counter_wait_ns: int = 20 * MS,
        lost_calls: float = 0.0,
    ) -> None:
        """``lost_calls`` is the fraction of calls that are added and whose answers never come."""
        super().__init__()
        self.customer, self.counter_wait_ns, self.lost_calls = customer, counter_wait_ns, lost_calls
        self.rng = random.Random(seed)
        self.ids = itertools.count(1)
        self.result = Result()
        self.ceiling = Ceiling(customer.plan)
        self.store, self.ideal_store = Store(customer.plan), Store(customer.plan)
        self.asked_at_ns: dict[int, int] = {}
        self.counts = SharedCounts()
        self.policies = [
            Policy(
                self.rng.getrandbits(48),
                settings(
                    me=me,
                    gateways=gateways,
                    tick_ns=4 * MS,
                    counter_wait_ns=CALL_TIMEOUT_NS,
                    max_units=1.0,
                    classes=(SAFE,),
                    plans=(plan("low", 1.0, 4.0, 1.0, 1.2), customer.plan),
                ),
                0,
            )
            for me in range(gateways)
        ]
        for policy in self.policies:
            self.handle(0, policy, listing(*(server(f"s{n}") for n in range(6))))

    def handle(self, now: int, policy: Policy, event: interface.Event) -> None:
        for action in policy.handle(now, [event]):
            match action:
                case interface.Assign():
                    self.record_sent(now, action.id)
                    answer = interface.Outcome(action.id, 0, interface.Status.DELIVERED, ANSWER_NS, True)
                    self.deliver(now + ANSWER_NS, policy, answer)
                case interface.Decline():
                    self.record_decided(now, action.id)
                case interface.Wake():
                    self.deliver(now + action.after_ns, policy, interface.Timer(action.token))
                case interface.Count():
                    self.call_counter(now, policy, action)

    def deliver(self, at: int, policy: Policy, event: interface.Event) -> None:
        self.schedule(at, lambda now: self.handle(now, policy, event))

    def call_counter(self, now: int, policy: Policy, call: interface.Count) -> None:
        """A call has its turn after half of the wait, and its answer comes after the other half."""
        self.result.calls += 1
        turn_ns = now + int(self.counter_wait_ns * self.rng.uniform(0.45, 0.55))
        answered_ns = turn_ns + self.counter_wait_ns // 2

        def add(at: int) -> None:
            total = self.counts.add(call, at)
            if self.rng.random() < self.lost_calls or answered_ns - now >= CALL_TIMEOUT_NS:
                late = interface.Counted(call.name, interface.Status.EXPIRED, 0.0, CALL_TIMEOUT_NS)
                self.deliver(now + CALL_TIMEOUT_NS, policy, late)
            else:
                answer = interface.Counted(call.name, interface.Status.DELIVERED, total, answered_ns - now)
                self.deliver(answered_ns, policy, answer)

        self.schedule(turn_ns, add)

    def record_decided(self, now: int, number: int) -> None:
        held_ns = now - self.asked_at_ns.pop(number, now)
        self.result.longest_held_ns = max(self.result.longest_held_ns, held_ns)

    def record_sent(self, now: int, number: int) -> None:
        self.record_decided(now, number)
        self.result.sent += 1
        self.result.beyond_quota += not self.store.take(1.0, now)
        self.ceiling.take(1.0, now)
        self.result.beyond_ceiling = max(self.result.beyond_ceiling, self.ceiling.overrun)

    def ask(self, now: int, policy: Policy) -> None:
        number = next(self.ids)
        self.result.offered += self.ideal_store.take(1.0, now)
        self.asked_at_ns[number] = now
        plan_name, gateways = self.customer.plan.name, len(self.policies)
        request = interface.Request(number, SAFE.name, plan_name, "firm", gateways, DEADLINE_NS, 1.0, False)
        self.handle(now, policy, request)

    def ask_evenly(self, from_s: float, seconds: float, rate: float) -> None:
        """Requests at even times, each through a gateway chosen at random."""
        for number in range(int(rate * seconds)):
            at = int((from_s + number / rate) * SECOND)
            self.schedule(at, lambda now: self.ask(now, self.rng.choice(self.policies)))

    def run(self) -> Result:
        """Run the simulation to its end."""
        customer = self.customer
        at_s = START_S
        self.ask_evenly(0.5, START_S - 0.5, 0.5 * customer.rate)
        for _ in range(customer.rounds):
            self.ask_evenly(at_s, customer.spell_s, customer.spell_factor * customer.rate)
            at_s += customer.spell_s + customer.rest_s
            for number in range(int(customer.burst_s * customer.rate)):
                policy = self.policies[number % len(self.policies)]
                at = int(at_s * SECOND) + number * REQUEST_GAP_NS
                self.schedule(at, partial(self.ask, policy=policy))
            at_s += customer.rest_s
        self.run_until(int((at_s + 2.0) * SECOND))
        return self.result
