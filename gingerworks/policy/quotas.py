"""All customers of one gateway, and its calls to the counter that the gateways share.

Decides whether a quota covers a request, when use is reported and how often the counter is asked about
requests that the gateway's own slice does not cover.
"""

from __future__ import annotations

import random
from dataclasses import replace

from gingerworks import interface
from gingerworks.policy.clock_sync import ClockSync
from gingerworks.policy.constants import COUNT_TTL_NS, REPORT_PERIOD_NS, SECOND
from gingerworks.policy.customer import Call, Customer
from gingerworks.policy.guesses import Doubt, Guesses, Room
from gingerworks.policy.in_flight import InFlight

LEAST_ASKING = 0.1  # of doubtful requests: so many still ask a counter that does not answer
CUSTOMERS_MOST = 20_000  # far more than ask within a few sweeps
QUANTUM = 0.25  # of the known room, or of the even share: use that is told at once, as others spend it too
UNTOLD = 0.5  # of the burst: what was let in on guesses is told by a call of its own from so much on
SILENT_NS = 3 * REPORT_PERIOD_NS  # without an answer: the counter is taken for gone


class Quotas:
    """All customers' slices and the calls to the shared counter."""

    def __init__(
        self, settings: interface.Settings, rng: random.Random, start: int, clock: ClockSync
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.start = start
        self.plans = {plan.name: plan for plan in settings.plans}
        self.customers: dict[tuple[str, str], Customer] = {}
        self.calls: dict[int, Call] = {}
        self.guesses = Guesses(rng)
        self.asking = self.keeps_up = 1.0
        self.answered_at = start

    def customer(self, request: interface.Request, now: int) -> Customer:
        """The customer of a request, with counters refilled; a wrong plan in its name is counted apart."""
        key = (request.customer, request.plan)
        if key not in self.customers and len(self.customers) >= CUSTOMERS_MOST:
            del self.customers[next(iter(self.customers))]  # the one known for longest
        customer = self.customers[key] = self.customers.get(key) or Customer(request, self, now)
        customer.advance(now)
        customer.seen_at = now
        return customer

    def verdict(self, inflight: InFlight[Customer], now: int) -> bool | None:
        """Whether the allowance covers a request; none: that takes a reading of the shared count."""
        customer, units = inflight.customer, inflight.request.units
        gap, counter = customer.gap, self.settings.has_counter
        busy = customer.asked_for(units, now)
        if customer.plan.rate <= 0 or (gap.covers(units) and (units <= customer.share or not counter)):
            return True
        if not counter or customer.surely_beyond(units, now):
            return False
        if self.asks(inflight, customer.room(units, busy), now):
            return None
        return self.guess(inflight, now)

    def asks(self, inflight: InFlight[Customer], room: Room, now: int) -> bool:
        """Whether to take a reading for a doubtful request: the dearest first while the counter is late."""
        if not self.settings.has_counter:
            return False
        inflight.doubt = doubt = self.doubt(inflight, room)
        return not self.clock.suspends_counts(now) and self.guesses.asks(doubt, self.asking)

    def doubt(self, inflight: InFlight[Customer], room: Room) -> Doubt:
        """What is known of a request that the slice, or the part of a ceiling, does not cover."""
        customer, is_retry = inflight.customer, inflight.request.is_retry
        plan = customer.plan
        chance = self.guesses.chance(plan.name, is_retry, room, customer.readings)
        return Doubt(plan.name, is_retry, room, chance, self.worth(inflight), plan.overrun_cost)

    def guess(self, inflight: InFlight[Customer], now: int) -> bool:
        """Whether to let in a doubtful request unasked; by the even split while the counter is away."""
        customer, units, doubt = inflight.customer, inflight.request.units, inflight.doubt
        silent = now - self.answered_at > SILENT_NS and not self.clock.suspends_counts(now)
        if doubt is None or silent:
            return customer.guess(units)
        return (doubt.gains and customer.floor_covers(units)) or self.guesses.lets_in(doubt)

    def worth(self, inflight: InFlight[Customer]) -> float:
        """What serving a request inside its quota is worth."""
        return inflight.kind.worth * inflight.customer.plan.price * inflight.request.units

    def sent(self, inflight: InFlight[Customer], now: int) -> None:
        """Note that a request was sent on for the first time."""
        inflight.customer.sent(inflight.request.units, now)
        self.guesses.sent(self.worth(inflight))

    def learn(self, inflight: InFlight[Customer], passed: bool) -> None:
        """Note whether a reading let a doubtful request pass."""
        if inflight.doubt is not None:
            self.guesses.learn(inflight.doubt, inflight.customer.readings, passed)

    def is_due(self, customer: Customer) -> bool:
        """Whether use not yet told has grown so large that others should hear of it now."""
        return customer.pending > QUANTUM * max(customer.share, customer.gap.level)

    def book(self, customer: Customer, units: float) -> bool:
        """Note use that no call has told; whether it is to be reported, and not just with a next call."""
        customer.pending += units
        return units <= customer.share or customer.pending > UNTOLD * customer.gap.cap

    def next_call(self, customer: Customer, now: int) -> int | None:
        """When this customer's use is to be reported: its due time, or none while a call is planned."""
        if not self.settings.has_counter or customer.plan.rate <= 0:
            return None
        planned, customer.scheduled = customer.scheduled, True
        if customer.heard and self.is_due(customer):
            return now
        if planned:
            return None
        return now + int(REPORT_PERIOD_NS / self.asking * (0.75 + 0.5 * self.rng.random()))

    def call(self, customer: Customer, now: int, repair: float = 0.0) -> list[interface.Count]:
        """A call for this customer, unless one is still out; ``repair`` puts a wrong count right."""
        customer.scheduled = False
        # Guards against ever more calls for customers seen once, each turned away and made again: what was
        # used so long ago that the store has refilled since is no news.
        if (now - customer.seen_at) * customer.plan.rate > customer.gap.cap * SECOND:
            customer.pending = min(0.0, customer.pending)
        if customer.call is not None or not (customer.waiting or customer.pending or repair):
            return []
        name, began = customer.count_name(now)
        call = customer.call = self.calls[name] = Call(customer, began, repair, self.clock.agrees(now))
        customer.pending, customer.waiting = 0.0, []
        return [interface.Count(name, call.amount, COUNT_TTL_NS)]

    def repair(self, customer: Customer, now: int) -> list[interface.Count]:
        """Put right what the last reading found wrong, unless this gateway has just done so.

        Others may see the same fault and repair it too; all but the first undo theirs, see ``undo_repair``.
        """
        if not customer.repair or customer.call or now - customer.repaired_at < customer.repair_ns:
            return []
        customer.repaired_at = now
        return self.call(customer, now, customer.repair)

    def counted(
        self, answer: interface.Counted, now: int
    ) -> tuple[Customer, list[tuple[InFlight[Customer], bool]]] | None:
        """Take in an answer: whose it is, and for each request held for it whether it is let in."""
        call = self.calls.pop(answer.name, None)
        if call is None:
            return None
        customer = call.customer
        if call.time_steps != self.clock.steps:
            # Added to a count that the others do not read: it is owed to theirs.
            answer = replace(answer, status=interface.Status.UNUSED)
        call.agreed = call.agreed and self.clock.agrees(now)
        customer.advance(now)
        customer.call = None
        customer.heard = answer.status is interface.Status.DELIVERED
        if (
            answer.status is not interface.Status.UNUSED
        ):  # that call never left: it tells nothing of the counter
            self.steer(not customer.heard or 2 * answer.elapsed_ns > self.settings.counter_wait_ns)
        if customer.heard:
            self.answered_at = now
            return customer, customer.reading(call, answer.total, now)
        if answer.status.never_ran:
            customer.pending += call.told
        verdicts = []
        for inflight, amount in call.held:
            units = inflight.request.units
            covered = customer.guess(units) and customer.unheard(units)
            added = 0.0 if answer.status.never_ran else amount
            # Most likely added: a late counter works on what nobody waits for.
            customer.pending += (units if covered else 0.0) - added
            verdicts.append((inflight, covered))
        return customer, verdicts

    def synced(self, answer: interface.Counted, now: int) -> None:
        """Take in the answer to a call of the clock; readings under a time that it gives up are forgotten."""
        steps = self.clock.steps
        self.clock.answered(answer, now)
        if self.clock.steps != steps:
            for customer in self.customers.values():
                customer.advance(now)
                customer.forget_readings(now)

    def steer(self, late: bool) -> None:
        """Ask as often as is answered in time, by congestion control with a quick start after an outage."""
        if late:
            if self.asking >= self.keeps_up:
                self.keeps_up = max(LEAST_ASKING, 0.9 * self.keeps_up)
            self.asking = max(LEAST_ASKING, 0.7 * self.asking)
        elif self.asking < self.keeps_up:
            self.asking = min(2.0 * self.asking, self.keeps_up)
        else:
            self.asking = self.keeps_up = min(1.0, self.asking + 0.01)

    def sweep(self, now: int) -> None:
        """Drop idle full counters, so that customers seen once do not fill the memory."""
        for key in list(self.customers):
            customer = self.customers[key]
            customer.advance(now)
            if customer.idle(now):
                del self.customers[key]
