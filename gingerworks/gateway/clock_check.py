"""Whether this machine's wall clock agrees with the one that the fleet shares, as the starts of servers tell.

Gateways name shared counts by the time.  One whose clock was stepped before it started counts apart from its
peers, and grants their quotas a second time.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence

from gingerworks.gateway import clock

# A start that is told later than this shows a wrong clock: servers that take a minute to be listed, or lists
# that catch up after an outage of discovery, stay below it.
LATEST_NS = 900 * clock.NS_PER_S
BEHIND_NS = clock.NS_PER_S  # more than synchronized clocks of two machines differ by
LISTS = 2  # in a row: one may come after an outage of discovery, or name a server whose own clock is wrong

log = logging.getLogger(__name__)


class ClockCheck:
    """Compares the stated times of starts with the moments at which they were learned."""

    def __init__(self) -> None:
        self._implausible = 0  # lists in a row

    @property
    def agrees(self) -> bool:
        """Whether shared counts may be named by this clock; true until the starts of servers disprove it."""
        return self._implausible < LISTS

    def learned(self, stated_ns: Sequence[int], now: int) -> None:
        """Take in the stated times of all starts that one list has told of."""
        if not stated_ns:
            return
        ages = [now - stated for stated in stated_ns]
        if any(-BEHIND_NS <= age <= LATEST_NS for age in ages):
            if not self.agrees:
                log.warning("the clock agrees with discovery's again: quotas are shared again")
            self._implausible = 0
            return
        self._implausible += 1
        if self._implausible == LISTS:
            _log_disagreement(min(ages, key=abs))


def _log_disagreement(age_ns: int) -> None:
    log.error(
        "the clock is %s discovery's by some %.0f s: quotas are split evenly instead of shared; "
        "set this machine's clock, then restart this gateway",
        "ahead of" if age_ns > 0 else "behind",
        abs(age_ns) / clock.NS_PER_S,
    )
