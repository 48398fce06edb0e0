"""The correlation ids of requests in flight, and of those that may have run lately.

An id that comes again is rejected: the request behind it is in flight, or may have run and must not run
twice, whoever sends it.  Ids of requests that never got to a server are not kept, so that a client whose
requests are all refused cannot crowd out other ids.
"""

from __future__ import annotations

import hashlib
from collections import deque
from dataclasses import dataclass, field

from gingerworks.gateway import clock
from gingerworks.gateway.requests import RequestRejected

MIN_LIFETIME_NS = 60 * clock.NS_PER_S  # an id is kept so long, or for the longest deadline if that is longer
GENERATIONS = 6  # ids are forgotten in groups, each of which covers this part of the lifetime
DIGEST_BYTES = 8  # ids are kept as short digests, however long they are


@dataclass(slots=True)
class _Generation:
    """The ids of requests that ended in one part of the lifetime."""

    began_at_ns: int
    last_at_ns: int
    ids: set[int] = field(default_factory=set)


class RecentIds:
    """Keeps ids for their lifetime, within a bound; with no room, new requests are rejected instead."""

    def __init__(self, longest_deadline_ns: int, capacity: int) -> None:
        """Keep at most ``capacity`` ids, beyond that only those of the ``longest_deadline_ns``."""
        self._deadline_ns = longest_deadline_ns
        self._lifetime_ns = max(longest_deadline_ns, MIN_LIFETIME_NS)
        self._capacity = capacity
        self._in_flight: set[int] = set()
        self._generations: deque[_Generation] = deque()

    def __len__(self) -> int:
        return len(self._in_flight) + sum(len(generation.ids) for generation in self._generations)

    def begin(self, correlation_id: bytes) -> None:
        """A request with this id begins; raises ``RequestRejected`` if it must not."""
        key = _digest(correlation_id)
        if key in self._in_flight or any(key in generation.ids for generation in self._generations):
            raise RequestRejected(409, "X-Correlation-Id: seen before")
        self._make_room(clock.now())
        self._in_flight.add(key)

    def end(self, correlation_id: bytes, may_have_run: bool) -> None:
        """A request with this id has ended, with all its attempts; keep the id if it may have run."""
        key, now = _digest(correlation_id), clock.now()
        self._in_flight.discard(key)
        if not may_have_run:
            return
        if not self._generations or self._is_complete(self._generations[-1], now):
            self._generations.append(_Generation(now, now))
        newest = self._generations[-1]
        newest.ids.add(key)
        newest.last_at_ns = now

    def _is_complete(self, generation: _Generation, now_ns: int) -> bool:
        is_old = now_ns - generation.began_at_ns >= self._lifetime_ns // GENERATIONS
        return is_old or len(generation.ids) >= self._capacity // GENERATIONS

    def _make_room(self, now_ns: int) -> None:
        """Forget ids whose lifetime is over; without room, also those past the longest deadline."""
        while self._forget_oldest(now_ns, self._lifetime_ns):
            pass
        while len(self) >= self._capacity:
            if not self._forget_oldest(now_ns, self._deadline_ns):
                raise RequestRejected(503, "too many requests at once")

    def _forget_oldest(self, now_ns: int, min_age_ns: int) -> bool:
        """Forget the oldest generation if it ended longer ago than this; returns whether it did."""
        if not self._generations or now_ns - self._generations[0].last_at_ns <= min_age_ns:
            return False
        self._generations.popleft()
        return True


def _digest(correlation_id: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(correlation_id, digest_size=DIGEST_BYTES).digest(), "big")
