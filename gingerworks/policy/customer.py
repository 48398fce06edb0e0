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

CREDIT = 0.25  # of the burst: unused refill beyond a full store that is let stand in the shared count
EXCESS = 0.5  # of the burst: use beyond an empty store that is let stand in the shared count
REPAIR_WAITS = 4  # for a call: until a repair, and what others undo of theirs, has surely been read
TRUST_PERIODS = 3.0  # readings older than this many periods count for less and less
SLACK_USED = 0.5  # of the ceiling's slack; the rest is for what was not thought of
PART_ROOM = 1.5  # of the largest request: what a part of a ceiling holds before readings pass any beside it
LEAST_APART = 0.5  # of the quota, out of a ceiling that leaves as much: readings pass so much at the least
UNUSED_APART = 0.1  # of the burst, out of a ceiling: unused refill that is let stand in the shared count
RUN_AHEAD = 0.5  # of a request that is not asked about: what may be sent on ahead of the slice
LIKELY = 0.5  # chance to pass from which a request's units are added by the call that asks about it


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
        self.stagger = int.from_bytes(digest, "big") % COUNT_TTL_NS
        cap = max(plan.burst, settings.max_units)
        # Seen for the first time: its even share is surely ours; the first reading tells of the rest.
        self.share = cap / entries
        first = self.share if settings.has_counter else max(self.share, settings.max_units)
        self.gap = GapCounter(cap, first, quotas.rng.random())
        self.ceiling: GapCounter | None = None
        # Rule 5: readings pass requests beside the parts only while the store lacks no more than is set apart
        # of the quota: all of it, if the rest leaves room in the parts.  Unused refill comes on top of that.
        store, rate, self.credit, self.apart = plan.ceiling_burst, plan.ceiling_rate, CREDIT * cap, 0.0
        room = store - UNUSED_APART * plan.burst - PART_ROOM * settings.max_units * entries
        part = min(1.0, max(LEAST_APART, room / max(plan.burst, EPSILON)))
        rest = store - (part + UNUSED_APART) * plan.burst, rate - part * plan.rate
        if settings.has_counter and plan.rate > 0 < min(rest):
            (store, rate), self.apart = rest, part * plan.burst
            self.credit = UNUSED_APART * plan.burst + (1 - SLACK_USED) * plan.ceiling_slack
        self.repair_ns = REPAIR_WAITS * settings.counter_wait_ns
        self.beside = False
        self.ceiling_even = rate / entries
        if plan.ceiling_rate > 0:
            # After a restart nobody knows what this gateway let through before, so it starts empty.
            self.ceiling = GapCounter((store + SLACK_USED * plan.ceiling_slack) / entries, 0.0, 0.0)
            self.ceiling.refill(self.ceiling_even * (now - quotas.start) / SECOND)
        self.even = plan.rate / entries
        # The slice alone, saved up over many requests where it is less than one; for those not asked about.
        self.floor = GapCounter(cap, self.share, 0.0)
        self.others = plan.rate - self.even
        self.used = -math.inf  # not known
        self.pending = self.repair = 0.0
        self.repair_seen = 0.0  # what the count lacked as the repair was found due
        self.repaired_at = -math.inf
        self.excess_since: int | None = None
        self.pass_rate = PassRate()
        self.sent_use = 0.0  # what the store lacks at the least by what was sent on from here
        self.sent_at = self.demand_at = now
        self.demand = 0.0
        self.last = self.read_at = self.seen_at = now
        self.scheduled = self.dry = False
        self.heard = True
        self.waiting: list[InFlightRequest[Customer]] = []
        self.call: Call | None = None

    def slice(self, now: int) -> float:
        """Units a second: the even floor, and of the rest what the others leave, as far as it is trusted."""
        stale = (now - self.read_at) / REPORT_PERIOD_NS - TRUST_PERIODS
        trust = 1.0 if stale <= 0 else math.exp(-stale / TRUST_PERIODS)
        return self.even + trust * max(0.0, self.plan.rate - self.others - self.even)

    def advance(self, now: int) -> None:
        """Refill the counters up to now."""
        seconds = (now - self.last) / SECOND
        refill = self.slice(now) * seconds
        self.gap.refill(refill)
        self.floor.refill(refill)
        if not self.heard and now - self.read_at > TRUST_PERIODS * REPORT_PERIOD_NS and self.pending > 0:
            # Guards against all gateways telling the use of a whole outage at its end: what this one's slice
            # covered meanwhile is no news, and whoever reads first takes it for refilled.
            self.pending = max(0.0, self.pending - refill)
        if self.ceiling is not None:
            self.ceiling.refill(self.ceiling_even * seconds)
        self.last = now

    def least_used(self, now: int) -> float:
        """What the store lacks at the least: all that was missing at the last reading, less its refill."""
        return max(0.0, self.used - self.plan.rate * (now - self.read_at) / SECOND)

    def least_sent(self, now: int) -> float:
        """What the store lacks at the least by what this gateway alone has sent on."""
        return max(0.0, self.sent_use - self.plan.rate * (now - self.sent_at) / SECOND)

    def sent(self, units: float, now: int) -> None:
        """Note use that was sent on; what is beyond the burst takes nothing from the store."""
        self.floor.level = max(-self.share, self.floor.level - units)
        least = self.least_sent(now)
        self.sent_use = least + units if least + units <= self.gap.cap + EPSILON else least
        self.sent_at = now

    def surely_beyond(self, units: float, now: int) -> bool:
        """Whether the store cannot hold these units, whatever the other gateways have sent on."""
        return max(self.least_used(now), self.least_sent(now)) + units > self.gap.cap + EPSILON

    def asked_for(self, units: float, now: int) -> bool:
        """Note a request; whether many units were asked for here before, within the time of a refill."""
        fades = self.plan.rate * (now - self.demand_at) / SECOND / self.gap.cap
        before = self.demand * math.exp(-fades)
        self.demand, self.demand_at = before + units, now
        return before >= BUSY_DEMAND * self.gap.cap

    def room(self, units: float, busy: bool) -> Headroom:
        """What is known of the room for a request that the slice does not cover."""
        if self.used < 0:
            return Headroom.UNREAD_BUSY if busy else Headroom.UNREAD
        return headroom_of((self.gap.level - units) / self.gap.cap)

    def give_back(self, units: float) -> None:
        """Undo what a reading booked for a request that was then refused for another reason."""
        self.pending -= units
        self.used -= units

    def advice(self, units: float) -> int:
        """How long until the quota covers a request, if nobody else uses it."""
        return int(max(0.0, units - self.gap.level) / max(self.plan.rate, EPSILON) * SECOND)

    def unheard(self, units: float) -> bool:
        """Rule 5: whether this gateway's part of the ceiling covers what no reading has booked."""
        return self.ceiling is None or self.ceiling.covers(units)

    def guess(self, units: float) -> bool:
        """Without a reading: the even share, one request at first where it is less, unless last seen dry."""
        return self.gap.covers(min(units, self.share)) and not (self.dry and units > self.share)

    def floor_covers(self, units: float) -> bool:
        """Whether the slice, run ahead by its even share or half a request, covers a request."""
        return self.floor.covers(units - min(self.share, units * RUN_AHEAD))

    def count_name(self, now: int) -> tuple[int, int]:
        """The name of the count at this time, and when it began; names change once in their keeping time.

        The time is the one that the gateways have agreed on: with their own clocks, which machines' wall
        clocks have set, some would count under other names and grant what is set apart once more.
        """
        epoch, age = divmod(self.clock.time(now) + self.stagger, COUNT_TTL_NS)
        digest = hashlib.blake2b(f"{self.key} {epoch % EPOCHS_IN_LAP}".encode(), digest_size=8).digest()
        return int.from_bytes(digest, "big") >> 1, now - age  # the counter's names have 63 bits

    def undo_repair(self, call: Call, lacked: float) -> float:
        """Take back a repair that another gateway had made first; the amount is returned, 0 if none.

        ``lacked`` is what the count lacked as the repair reached it.  Answers come in the order of the calls
        at the counter, so that of several who repair the same fault exactly the first finds it as it was.
        """
        repaired_part = (lacked - call.repair_seen) / call.repair if call.repair else 0.0
        if repaired_part <= 0.5:
            return 0.0
        self.pending -= call.repair
        return call.repair

    def fault(self, before: float, now: int) -> float:
        """What a count that lacks this much has to be put right by, 0 if nothing.

        A full store takes no refill, lost counts seem unused, use beyond an empty store takes nothing.
        """
        least = self.least_used(now)
        if before <= (1 + EXCESS) * self.gap.cap:
            self.excess_since = None
            return least - before if before < least - self.credit else 0.0
        # Guards against taking repairs of several gateways, of which all but one are undone, for use.
        if self.excess_since is None:
            self.excess_since = now
        return self.gap.cap - before if now - self.excess_since >= self.repair_ns else 0.0

    def reading(self, call: Call, level: float, now: int) -> list[tuple[InFlightRequest[Customer], bool]]:
        """Learn from the shared count what the store lacks; says which of the requests held it covers."""
        since = self.plan.rate * (now - call.began) / SECOND
        level -= self.undo_repair(call, level - call.amount - since)
        told = max(0.0, call.told)  # below 0 it takes back what this gateway had put in for nothing
        before = level - (call.amount - call.told - call.repair + told) - since
        untold, wrong = max(0.0, self.pending), self.fault(before, now)
        self.repair, self.repair_seen = wrong, before
        lacks = self.gap.cap if self.excess_since is not None else before + wrong
        used = max(self.least_used(now), lacks) + told
        seconds = max(EPSILON, (now - self.read_at) / SECOND)
        elsewhere = min(self.plan.rate, max(0.0, self.plan.rate + (used - told - self.used) / seconds))
        self.others += (elsewhere - self.others) * seconds / (seconds + REPORT_PERIOD_NS / SECOND)
        self.gap.level = self.gap.cap - used - untold
        verdicts = []
        for inflight, amount in call.held:
            covered = used + inflight.request.units <= self.gap.cap + EPSILON
            self.dry = not covered
            if covered and not inflight.closed:
                used += inflight.request.units
                self.pending += inflight.request.units - amount
            else:
                self.pending -= amount
            verdicts.append((inflight, covered))
        # Or while the store lacks no more than shortly before: then no more passes than it refills.
        lately = self.used if now - self.read_at <= REPORT_PERIOD_NS else 0.0
        self.used, self.read_at = used, now
        # While it is wrong one reading counts, the first: until it has been put right it tells of no store.
        at_rest = used <= max(self.apart, lately) and self.apart > 0
        self.beside = at_rest and (not wrong or now - self.repaired_at >= self.repair_ns)
        # Whoever may read another count than the other gateways keeps to its part.
        self.beside = self.beside and call.agreed
        return verdicts

    def forget_readings(self, now: int) -> None:
        """Start anew with the shared count, after it was read under a time that was not the others'."""
        self.used, self.others, self.read_at = -math.inf, self.plan.rate - self.even, now
        self.repair, self.excess_since = 0.0, None
        self.dry = self.beside = False

    def idle(self, now: int) -> bool:
        """Whether nothing would be forgotten by dropping this customer."""
        full = self.ceiling is None or self.ceiling.level >= self.ceiling.cap
        quiet = now - self.seen_at >= (COUNT_TTL_NS if self.dry else SWEEP_PERIOD_NS)
        return full and quiet and self.call is None and self.least_used(now) <= 0.0


class Call:
    """A call to the shared counter: use told, a repair, and requests held with what each adds.

    A request that is more likely to be refused than to pass adds nothing before it has passed.
    """

    def __init__(self, customer: Customer, began: int, repair: float, agreed: bool = True) -> None:
        """``agreed``: the gateways name the count by the same time, as far as this one has evidence."""
        self.customer = customer
        self.agreed = agreed
        self.time_steps = customer.clock.steps
        self.began = began
        self.told = customer.pending
        self.repair, self.repair_seen = repair, customer.repair_seen
        self.held = [(inflight, self._added_first(inflight)) for inflight in customer.waiting]
        self.amount = self.told + self.repair + sum(amount for _, amount in self.held)

    @staticmethod
    def _added_first(inflight: InFlightRequest[Customer]) -> float:
        likely = inflight.uncertainty is None or inflight.uncertainty.chance >= LIKELY
        return inflight.request.units if likely else 0.0

    @property
    def reads_first(self) -> bool:
        """Whether a request held adds its units only after it has passed."""
        return any(amount == 0.0 for _, amount in self.held)
