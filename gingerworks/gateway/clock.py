"""The gateway's clock: Unix time at the start of the process, advanced by the monotonic clock.

The policy derives the names of shared counts from it, and servers state their start as Unix time, so all
gateways must use the same time.  Steps of the system's clock while the process runs must not reach the
policy, so the clock is set only once.
"""

from __future__ import annotations

import time

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000

_OFFSET = time.time_ns() - time.monotonic_ns()


def now() -> int:
    """Nanoseconds since the Unix epoch; never runs backwards."""
    return time.monotonic_ns() + _OFFSET


def from_unix_ms(milliseconds: int) -> int:
    """Convert a Unix time to nanoseconds, as in ``now``; 0 (long ago) stays 0."""
    return milliseconds * NS_PER_MS
