"""One customer at one gateway: what it may still use, and what the shared count says of its use elsewhere.

A quota is a store of units that all gateways share: it refills at the plan's rate and holds the plan's burst.
Gateways add each customer's use to a shared count of the counter.  The total, less what has been refilled
since the count began, is the store's deficit: the units that it lacks.  A call to the counter reports use and
returns the total; such a total is called a reading of the shared count.

- Between readings a gateway may use its share of the rate: the even share, which is the rate divided by the
  customer's number of gateways, and whatever the other gateways seem to leave unused.
- Requests that the share does not cover can be held for a reading of the shared count; those that the store
  covers are booked, that is, added to the count before they are used.
- A shared count that cannot be right is corrected: a gateway adds the difference, which may be below 0.
- A plan may also have a ceiling on all use, within the quota and beyond it.  It is divided into a reserve,
  for requests that readings admit, and an even part for each gateway, from which the gateway may admit
  requests without a reading.

An allowance is what this gateway may still let the customer use of a quota or ceiling.
Amounts are in units of use, rates in units a second, times in nanoseconds.  ``docs/design.md`` describes the
rules.
"""

from __future__ import annotations

import hashlib
import math
import random
from typing import NamedTuple, Protocol

from gingerworks import interface
from gingerworks.policy.clock_sync import EPOCHS_PER_LAP, ClockSync
from gingerworks.policy.constants import COUNT_TTL_NS, EPSILON, REPORT_PERIOD_NS, SECOND, SWEEP_PERIOD_NS
from gingerworks.policy.gap_counter import GapCounter
from gingerworks.policy.in_flight import InFlightRequest
from gingerworks.policy.speculative_admission import (
    HIGH_DEMAND_FRACTION,
    AdmitFraction,
    Headroom,
    headroom_of,
)
from gingerworks.policy.timer_queue import ScheduledCallback

# A shared count is corrected if it shows more refill beyond a full store, a surplus, than this fraction of
# the burst.
TOLERATED_SURPLUS = 0.25
# A shared count is corrected if it shows more use beyond an empty store than this fraction of the burst.
TOLERATED_OVERUSE = 0.5
# After so many times the longest wait for an answer of the counter, a gateway has read the shared count with
# any correction that was made to it; if several gateways made the same one, all but one are undone by then.
CORRECTION_SETTLE_WAITS = 4
# A reading of the shared count is trusted in full for so many report periods, and then less and less.
READING_TRUST_PERIODS = 3.0
# A plan tolerates some units beyond its ceiling, called the slack.  This fraction of the slack is added to
# the gateways' parts of the ceiling; the rest is a margin for errors that this module does not foresee, such
# as a shared count that shows too much refill.
CEILING_SLACK_USED_FRACTION = 0.5
# Each gateway's part of a ceiling holds at least so many requests of the largest size, unless a ceiling's
# reserve of MIN_RESERVED_FRACTION leaves less.
MIN_CEILING_PART_REQUESTS = 1.5
# A ceiling's reserve is at least this fraction of the quota.  A ceiling too small for that has no reserve.
MIN_RESERVED_FRACTION = 0.5
# This fraction of the burst is set aside within a ceiling, because a shared count is not corrected while it
# shows no more refill than this beyond a full store.
CEILING_TOLERATED_SURPLUS = 0.1
# A gateway's share may lack this fraction of a request's units when it admits the request without a reading.
MAX_MISSING_SHARE = 0.5
# The call that takes a reading for a request also books the request's units in the shared count if the
# reading is expected to admit the request with at least this probability.
BOOK_AHEAD_CHANCE = 0.5


class CustomerContext(Protocol):
    """What a customer needs to know of its gateway; ``quotas.Quotas`` provides it.

    ``started_ns`` is the time at which the gateway started, ``forgotten_until_ns`` the time of the last
    request of any customer that it had to forget since.
    """

    settings: interface.Settings
    rng: random.Random
    started_ns: int
    forgotten_until_ns: int
    clock: ClockSync
    plans: dict[str, interface.Plan]


class HeldDecision(NamedTuple):
    """What the answer to a call says of a request that was held for it."""

    inflight: InFlightRequest[Customer]
    covered: bool  # the quota covers the request
    booked: bool  # the shared count has had its units since before the answer


