"""All customers of one gateway, and its calls to the counter that the gateways share.

Decides whether a customer's quota covers a request, when its use is reported to the shared count, and which
requests are held for a reading of it, that is, for a call to the counter that returns the count's total.  A
request is uncertain if it may be within the quota, but is not covered by the gateway's allowance or exceeds
the even share of the burst (the burst divided by the customer's number of gateways).  While the counter
answers in time, a reading is taken for each uncertain request.  While it is late, readings are taken for a
fraction of them, and the others are admitted or refused by estimates, see ``speculative_admission``.
"""

from __future__ import annotations

import random
from dataclasses import replace

from gingerworks import interface
from gingerworks.policy.clock_sync import ClockSync
from gingerworks.policy.constants import COUNT_TTL_NS, REPORT_PERIOD_NS, SECOND
from gingerworks.policy.customer import CounterCall, Customer, HeldDecision
from gingerworks.policy.in_flight import InFlightRequest
from gingerworks.policy.speculative_admission import Headroom, SpeculativeAdmission, UncertainRequest

# Readings are taken for at least this fraction of uncertain requests, even if the counter does not answer.
MIN_READ_FRACTION = 0.1
# A gateway remembers at most so many customers.  Far fewer send requests within a few sweeps, which are the
# regular searches for idle customers to forget.
MAX_CUSTOMERS = 20_000
# Unreported use beyond this fraction of a customer's allowance, or of its even share of the burst if that is
# more, is reported at once, as the other gateways admit requests by the same quota.
URGENT_REPORT_FRACTION = 0.25
# If requests were admitted by estimates, a call is made to report their use once this fraction of the burst
# is unreported; until then their use waits for the customer's next call.
MAX_UNREPORTED_FRACTION = 0.5
# The counter is taken to be out of service after this time without an answer.
COUNTER_SILENT_NS = 3 * REPORT_PERIOD_NS


