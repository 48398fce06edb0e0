"""What operators need to know after an incident: why requests and connections ended, and memory in use.

``Diagnostics.record`` counts each event by its reason.  The first few of a period are logged one by one, with
their ids, and the others only counted, so that a client that causes many can't fill the log.  At the end of
each period with any event, one line reports the counts, the memory in use and the gauges.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections import Counter
from collections.abc import Callable
from enum import Enum

from gingerworks.gateway.config import BYTES_PER_MB

REPORT_PERIOD_S = 5.0  # one line in each such period, if anything happened
EXAMPLES_PER_PERIOD = 3  # so many events of each kind are logged one by one in a period
MEMORY_CHANGE_BYTES = 1 << 20  # a change of memory by this much is reported even if no event happened

Gauges = Callable[[], dict[str, int]]  # the current values, by name

log = logging.getLogger(__name__)


class Event(Enum):
    """Kinds of events; the values are the words of the log."""

    REQUEST_REJECTED = "request rejected"
    REQUEST_REFUSED = "request refused"
    REQUEST_FAILED = "request failed"
    REQUEST_CANCELLED = "request cancelled, its client has gone"
    ATTEMPT_REPEATED = "another attempt"
    CLIENT_TIMED_OUT = "client closed after a time-out"
    CLIENT_CLOSED_UNREAD = "client closed with an answer unread"
    CLIENT_EVICTED = "client closed to make room"


class Diagnostics:
    """Counts events by reason and reports them, together with memory and gauges, once a period."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, memory_limit_bytes: int | None, gauges: Gauges
    ) -> None:
        """``memory_limit_bytes`` is the configured limit; ``gauges`` returns the values to report."""
        self._loop = loop
        self._memory_limit_bytes = memory_limit_bytes
        self._gauges = gauges
        self._counts: Counter[tuple[Event, str]] = Counter()
        self._logged: Counter[Event] = Counter()
        self._reported_memory_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Report the memory in use now, and everything further once a period."""
        self._report()

    def stop(self) -> None:
        """Report what was counted since the last report, and end the reports."""
        if self._timer is not None:
            self._timer.cancel()
            self._report_counts()

    def record(self, event: Event, reason: str, identity: str = "") -> None:
        """Count an event; ``reason`` is one of a few fixed texts, ``identity`` tells what it happened to."""
        self._counts[event, reason] += 1
        if self._logged[event] < EXAMPLES_PER_PERIOD:
            self._logged[event] += 1
            log.info("%s: %s%s%s", event.value, reason, "; " if identity else "", identity)

    def _report(self) -> None:
        memory_bytes = resident_memory_bytes()
        if self._counts or abs(memory_bytes - self._reported_memory_bytes) >= MEMORY_CHANGE_BYTES:
            self._report_counts()
        self._timer = self._loop.call_later(REPORT_PERIOD_S, self._report)

    def _report_counts(self) -> None:
        memory_bytes = resident_memory_bytes()
        self._reported_memory_bytes = memory_bytes
        limit = (
            f" of {self._memory_limit_bytes / BYTES_PER_MB:.0f}"
            if self._memory_limit_bytes is not None
            else ""
        )
        values = [f"{name} {value}" for name, value in self._gauges().items()]
        values += [f"{event.value} ({reason}) x{n}" for (event, reason), n in self._counts.most_common()]
        log.info("status: memory %.1f%s MB, %s", memory_bytes / BYTES_PER_MB, limit, ", ".join(values))
        self._counts.clear()
        self._logged.clear()


def resident_memory_bytes() -> int:
    """The memory that this process has in use; 0 if the system does not tell."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
