"""The choice of server: the list of servers, their expected waits, outlier ejection and slow start.

Times are in nanoseconds; speeds are relative to the mean answer time of the class of request.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence

from gingerworks import interface
from gingerworks.policy.constants import EPSILON, OVERDUE_MEANS, SECOND, TARGET_AIM_FRACTIONS
from gingerworks.policy.gap_counter import GapCounter

MEAN_GAIN = 0.005  # of mean answer times: two hundred answers, as a chance dip would set the floor low
SEEN_ENOUGH = 20  # answers: a mean of fewer is no floor, it may be far too short
TAKEN_NS = 60 * SECOND  # memory of what a warm server takes: it hardly changes, and some gateways see little
SHARING_NS = 2 * SECOND  # a request counts in what cold servers get for about so long: evenly, after bursts
SPEED_MEMORY = 20.0  # mean answer times over which a server's speed is remembered
STRAIN = 1.25  # answer time allowed, in answer times of the unpressed back end: the cores are busy then
MET_NS = 10 * SECOND  # after an answer its connection is likely kept for so long
HANDSHAKE = 0.5  # of a mean answer time: what a new connection costs the server and its first request
UNREACHABLE_NS = SECOND  # a server that accepts no connection is left alone: as soon as a process may be back
UNREACHABLE_MOST_NS = 16 * SECOND  # ... and doubled up to this: lists tell of restarts within some seconds
BASE_DRIFT = 2e-4  # an answer's part in forgetting the shortest mean: a tenth in five hundred answers


class Backend:
    """One server as this gateway sees it."""

    def __init__(self, entry: interface.Server, now: int, level: float) -> None:
        self.entry = entry
        self.attempts_in_flight = self.consecutive_failures = self.consecutive_failed_dials = 0
        self.ejected_until_ns = self.unreachable_until_ns = 0
        self.relative_answer_time = self.capacity_share = 1.0  # the latter as of the last choice
        self.speed_updated_ns = self.waiting_since_ns = self.slow_start_refilled_ns = now
        self.last_answer_ns = -math.inf
        # Guards against a large fleet, where each gateway's share is one request in many seconds, leaving a
        # cold server idle for so long and then coming all at once: they start at random parts of a request.
        self.slow_start = GapCounter(1.0, level, 0.0)


class Servers:
    """The roster, what each server has out, how fast it answers, its health and its slow start."""

    def __init__(self, settings: interface.Settings, rng: random.Random, now: int) -> None:
        self.settings = settings
        self.rng = rng
        self.backends: dict[str, Backend] = {}
        self.mean_answer_ns = {c.name: c.aim_ns * 0.2 for c in settings.classes}
        self.unloaded_answer_ns = dict(self.mean_answer_ns)
        self.answers_seen = {c.name: 0 for c in settings.classes}
        self.unallotted_requests, self.allotted_ns = (
            0.0,
            now,
        )  # requests not yet counted in what cold servers get
        self.recent_answers = self.recent_warm_server_seconds = (
            0.0  # answers, and the seconds of a warm server in which they came
        )

    def apply_list(self, event: interface.ServersChanged, now: int) -> None:
        """Apply a list, or changes to it."""
        if event.mode is interface.ListMode.FAILED:
            return
        if event.mode is not interface.ListMode.DELTA:
            listed = {entry.name for entry in event.servers}
            self.backends = {name: b for name, b in self.backends.items() if name in listed}
        for entry in event.servers:
            known = self.backends.get(entry.name)
            if entry.phase is interface.Phase.GONE:  # forgotten, as its name may never come again
                self.backends.pop(entry.name, None)
            elif known and (
                entry.started_ns == known.entry.started_ns or entry.phase is not interface.Phase.READY
            ):
                known.entry = entry
            else:  # a new process: what was learned of an old one is void
                self.backends[entry.name] = Backend(entry, now, self.rng.random())

    def capacity_share_at(self, backend: Backend, now: int) -> float:
        """The share of its capacity that a server has at the least."""
        rules = self.settings.rules
        if backend.entry.started_ns <= 0 or now - backend.entry.started_ns >= rules.cold_ns:
            return 1.0
        age = max(0, now - backend.entry.started_ns) / rules.cold_ns
        return rules.start_capacity + (1 - rules.start_capacity) * age

    def fill_slow_starts(self, now: int) -> None:
        """Rule 4: a cold server gets from each gateway its warmth's share of what a warm one gets."""
        ready = [
            backend for backend in self.backends.values() if backend.entry.phase is interface.Phase.READY
        ]
        for backend in ready:
            backend.capacity_share = self.capacity_share_at(backend, now)
        total = sum(backend.capacity_share for backend in ready)
        elapsed = now - self.allotted_ns
        fade = math.exp(-elapsed / TAKEN_NS)
        self.recent_answers, self.recent_warm_server_seconds = (
            self.recent_answers * fade,
            self.recent_warm_server_seconds * fade + total * elapsed / SECOND,
        )
        for backend in ready:
            if backend.capacity_share < 1.0:
                since = max(backend.slow_start_refilled_ns, self.allotted_ns)
                backend.slow_start.refill(
                    backend.capacity_share * self._requests_per_warm_server(now - since, total, len(ready))
                )
            backend.slow_start_refilled_ns = now
        self.unallotted_requests *= math.exp(-elapsed / SHARING_NS)
        self.allotted_ns = now

    def _requests_per_warm_server(self, elapsed: int, total: float, servers: int) -> float:
        """Requests that a warm server gets from this gateway meanwhile; ``total``: all servers' warmth."""
        # Each request is shared out once.  Guards against a gateway of few requests multiplying its rate
        # just after one, the highest, by the long gap before it: together they sent several times the share.
        requests = self.unallotted_requests * -math.expm1(-elapsed / SHARING_NS)
        # Guards against a fleet that is cold as a whole getting all load and further attempts: what gateways
        # see answered is, in sum, within what warm servers take.  Too few answers tell nothing: then the
        # load is taken to be no more than the servers could bear if all were warm.
        if self.recent_answers < SEEN_ENOUGH:
            return requests / servers
        most = (
            self.settings.rules.overload_factor
            * self.recent_answers
            / max(EPSILON, self.recent_warm_server_seconds)
        )
        return min(requests / max(1.0, total), most * elapsed / SECOND)

    def choose(
        self, now: int, mean: float, allowed: Iterable[Backend], tried: Sequence[str]
    ) -> Backend | None:
        """The server with the shortest expected wait."""
        self.unallotted_requests += 1.0
        self.fill_slow_starts(now)
        ready = (b for b in allowed if b.entry.phase is interface.Phase.READY)
        fit = [b for b in ready if b.capacity_share >= 1.0 or b.slow_start.covers(1.0)]
        # Nobody listens there: left out as long as anything else is left, however many they are.
        live = [b for b in fit if b.unreachable_until_ns <= now] or fit
        fresh = [b for b in live if b.entry.name not in tried] or live
        # Many bad at once are not the servers' fault: then health is no guide, and none is left out.
        well = [b for b in fresh if b.ejected_until_ns <= now]
        pool = well if 2 * len(well) >= len(fresh) else fresh
        # A cold one that may have its share has it first: compared by waits it would stay idle.
        order = {
            b: (b.capacity_share >= 1.0, self.expected_wait(b, now, mean), self.rng.random()) for b in pool
        }
        return min(order, key=lambda b: order[b], default=None)

    def expected_wait(self, backend: Backend, now: int, mean: float) -> float:
        """Expected answer time in mean answer times, by own attempts out and learned speed."""
        wait = backend.relative_answer_time * (1.0 + backend.attempts_in_flight)
        if backend.attempts_in_flight and now - backend.waiting_since_ns > OVERDUE_MEANS * mean:
            wait += (now - backend.waiting_since_ns) / mean  # a stall: all that is out has gone unanswered
        if now - backend.last_answer_ns > MET_NS:
            wait += HANDSHAKE
        if backend.entry.zone != self.settings.zone:
            wait *= 1.1  # crossing costs a little; a tenth decides only between near equals
        return wait

    def target_answer_ns(self, request_class: interface.RequestClass) -> float:
        """The answer time to steer for when pressed: little queueing, and well within the aim."""
        least, most = TARGET_AIM_FRACTIONS
        return min(
            most * request_class.aim_ns,
            max(least * request_class.aim_ns, STRAIN * self.unloaded_answer_ns[request_class.name]),
        )

    def attempt_started(self, backend: Backend, now: int) -> None:
        """Book an attempt."""
        if backend.attempts_in_flight == 0:
            backend.waiting_since_ns = now
        backend.attempts_in_flight += 1
        if backend.capacity_share < 1.0:
            backend.slow_start.adjust(-1.0)

    def attempt_ended(
        self, backend: Backend, outcome: interface.Outcome, request_class: interface.RequestClass, now: int
    ) -> None:
        """Learn from an outcome."""
        backend.attempts_in_flight = max(0, backend.attempts_in_flight - 1)
        if outcome.status in (interface.Status.DIAL_FAILED, interface.Status.UNUSED):
            # Guards against attempts that met nobody counting as load: a further one takes this one's place.
            self.unallotted_requests = max(0.0, self.unallotted_requests - 1.0)
        if outcome.status is interface.Status.DELIVERED:
            self._delivered(backend, outcome.elapsed_ns, request_class, now)
        elif outcome.status is interface.Status.DIAL_FAILED:
            self._avoid_unreachable(backend, now)
        elif outcome.status not in (interface.Status.CANCELLED, interface.Status.UNUSED):
            self._eject(backend, request_class, now)

    def _delivered(
        self, backend: Backend, elapsed_ns: int, request_class: interface.RequestClass, now: int
    ) -> None:
        """Learn from an answer: the server's speed, and the mean and shortest mean of its class."""
        self.recent_answers += 1.0
        backend.waiting_since_ns = now
        told = 1 - math.exp(
            -(now - backend.speed_updated_ns) / (SPEED_MEMORY * self.mean_answer_ns[request_class.name])
        )
        backend.speed_updated_ns = backend.last_answer_ns = now
        backend.consecutive_failures = backend.consecutive_failed_dials = backend.ejected_until_ns = 0
        ratio = elapsed_ns / self.mean_answer_ns[request_class.name]
        self.answers_seen[request_class.name] += 1
        gain = max(
            MEAN_GAIN, 1 / (5 + self.answers_seen[request_class.name])
        )  # the start counts as four answers
        self.mean_answer_ns[request_class.name] += gain * (
            min(elapsed_ns, request_class.aim_ns) - self.mean_answer_ns[request_class.name]
        )
        base = self.unloaded_answer_ns[request_class.name] * (1 + BASE_DRIFT)
        base = math.inf if self.answers_seen[request_class.name] < SEEN_ENOUGH else base
        self.unloaded_answer_ns[request_class.name] = min(base, self.mean_answer_ns[request_class.name])
        backend.relative_answer_time += told * (min(ratio, 10.0) - backend.relative_answer_time)

    def _avoid_unreachable(self, backend: Backend, now: int) -> None:
        """Leave out for a while a server that accepts no connection, longer each time."""
        # Whoever starts there again is told with a new start time; until then trying is in vain.
        away = min(UNREACHABLE_MOST_NS, UNREACHABLE_NS << backend.consecutive_failed_dials)
        backend.consecutive_failed_dials += 1
        backend.unreachable_until_ns = now + int(away * (0.75 + 0.5 * self.rng.random()))

    def _eject(self, backend: Backend, request_class: interface.RequestClass, now: int) -> None:
        """Outlier ejection, longer each time, by one symptom.

        Time-outs, fast errors (which would else look like a quick server) and refusals alike.
        """
        backend.consecutive_failures += 1
        backoff = self.mean_answer_ns[request_class.name] * 2 ** min(backend.consecutive_failures, 5)
        backend.ejected_until_ns = now + int(backoff * (0.75 + 0.5 * self.rng.random()))
