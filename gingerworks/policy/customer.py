"""One customer at one gateway: its slice of the quota and what the shared counter tells of use elsewhere.

Amounts are in units of use, rates in units a second, times in nanoseconds.  ``docs/design.md`` describes the
rules.
"""

from __future__ import annotations

import hashlib
import math
import random
from typing import Protocol

from gingerworks import interface
from gingerworks.policy.clock_sync import EPOCHS_IN_LAP, ClockSync
from gingerworks.policy.constants import COUNT_TTL_NS, EPSILON, REPORT_PERIOD_NS, SECOND, SWEEP_PERIOD_NS
from gingerworks.policy.gap_counter import GapCounter
from gingerworks.policy.in_flight import InFlightRequest
from gingerworks.policy.speculative_admission import BUSY_DEMAND, Headroom, PassRate, headroom_of

TOLERATED_SURPLUS = (
    0.25  # of the burst: unused refill beyond a full store that is let stand in the shared count
)
TOLERATED_OVERUSE = 0.5  # of the burst: use beyond an empty store that is let stand in the shared count
REPAIR_SETTLE_WAITS = 4  # for a call: until a repair, and what others undo of theirs, has surely been read
TRUST_PERIODS = 3.0  # readings older than this many periods count for less and less
CEILING_SLACK_USED = 0.5  # of the ceiling's slack; the rest is for what was not thought of
MIN_PART_REQUESTS = (
    1.5  # of the largest request: what a part of a ceiling holds before readings pass any beside it
)
MIN_RESERVED = 0.5  # of the quota, out of a ceiling that leaves as much: readings pass so much at the least
CEILING_TOLERATED_SURPLUS = (
    0.1  # of the burst, out of a ceiling: unused refill that is let stand in the shared count
)
SHARE_ADVANCE = 0.5  # of a request that is not asked about: what may be sent on ahead of the slice
LIKELY_CHANCE = 0.5  # chance to pass from which a request's units are added by the call that asks about it


class CustomerContext(Protocol):
    """What a new customer is told of its gateway; ``quotas.Quotas`` provides it.

    ``start`` is the time at which the gateway started, in nanoseconds.
    """

    settings: interface.Settings
    rng: random.Random
    start: int
    clock: ClockSync
    plans: dict[str, interface.Plan]


