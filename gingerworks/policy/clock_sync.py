"""Agreement of the gateways on the time that names shared counts, reached through the shared counter alone.

The name of a shared count, and what has been refilled since it began, follow from the time.  Wall clocks of
machines may differ, so a gateway relies on a shared count only while it has recent evidence that the others
name it by the same time.  The evidence are beacons: each gateway in agreement adds its time to one well-known
count that lives for half a second, so whatever a reader finds there is not older.  A gateway whose own clock
does not fit the beacons takes over the time that they state.

Where there is no beacon, a gateway may set the time by the first one.  Gateways in agreement also renew two
presence counts in turn, of which one is always alive: whoever finds one knows that the time has been set, and
waits for a beacon instead of setting it once more.  ``docs/design.md`` tells the protocol.  Times are
nanoseconds of the gateway's own clock, which only advances.
"""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass
from enum import Enum

from gingerworks import interface
from gingerworks.policy.constants import COUNT_TTL_NS, MS, SECOND

# Counts are named by the number of their epoch within a lap.  A lap is no divisor of an hour, so that a clock
# which is off by whole hours is found out instead of agreeing by chance.
EPOCHS_PER_LAP = 7
LAP_NS = EPOCHS_PER_LAP * COUNT_TTL_NS

BEACON_LIFE_NS = 500 * MS
STATED_STEP_NS = 100 * MS  # of the time that a beacon states: totals are exact to seven digits
BEACON = 200_000  # added by each beacon, on top of the time that it states in steps
BEACONS_MOST = BEACON // (LAP_NS // STATED_STEP_NS)  # that one total can be told apart into
LATE_NS = 150 * MS  # between the writing of a beacon and its turn at the counter
SLEW_MOST_NS = 500 * MS  # a clock that has to be moved by more is not in agreement
READ_LIFE_NS = MS  # of a count that is only read: it must not shorten the life of what is added after that
LOCK_LIFE_NS = SECOND  # long enough for whoever sets the time to make that known
PRESENCE_TURN_NS = COUNT_TTL_NS // 2  # one presence count is renewed for so long, then the other one
BEACONS_TO_RENEWAL = 4
UNMET_MOST = 2  # beacons in a row that meet no other one: then a gateway takes itself for alone
TAKEOVER_READS = 10  # in a row without a beacon, at the least, before the time is set anew
FIRST_RENEWALS = 10  # by the gateways of a fleet that agree for the first time, on average

READ_NS = 400 * MS  # between reads while there is no agreement, in a small fleet
READ_NS_EACH = 5 * MS  # the same for each gateway of a large one: two hundred reads a second in all
READ_NS_MISSED = 2 * SECOND  # at the most after calls without an answer, in a small fleet
BEACON_NS_EACH = 100 * MS  # ten beacons a second in all, in a middling fleet
BEACON_NS_MOST = 10 * SECOND  # between the beacons of a gateway of a large fleet
BEACON_NS_EACH_HUGE = 50 * MS  # twenty beacons a second in all, in a still larger one
BEACON_NS_MOST_SMALL = 3 * SECOND  # between the beacons of a gateway of a small fleet
FIRST_BEACON_NS = 3 * SECOND  # until the first one, at the most: those that start beside it wait for it
ALONE_NS = SECOND  # between the beacons of a gateway that takes itself for alone
RETURN_NS = 2 * ALONE_NS  # until gateways in agreement have stated their time to a counter that is back
SMALL_FLEET = 50  # gateways: their first reads crowd no counter
FIRST_READ_NS_EACH = 1_250_000  # over so long for each gateway the first reads of a larger fleet are spread
TURN_NS_EACH = 20 * MS  # for each gateway: within so long they go on after a first read without a beacon
TURNS_NS_MOST = 300 * MS
START_NS = SECOND  # at the most, for the first attempt at agreement
RETRY_NS = 100 * MS
RETRIES_MOST = 3
CONFIRM_NS = 20 * MS  # until a renewal that created its count is made again
CONFIRMATIONS_MOST = 10
CHECK_AGAIN_NS = 2 * SECOND  # after a presence count was found
CHECKED_NS = 300 * MS  # well within a beacon's life: nobody sets the time unseen between check and claim
CONFIRMED_NS = 2 * BEACON_LIFE_NS  # between the times that two beacons state of one another's clocks
SETTLE_NS = BEACON_LIFE_NS + 300 * MS  # until a beacon that was read is gone, however late it came
AGREED_PAUSES = 3  # between beacons: evidence is good for as long,
AGREED_NS_LEAST = 20 * SECOND  # or for as long as an outage of the counter that is soon over