class Customer:
    """One customer's allowances at this gateway, and what is known of its shared count."""

    __slots__ = (
        "admit_fraction", "allowance", "ceiling_allowance", "ceiling_even_rate", "clock",
        "correction_settle_ns", "count_corrected_at_ns", "count_correction_due", "counter_answered",
        "deficit", "deficit_before_correction", "demand", "demand_at_ns", "epoch_offset_ns",
        "even_burst", "even_rate", "exhausted", "forgotten", "key", "last_request_at_ns",
        "may_use_ceiling_reserve", "others_rate", "overuse_since_ns", "own_deficit",
        "own_deficit_at_ns", "pending_call", "plan", "read_at_ns", "refilled_at_ns",
        "report_callback", "report_scheduled", "reserved_units", "share_allowance",
        "tolerated_surplus", "unreported", "waiting_requests",
    )  # fmt: skip

    def __init__(self, request: interface.Request, context: CustomerContext, now: int) -> None:
        gateways, settings = max(1, request.entries), context.settings
        self.clock = context.clock
        self.key = f"{request.customer} {request.plan}"
        self.plan = plan = context.plans[request.plan]
        digest = hashlib.blake2b(request.customer.encode(), digest_size=8).digest()
        # Spreads the times at which the names of the customers' shared counts change.
        self.epoch_offset_ns = int.from_bytes(digest, "big") % COUNT_TTL_NS
        cap = max(plan.burst, settings.max_units)
        # A customer that is seen for the first time may certainly use its even share of the burst; the first
        # reading of the shared count shows what else is left.
        self.even_burst = cap / gateways
        initial = self.even_burst if settings.has_counter else max(self.even_burst, settings.max_units)
        # Estimate of the units that the quota's store holds, refilled at this gateway's share of the rate.
        # Each reading of the shared count replaces it.
        self.allowance = GapCounter(cap, initial, context.rng.random())
        # This gateway's part of the ceiling, if the plan has one.
        self.ceiling_allowance: GapCounter | None = None
        # Readings admit requests beyond the gateways' parts of the ceiling only while the quota's store lacks
        # no more than the ceiling's reserve.  The reserve is as large as the quota if the rest of the ceiling
        # is large enough for the parts.  Refill beyond a full store that the shared count may show is set
        # aside in addition.
        burst, rate, self.tolerated_surplus, self.reserved_units = (
            plan.ceiling_burst,
            plan.ceiling_rate,
            TOLERATED_SURPLUS * cap,
            0.0,
        )
        reservable = (
            burst
            - CEILING_TOLERATED_SURPLUS * plan.burst
            - MIN_CEILING_PART_REQUESTS * settings.max_units * gateways
        )
        reserved = min(1.0, max(MIN_RESERVED_FRACTION, reservable / max(plan.burst, EPSILON)))
        rest = burst - (reserved + CEILING_TOLERATED_SURPLUS) * plan.burst, rate - reserved * plan.rate
        if settings.has_counter and plan.rate > 0 < min(rest):
            (burst, rate), self.reserved_units = rest, reserved * plan.burst
            self.tolerated_surplus = (
                CEILING_TOLERATED_SURPLUS * plan.burst
                + (1 - CEILING_SLACK_USED_FRACTION) * plan.ceiling_slack
            )
        self.correction_settle_ns = CORRECTION_SETTLE_WAITS * settings.counter_wait_ns
        self.may_use_ceiling_reserve = False  # as the last reading of the shared count decided
        self.ceiling_even_rate = rate / gateways
        if plan.ceiling_rate > 0:
            # The part starts empty at that time: what this gateway admitted before a restart is not known,
            # nor what it admitted for a customer that it has forgotten.
            known_since_ns = max(context.started_ns, context.forgotten_until_ns)
            self.ceiling_allowance = GapCounter(
                (burst + CEILING_SLACK_USED_FRACTION * plan.ceiling_slack) / gateways, 0.0, 0.0
            )
            self.ceiling_allowance.refill(self.ceiling_even_rate * (now - known_since_ns) / SECOND)
        self.even_rate = plan.rate / gateways
        # This gateway's share of the quota, which readings do not replace: for requests that no reading is
        # taken for.  A share that is smaller than a request is saved up until it covers one.
        self.share_allowance = GapCounter(cap, self.even_burst, 0.0)
        self.others_rate = plan.rate - self.even_rate  # estimated rate of use at all other gateways together
        self.deficit = -math.inf  # units that the store lacked at the last reading; -inf: none has been taken
        # Two amounts that are still to be added to the shared count: unreported use, which is below 0 if
        # units added before have to be taken back, and the amount that corrects the count.
        self.unreported = self.count_correction_due = 0.0
        self.deficit_before_correction = (
            0.0  # shown by the shared count when a correction was found to be due
        )
        self.count_corrected_at_ns = -math.inf
        # When readings of the shared count began to show more than the tolerated overuse.
        self.overuse_since_ns: int | None = None
        self.admit_fraction = AdmitFraction()
        # The least that the quota's store can lack, judged by what this gateway alone has sent to servers.
        self.own_deficit = 0.0
        self.own_deficit_at_ns = self.demand_at_ns = now
        self.demand = 0.0  # units requested at this gateway lately; earlier ones count for less
        self.refilled_at_ns = self.read_at_ns = self.last_request_at_ns = now
        # The quota counts as exhausted if the store did not cover the last request with a reading.
        self.report_scheduled = self.exhausted = False
        self.report_callback: ScheduledCallback | None = None  # the report that is scheduled
        self.forgotten = False  # dropped from the table of customers; only its last report is still sent
        self.counter_answered = True  # whether the counter answered this customer's last call
        # Requests that the next call takes a reading for.
        self.waiting_requests: list[InFlightRequest[Customer]] = []
        self.pending_call: CounterCall | None = None

    def share_rate(self, now: int) -> float:
        """This gateway's share of the rate: the even share and what others left by a recent reading."""
        stale_periods = (now - self.read_at_ns) / REPORT_PERIOD_NS - READING_TRUST_PERIODS
        trust = 1.0 if stale_periods <= 0 else math.exp(-stale_periods / READING_TRUST_PERIODS)
        return self.even_rate + trust * max(0.0, self.plan.rate - self.others_rate - self.even_rate)

    def refill_allowances(self, now: int) -> None:
        """Refill the allowances up to now."""
        seconds = (now - self.refilled_at_ns) / SECOND
        refill = self.share_rate(now) * seconds
        self.allowance.refill(refill)
        self.share_allowance.refill(refill)
        if (
            not self.counter_answered
            and now - self.read_at_ns > READING_TRUST_PERIODS * REPORT_PERIOD_NS
            and self.unreported > 0
        ):
            # If all gateways reported the use of a whole outage of the counter at its end, the store would
            # look exhausted.  So use that this gateway's share covered meanwhile is not reported: the store
            # has been refilled by as much.
            self.unreported = max(0.0, self.unreported - refill)
        if self.ceiling_allowance is not None:
            self.ceiling_allowance.refill(self.ceiling_even_rate * seconds)
        self.refilled_at_ns = now

    def min_deficit(self, now: int) -> float:
        """The least that the quota's store can lack: the deficit at the last reading less refill since."""
        return max(0.0, self.deficit - self.plan.rate * (now - self.read_at_ns) / SECOND)

    def min_own_deficit(self, now: int) -> float:
        """The least that the quota's store can lack, judged by what this gateway has sent to servers."""
        return max(0.0, self.own_deficit - self.plan.rate * (now - self.own_deficit_at_ns) / SECOND)

    def record_sent(self, units: float, now: int) -> None:
        """Record units of a request sent to a server; units beyond a store's burst take nothing from it."""
        self.share_allowance.level = max(-self.even_burst, self.share_allowance.level - units)
        least_deficit = self.min_own_deficit(now)
        self.own_deficit = (
            least_deficit + units if least_deficit + units <= self.allowance.cap + EPSILON else least_deficit
        )
        self.own_deficit_at_ns = now

    def certainly_exceeds(self, units: float, now: int) -> bool:
        """Whether the store cannot cover these units, however few requests the other gateways have sent."""
        return max(self.min_deficit(now), self.min_own_deficit(now)) + units > self.allowance.cap + EPSILON

    def record_demand(self, units: float, now: int) -> bool:
        """Record requested units; returns whether many were requested within about the last full refill."""
        full_refills = self.plan.rate * (now - self.demand_at_ns) / SECOND / self.allowance.cap
        earlier_demand = self.demand * math.exp(-full_refills)
        self.demand, self.demand_at_ns = earlier_demand + units, now
        return earlier_demand >= HIGH_DEMAND_FRACTION * self.allowance.cap

    def headroom(self, units: float, high_demand: bool) -> Headroom:
        """What is known of the units left in the store for a request that the share does not cover."""
        if self.deficit < 0:
            return Headroom.UNREAD_HIGH_DEMAND if high_demand else Headroom.UNREAD
        return headroom_of((self.allowance.level - units) / self.allowance.cap)

    def undo_booking(self, units: float) -> None:
        """Take back the units that a reading booked for a request that was refused for another reason."""
        self.unreported -= units
        self.deficit -= units

    def refill_wait_ns(self, units: float) -> int:
        """How long until the quota has refilled enough for these units, if no other request uses it."""
        return int(max(0.0, units - self.allowance.level) / max(self.plan.rate, EPSILON) * SECOND)

    def ceiling_part_covers(self, units: float) -> bool:
        """Whether this gateway's part of the ceiling, if any, covers units that no reading has booked."""
        return self.ceiling_allowance is None or self.ceiling_allowance.covers(units)

    def covers_without_reading(self, units: float) -> bool:
        """Whether to admit a request while the counter gives no answer.

        The allowance has to cover the request or, if that is smaller, the even share of the burst.  A request
        larger than the even share is refused if the last reading found the store exhausted.
        """
        return self.allowance.covers(min(units, self.even_burst)) and not (
            self.exhausted and units > self.even_burst
        )

    def share_covers(self, units: float) -> bool:
        """Whether this gateway's share covers a request; half, or the even share if less, may be missing."""
        return self.share_allowance.covers(units - min(self.even_burst, units * MAX_MISSING_SHARE))

    def count_name(self, now: int) -> tuple[int, int]:
        """The name of the shared count at this time, and when it began; the name changes after each TTL.

        The time is the one that the gateways have agreed on.  Their own clocks come from the wall clocks of
        their machines, which may differ: then some gateways would use counts of other names, and grant
        the reserve of the ceiling once more.
        """
        epoch, age = divmod(self.clock.agreed_time(now) + self.epoch_offset_ns, COUNT_TTL_NS)
        digest = hashlib.blake2b(f"{self.key} {epoch % EPOCHS_PER_LAP}".encode(), digest_size=8).digest()
        return int.from_bytes(digest, "big") >> 1, now - age  # the counter's names have 63 bits

    def undo_duplicate_correction(self, call: CounterCall, deficit: float) -> float:
        """Take back this call's correction if another gateway made it first; returns the amount, or 0.

        ``deficit`` is what the shared count showed before it got the correction.  Answers give the totals in
        the order in which the calls reached the counter.  So of several gateways that correct
        the same fault, only the first one finds the deficit as it was.
        """
        corrected_part = (
            (deficit - call.deficit_before_correction) / call.correction if call.correction else 0.0
        )
        if corrected_part <= 0.5:
            return 0.0
        self.unreported -= call.correction
        return call.correction

    def count_correction_for(self, deficit: float, now: int) -> float:
        """What has to be added to a shared count with this deficit to correct it; 0 if it may be right.

        A count goes wrong in three ways: elapsed time counts as refill although the store is full, a counter
        that lost its counts makes the store look unused, and use beyond an empty store is added to the count
        although it takes nothing from the store.
        """
        least_deficit = self.min_deficit(now)
        if deficit <= (1 + TOLERATED_OVERUSE) * self.allowance.cap:
            self.overuse_since_ns = None
            return least_deficit - deficit if deficit < least_deficit - self.tolerated_surplus else 0.0
        # Use beyond an empty store is corrected only if it lasts: it may be the corrections that several
        # gateways have made of one fault, and all but one of these are about to be undone.
        if self.overuse_since_ns is None:
            self.overuse_since_ns = now
        return (
            self.allowance.cap - deficit if now - self.overuse_since_ns >= self.correction_settle_ns else 0.0
        )

    def apply_reading(self, call: CounterCall, total: float, now: int) -> list[HeldDecision]:
        """Apply a total of the shared count; returns whether the store covers each request that was held."""
        refilled = self.plan.rate * (now - call.count_began_ns) / SECOND
        total -= self.undo_duplicate_correction(call, total - call.amount - refilled)
        reported = max(0.0, call.reported)  # below 0, the call took back units that were never used
        # The store's deficit without the use that this call reported and booked.
        deficit_before = total - (call.amount - call.reported - call.correction + reported) - refilled
        unreported, correction = max(0.0, self.unreported), self.count_correction_for(deficit_before, now)
        self.count_correction_due, self.deficit_before_correction = correction, deficit_before
        corrected_deficit = (
            self.allowance.cap if self.overuse_since_ns is not None else deficit_before + correction
        )
        deficit = max(self.min_deficit(now), corrected_deficit) + reported
        seconds = max(EPSILON, (now - self.read_at_ns) / SECOND)
        others_rate_since = min(
            self.plan.rate, max(0.0, self.plan.rate + (deficit - reported - self.deficit) / seconds)
        )
        self.others_rate += (
            (others_rate_since - self.others_rate) * seconds / (seconds + REPORT_PERIOD_NS / SECOND)
        )
        self.allowance.level = self.allowance.cap - deficit - unreported
        decisions: list[HeldDecision] = []
        for inflight, booked in call.held_requests:
            covered = deficit + inflight.request.units <= self.allowance.cap + EPSILON
            self.exhausted = not covered
            if covered and not inflight.closed:
                deficit += inflight.request.units
                self.unreported += inflight.request.units - booked
            else:
                self.unreported -= booked
            decisions.append(HeldDecision(inflight, covered, booked > 0.0))
        # The ceiling's reserve may be used while the store's deficit is no larger than the reserve, or than
        # the deficit shortly before: then no more is admitted than the store refills.
        recent_deficit = self.deficit if now - self.read_at_ns <= REPORT_PERIOD_NS else 0.0
        self.deficit, self.read_at_ns = deficit, now
        within_reserve = deficit <= max(self.reserved_units, recent_deficit) and self.reserved_units > 0
        # Of a shared count that has to be corrected only the first reading is used: until the correction has
        # been made, further readings say nothing of the store.
        self.may_use_ceiling_reserve = within_reserve and (
            not correction or now - self.count_corrected_at_ns >= self.correction_settle_ns
        )
        # A gateway that may read another count than the others do keeps to its part of the ceiling.
        self.may_use_ceiling_reserve = self.may_use_ceiling_reserve and call.clock_agreed
        return decisions

    def discard_readings(self, now: int) -> None:
        """Forget all readings, as they were of a count named by another time than the other gateways use."""
        self.deficit, self.others_rate, self.read_at_ns = -math.inf, self.plan.rate - self.even_rate, now
        self.count_correction_due, self.overuse_since_ns = 0.0, None
        self.exhausted = self.may_use_ceiling_reserve = False

    def is_idle(self, now: int) -> bool:
        """Whether nothing is known of this customer that would be lost by forgetting it."""
        full = self.ceiling_allowance is None or self.ceiling_allowance.level >= self.ceiling_allowance.cap
        quiet = now - self.last_request_at_ns >= (COUNT_TTL_NS if self.exhausted else SWEEP_PERIOD_NS)
        return full and quiet and self.pending_call is None and self.min_deficit(now) <= 0.0


