"""Agreement of all gateways on one time, from which they derive the names of shared counts.

A customer's shared count is named by its epoch, a span of time after which a new count begins; what has been
refilled since then follows from the time as well.  Wall clocks of machines may differ, so a gateway relies on
shared counts only while it has recent evidence that the others name them by the same time.  Gateways exchange
this evidence through the shared counter alone, by counts with fixed names:

* The beacon count lives for half a second, so that a reader finds no older beacon in it.  Each gateway in
  agreement regularly adds a beacon: a fixed amount plus the time that it agrees on.  The total tells how many
  beacons there are and the mean of their times.  A gateway whose time is close to that slews its offset, that
  is, moves it a little; another one takes over the beacons' time (a step) once a later beacon confirms it.
* Two presence counts say that the time has been set.  Gateways in agreement renew one, then the other, so
  that one always exists.  A gateway that finds one of them, but no beacon, waits for a beacon; it sets the
  time anew only if the presence counts have not been renewed for long.
* The lock count lets one gateway at a time set the time: of those that find neither a beacon nor a renewed
  presence count, the first one to add to it sends the first beacon.

A gateway has at most one such call in flight; ``ClockSync.handle_answer`` schedules the next one.
Times are nanoseconds of the gateway's own clock, which only advances, unless they are said to be agreed ones.
``docs/design.md`` describes the protocol.
"""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass
from enum import Enum

from gingerworks import interface
from gingerworks.policy.constants import COUNT_TTL_NS, MS, SECOND

# A count's name contains the number of its epoch within a lap, so names repeat after a lap.  A lap does not
# divide an hour, so that a clock which is off by whole hours is detected instead of agreeing by chance.
EPOCHS_PER_LAP = 7
LAP_NS = EPOCHS_PER_LAP * COUNT_TTL_NS

BEACON_LIFETIME_NS = 500 * MS  # the counter forgets the beacon count this long after its creation
BEACON_RESOLUTION_NS = 100 * MS  # a beacon's time is rounded to this: totals are exact to seven digits only
BEACON_AMOUNT = 200_000  # each beacon adds this and its time within the lap in BEACON_RESOLUTION_NS
MAX_BEACONS = BEACON_AMOUNT // (LAP_NS // BEACON_RESOLUTION_NS)  # a total of more beacons is ambiguous
MAX_BEACON_DELAY_NS = 150 * MS  # the counter is assumed to process a beacon within this time of its writing
MAX_SLEW_NS = 500 * MS  # a clock that has to be moved by more is not in agreement
READ_COUNT_LIFETIME_NS = MS  # a count created by a read ends soon, or a later addition would expire early
LOCK_LIFETIME_NS = SECOND  # the lock lives long enough for its holder to send the first beacon
PRESENCE_TURN_NS = COUNT_TTL_NS // 2  # gateways renew one presence count for so long, then the other one
BEACONS_PER_RENEWAL = 4  # a gateway renews a presence count before every fourth of its beacons
ALONE_AFTER_BEACONS = 2  # a gateway assumes that it is alone after so many own beacons that met no other one
TAKEOVER_READS = 10  # the time is set despite stale presence counts only after so many reads without a beacon
FIRST_AGREEMENT_RENEWALS = 10  # when a fleet first agrees, so many gateways on average renew presence

