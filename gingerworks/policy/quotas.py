"""All customers of one gateway, and its calls to the counter that the gateways share.

Decides whether a customer's quota covers a request, when its use is reported to the shared count, and which
requests are held for a reading of it.  A request is uncertain if it may be within the quota, but is not
covered by the gateway's allowance or exceeds the even share of the burst.  While the counter answers in time,
a reading is taken for each uncertain request.  While it is late, readings are taken for a fraction of them,
and the others are admitted or refused by estimates, see ``speculative_admission``.
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

MIN_READ_FRACTION = 0.1  # of uncertain requests that are read for even if the counter does not answer
MAX_CUSTOMERS = 20_000  # known at a time: far more than send requests within a few sweeps
# Of the allowance, or of the even share if that is more: more unreported use than this is reported at once,
# as the other gateways admit requests from the same store.
URGENT_REPORT_FRACTION = 0.25
MAX_UNREPORTED = 0.5  # of the burst: more use that was admitted by estimates is reported by a call of its own
COUNTER_SILENT_NS = 3 * REPORT_PERIOD_NS  # without an answer: then the counter is taken to be out of service


class Quotas:
    """The customers of one gateway and its calls to the shared counter."""

    def __init__(
        self, settings: interface.Settings, rng: random.Random, started_ns: int, clock: ClockSync
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.started_ns = started_ns
        self.plans = {plan.name: plan for plan in settings.plans}
        self.customers: dict[tuple[str, str], Customer] = {}
        self.calls: dict[int, CounterCall] = {}  # without an answer yet, by the name of the count
        self.speculation = SpeculativeAdmission(rng)
        # The fraction of uncertain requests that readings are taken for, and that up to which the counter has
        # kept up lately; see ``adapt_read_fraction``.
        self.read_fraction = self.sustained_fraction = 1.0
        self.answered_at_ns = started_ns  # the last answer in time

    def customer(self, request: interface.Request, now: int) -> Customer:
        """The customer of a request, with its allowances refilled.

        A customer is told apart by its name and plan: requests that give a wrong plan in the name of a
        customer leave that customer's quota alone.
        """
        key = (request.customer, request.plan)
        if key not in self.customers and len(self.customers) >= MAX_CUSTOMERS:
            del self.customers[next(iter(self.customers))]  # the one that has been known for longest
        customer = self.customers[key] = self.customers.get(key) or Customer(request, self, now)
        customer.refill_allowances(now)
        customer.last_request_at_ns = now
        return customer

    def check_quota(self, inflight: InFlightRequest[Customer], now: int) -> bool | None:
        """Whether the quota covers a request; ``None`` if a reading of the shared count is to decide."""
        customer, units = inflight.customer, inflight.request.units
        allowance, has_counter = customer.allowance, self.settings.has_counter
        busy = customer.record_demand(units, now)
        if customer.plan.rate <= 0 or (
            allowance.covers(units) and (units <= customer.even_burst or not has_counter)
        ):
            return True
        if not has_counter or customer.certainly_exceeds(units, now):
            return False
        if self.should_read(inflight, customer.headroom(units, busy), now):
            return None
        return self.admits_without_reading(inflight, now)

    def should_read(self, inflight: InFlightRequest[Customer], headroom: Headroom, now: int) -> bool:
        """Whether to take a reading for an uncertain request.

        While the counter is late, most are taken where deciding without a reading is expected to cost most.
        """
        if not self.settings.has_counter:
            return False
        inflight.uncertainty = uncertain = self.assess(inflight, headroom)
        return not self.clock.suspends_customer_calls(now) and self.speculation.should_read(
            uncertain, self.read_fraction
        )

    def assess(self, inflight: InFlightRequest[Customer], headroom: Headroom) -> UncertainRequest:
        """What is known of a request that the allowance, or this part of the ceiling, does not cover."""
        customer, is_retry = inflight.customer, inflight.request.is_retry
        plan = customer.plan
        chance = self.speculation.chance(plan.name, is_retry, headroom, customer.pass_rate)
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
        """What serving a request within its quota is worth."""
        return inflight.request_class.worth * inflight.customer.plan.price * inflight.request.units

    def record_sent(self, inflight: InFlightRequest[Customer], now: int) -> None:
        """Record that a request was sent on for the first time."""
        inflight.customer.record_sent(inflight.request.units, now)
        self.speculation.record_sent(self.worth(inflight))

    def learn(self, inflight: InFlightRequest[Customer], passed: bool) -> None:
        """Learn from whether a reading admitted an uncertain request."""
        if inflight.uncertainty is not None:
            self.speculation.learn(inflight.uncertainty, inflight.customer.pass_rate, passed)

    def is_report_urgent(self, customer: Customer) -> bool:
        """Whether there is so much unreported use that the other gateways should know of it now."""
        return customer.unreported > URGENT_REPORT_FRACTION * max(
            customer.even_burst, customer.allowance.level
        )

    def record_unreported(self, customer: Customer, units: float) -> bool:
        """Record use that no call has reported; returns whether to plan a call that reports it."""
        customer.unreported += units
        return units <= customer.even_burst or customer.unreported > MAX_UNREPORTED * customer.allowance.cap

    def schedule_report(self, customer: Customer, now: int) -> int | None:
        """When to report this customer's use; ``None`` if no report is needed, or one is planned already.

        Use that is not urgent waits for a report period, which is longer while the counter is late and varies
        at random.
        """
        if not self.settings.has_counter or customer.plan.rate <= 0:
            return None
        planned, customer.report_scheduled = customer.report_scheduled, True
        if customer.counter_answered and self.is_report_urgent(customer):
            return now
        if planned:
            return None
        return now + int(REPORT_PERIOD_NS / self.read_fraction * (0.75 + 0.5 * self.rng.random()))

    def start_call(self, customer: Customer, now: int, correction: float = 0.0) -> list[interface.Count]:
        """A call for this customer, unless one is in flight; ``correction`` is added to correct the count."""
        customer.report_scheduled = False
        # Use so long ago that the store has refilled since need not be reported.  Otherwise a counter that
        # refuses calls would be called again and again for ever more customers that were seen once.
        if (now - customer.last_request_at_ns) * customer.plan.rate > customer.allowance.cap * SECOND:
            customer.unreported = min(0.0, customer.unreported)
        if customer.pending_call is not None or not (customer.waiting or customer.unreported or correction):
            return []
        name, began_ns = customer.count_name(now)
        call = customer.pending_call = self.calls[name] = CounterCall(
            customer, began_ns, correction, self.clock.agrees(now)
        )
        customer.unreported, customer.waiting = 0.0, []
        return [interface.Count(name, call.amount, COUNT_TTL_NS)]

    def start_count_correction(self, customer: Customer, now: int) -> list[interface.Count]:
        """Make the correction that the last reading found due, unless this gateway has made one just before.

        Other gateways may find the same fault and correct it too; all but the first take theirs back, see
        ``Customer.undo_duplicate_correction``.
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
    ) -> tuple[Customer, list[tuple[InFlightRequest[Customer], bool]]] | None:
        """Apply an answer; returns its customer, and whether the quota covers each request held for it."""
        call = self.calls.pop(answer.name, None)
        if call is None:
            return None
        customer = call.customer
        if call.clock_steps_at_start != self.clock.clock_steps:
            # The call was added to a count that the others do not read, so it is still to be added to theirs.
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
        for inflight, booked in call.held:
            units = inflight.request.units
            covered = customer.covers_without_reading(units) and customer.ceiling_part_covers(units)
            booked_anyway = 0.0 if answer.status.never_ran else booked
            # What the call booked has most likely been added: a late counter still carries out calls that
            # nobody waits for any more.
            customer.unreported += (units if covered else 0.0) - booked_anyway
            decisions.append((inflight, covered))
        return customer, decisions

    def handle_clock_answer(self, answer: interface.Counted, now: int) -> None:
        """Apply the answer to a call of the clock; if it changes the time, discard what was read before."""
        steps = self.clock.clock_steps
        self.clock.handle_answer(answer, now)
        if self.clock.clock_steps != steps:
            for customer in self.customers.values():
                customer.refill_allowances(now)
                customer.discard_readings(now)

    def adapt_read_fraction(self, late: bool) -> None:
        """Adapt the readings to what the counter answers in time, as TCP adapts its congestion window.

        A late or missing answer cuts the fraction of requests that are read for.  After that it doubles with
        each answer in time up to what the counter has sustained, so that an outage is soon made up for, and
        grows slowly beyond.
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
        """Forget idle customers with a full store, so that customers seen once do not fill the memory."""
        for key in list(self.customers):
            customer = self.customers[key]
            customer.refill_allowances(now)
            if customer.is_idle(now):
                del self.customers[key]