class CounterCall:
    """A call to the shared counter for one customer, and the requests that are held for its answer.

    The amount that the call adds to the shared count has three parts: use not yet reported, a correction of a
    count found to be wrong, and units booked for held requests, that is, counted before the request is sent.
    The answer is a reading of the count, by which each held request is admitted or refused.  For a request
    that will probably be refused the call books nothing; if the reading admits it, a later call adds its
    units.  Several gateways may then find the same units, so such a reading admits nothing from the reserve
    of a ceiling.
    """

    __slots__ = (
        "amount", "clock_agreed", "clock_steps_at_start", "correction", "count_began_ns",
        "customer", "deficit_before_correction", "held_requests", "reported",
    )  # fmt: skip

    def __init__(
        self, customer: Customer, count_began_ns: int, correction: float, agreed: bool = True
    ) -> None:
        """``agreed`` says whether there is evidence that all gateways name the count by the same time."""
        self.customer = customer
        self.clock_agreed = agreed
        self.clock_steps_at_start = customer.clock.clock_steps
        self.count_began_ns = count_began_ns
        self.reported = customer.unreported
        self.correction, self.deficit_before_correction = correction, customer.deficit_before_correction
        self.held_requests = [
            (inflight, self._booked_units(inflight)) for inflight in customer.waiting_requests
        ]
        self.amount = self.reported + self.correction + sum(booked for _, booked in self.held_requests)

    @staticmethod
    def _booked_units(inflight: InFlightRequest[Customer]) -> float:
        uncertain = inflight.uncertainty
        books = inflight.needs_booking or uncertain is None or uncertain.chance >= BOOK_AHEAD_CHANCE
        return inflight.request.units if books else 0.0

    @property
    def has_unbooked_requests(self) -> bool:
        """Whether the call holds a request whose units a later call adds to the count, if it is admitted."""
        return any(booked == 0.0 for _, booked in self.held_requests)