def _well_known(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> 1  # the counter's names have 63 bits


BEACON_NAME = _well_known("clock beacon")
LOCK_NAME = _well_known("clock lock")
PRESENCE_NAMES = _well_known("clock presence 0"), _well_known("clock presence 1")


class Step(Enum):
    """What a call to the counter is for."""

    READ = "learn what the beacons state"
    CHECK_FIRST = "find out whether the first presence count exists"
    CHECK_SECOND = "find out whether the second one exists"
    LOCK = "keep others from setting the time meanwhile"
    CLAIM = "set the time, unless another gateway has"
    BEACON = "state the time that this gateway agrees on"
    RENEW = "keep a presence count alive"


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call that is out."""

    step: Step
    count: int
    amount: float
    made_at: int


class ClockSync:
    """One gateway's part in the agreement; ``Policy`` carries out its calls, one at a time."""

    def __init__(self, gateways: int, rng: random.Random) -> None:
        self._gateways = gateways
        self._rng = rng
        self._offset_ns = 0  # of the agreed time from this gateway's clock
        self._agreed_until: int | None = None
        self._candidate_ns: int | None = None  # the offset that beacons have shown, where it is another one
        self._candidate_at = 0
        self._doubted = False  # there was agreement until beacons stated another time
        self._absent_since: int | None = None  # reads in a row have found no beacon
        self._absent_reads = 0
        self._presence = [0] * len(PRESENCE_NAMES)  # as last read
        self._presence_changed = False
        self._checked_at = 0
        self._found_at: int | None = None  # a presence count, lately
        self._call: PendingCall | None = None
        self._misses = 0  # calls in a row without an answer
        self._may_set_at: int | None = None  # none before the first answer
        self._beacons = 0
        self._unmet = 0  # beacons in a row
        self._beacon_at = 0  # after a renewal
        self._confirmations = 0  # of the renewal that is under way
        self._next = Step.READ
        self._started = False
        self.due_at_ns: int | None = None  # when the next call is to be made; none while one is out
        self._attempted = False  # the first attempt at agreement is over
        self.start_deadline_ns = 0  # the first attempt at agreement is given up then
        self.clock_steps = (
            0  # how often another time was taken over: earlier readings tell nothing after that
        )

    def start(self, now: int) -> bool:
        """Begin, unless that was done or there is nobody to agree with; says whether it began."""
        if self._started or self._gateways <= 1:
            return False
        self._started, self.start_deadline_ns, self.due_at_ns = True, now + START_NS, now
        if self._gateways > SMALL_FLEET:
            self.due_at_ns = now + int(self._rng.random() * self._gateways * FIRST_READ_NS_EACH)
        return True

    def agreed_time(self, now: int) -> int:
        """The agreed time, as far as this gateway knows it."""
        return now + self._offset_ns

    def agrees(self, now: int) -> bool:
        """Whether there is recent evidence that the other gateways name shared counts by the same time."""
        return self._gateways <= 1 or (self._agreed_until is not None and now <= self._agreed_until)

    def suspends_customer_calls(self, now: int) -> bool:
        """Whether no shared count of a customer is to be called.

        So it is while the latest evidence is against this gateway's time.  A larger fleet that starts makes
        its first attempt at agreement before: calls for customers would leave no room at the counter for it.
        """
        return self._candidate_ns is not None or (self._gateways > SMALL_FLEET and self._is_starting(now))

    def defers_customer_calls(self, now: int) -> bool:
        """Whether calls for customers wait: a small fleet makes its first attempt in milliseconds."""
        return self._gateways <= SMALL_FLEET and self._is_starting(now)

    def _is_starting(self, now: int) -> bool:
        return not self._attempted and now < self.start_deadline_ns

    def take_due_call(self, now: int) -> interface.Count | None:
        """The call that is due, if any."""
        if self._call is not None or self.due_at_ns is None or now < self.due_at_ns:
            return None
        step = self._next
        if step is Step.BEACON and not self.agrees(now):
            step = Step.READ
        if step in (Step.CHECK_SECOND, Step.LOCK, Step.CLAIM) and now - self._checked_at > CHECKED_NS:
            step = Step.READ  # whoever has set the time meanwhile may not have been seen
        if step is Step.CHECK_FIRST:
            self._checked_at, self._presence_changed = now, False
        if step in (Step.BEACON, Step.CLAIM) and self._lap_ends(now):
            self.due_at_ns = now + SETTLE_NS
            return None
        count, amount, keep_ns = self._parameters(step, now)
        self._call, self.due_at_ns = PendingCall(step, count, amount, now), None
        return interface.Count(count, amount, keep_ns)

    def awaits(self, count: int) -> bool:
        """Whether an answer for this count is for ``answered``."""
        return self._call is not None and self._call.count == count

    def handle_answer(self, answer: interface.Counted, now: int) -> None:
        """Take in the answer to the call that is out, and plan the next one."""
        call, self._call = self._call, None
        if call is None:
            return
        if answer.status is not interface.Status.DELIVERED:
            self._missed(call, answer.status, now)
            return
        if self._may_set_at is None:
            self._may_set_at = now + (RETURN_NS if self._misses else 0)
        self._misses = 0
        match call.step:
            case Step.READ | Step.CLAIM | Step.BEACON:
                self._take_total(call, answer.total, now)
            case Step.CHECK_FIRST | Step.CHECK_SECOND:
                self._take_presence(call.step, round(answer.total), now)
            case Step.LOCK if round(answer.total) == 1:
                self._plan(Step.CLAIM, now)
            case Step.LOCK:
                self._read_again(now)
            case Step.RENEW if round(answer.total) <= 1 and self._confirmations < CONFIRMATIONS_MOST:
                # Guards against a count that a check has created just before, to which little life is left.
                self._confirmations += 1
                self._plan(Step.RENEW, now + self._about(CONFIRM_NS))
            case Step.RENEW:
                self._confirmations = 0
                self._plan(Step.BEACON, self._beacon_at)

    def _lap_ends(self, now: int) -> bool:
        """Whether a beacon could meet one of the next lap: times of two laps have no mean."""
        return self.agreed_time(now) % LAP_NS >= LAP_NS - SETTLE_NS

    def _parameters(self, step: Step, now: int) -> tuple[int, float, int]:
        """Name, amount and life for the call of this step."""
        match step:
            case Step.READ:
                return BEACON_NAME, 0.0, READ_LIFE_NS
            case Step.CLAIM | Step.BEACON:
                stated = self.agreed_time(now) % LAP_NS // STATED_STEP_NS
                return BEACON_NAME, float(BEACON + stated), BEACON_LIFE_NS
            case Step.LOCK:
                return LOCK_NAME, 1.0, LOCK_LIFE_NS
            case Step.RENEW:
                turn = self.agreed_time(now) // PRESENCE_TURN_NS
                return PRESENCE_NAMES[turn % len(PRESENCE_NAMES)], 1.0, COUNT_TTL_NS
            case Step.CHECK_FIRST | Step.CHECK_SECOND:
                return PRESENCE_NAMES[step is Step.CHECK_SECOND], 0.0, READ_LIFE_NS

    def _missed(self, call: PendingCall, status: interface.Status, now: int) -> None:
        """No answer: the outcome is not known, and what was not read is no sign that nobody is there."""
        self._misses += 1
        if call.step is Step.CLAIM and not status.never_ran:
            self._beacon_at = now + self._read_pause()
            self._plan(Step.RENEW, now)  # most likely the time is set: others must not set it again
            return
        retried = call.step in (Step.RENEW, Step.CHECK_FIRST, Step.CHECK_SECOND)
        if retried and self._misses <= RETRIES_MOST:
            self._plan(call.step, now + self._about(RETRY_NS))
        elif self.agrees(now):
            self._plan(Step.BEACON, now + self._about(max(ALONE_NS, self._beacon_pause_most() // 4)))
        elif self._is_starting(now):
            self._plan(Step.READ, now + self._read_pause() // 2)
        else:
            most = max(READ_NS_MISSED, 2 * self._read_pause_most())
            self._plan(Step.READ, now + min(most, self._read_pause() * self._misses))

    def _read_again(self, now: int) -> None:
        """Wait for a beacon."""
        self._attempted = True
        pause = min(self._read_pause_most(), READ_NS * max(1, self._absent_reads))
        self._plan(Step.READ, now + self._about(pause))

    def _take_total(self, call: PendingCall, total: float, now: int) -> None:
        """Compare the beacons of others with this gateway's time."""
        others = round(total - call.amount)
        beacons = others // BEACON
        if others == 0:
            self._met_nobody(call, now)
        elif not 1 <= beacons <= BEACONS_MOST:
            self._missed(call, interface.Status.ERROR, now)  # no total that beacons make
        else:
            self._absent_since = None
            stated_ns = (others % BEACON) * STATED_STEP_NS // beacons
            self._compare(stated_ns, beacons == 1, call.made_at, now)
            self._plan_after_beacon(call.step, now)

    def _met_nobody(self, call: PendingCall, now: int) -> None:
        """No beacon of another gateway: agreement stays, or this gateway sets the time, if it may."""
        if call.step is Step.CLAIM or (call.step is Step.BEACON and self.agrees(now)):
            self._unmet = UNMET_MOST if call.step is Step.CLAIM else min(UNMET_MOST, self._unmet + 1)
            self._agree(now)
            self._plan_beacon(now)
            return
        if self._doubted:
            # Guards against one beacon that was held up leaving nobody who states the time.
            self._agree(now)
            self._plan(Step.BEACON, now)
            return
        if self._absent_since is None:
            self._absent_since, self._absent_reads = now, 0
        self._absent_reads += 1
        if self._absent_reads == 1:
            # Guards against all gateways that start together crowding the counter: one sets the time.
            turns = min(self._gateways * TURN_NS_EACH, TURNS_NS_MOST)
            self._plan(Step.READ, now + int(self._rng.random() * turns))
            return
        found_lately = self._found_at is not None and now - self._found_at < CHECK_AGAIN_NS
        if self._may_set_at is not None and now >= self._may_set_at and not found_lately:
            self._plan(Step.CHECK_FIRST, now)
        else:
            self._read_again(now)

    def _take_presence(self, step: Step, total: int, now: int) -> None:
        """Set the time if nobody has for as long as presence counts live, or if nobody renews them."""
        which = int(step is Step.CHECK_SECOND)
        self._presence_changed = self._presence_changed or total != self._presence[which]
        self._presence[which] = total
        if step is Step.CHECK_FIRST:
            self._plan(Step.CHECK_SECOND, now)
        elif not any(self._presence) or self._nobody_is_left(now):
            self._plan(Step.LOCK, now)
        else:
            self._found_at = now
            self._read_again(now)

    def _nobody_is_left(self, now: int) -> bool:
        """Whether no gateway is in agreement any more, although the time has been set.

        The last one may need some time to find that it is alone; from then on it is seen more often.
        """
        if self._absent_since is None or self._presence_changed:
            self._absent_since, self._absent_reads = now, 0
        wait = 2 * self._beacon_pause_most() + 2 * ALONE_NS
        return now - self._absent_since >= wait and self._absent_reads >= TAKEOVER_READS

    def _compare(self, stated_ns: int, is_single: bool, made_at: int, now: int) -> None:
        """Keep to this gateway's time, move it a little, or note that the beacons state another one.

        The call had its turn between ``made_at`` and ``now``, at a time from the stated one on until the
        beacon's life is over.
        """
        earliest = _difference(stated_ns, self.agreed_time(now))
        latest = earliest + STATED_STEP_NS + BEACON_LIFE_NS + LATE_NS + (now - made_at)
        if earliest <= SLEW_MOST_NS and latest >= -SLEW_MOST_NS:
            self._offset_ns += max(0, earliest) + min(0, latest)
            self._agree(now)
        else:
            self._disagree(self._offset_ns + (earliest + latest) // 2, is_single, now)

    def _agree(self, now: int) -> None:
        self._agreed_until = now + max(AGREED_NS_LEAST, AGREED_PAUSES * self._beacon_pause_most())
        self._candidate_ns = self._absent_since = None
        self._doubted = False
        self._attempted = True

    def _disagree(self, offset_ns: int, is_single: bool, now: int) -> None:
        """Beacons state the time at this offset; it is taken over once a later one confirms it.

        Guards against a beacon that was held up on its way for seconds, and against the mean of several that
        state different times.
        """
        self._doubted = self._doubted or self.agrees(now)
        self._agreed_until = None
        self._attempted = True
        seen = self._candidate_ns
        confirmed = seen is not None and abs(_difference(offset_ns, seen)) <= CONFIRMED_NS
        if is_single and confirmed and now - self._candidate_at >= SETTLE_NS:
            self._offset_ns = offset_ns
            self.clock_steps += 1
            self._agree(now)
        elif self._candidate_ns is None or (is_single and not confirmed):
            self._candidate_ns, self._candidate_at = offset_ns, now

    def _plan_after_beacon(self, step: Step, now: int) -> None:
        """The next call after a beacon of another gateway was read."""
        self._unmet = 0
        if not self.agrees(now):
            self._plan(Step.READ, now + SETTLE_NS + int(self._rng.random() * self._read_pause_most()))
        elif step is Step.BEACON:
            self._plan_beacon(now)
        else:
            self._plan_first_beacon(now)

    def _plan_first_beacon(self, now: int) -> None:
        """Soon after agreement, as others may wait for a beacon; some renew a presence count before."""
        self._beacon_at = now + int(self._rng.random() * min(FIRST_BEACON_NS, self._beacon_pause_most()))
        self._renew_or_wait(self._rng.random() * self._gateways < FIRST_RENEWALS, now)

    def _plan_beacon(self, now: int) -> None:
        """The next beacon, the sooner the fewer others are met; some renew a presence count before."""
        self._beacons += 1
        pause = max(min(ALONE_NS, self._beacon_pause_most()), self._beacon_pause_most() >> self._unmet)
        self._beacon_at = now + self._about(pause)
        self._renew_or_wait(self._unmet == UNMET_MOST or self._beacons % BEACONS_TO_RENEWAL == 0, now)

    def _renew_or_wait(self, renews: bool, now: int) -> None:
        if renews:
            self._plan(Step.RENEW, now)
        else:
            self._plan(Step.BEACON, self._beacon_at)

    def _plan(self, step: Step, at: int) -> None:
        self._next, self.due_at_ns = step, at

    def _read_pause_most(self) -> int:
        return max(READ_NS, self._gateways * READ_NS_EACH)

    def _read_pause(self) -> int:
        return self._about(self._read_pause_most())

    def _beacon_pause_most(self) -> int:
        small = min(self._gateways * SECOND, BEACON_NS_MOST_SMALL)
        large = min(self._gateways * BEACON_NS_EACH, BEACON_NS_MOST)
        return max(small, large, self._gateways * BEACON_NS_EACH_HUGE)

    def _about(self, pause_ns: int) -> int:
        """A quarter less at the most, so that gateways do not stay in step."""
        return int(pause_ns * (0.75 + 0.25 * self._rng.random()))


def _difference(stated_ns: int, time_ns: int) -> int:
    """By how much a stated time is ahead of this one, both taken within a lap."""
    return (stated_ns - time_ns + LAP_NS // 2) % LAP_NS - LAP_NS // 2
