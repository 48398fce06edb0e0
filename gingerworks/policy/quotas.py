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
from gingerworks.policy.customer import CounterCall, Customer
from gingerworks.policy.in_flight import InFlightRequest
from gingerworks.policy.speculative_admission import Headroom, SpeculativeAdmission, UncertainRequest

MIN_READ_FRACTION = 0.1  # of doubtful requests: so many still ask a counter that does not answer
MAX_CUSTOMERS = 20_000  # far more than ask within a few sweeps
URGENT_REPORT_SHARE = (
    0.25  # of the known headroom, or of the even share: use that is told at once, as others spend it too
)
MAX_UNREPORTED = 0.5  # of the burst: what was let in on guesses is told by a call of its own from so much on
COUNTER_SILENT_NS = 3 * REPORT_PERIOD_NS  # without an answer: the counter is taken for gone


class Quotas:
    """All customers' slices and the calls to the shared counter."""

    def __init__(
        self, settings: interface.Settings, rng: random.Random, start: int, clock: ClockSync
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.started_ns = start
        self.plans = {plan.name: plan for plan in settings.plans}
        self.customers: dict[tuple[str, str], Customer] = {}
        self.calls: dict[int, CounterCall] = {}
        self.speculation = SpeculativeAdmission(rng)
        self.read_fraction = self.sustained_fraction = 1.0
        self.answered_at_ns = start

    def customer(self, request: interface.Request, now: int) -> Customer:
        """The customer of a request, with counters refilled; a wrong plan in its name is counted apart."""
        key = (request.customer, request.plan)
        if key not in self.customers and len(self.customers) >= MAX_CUSTOMERS:
            del self.customers[next(iter(self.customers))]  # the one known for longest
        customer = self.customers[key] = self.customers.get(key) or Customer(request, self, now)
        customer.refill_allowances(now)
        customer.last_request_at_ns = now
        return customer

    def check_quota(self, inflight: InFlightRequest[Customer], now: int) -> bool | None:
        """Whether the allowance covers a request; none: that takes a reading of the shared count."""
        customer, units = inflight.customer, inflight.request.units
        gap, counter = customer.allowance, self.settings.has_counter
        busy = customer.record_demand(units, now)
        if customer.plan.rate <= 0 or (gap.covers(units) and (units <= customer.even_burst or not counter)):
            return True
        if not counter or customer.certainly_exceeds(units, now):
            return False
        if self.should_read(inflight, customer.headroom(units, busy), now):
            return None
        return self.admits_without_reading(inflight, now)

    def should_read(self, inflight: InFlightRequest[Customer], headroom: Headroom, now: int) -> bool:
        """Whether to take a reading for a doubtful request: the dearest first while the counter is late."""
        if not self.settings.has_counter:
            return False
        inflight.uncertainty = doubt = self.assess(inflight, headroom)
        return not self.clock.suspends_customer_calls(now) and self.speculation.should_read(
            doubt, self.read_fraction
        )

    def assess(self, inflight: InFlightRequest[Customer], headroom: Headroom) -> UncertainRequest:
        """What is known of a request that the slice, or the part of a ceiling, does not cover."""
        customer, is_retry = inflight.customer, inflight.request.is_retry
        plan = customer.plan
        chance = self.speculation.chance(plan.name, is_retry, headroom, customer.pass_rate)
        return UncertainRequest(
            plan.name, is_retry, headroom, chance, self.worth(inflight), plan.overrun_cost
        )

    def admits_without_reading(self, inflight: InFlightRequest[Customer], now: int) -> bool:
        """Whether to let in a doubtful request unasked; by the even split while the counter is away."""
        customer, units, doubt = inflight.customer, inflight.request.units, inflight.uncertainty
        silent = now - self.answered_at_ns > COUNTER_SILENT_NS and not self.clock.suspends_customer_calls(now)
        if doubt is None or silent:
            return customer.covers_without_reading(units)
        return (doubt.is_worthwhile and customer.share_covers(units)) or self.speculation.admits(doubt)

    def worth(self, inflight: InFlightRequest[Customer]) -> float:
        """What serving a request inside its quota is worth."""
        return inflight.request_class.worth * inflight.customer.plan.price * inflight.request.units

    def record_sent(self, inflight: InFlightRequest[Customer], now: int) -> None:
        """Note that a request was sent on for the first time."""
        inflight.customer.record_sent(inflight.request.units, now)
        self.speculation.record_sent(self.worth(inflight))

    def learn(self, inflight: InFlightRequest[Customer], passed: bool) -> None:
        """Note whether a reading let a doubtful request pass."""
        if inflight.uncertainty is not None:
            self.speculation.learn(inflight.uncertainty, inflight.customer.pass_rate, passed)

    def is_report_urgent(self, customer: Customer) -> bool:
        """Whether use not yet told has grown so large that others should hear of it now."""
        return customer.unreported > URGENT_REPORT_SHARE * max(customer.even_burst, customer.allowance.level)

    def record_unreported(self, customer: Customer, units: float) -> bool:
        """Note use that no call has told; whether it is to be reported, and not just with a next call."""
        customer.unreported += units
        return units <= customer.even_burst or customer.unreported > MAX_UNREPORTED * customer.allowance.cap

    def schedule_report(self, customer: Customer, now: int) -> int | None:
        """When this customer's use is to be reported: its due time, or none while a call is planned."""
        if not self.settings.has_counter or customer.plan.rate <= 0:
            return None
        planned, customer.report_scheduled = customer.report_scheduled, True
        if customer.counter_answered and self.is_report_urgent(customer):
            return now
        if planned:
            return None
        return now + int(REPORT_PERIOD_NS / self.read_fraction * (0.75 + 0.5 * self.rng.random()))

    def start_call(self, customer: Customer, now: int, repair: float = 0.0) -> list[interface.Count]:
        """A call for this customer, unless one is still out; ``repair`` puts a wrong count right."""
        customer.report_scheduled = False
        # Guards against ever more calls for customers seen once, each turned away and made again: what was
        # used so long ago that the store has refilled since is no news.
        if (now - customer.last_request_at_ns) * customer.plan.rate > customer.allowance.cap * SECOND:
            customer.unreported = min(0.0, customer.unreported)
        if customer.pending_call is not None or not (customer.waiting or customer.unreported or repair):
            return []
        name, began = customer.count_name(now)
        call = customer.pending_call = self.calls[name] = CounterCall(
            customer, began, repair, self.clock.agrees(now)
        )
        customer.unreported, customer.waiting = 0.0, []
        return [interface.Count(name, call.amount, COUNT_TTL_NS)]

    def start_repair(self, customer: Customer, now: int) -> list[interface.Count]:
        """Put right what the last reading found wrong, unless this gateway has just done so.

        Others may see the same fault and repair it too; all but the first undo theirs, see ``undo_repair``.
        """
        if (
            not customer.repair_due
            or customer.pending_call
            or now - customer.repaired_at_ns < customer.repair_settle_ns
        ):
            return []
        customer.repaired_at_ns = now
        return self.start_call(customer, now, customer.repair_due)

    def handle_answer(
        self, answer: interface.Counted, now: int
    ) -> tuple[Customer, list[tuple[InFlightRequest[Customer], bool]]] | None:
        """Take in an answer: whose it is, and for each request held for it whether it is let in."""
        call = self.calls.pop(answer.name, None)
        if call is None:
            return None
        customer = call.customer
        if call.clock_steps != self.clock.clock_steps:
            # Added to a count that the others do not read: it is owed to theirs.
            answer = replace(answer, status=interface.Status.UNUSED)
        call.clock_agreed = call.clock_agreed and self.clock.agrees(now)
        customer.refill_allowances(now)
        customer.pending_call = None
        customer.counter_answered = answer.status is interface.Status.DELIVERED
        if (
            answer.status is not interface.Status.UNUSED
        ):  # that call never left: it tells nothing of the counter
            self.adapt_read_fraction(
                not customer.counter_answered or 2 * answer.elapsed_ns > self.settings.counter_wait_ns
            )
        if customer.counter_answered:
            self.answered_at_ns = now
            return customer, customer.apply_reading(call, answer.total, now)
        if answer.status.never_ran:
            customer.unreported += call.reported
        verdicts = []
        for inflight, amount in call.held:
            units = inflight.request.units
            covered = customer.covers_without_reading(units) and customer.ceiling_part_covers(units)
            added = 0.0 if answer.status.never_ran else amount
            # Most likely added: a late counter works on what nobody waits for.
            customer.unreported += (units if covered else 0.0) - added
            verdicts.append((inflight, covered))
        return customer, verdicts

    def handle_clock_answer(self, answer: interface.Counted, now: int) -> None:
        """Take in the answer to a call of the clock; readings under a time that it gives up are forgotten."""
        steps = self.clock.clock_steps
        self.clock.handle_answer(answer, now)
        if self.clock.clock_steps != steps:
            for customer in self.customers.values():
                customer.refill_allowances(now)
                customer.discard_readings(now)

    def adapt_read_fraction(self, late: bool) -> None:
        """Ask as often as is answered in time, by congestion control with a quick start after an outage."""
        if late:
            if self.read_fraction >= self.sustained_fraction:
                self.sustained_fraction = max(MIN_READ_FRACTION, 0.9 * self.sustained_fraction)
            self.read_fraction = max(MIN_READ_FRACTION, 0.7 * self.read_fraction)
        elif self.read_fraction < self.sustained_fraction:
            self.read_fraction = min(2.0 * self.read_fraction, self.sustained_fraction)
        else:
            self.read_fraction = self.sustained_fraction = min(1.0, self.read_fraction + 0.01)

    def sweep(self, now: int) -> None:
        """Drop idle full counters, so that customers seen once do not fill the memory."""
        for key in list(self.customers):
            customer = self.customers[key]
            customer.refill_allowances(now)
            if customer.is_idle(now):
                del self.customers[key]