BEACON_READ_INTERVAL_NS = 400 * MS  # a gateway not in agreement reads this often in a small fleet
BEACON_READ_INTERVAL_PER_GATEWAY_NS = 5 * MS  # a large fleet makes two hundred reads a second in all
MAX_BEACON_READ_BACKOFF_NS = 2 * SECOND  # a small fleet reads at least this often if the counter is silent
BEACON_INTERVAL_PER_GATEWAY_NS = 100 * MS  # a medium-sized fleet sends ten beacons a second in all
MAX_BEACON_INTERVAL_LARGE_NS = 10 * SECOND  # each gateway of a large fleet sends a beacon at least this often
BEACON_INTERVAL_PER_GATEWAY_HUGE_NS = 50 * MS  # a huge fleet sends twenty beacons a second in all
MAX_BEACON_INTERVAL_SMALL_NS = 3 * SECOND  # each gateway of a small fleet sends a beacon at least this often
MAX_FIRST_BEACON_DELAY_NS = 3 * SECOND  # a gateway newly in agreement sends a beacon by then: others may wait
ALONE_INTERVAL_NS = SECOND  # a gateway that assumes that it is alone sends beacons this often
SET_TIME_DELAY_AFTER_OUTAGE_NS = 2 * ALONE_INTERVAL_NS  # other gateways, if any, send beacons by then
SMALL_FLEET_GATEWAYS = 50  # the first reads of so many gateways do not crowd the counter
FIRST_READ_SPREAD_PER_GATEWAY_NS = 1_250_000  # a larger fleet spreads first reads over this for each gateway
REPEATED_READ_SPREAD_PER_GATEWAY_NS = 20 * MS  # this spreads the second reads, if the first found no beacon
MAX_REPEATED_READ_SPREAD_NS = 300 * MS  # the second read, if the first found no beacon, waits no longer
MAX_FIRST_ATTEMPT_NS = SECOND  # the first attempt at agreement, which customers' calls wait for, ends by then
CALL_RETRY_DELAY_NS = 100 * MS  # an unanswered renewal or check of a presence count is repeated after this
MAX_CALL_RETRIES = 3  # after so many repeats without an answer, a call of another kind is made
RENEWAL_REPEAT_DELAY_NS = 20 * MS  # a renewal of a presence count that did not exist is repeated after this
MAX_RENEWAL_REPEATS = 10  # a renewal is repeated at most so many times, even if the count did not exist
PRESENCE_RECHECK_NS = 2 * SECOND  # after a check that found a presence count, the next one waits this long
MAX_PRESENCE_CHECK_AGE_NS = 300 * MS  # an older check is void: beacons live longer, so a time set since shows
MAX_CONFIRMING_GAP_NS = 2 * BEACON_LIFETIME_NS  # two beacons agree if their clock offsets differ by no more
BEACON_SETTLE_NS = BEACON_LIFETIME_NS + 300 * MS  # a beacon that was read is gone by then, even a delayed one
# Evidence that the gateways agree on the time is valid for so many intervals between one gateway's beacons,
# but for MIN_AGREEMENT_NS at least, so that the agreement outlasts a short outage of the counter.
AGREEMENT_INTERVALS = 3
MIN_AGREEMENT_NS = 20 * SECOND


