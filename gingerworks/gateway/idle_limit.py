"""Estimates how long a connection to a server may stay idle before it is not safe to reuse.

A server, or a load balancer or firewall in front of it, may drop idle connections sooner than the settings
say, without closing them visibly.  The gateway finds out only from a reset right after it has sent a request;
that request may have run, so one that must not be repeated is lost.  The estimator therefore keeps, for each
range of idle times, the share of requests that were reset right away, and gives the shortest idle time at
which this share is too high.
"""

from __future__ import annotations

import math

from gingerworks.gateway import clock

# A connection that ends within this time after a request was sent on it had been dropped at the other end
# before.
IMMEDIATE_RESET_NS = 10 * clock.NS_PER_MS
MIN_RECORDED_IDLE_NS = 50 * clock.NS_PER_MS  # resets after a shorter idle time have other causes
GAIN = 0.25  # a new result has this weight in the moving average of the reset rate
# Connections are not reused after idle times with a reset rate above this.  It is low, as a new connection
# costs little and a lost request costs much.
MAX_RESET_RATE = 0.2
DECAY_NS = 30 * clock.NS_PER_S  # old results fade with this time constant
# Idle times are divided into this many ranges: the first is up to 1 ms, each further one ends at twice the
# time.
BUCKETS = 24


class IdleLimitEstimator:
    """Moving average of the rate of immediate resets for each bucket of idle times."""

    def __init__(self) -> None:
        self._reset_rates = [0.0] * BUCKETS
        self._faded_at_ns = 0

    def record(self, idle_ns: int, was_reset: bool) -> None:
        """Record whether a request on a connection that had been idle for this time was reset at once."""
        if idle_ns < MIN_RECORDED_IDLE_NS:
            return
        self._fade()
        bucket = _bucket(idle_ns)
        self._reset_rates[bucket] += GAIN * (was_reset - self._reset_rates[bucket])

    def idle_limit_ns(self) -> int | None:
        """The idle time from which connections are not to be reused, or none if all may be."""
        self._fade()
        for bucket, rate in enumerate(self._reset_rates):
            if rate > MAX_RESET_RATE:
                return (1 << bucket >> 1) * clock.NS_PER_MS
        return None

    def _fade(self) -> None:
        now = clock.now()
        if any(self._reset_rates):
            remaining_share = math.exp((self._faded_at_ns - now) / DECAY_NS)
            self._reset_rates = [rate * remaining_share for rate in self._reset_rates]
        self._faded_at_ns = now


def _bucket(idle_ns: int) -> int:
    return min(BUCKETS - 1, (idle_ns // clock.NS_PER_MS).bit_length())