class Quotas:
    """The customers of one gateway and its calls to the shared counter."""

    def __init__(
        self,
        settings: interface.Settings,
        rng: random.Random,
        started_ns: int,
        clock: ClockSync,
        max_customers: int | None = None,
    ) -> None:
        """Remembers at most ``max_customers`` customers, by default ``MAX_CUSTOMERS``."""
        self.settings = settings
        self.max_customers = MAX_CUSTOMERS if max_customers is None else max_customers
        self.clock = clock
        self.rng = rng
        self.started_ns = started_ns
        self.plans = {plan.name: plan for plan in settings.plans}
        # In order of their last requests: the customer without a request for the longest time comes first.
        self.customers: dict[tuple[str, str], Customer] = {}
        self.forgotten_until_ns = 0  # the last request of any customer that was forgotten for lack of room
        self._forgotten: list[Customer] = []
        self.calls: dict[int, CounterCall] = {}  # calls without an answer yet, by the name of the count
        self.speculation = SpeculativeAdmission(rng)
        # The fraction of uncertain requests that readings are taken for, and the fraction at which the
        # counter has lately answered in time; see ``adapt_read_fraction``.
        self.read_fraction = self.sustained_fraction = 1.0
        self.answered_at_ns = started_ns  # when the counter last answered in time

    def customer(self, request: interface.Request, now: int) -> Customer:
        """The customer of a request, with its allowances refilled.

        A customer is told apart by its name and plan: requests that give a wrong plan in the name of a
        customer leave that customer's quota alone.
        """
        key = (request.customer, request.plan)
        known = self.customers.pop(key, None)
        if known is None and len(self.customers) >= self.max_customers:
            self._forget_longest_unused()
        customer = self.customers[key] = known or Customer(request, self, now)
        customer.refill_allowances(now)
        customer.last_request_at_ns = now
        return customer

    def _forget_longest_unused(self) -> None:
        customer = self.customers.pop(next(iter(self.customers)))
        customer.forgotten = True
        self.forgotten_until_ns = customer.last_request_at_ns
        self._forgotten.append(customer)

    def take_forgotten(self) -> list[Customer]:
        """The customers forgotten since the last call, whose use may still have to be reported."""
        forgotten, self._forgotten = self._forgotten, []
        return forgotten

    def check_quota(self, inflight: InFlightRequest[Customer], now: int) -> bool | None:
        """Whether the quota covers a request; ``None`` if a reading of the shared count is to decide."""
        customer, units = inflight.customer, inflight.request.units
        allowance, has_counter = customer.allowance, self.settings.has_counter
        high_demand = customer.record_demand(units, now)
        if customer.plan.rate <= 0 or (
            allowance.covers(units) and (units <= customer.even_burst or not has_counter)
        ):
            return True
        if not has_counter or customer.certainly_exceeds(units, now):
            return False
        if self.should_read(inflight, customer.headroom(units, high_demand), now):
            return None
        return self.admits_without_reading(inflight, now)

    def should_read(self, inflight: InFlightRequest[Customer], headroom: Headroom, now: int) -> bool:
        """Whether to take a reading for an uncertain request.

        While the counter is late, most readings are taken where a decision without one is expected to cost
        most.
        """
        if not self.settings.has_counter:
            return False
        inflight.uncertainty = uncertain = self.assess(inflight, headroom)
        return not self.clock.suspends_customer_calls(now) and self.speculation.should_read(
            uncertain, self.read_fraction
        )

    def assess(self, inflight: InFlightRequest[Customer], headroom: Headroom) -> UncertainRequest:
        """What is known of a request beyond the allowance or beyond the gateway's part of a ceiling."""
        customer, is_retry = inflight.customer, inflight.request.is_retry
        plan = customer.plan
        chance = self.speculation.chance(plan.name, is_retry, headroom, customer.admit_fraction)
        return UncertainRequest(
            plan.name, is_retry, headroom, chance, self.worth(inflight), plan.overrun_cost
        )

    def admits_without_reading(self, inflight: InFlightRequest[Customer], now: int) -> bool:
        """Whether to admit an uncertain request: by estimates, or the even share if the counter is silent."""
        customer, units, uncertain = inflight.customer, inflight.request.units, inflight.uncertainty
        silent = now - self.answered_at_ns > COUNTER_SILENT_NS and not self.clock.suspends_customer_calls(now)
        if uncertain is None or silent:
            return customer.covers_without_reading(units)
        return (uncertain.is_worthwhile and customer.share_covers(units)) or self.speculation.admits(
            uncertain
        )

    def worth(self, inflight: InFlightRequest[Customer]) -> float:
        """The worth of serving a request within its quota."""
        return inflight.request_class.worth * inflight.customer.plan.price * inflight.request.units

    def record_sent(self, inflight: InFlightRequest[Customer], now: int) -> None:
        """Record that the first attempt of a request was sent to a server."""
        inflight.customer.record_sent(inflight.request.units, now)
        self.speculation.record_sent(self.worth(inflight))

    def settle_units(self, inflight: InFlightRequest[Customer], billed_units: float | None) -> None:
        """Charge the difference between the units that the server billed, if any, and the request's units."""
        if billed_units is not None and inflight.customer.plan.rate > 0:
            extra = billed_units - inflight.request.units
            inflight.customer.allowance.adjust(-extra)
            inflight.customer.unreported += extra

    def learn(self, inflight: InFlightRequest[Customer], admitted: bool) -> None:
        """Update the estimates with whether a reading admitted an uncertain request."""
        if inflight.uncertainty is not None:
            self.speculation.learn(inflight.uncertainty, inflight.customer.admit_fraction, admitted)

    def is_report_urgent(self, customer: Customer) -> bool:
        """Whether a customer has so much unreported use that the other gateways should know of it now."""
        return customer.unreported > URGENT_REPORT_FRACTION * max(
            customer.even_burst, customer.allowance.level
        )

    def record_unreported(self, customer: Customer, units: float) -> bool:
        """Record an admitted request's use; returns whether to plan a call that reports it."""
        customer.unreported += units
        return (
            units <= customer.even_burst
            or customer.unreported > MAX_UNREPORTED_FRACTION * customer.allowance.cap
        )

    def schedule_report(self, customer: Customer, now: int) -> int | None:
        """When to report this customer's use; ``None`` if no report is needed, or one is planned already.

        A report that is not urgent waits for a report period, which is longer while the counter is late and
        varies at random.
        """
        if not self.settings.has_counter or customer.plan.rate <= 0 or customer.forgotten:
            return None
        planned, customer.report_scheduled = customer.report_scheduled, True
        if customer.counter_answered and self.is_report_urgent(customer):
            return now
        if planned:
            return None
        return now + int(REPORT_PERIOD_NS / self.read_fraction * (0.75 + 0.5 * self.rng.random()))

    def start_call(self, customer: Customer, now: int, correction: float = 0.0) -> list[interface.Count]:
        """Start a call to the counter for a customer, if there is anything to send and no call in flight.

        The call reports the customer's unreported use and takes readings for its waiting requests.
        ``correction`` is an amount that corrects a count that is known to be wrong.
        """
        customer.report_scheduled = False
        # Use need not be reported if the quota has refilled in full since.  Otherwise a counter that refuses
        # calls would be called again and again for ever more customers that were seen once.
        if (now - customer.last_request_at_ns) * customer.plan.rate > customer.allowance.cap * SECOND:
            customer.unreported = min(0.0, customer.unreported)
        if customer.pending_call is not None or not (
            customer.waiting_requests or customer.unreported or correction
        ):
            return []
        name, began_ns = customer.count_name(now)
        call = customer.pending_call = self.calls[name] = CounterCall(
            customer, began_ns, correction, self.clock.agrees(now)
        )
        customer.unreported, customer.waiting_requests = 0.0, []
        return [interface.Count(name, call.amount, COUNT_TTL_NS)]

    def start_count_correction(self, customer: Customer, now: int) -> list[interface.Count]:
        """Correct the shared count if the last reading showed it to be wrong, unless this was just done here.

        Other gateways may find the same fault and correct it too; all but the first take their corrections
        back, see ``Customer.undo_duplicate_correction``.
        """
        if (
            not customer.count_correction_due
            or customer.pending_call
            or now - customer.count_corrected_at_ns < customer.correction_settle_ns
        ):
            return []
        customer.count_corrected_at_ns = now
        return self.start_call(customer, now, customer.count_correction_due)

    def handle_answer(
        self, answer: interface.Counted, now: int
    ) -> tuple[Customer, list[HeldDecision]] | None:
        """Apply the answer to a customer's call; returns the customer and what it says of held requests."""
        call = self.calls.pop(answer.name, None)
        if call is None:
            return None
        customer = call.customer
        if call.clock_steps_at_start != self.clock.clock_steps:
            # The gateway has changed its time, and so the name of the count, since the call.  The units of
            # the call were added to a count that the other gateways do not read; they are still to be added
            # to the count that the others read.
            answer = replace(answer, status=interface.Status.UNUSED)
        call.clock_agreed = call.clock_agreed and self.clock.agrees(now)
        customer.refill_allowances(now)
        customer.pending_call = None
        customer.counter_answered = answer.status is interface.Status.DELIVERED
        # A call that was never sent says nothing of the counter.
        if answer.status is not interface.Status.UNUSED:
            self.adapt_read_fraction(
                not customer.counter_answered or 2 * answer.elapsed_ns > self.settings.counter_wait_ns
            )
        if customer.counter_answered:
            self.answered_at_ns = now
            return customer, customer.apply_reading(call, answer.total, now)
        if answer.status.never_ran:
            customer.unreported += call.reported
        decisions = []
        for inflight, booked in call.held_requests:
            units = inflight.request.units
            covered = customer.covers_without_reading(units) and customer.ceiling_part_covers(units)
            booked_anyway = 0.0 if answer.status.never_ran else booked
            # The units that the call booked have most likely been added to the count: a late counter still
            # carries out calls whose callers have stopped waiting.
            customer.unreported += (units if covered else 0.0) - booked_anyway
            decisions.append(HeldDecision(inflight, covered, booked=False))
        return customer, decisions

    def handle_clock_answer(self, answer: interface.Counted, now: int) -> None:
        """Pass an answer to the clock synchronisation.

        If it changes the agreed time, the names of the shared counts change too.  What this gateway read of
        counts with the old names then says nothing of the new ones, so it is discarded for all customers.
        """
        steps = self.clock.clock_steps
        self.clock.handle_answer(answer, now)
        if self.clock.clock_steps != steps:
            for customer in self.customers.values():
                customer.refill_allowances(now)
                customer.discard_readings(now)

    def adapt_read_fraction(self, late: bool) -> None:
        """Adapt the number of readings to the counter's speed, as TCP adapts its congestion window.

        A late or missing answer cuts the fraction of uncertain requests that readings are taken for.  Then
        each answer in time doubles the fraction, up to the one at which the counter has answered in time
        lately, so that it soon recovers from an outage.  Beyond that it grows slowly.
        """
        if late:
            if self.read_fraction >= self.sustained_fraction:
                self.sustained_fraction = max(MIN_READ_FRACTION, 0.9 * self.sustained_fraction)
            self.read_fraction = max(MIN_READ_FRACTION, 0.7 * self.read_fraction)
        elif self.read_fraction < self.sustained_fraction:
            self.read_fraction = min(2.0 * self.read_fraction, self.sustained_fraction)
        else:
            self.read_fraction = self.sustained_fraction = min(1.0, self.read_fraction + 0.01)

    def sweep(self, now: int) -> None:
        """Forget idle customers with a full quota, so that customers seen once do not fill the memory."""
        for key in list(self.customers):
            customer = self.customers[key]
            customer.refill_allowances(now)
            if customer.is_idle(now):
                del self.customers[key]