def _well_known_name(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> 1  # the counter's names have 63 bits


BEACON_NAME = _well_known_name("clock beacon")
LOCK_NAME = _well_known_name("clock lock")
PRESENCE_NAMES = _well_known_name("clock presence 0"), _well_known_name("clock presence 1")


class Purpose(Enum):
    """What a call to the counter is for."""

    READ = "read the times in the beacons"
    CHECK_PRESENCE_0 = "find out whether the first presence count exists"
    CHECK_PRESENCE_1 = "find out whether the second presence count exists"
    LOCK = "keep others from setting the time at the same time"
    SET_TIME = "send the first beacon, unless another gateway has set the time"
    BEACON = "tell the others the time that this gateway agrees on, and read their beacons"
    RENEW = "keep a presence count alive"


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call to the counter whose answer has not come."""

    purpose: Purpose
    name: int
    amount: float
    sent_at_ns: int


class ClockSync:
    """One gateway's part in the agreement; ``Policy`` makes its calls to the counter, one at a time."""

    def __init__(self, gateways: int, rng: random.Random) -> None:
        self._gateways = gateways
        self._rng = rng
        self._offset_ns = 0  # how far the agreed time is ahead of this gateway's clock
        self._agreed_until_ns: int | None = None  # until when evidence of agreement is valid; none without it
        # The offset by other gateways' beacons, while it contradicts _offset_ns and is not confirmed.
        self._unconfirmed_offset_ns: int | None = None
        self._unconfirmed_since_ns = 0
        self._contradicted_by_beacons = False  # agreement ended because beacons showed another time
        self._no_beacon_since_ns: int | None = None  # the first of the latest reads that found no beacon
        self._reads_without_beacon = 0  # how many reads in a row have found no beacon
        # The totals of the two presence counts as last read; 0 if there was no count.
        self._presence_totals = [0] * len(PRESENCE_NAMES)
        self._presence_changed = False  # whether the latest check found other totals than the one before
        self._presence_checked_at_ns = 0  # when the latest check of the presence counts began
        self._presence_found_at_ns: int | None = None  # when a check last found a presence count
        self._pending_call: PendingCall | None = None
        self._failed_calls = 0  # how many calls in a row have got no answer
        self._may_set_time_ns: int | None = None  # from when it may; none before the counter's first answer
        self._beacons_planned = 0  # every BEACONS_PER_RENEWAL-th beacon follows a renewal
        self._solitary_beacons = 0  # own beacons in a row that met none of another gateway
        self._next_beacon_at_ns = 0  # when to send the next beacon, after a renewal if one comes first
        self._renewal_repeats = 0  # repeats so far of the renewal of a presence count that is under way
        self._next_purpose = Purpose.READ
        self._started = False
        self.due_at_ns: int | None = None  # when to make the next call; none while one is in flight
        self._first_attempt_over = False  # whether the first attempt at agreement has ended
        self.start_deadline_ns = 0  # when the first attempt at agreement ends at the latest
        self.clock_steps = 0  # how often the others' time was taken over; earlier readings are void

    def start(self, now: int) -> bool:
        """Schedule the first read, unless already started or the only gateway; return whether it was done."""
        if self._started or self._gateways <= 1:
            return False
        self._started, self.start_deadline_ns, self.due_at_ns = True, now + MAX_FIRST_ATTEMPT_NS, now
        if self._gateways > SMALL_FLEET_GATEWAYS:
            self.due_at_ns = now + int(self._rng.random() * self._gateways * FIRST_READ_SPREAD_PER_GATEWAY_NS)
        return True

    def agreed_time(self, now: int) -> int:
        """The agreed time, as far as this gateway knows it."""
        return now + self._offset_ns

    def agrees(self, now: int) -> bool:
        """Whether there is recent evidence that the other gateways name shared counts by the same time."""
        return self._gateways <= 1 or (self._agreed_until_ns is not None and now <= self._agreed_until_ns)

    def suspends_customer_calls(self, now: int) -> bool:
        """Whether calls for customers' shared counts must not be made now; they are not deferred either.

        That is so while the latest evidence contradicts this gateway's time.  In a larger fleet it is also so
        during the first attempt at agreement: customers' calls would leave it no room at the counter.
        """
        return self._unconfirmed_offset_ns is not None or (
            self._gateways > SMALL_FLEET_GATEWAYS and self._is_first_attempt(now)
        )

    def defers_customer_calls(self, now: int) -> bool:
        """Whether calls for customers' shared counts wait for the end of the first attempt at agreement.

        Only a small fleet defers them, as its first attempt takes just milliseconds.
        """
        return self._gateways <= SMALL_FLEET_GATEWAYS and self._is_first_attempt(now)

    def _is_first_attempt(self, now: int) -> bool:
        return not self._first_attempt_over and now < self.start_deadline_ns

    def take_due_call(self, now: int) -> interface.Count | None:
        """Return the call that is due, if any, and note that it is in flight."""
        if self._pending_call is not None or self.due_at_ns is None or now < self.due_at_ns:
            return None
        purpose = self._next_purpose
        if purpose is Purpose.BEACON and not self.agrees(now):
            purpose = Purpose.READ
        if (
            purpose in (Purpose.CHECK_PRESENCE_1, Purpose.LOCK, Purpose.SET_TIME)
            and now - self._presence_checked_at_ns > MAX_PRESENCE_CHECK_AGE_NS
        ):
            purpose = Purpose.READ  # the check is too old: another gateway may have set the time since
        if purpose is Purpose.CHECK_PRESENCE_0:
            self._presence_checked_at_ns, self._presence_changed = now, False
        if purpose in (Purpose.BEACON, Purpose.SET_TIME) and self._is_lap_ending(now):
            self.due_at_ns = now + BEACON_SETTLE_NS
            return None
        name, amount, ttl_ns = self._call_parameters(purpose, now)
        self._pending_call, self.due_at_ns = PendingCall(purpose, name, amount, now), None
        return interface.Count(name, amount, ttl_ns)

    def expects_answer_for(self, name: int) -> bool:
        """Whether an answer for the count of this name is for ``handle_answer``."""
        return self._pending_call is not None and self._pending_call.name == name

    def handle_answer(self, answer: interface.Counted, now: int) -> None:
        """Process the answer to the call in flight, and schedule the next one."""
        call, self._pending_call = self._pending_call, None
        if call is None:
            return
        if answer.status is not interface.Status.DELIVERED:
            self._handle_failure(call, answer.status, now)
            return
        if self._may_set_time_ns is None:
            self._may_set_time_ns = now + (SET_TIME_DELAY_AFTER_OUTAGE_NS if self._failed_calls else 0)
        self._failed_calls = 0
        match call.purpose:
            case Purpose.READ | Purpose.SET_TIME | Purpose.BEACON:
                self._handle_beacon_total(call, answer.total, now)
            case Purpose.CHECK_PRESENCE_0 | Purpose.CHECK_PRESENCE_1:
                self._handle_presence(call.purpose, round(answer.total), now)
            case Purpose.LOCK if round(answer.total) == 1:
                self._schedule(Purpose.SET_TIME, now)
            case Purpose.LOCK:
                self._schedule_next_beacon_read(now)
            case Purpose.RENEW if round(answer.total) <= 1 and self._renewal_repeats < MAX_RENEWAL_REPEATS:
                # A check may have created the count just before, so that it lives for a millisecond only.
                self._renewal_repeats += 1
                self._schedule(Purpose.RENEW, now + self._jittered(RENEWAL_REPEAT_DELAY_NS))
            case Purpose.RENEW:
                self._renewal_repeats = 0
                self._schedule(Purpose.BEACON, self._next_beacon_at_ns)

    def _is_lap_ending(self, now: int) -> bool:
        """Whether a beacon sent now could be added to one of the next lap, which would falsify the mean."""
        return self.agreed_time(now) % LAP_NS >= LAP_NS - BEACON_SETTLE_NS

    def _call_parameters(self, purpose: Purpose, now: int) -> tuple[int, float, int]:
        """Name, amount and lifetime of the count in a call for this purpose."""
        match purpose:
            case Purpose.READ:
                return BEACON_NAME, 0.0, READ_COUNT_LIFETIME_NS
            case Purpose.SET_TIME | Purpose.BEACON:
                lap_time_units = self.agreed_time(now) % LAP_NS // BEACON_RESOLUTION_NS
                return BEACON_NAME, float(BEACON_AMOUNT + lap_time_units), BEACON_LIFETIME_NS
            case Purpose.LOCK:
                return LOCK_NAME, 1.0, LOCK_LIFETIME_NS
            case Purpose.RENEW:
                turn = self.agreed_time(now) // PRESENCE_TURN_NS
                return PRESENCE_NAMES[turn % len(PRESENCE_NAMES)], 1.0, COUNT_TTL_NS
            case Purpose.CHECK_PRESENCE_0 | Purpose.CHECK_PRESENCE_1:
                return PRESENCE_NAMES[purpose is Purpose.CHECK_PRESENCE_1], 0.0, READ_COUNT_LIFETIME_NS

    def _handle_failure(self, call: PendingCall, status: interface.Status, now: int) -> None:
        """Schedule a retry or another call after one without an answer, which proves nothing about others."""
        self._failed_calls += 1
        if call.purpose is Purpose.SET_TIME and not status.never_ran:
            self._next_beacon_at_ns = now + self._jittered_read_interval()
            self._schedule(Purpose.RENEW, now)  # most likely the time was set: others must not set it again
            return
        retried = call.purpose in (Purpose.RENEW, Purpose.CHECK_PRESENCE_0, Purpose.CHECK_PRESENCE_1)
        if retried and self._failed_calls <= MAX_CALL_RETRIES:
            self._schedule(call.purpose, now + self._jittered(CALL_RETRY_DELAY_NS))
        elif self.agrees(now):
            self._schedule(
                Purpose.BEACON, now + self._jittered(max(ALONE_INTERVAL_NS, self._beacon_interval() // 4))
            )
        elif self._is_first_attempt(now):
            self._schedule(Purpose.READ, now + self._jittered_read_interval() // 2)
        else:
            longest = max(MAX_BEACON_READ_BACKOFF_NS, 2 * self._read_interval())
            self._schedule(
                Purpose.READ, now + min(longest, self._jittered_read_interval() * self._failed_calls)
            )

    def _schedule_next_beacon_read(self, now: int) -> None:
        """Read the beacon count again later, the later the more reads have found no beacon."""
        self._first_attempt_over = True
        interval = min(self._read_interval(), BEACON_READ_INTERVAL_NS * max(1, self._reads_without_beacon))
        self._schedule(Purpose.READ, now + self._jittered(interval))

    def _handle_beacon_total(self, call: PendingCall, total: float, now: int) -> None:
        """Compare the beacons of other gateways with this gateway's time."""
        others = round(total - call.amount)
        beacons = others // BEACON_AMOUNT
        if others == 0:
            self._handle_no_beacon(call, now)
        elif not 1 <= beacons <= MAX_BEACONS:
            self._handle_failure(call, interface.Status.ERROR, now)  # not a sum of beacons
        else:
            self._no_beacon_since_ns = None
            beacon_time_ns = (others % BEACON_AMOUNT) * BEACON_RESOLUTION_NS // beacons
            self._compare_with_beacons(beacon_time_ns, beacons == 1, call.sent_at_ns, now)
            self._schedule_after_beacon(call.purpose, now)

    def _handle_no_beacon(self, call: PendingCall, now: int) -> None:
        """No beacon of another gateway was found: keep the agreed time, or prepare to set it, if allowed."""
        if call.purpose is Purpose.SET_TIME or (call.purpose is Purpose.BEACON and self.agrees(now)):
            self._solitary_beacons = (
                ALONE_AFTER_BEACONS
                if call.purpose is Purpose.SET_TIME
                else min(ALONE_AFTER_BEACONS, self._solitary_beacons + 1)
            )
            self._confirm_agreement(now)
            self._schedule_beacon(now)
            return
        if self._contradicted_by_beacons:
            # One delayed beacon may have contradicted all gateways: without this, none would send any more.
            self._confirm_agreement(now)
            self._schedule(Purpose.BEACON, now)
            return
        if self._no_beacon_since_ns is None:
            self._no_beacon_since_ns, self._reads_without_beacon = now, 0
        self._reads_without_beacon += 1
        if self._reads_without_beacon == 1:
            # Gateways that start at the same time would all go on at once and crowd the counter.  With their
            # second reads spread, one of them sets the time and the others find its beacon.
            spread = min(self._gateways * REPEATED_READ_SPREAD_PER_GATEWAY_NS, MAX_REPEATED_READ_SPREAD_NS)
            self._schedule(Purpose.READ, now + int(self._rng.random() * spread))
            return
        found_recently = (
            self._presence_found_at_ns is not None and now - self._presence_found_at_ns < PRESENCE_RECHECK_NS
        )
        if self._may_set_time_ns is not None and now >= self._may_set_time_ns and not found_recently:
            self._schedule(Purpose.CHECK_PRESENCE_0, now)
        else:
            self._schedule_next_beacon_read(now)

    def _handle_presence(self, purpose: Purpose, total: int, now: int) -> None:
        """Go on to set the time if no presence count exists, or if none has been renewed for long."""
        presence_index = int(purpose is Purpose.CHECK_PRESENCE_1)
        self._presence_changed = self._presence_changed or total != self._presence_totals[presence_index]
        self._presence_totals[presence_index] = total
        if purpose is Purpose.CHECK_PRESENCE_0:
            self._schedule(Purpose.CHECK_PRESENCE_1, now)
        elif not any(self._presence_totals) or self._is_presence_stale(now):
            self._schedule(Purpose.LOCK, now)
        else:
            self._presence_found_at_ns = now
            self._schedule_next_beacon_read(now)

    def _is_presence_stale(self, now: int) -> bool:
        """Whether no gateway is in agreement any more, although presence counts still exist.

        The last gateway in agreement may need some time to find that it is alone; from then on it sends
        beacons more often.  This waits for longer than it takes to read a beacon of such a gateway.
        """
        if self._no_beacon_since_ns is None or self._presence_changed:
            self._no_beacon_since_ns, self._reads_without_beacon = now, 0
        wait = 2 * self._beacon_interval() + 2 * ALONE_INTERVAL_NS
        return now - self._no_beacon_since_ns >= wait and self._reads_without_beacon >= TAKEOVER_READS

    def _compare_with_beacons(self, beacon_time_ns: int, is_single: bool, sent_at_ns: int, now: int) -> None:
        """Keep this gateway's time, slew it, or note that the beacons have another time.

        ``beacon_time_ns`` is the mean of the times in the beacons, ``is_single`` whether there is just one
        beacon.  The counter handled the call from ``sent_at_ns`` to ``now`` on this gateway's clock, and in
        agreed time between the beacons' time and the end of the beacon's life.  So the agreed time is ahead
        of this gateway's by ``least_ahead`` to ``most_ahead``.
        """
        least_ahead = _lap_difference(beacon_time_ns, self.agreed_time(now))
        most_ahead = (
            least_ahead + BEACON_RESOLUTION_NS + BEACON_LIFETIME_NS + MAX_BEACON_DELAY_NS + (now - sent_at_ns)
        )
        if least_ahead <= MAX_SLEW_NS and most_ahead >= -MAX_SLEW_NS:
            self._offset_ns += max(0, least_ahead) + min(0, most_ahead)
            self._confirm_agreement(now)
        else:
            self._handle_other_time(self._offset_ns + (least_ahead + most_ahead) // 2, is_single, now)

    def _confirm_agreement(self, now: int) -> None:
        self._agreed_until_ns = now + max(MIN_AGREEMENT_NS, AGREEMENT_INTERVALS * self._beacon_interval())
        self._unconfirmed_offset_ns = self._no_beacon_since_ns = None
        self._contradicted_by_beacons = False
        self._first_attempt_over = True

    def _handle_other_time(self, offset_ns: int, is_single: bool, now: int) -> None:
        """Beacons show another time, which has this offset from this gateway's clock.

        It is taken over only once a later, single beacon confirms it: the first beacon may have been delayed
        by seconds, and several beacons may have different times, whose mean is no one's time.
        """
        self._contradicted_by_beacons = self._contradicted_by_beacons or self.agrees(now)
        self._agreed_until_ns = None
        self._first_attempt_over = True
        seen = self._unconfirmed_offset_ns
        confirmed = seen is not None and abs(_lap_difference(offset_ns, seen)) <= MAX_CONFIRMING_GAP_NS
        if is_single and confirmed and now - self._unconfirmed_since_ns >= BEACON_SETTLE_NS:
            self._offset_ns = offset_ns
            self.clock_steps += 1
            self._confirm_agreement(now)
        elif self._unconfirmed_offset_ns is None or (is_single and not confirmed):
            self._unconfirmed_offset_ns, self._unconfirmed_since_ns = offset_ns, now

    def _schedule_after_beacon(self, purpose: Purpose, now: int) -> None:
        """Schedule what follows a call for this purpose whose answer showed beacons of other gateways."""
        self._solitary_beacons = 0
        if not self.agrees(now):
            self._schedule(
                Purpose.READ,
                now + BEACON_SETTLE_NS + int(self._rng.random() * self._read_interval()),
            )
        elif purpose is Purpose.BEACON:
            self._schedule_beacon(now)
        else:
            self._schedule_first_beacon(now)

    def _schedule_first_beacon(self, now: int) -> None:
        """Schedule a beacon soon after agreement, for which others may wait; some renew presence first."""
        self._next_beacon_at_ns = now + int(
            self._rng.random() * min(MAX_FIRST_BEACON_DELAY_NS, self._beacon_interval())
        )
        self._schedule_renewal_or_beacon(self._rng.random() * self._gateways < FIRST_AGREEMENT_RENEWALS, now)

    def _schedule_beacon(self, now: int) -> None:
        """Schedule the next beacon, sooner if own ones met no others; at times renew presence first."""
        self._beacons_planned += 1
        interval = max(
            min(ALONE_INTERVAL_NS, self._beacon_interval()),
            self._beacon_interval() >> self._solitary_beacons,
        )
        self._next_beacon_at_ns = now + self._jittered(interval)
        self._schedule_renewal_or_beacon(
            self._solitary_beacons == ALONE_AFTER_BEACONS or self._beacons_planned % BEACONS_PER_RENEWAL == 0,
            now,
        )

    def _schedule_renewal_or_beacon(self, renew_presence: bool, now: int) -> None:
        if renew_presence:
            self._schedule(Purpose.RENEW, now)
        else:
            self._schedule(Purpose.BEACON, self._next_beacon_at_ns)

    def _schedule(self, purpose: Purpose, at_ns: int) -> None:
        self._next_purpose, self.due_at_ns = purpose, at_ns

    def _read_interval(self) -> int:
        return max(BEACON_READ_INTERVAL_NS, self._gateways * BEACON_READ_INTERVAL_PER_GATEWAY_NS)

    def _jittered_read_interval(self) -> int:
        return self._jittered(self._read_interval())

    def _beacon_interval(self) -> int:
        small = min(self._gateways * SECOND, MAX_BEACON_INTERVAL_SMALL_NS)
        large = min(self._gateways * BEACON_INTERVAL_PER_GATEWAY_NS, MAX_BEACON_INTERVAL_LARGE_NS)
        return max(small, large, self._gateways * BEACON_INTERVAL_PER_GATEWAY_HUGE_NS)

    def _jittered(self, interval_ns: int) -> int:
        """Shorten an interval by up to a quarter at random, so that gateways do not call in lockstep."""
        return int(interval_ns * (0.75 + 0.25 * self._rng.random()))


def _lap_difference(time_ns: int, other_ns: int) -> int:
    """By how much one time or offset is ahead of another, modulo a lap: half a lap at the most."""
    return (time_ns - other_ns + LAP_NS // 2) % LAP_NS - LAP_NS // 2
