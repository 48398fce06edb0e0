"""The choice of the server for an attempt.

Keeps the list of servers and, for each one, the attempts in flight, the learned speed, recent failures and
the slow-start allowance.  An attempt goes to the server with the shortest expected answer time, except that a
cold server, one that started recently, comes first while it has an allowance, that is, while slow start still
allows it an attempt.  Left out are:

- cold servers that have no allowance left;
- servers that accept no connection, for a while that doubles with each failure, if there is any other;
- servers that earlier attempts of the same request have tried, if there is any other;
- servers that fail or refuse attempts (outlier ejection), unless more than half of the others do.

For some time after its start a server is cold: it has a part of its capacity, which grows with its age.  Slow
start limits a cold server, at each gateway, to that part of what a warm server gets, so that all gateways
together do not overload it.

Times and durations are nanoseconds of the caller's clock unless a name says otherwise.  "Mean" stands for the
mean answer time of a request class.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence

from gingerworks import interface
from gingerworks.policy.constants import EPSILON, OVERDUE_MEANS, SECOND, TARGET_AIM_FRACTIONS
from gingerworks.policy.gap_counter import GapCounter

# Each new answer has at least this weight in the mean answer time of its class, so that the mean covers about
# the last two hundred answers.  A mean of fewer answers dips by chance, and the unloaded answer time, which
# is the lowest mean seen, would then be too low.
MIN_MEAN_GAIN = 0.005
# Mean answer times and answer rates of fewer answers are not relied on: they may be far off by chance.
MIN_ANSWERS_FOR_ESTIMATE = 20
# The answer rate per warm server is remembered over this time, which may be long: the rate hardly changes,
# and some gateways see few answers.
CAPACITY_MEMORY_NS = 60 * SECOND
# Each request is counted into the slow-start allowances of cold servers gradually, over about this time, so
# that a burst of requests does not fill them at once.
ALLOTMENT_NS = 2 * SECOND
# A server's speed is remembered over so many mean answer times.
SPEED_MEMORY_MEANS = 20.0
# The target answer time is this multiple of the unloaded answer time: it allows a short queue, which still
# keeps the servers' cores busy.
TARGET_OVER_UNLOADED = 1.25
# For so long after a server's last answer, the connection to it is assumed to be still open.
CONNECTION_KEPT_NS = 10 * SECOND
# A new connection costs the server and its first request so many mean answer times.
HANDSHAKE_MEANS = 0.5
# A server that accepts no connection is first left out for this time: a restart may take so long.
UNREACHABLE_MIN_NS = SECOND
# A server that accepts no connection is left out for this time at most: server lists report a restart within
# some seconds.
UNREACHABLE_MAX_NS = 16 * SECOND
# With each answer the unloaded answer time grows by this fraction: by a tenth in five hundred answers.
UNLOADED_DRIFT = 2e-4


class Backend:
    """What this gateway knows of one server.

    ``relative_answer_time`` is its answer time as a multiple of the mean, ``capacity_share`` the part of its
    full capacity that it had when this gateway last chose a server.  ``waiting_since_ns`` is the time of its
    last answer or, if later, the time when it last got an attempt while it had no other in flight.
    """

    def __init__(self, entry: interface.Server, now: int, slow_start_level: float) -> None:
        self.entry = entry
        self.attempts_in_flight = self.consecutive_failures = self.consecutive_failed_dials = 0
        self.ejected_until_ns = self.unreachable_until_ns = 0
        self.relative_answer_time = self.capacity_share = 1.0
        self.speed_updated_at_ns = self.waiting_since_ns = self.slow_start_refilled_at_ns = now
        self.last_answer_at_ns = -math.inf
        # In a large fleet each gateway may send a cold server only one request in many seconds.  The random
        # initial level spreads these first requests over time: with equal levels the server would be idle for
        # that long, and then all gateways would send at once.
        self.slow_start = GapCounter(1.0, slow_start_level, 0.0)


class Servers:
    """The listed servers and what is known of them, and the mean answer times of the request classes."""

    def __init__(self, settings: interface.Settings, rng: random.Random, now: int) -> None:
        self.settings = settings
        self.rng = rng
        self.backends: dict[str, Backend] = {}
        self.mean_answer_ns = {c.name: c.aim_ns * 0.2 for c in settings.classes}
        self.unloaded_answer_ns = dict(self.mean_answer_ns)
        self.answers_seen = {c.name: 0 for c in settings.classes}
        # Cold servers get allowances in proportion to the requests that this gateway gets.  Each request is
        # counted for that gradually, see ALLOTMENT_NS; this is the number of recent requests that are still
        # to be counted.
        self.unallotted_requests, self.allotted_at_ns = 0.0, now
        # The number of recent answers, and the time in which they came: seconds summed over the ready
        # servers, each weighted by its capacity share.
        self.recent_answers = self.recent_warm_server_seconds = 0.0

    def apply_list(self, event: interface.ServersChanged, now: int) -> None:
        """Apply a whole server list, or changes to it."""
        if event.mode is interface.ListMode.FAILED:
            return
        if event.mode is not interface.ListMode.DELTA:
            listed = {entry.name for entry in event.servers}
            self.backends = {name: b for name, b in self.backends.items() if name in listed}
        for entry in event.servers:
            known = self.backends.get(entry.name)
            if entry.phase is interface.Phase.GONE:
                # Forget the server: perhaps no further entry with its name follows.
                self.backends.pop(entry.name, None)
            elif known and (
                entry.started_ns == known.entry.started_ns or entry.phase is not interface.Phase.READY
            ):
                known.entry = entry
            else:  # a new process: what was learned about an earlier one does not apply
                self.backends[entry.name] = Backend(entry, now, self.rng.random())

    def capacity_share_at(self, backend: Backend, now: int) -> float:
        """The part of its full capacity that a server has at least, which grows linearly while it is cold."""
        rules = self.settings.rules
        if backend.entry.started_ns <= 0 or now - backend.entry.started_ns >= rules.cold_ns:
            return 1.0
        age = max(0, now - backend.entry.started_ns) / rules.cold_ns
        return rules.start_capacity + (1 - rules.start_capacity) * age

    def refill_slow_starts(self, now: int) -> None:
        """Refill the slow-start allowances of cold servers up to now.

        For each request that a warm server gets from this gateway, the allowance of a cold one grows by its
        capacity share, which is below 1.
        """
        ready = [b for b in self.backends.values() if b.entry.phase is interface.Phase.READY]
        for backend in ready:
            backend.capacity_share = self.capacity_share_at(backend, now)
        total_capacity = sum(backend.capacity_share for backend in ready)
        elapsed = now - self.allotted_at_ns
        fade = math.exp(-elapsed / CAPACITY_MEMORY_NS)
        self.recent_answers, self.recent_warm_server_seconds = (
            self.recent_answers * fade,
            self.recent_warm_server_seconds * fade + total_capacity * elapsed / SECOND,
        )
        for backend in ready:
            if backend.capacity_share < 1.0:
                since = max(backend.slow_start_refilled_at_ns, self.allotted_at_ns)
                backend.slow_start.refill(
                    backend.capacity_share
                    * self._requests_per_warm_server(now - since, total_capacity, len(ready))
                )
            backend.slow_start_refilled_at_ns = now
        self.unallotted_requests *= math.exp(-elapsed / ALLOTMENT_NS)
        self.allotted_at_ns = now

    def _requests_per_warm_server(self, elapsed: int, total_capacity: float, servers: int) -> float:
        """Requests that a warm server is taken to get from this gateway in ``elapsed`` nanoseconds.

        ``total_capacity`` is the sum of the capacity shares of the ``servers`` servers that are ready.
        """
        # Each request is counted once.  Were the current request rate multiplied by the time since the last
        # request, a gateway with few requests would combine the rate just after a request, when it is
        # highest, with the long gap before it: all gateways together then sent several times the share.
        requests = self.unallotted_requests * -math.expm1(-elapsed / ALLOTMENT_NS)
        # When the whole fleet is cold, its total capacity is small.  Divided by it, the requests would let
        # the cold servers get all requests, retries and hedges.  So the result is limited by the rate of
        # answers per warm server that this gateway has seen: summed over the gateways, that is no more than
        # warm servers can answer.  While too few answers were seen to know this rate, it is assumed that the
        # servers could bear all requests if they were warm.
        if self.recent_answers < MIN_ANSWERS_FOR_ESTIMATE:
            return requests / servers
        max_requests_per_s = (
            self.settings.rules.overload_factor
            * self.recent_answers
            / max(EPSILON, self.recent_warm_server_seconds)
        )
        return min(requests / max(1.0, total_capacity), max_requests_per_s * elapsed / SECOND)

    def choose(
        self, now: int, class_mean_ns: float, allowed: Iterable[Backend], tried_servers: Sequence[str]
    ) -> Backend | None:
        """The server with the shortest expected answer time, or none if no allowed one can take an attempt.

        ``class_mean_ns`` is the mean answer time of the request's class, ``tried_servers`` names the
        servers of its earlier attempts.
        """
        self.unallotted_requests += 1.0
        self.refill_slow_starts(now)
        ready = (b for b in allowed if b.entry.phase is interface.Phase.READY)
        admissible = [b for b in ready if b.capacity_share >= 1.0 or b.slow_start.covers(1.0)]
        # Servers that accept no connection are left out while there is any other, however many they are.
        reachable = [b for b in admissible if b.unreachable_until_ns <= now] or admissible
        untried = [b for b in reachable if b.entry.name not in tried_servers] or reachable
        # If more than half of the untried servers are ejected, they are hardly at fault: ignore ejection.
        healthy = [b for b in untried if b.ejected_until_ns <= now]
        pool = healthy if 2 * len(healthy) >= len(untried) else untried
        # Cold servers with an allowance come first: by expected answer time alone they would stay idle.
        sort_keys = {
            b: (b.capacity_share >= 1.0, self.expected_wait(b, now, class_mean_ns), self.rng.random())
            for b in pool
        }
        return min(sort_keys, key=lambda b: sort_keys[b], default=None)

    def expected_wait(self, backend: Backend, now: int, class_mean_ns: float) -> float:
        """Expected answer time as a multiple of the mean, by attempts in flight and the learned speed."""
        wait = backend.relative_answer_time * (1.0 + backend.attempts_in_flight)
        if backend.attempts_in_flight and now - backend.waiting_since_ns > OVERDUE_MEANS * class_mean_ns:
            # The server may have stalled: no attempt in flight has been answered for long.
            wait += (now - backend.waiting_since_ns) / class_mean_ns
        if now - backend.last_answer_at_ns > CONNECTION_KEPT_NS:
            wait += HANDSHAKE_MEANS
        if backend.entry.zone != self.settings.zone:
            wait *= 1.1  # traffic between zones costs a little; a tenth decides only between near equals
        return wait

    def target_answer_ns(self, request_class: interface.RequestClass) -> float:
        """The answer time that load shedding aims for: little queueing, and well within the class's aim."""
        least, most = TARGET_AIM_FRACTIONS
        return min(
            most * request_class.aim_ns,
            max(
                least * request_class.aim_ns,
                TARGET_OVER_UNLOADED * self.unloaded_answer_ns[request_class.name],
            ),
        )

    def attempt_started(self, backend: Backend, now: int) -> None:
        """Record that an attempt was sent to a server."""
        if backend.attempts_in_flight == 0:
            backend.waiting_since_ns = now
        backend.attempts_in_flight += 1
        if backend.capacity_share < 1.0:
            backend.slow_start.adjust(-1.0)

    def attempt_ended(
        self, backend: Backend, outcome: interface.Outcome, request_class: interface.RequestClass, now: int
    ) -> None:
        """Record the outcome of an attempt."""
        backend.attempts_in_flight = max(0, backend.attempts_in_flight - 1)
        if outcome.status in (interface.Status.DIAL_FAILED, interface.Status.UNUSED):
            # No server has seen this attempt, and another one takes its place: it is not counted as load.
            self.unallotted_requests = max(0.0, self.unallotted_requests - 1.0)
        if outcome.status is interface.Status.DELIVERED:
            self._learn_from_answer(backend, outcome.elapsed_ns, request_class, now)
        elif outcome.status is interface.Status.DIAL_FAILED:
            self._avoid_unreachable(backend, now)
        elif outcome.status not in (interface.Status.CANCELLED, interface.Status.UNUSED):
            self._eject(backend, request_class, now)

    def _learn_from_answer(
        self, backend: Backend, elapsed_ns: int, request_class: interface.RequestClass, now: int
    ) -> None:
        """Learn from an answer: the server's speed, and the mean and unloaded answer time of its class."""
        self.recent_answers += 1.0
        backend.waiting_since_ns = now
        name = request_class.name
        weight = 1 - math.exp(
            -(now - backend.speed_updated_at_ns) / (SPEED_MEMORY_MEANS * self.mean_answer_ns[name])
        )
        backend.speed_updated_at_ns = backend.last_answer_at_ns = now
        backend.consecutive_failures = backend.consecutive_failed_dials = backend.ejected_until_ns = 0
        answer_time_ratio = elapsed_ns / self.mean_answer_ns[name]
        self.answers_seen[name] += 1
        # The initial mean answer time, which is assumed, weighs as much as five answers.
        gain = max(MIN_MEAN_GAIN, 1 / (5 + self.answers_seen[name]))
        self.mean_answer_ns[name] += gain * (
            min(elapsed_ns, request_class.aim_ns) - self.mean_answer_ns[name]
        )
        # The unloaded answer time is the shortest mean answer time seen, which is slowly forgotten.
        unloaded_ns = self.unloaded_answer_ns[name] * (1 + UNLOADED_DRIFT)
        unloaded_ns = math.inf if self.answers_seen[name] < MIN_ANSWERS_FOR_ESTIMATE else unloaded_ns
        self.unloaded_answer_ns[name] = min(unloaded_ns, self.mean_answer_ns[name])
        backend.relative_answer_time += weight * (min(answer_time_ratio, 10.0) - backend.relative_answer_time)

    def _avoid_unreachable(self, backend: Backend, now: int) -> None:
        """Leave out a server that accepts no connection, twice as long for each failure, up to a limit."""
        # A new process on that server is listed with a new start time, and the pause does not apply to it.
        pause_ns = min(UNREACHABLE_MAX_NS, UNREACHABLE_MIN_NS << backend.consecutive_failed_dials)
        backend.consecutive_failed_dials += 1
        backend.unreachable_until_ns = now + int(pause_ns * (0.75 + 0.5 * self.rng.random()))

    def _eject(self, backend: Backend, request_class: interface.RequestClass, now: int) -> None:
        """Outlier ejection: leave out a failing server, longer for each failure in a row, up to a limit.

        Time-outs, errors and refusals count alike.  Errors that come fast would otherwise make a server look
        quick.
        """
        backend.consecutive_failures += 1
        pause_ns = self.mean_answer_ns[request_class.name] * 2 ** min(backend.consecutive_failures, 5)
        backend.ejected_until_ns = now + int(pause_ns * (0.75 + 0.5 * self.rng.random()))