class Customer:
    """One customer's slice, its counter and what the shared count tells of its use elsewhere."""

    def __init__(self, request: interface.Request, quotas: CustomerContext, now: int) -> None:
        entries, settings = max(1, request.entries), quotas.settings
        self.clock = quotas.clock
        self.key = f"{request.customer} {request.plan}"
        self.plan = plan = quotas.plans[request.plan]
        digest = hashlib.blake2b(request.customer.encode(), digest_size=8).digest()
        self.epoch_offset_ns = int.from_bytes(digest, "big") % COUNT_TTL_NS
        cap = max(plan.burst, settings.max_units)
        # Seen for the first time: its even share is surely ours; the first reading tells of the rest.
        self.even_burst = cap / entries
        first = self.even_burst if settings.has_counter else max(self.even_burst, settings.max_units)
        self.allowance = GapCounter(cap, first, quotas.rng.random())
        self.ceiling_allowance: GapCounter | None = None
        # Rule 5: readings pass requests beside the parts only while the store lacks no more than is set apart
        # of the quota: all of it, if the rest leaves room in the parts.  Unused refill comes on top of that.
        store, rate, self.tolerated_surplus, self.reserved_units = (
            plan.ceiling_burst,
            plan.ceiling_rate,
            TOLERATED_SURPLUS * cap,
            0.0,
        )
        room = (
            store - CEILING_TOLERATED_SURPLUS * plan.burst - MIN_PART_REQUESTS * settings.max_units * entries
        )
        part = min(1.0, max(MIN_RESERVED, room / max(plan.burst, EPSILON)))
        rest = store - (part + CEILING_TOLERATED_SURPLUS) * plan.burst, rate - part * plan.rate
        if settings.has_counter and plan.rate > 0 < min(rest):
            (store, rate), self.reserved_units = rest, part * plan.burst
            self.tolerated_surplus = (
                CEILING_TOLERATED_SURPLUS * plan.burst + (1 - CEILING_SLACK_USED) * plan.ceiling_slack
            )
        self.repair_settle_ns = REPAIR_SETTLE_WAITS * settings.counter_wait_ns
        self.may_use_reserve = False
        self.ceiling_even_rate = rate / entries
        if plan.ceiling_rate > 0:
            # After a restart nobody knows what this gateway let through before, so it starts empty.
            self.ceiling_allowance = GapCounter(
                (store + CEILING_SLACK_USED * plan.ceiling_slack) / entries, 0.0, 0.0
            )
            self.ceiling_allowance.refill(self.ceiling_even_rate * (now - quotas.start) / SECOND)
        self.even_rate = plan.rate / entries
        # The slice alone, saved up over many requests where it is less than one; for those not asked about.
        self.share_allowance = GapCounter(cap, self.even_burst, 0.0)
        self.others_rate = plan.rate - self.even_rate
        self.deficit = -math.inf  # not known
        self.unreported = self.repair_due = 0.0
        self.deficit_before_repair = 0.0  # what the count lacked as the repair was found due
        self.repaired_at = -math.inf
        self.overuse_since: int | None = None
        self.pass_rate = PassRate()
        self.own_deficit = 0.0  # what the store lacks at the least by what was sent on from here
        self.own_deficit_at = self.demand_at = now
        self.demand = 0.0
        self.advanced_at = self.read_at = self.last_request_at = now
        self.report_scheduled = self.exhausted = False
        self.counter_answered = True
        self.waiting: list[InFlightRequest[Customer]] = []
        self.pending_call: CounterCall | None = None

    def share_rate(self, now: int) -> float:
        """Units a second: the even floor, and of the rest what the others leave, as far as it is trusted."""
        stale = (now - self.read_at) / REPORT_PERIOD_NS - TRUST_PERIODS
        trust = 1.0 if stale <= 0 else math.exp(-stale / TRUST_PERIODS)
        return self.even_rate + trust * max(0.0, self.plan.rate - self.others_rate - self.even_rate)

    def advance(self, now: int) -> None:
        """Refill the counters up to now."""
        seconds = (now - self.advanced_at) / SECOND
        refill = self.share_rate(now) * seconds
        self.allowance.refill(refill)
        self.share_allowance.refill(refill)
        if (
            not self.counter_answered
            and now - self.read_at > TRUST_PERIODS * REPORT_PERIOD_NS
            and self.unreported > 0
        ):
            # Guards against all gateways telling the use of a whole outage at its end: what this one's slice
            # covered meanwhile is no news, and whoever reads first takes it for refilled.
            self.unreported = max(0.0, self.unreported - refill)
        if self.ceiling_allowance is not None:
            self.ceiling_allowance.refill(self.ceiling_even_rate * seconds)
        self.advanced_at = now

    def min_deficit(self, now: int) -> float:
        """What the store lacks at the least: all that was missing at the last reading, less its refill."""
        return max(0.0, self.deficit - self.plan.rate * (now - self.read_at) / SECOND)

    def min_own_deficit(self, now: int) -> float:
        """What the store lacks at the least by what this gateway alone has sent on."""
        return max(0.0, self.own_deficit - self.plan.rate * (now - self.own_deficit_at) / SECOND)

    def record_sent(self, units: float, now: int) -> None:
        """Note use that was sent on; what is beyond the burst takes nothing from the store."""
        self.share_allowance.level = max(-self.even_burst, self.share_allowance.level - units)
        least = self.min_own_deficit(now)
        self.own_deficit = least + units if least + units <= self.allowance.cap + EPSILON else least
        self.own_deficit_at = now

    def certainly_exceeds(self, units: float, now: int) -> bool:
        """Whether the store cannot hold these units, whatever the other gateways have sent on."""
        return max(self.min_deficit(now), self.min_own_deficit(now)) + units > self.allowance.cap + EPSILON

    def record_demand(self, units: float, now: int) -> bool:
        """Note a request; whether many units were asked for here before, within the time of a refill."""
        fades = self.plan.rate * (now - self.demand_at) / SECOND / self.allowance.cap
        before = self.demand * math.exp(-fades)
        self.demand, self.demand_at = before + units, now
        return before >= BUSY_DEMAND * self.allowance.cap

    def headroom(self, units: float, busy: bool) -> Headroom:
        """What is known of the room for a request that the slice does not cover."""
        if self.deficit < 0:
            return Headroom.UNREAD_BUSY if busy else Headroom.UNREAD
        return headroom_of((self.allowance.level - units) / self.allowance.cap)

    def undo_booking(self, units: float) -> None:
        """Undo what a reading booked for a request that was then refused for another reason."""
        self.unreported -= units
        self.deficit -= units

    def refill_wait_ns(self, units: float) -> int:
        """How long until the quota covers a request, if nobody else uses it."""
        return int(max(0.0, units - self.allowance.level) / max(self.plan.rate, EPSILON) * SECOND)

    def ceiling_part_covers(self, units: float) -> bool:
        """Rule 5: whether this gateway's part of the ceiling covers what no reading has booked."""
        return self.ceiling_allowance is None or self.ceiling_allowance.covers(units)

    def covers_without_reading(self, units: float) -> bool:
        """Without a reading: the even share, one request at first where it is less, unless last seen dry."""
        return self.allowance.covers(min(units, self.even_burst)) and not (
            self.exhausted and units > self.even_burst
        )

    def share_covers(self, units: float) -> bool:
        """Whether the slice, run ahead by its even share or half a request, covers a request."""
        return self.share_allowance.covers(units - min(self.even_burst, units * SHARE_ADVANCE))

    def count_name(self, now: int) -> tuple[int, int]:
        """The name of the count at this time, and when it began; names change once in their keeping time.

        The time is the one that the gateways have agreed on: with their own clocks, which machines' wall
        clocks have set, some would count under other names and grant what is set apart once more.
        """
        epoch, age = divmod(self.clock.time(now) + self.epoch_offset_ns, COUNT_TTL_NS)
        digest = hashlib.blake2b(f"{self.key} {epoch % EPOCHS_IN_LAP}".encode(), digest_size=8).digest()
        return int.from_bytes(digest, "big") >> 1, now - age  # the counter's names have 63 bits

    def undo_duplicate_repair(self, call: CounterCall, lacked: float) -> float:
        """Take back a repair that another gateway had made first; the amount is returned, 0 if none.

        ``lacked`` is what the count lacked as the repair reached it.  Answers come in the order of the calls
        at the counter, so that of several who repair the same fault exactly the first finds it as it was.
        """
        repaired_part = (lacked - call.deficit_before_repair) / call.repair if call.repair else 0.0
        if repaired_part <= 0.5:
            return 0.0
        self.unreported -= call.repair
        return call.repair

    def needed_repair(self, before: float, now: int) -> float:
        """What a count that lacks this much has to be put right by, 0 if nothing.

        A full store takes no refill, lost counts seem unused, use beyond an empty store takes nothing.
        """
        least = self.min_deficit(now)
        if before <= (1 + TOLERATED_OVERUSE) * self.allowance.cap:
            self.overuse_since = None
            return least - before if before < least - self.tolerated_surplus else 0.0
        # Guards against taking repairs of several gateways, of which all but one are undone, for use.
        if self.overuse_since is None:
            self.overuse_since = now
        return self.allowance.cap - before if now - self.overuse_since >= self.repair_settle_ns else 0.0

    def apply_reading(
        self, call: CounterCall, level: float, now: int
    ) -> list[tuple[InFlightRequest[Customer], bool]]:
        """Learn from the shared count what the store lacks; says which of the requests held it covers."""
        since = self.plan.rate * (now - call.count_began) / SECOND
        level -= self.undo_duplicate_repair(call, level - call.amount - since)
        told = max(0.0, call.reported)  # below 0 it takes back what this gateway had put in for nothing
        before = level - (call.amount - call.reported - call.repair + told) - since
        untold, wrong = max(0.0, self.unreported), self.needed_repair(before, now)
        self.repair_due, self.deficit_before_repair = wrong, before
        lacks = self.allowance.cap if self.overuse_since is not None else before + wrong
        used = max(self.min_deficit(now), lacks) + told
        seconds = max(EPSILON, (now - self.read_at) / SECOND)
        elsewhere = min(self.plan.rate, max(0.0, self.plan.rate + (used - told - self.deficit) / seconds))
        self.others_rate += (elsewhere - self.others_rate) * seconds / (seconds + REPORT_PERIOD_NS / SECOND)
        self.allowance.level = self.allowance.cap - used - untold
        verdicts = []
        for inflight, amount in call.held:
            covered = used + inflight.request.units <= self.allowance.cap + EPSILON
            self.exhausted = not covered
            if covered and not inflight.closed:
                used += inflight.request.units
                self.unreported += inflight.request.units - amount
            else:
                self.unreported -= amount
            verdicts.append((inflight, covered))
        # Or while the store lacks no more than shortly before: then no more passes than it refills.
        lately = self.deficit if now - self.read_at <= REPORT_PERIOD_NS else 0.0
        self.deficit, self.read_at = used, now
        # While it is wrong one reading counts, the first: until it has been put right it tells of no store.
        at_rest = used <= max(self.reserved_units, lately) and self.reserved_units > 0
        self.may_use_reserve = at_rest and (not wrong or now - self.repaired_at >= self.repair_settle_ns)
        # Whoever may read another count than the other gateways keeps to its part.
        self.may_use_reserve = self.may_use_reserve and call.clock_agreed
        return verdicts

    def discard_readings(self, now: int) -> None:
        """Start anew with the shared count, after it was read under a time that was not the others'."""
        self.deficit, self.others_rate, self.read_at = -math.inf, self.plan.rate - self.even_rate, now
        self.repair_due, self.overuse_since = 0.0, None
        self.exhausted = self.may_use_reserve = False

    def is_idle(self, now: int) -> bool:
        """Whether nothing would be forgotten by dropping this customer."""
        full = self.ceiling_allowance is None or self.ceiling_allowance.level >= self.ceiling_allowance.cap
        quiet = now - self.last_request_at >= (COUNT_TTL_NS if self.exhausted else SWEEP_PERIOD_NS)
        return full and quiet and self.pending_call is None and self.min_deficit(now) <= 0.0


class CounterCall:
    """A call to the shared counter: use told, a repair, and requests held with what each adds.

    A request that is more likely to be refused than to pass adds nothing before it has passed.
    """

    def __init__(self, customer: Customer, began: int, repair: float, agreed: bool = True) -> None:
        """``agreed``: the gateways name the count by the same time, as far as this one has evidence."""
        self.customer = customer
        self.clock_agreed = agreed
        self.clock_steps = customer.clock.steps
        self.count_began = began
        self.reported = customer.unreported
        self.repair, self.deficit_before_repair = repair, customer.deficit_before_repair
        self.held = [(inflight, self._units_added_now(inflight)) for inflight in customer.waiting]
        self.amount = self.reported + self.repair + sum(amount for _, amount in self.held)

    @staticmethod
    def _units_added_now(inflight: InFlightRequest[Customer]) -> float:
        likely = inflight.uncertainty is None or inflight.uncertainty.chance >= LIKELY_CHANCE
        return inflight.request.units if likely else 0.0

    @property
    def adds_later(self) -> bool:
        """Whether a request held adds its units only after it has passed."""
        return any(amount == 0.0 for _, amount in self.held)
