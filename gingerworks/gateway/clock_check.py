"""Checks this machine's wall clock against the start times of servers that discovery reports.

The names of shared counts contain the time.  A gateway whose wall clock was stepped before it started would
use other counts than its peers and grant customers their quotas a second time.  For each server that starts
while the gateway runs, discovery reports when it started.  If that is far from the moment at which the
gateway learned of it, in two lists in a row, the clock is taken to be wrong, until a list shows a plausible
time again.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence

from gingerworks.gateway import clock

# If discovery reports a start longer than this after the time that it gives for it, the clock is taken to be
# wrong.  The delay stays shorter for servers that take a minute to be listed and for lists that catch up
# after an outage of discovery.
MAX_REPORT_DELAY_NS = 900 * clock.NS_PER_S
MAX_CLOCK_DIFFERENCE_NS = clock.NS_PER_S  # synchronized clocks of two machines differ by less than this
# The clock is taken to be wrong once this many lists in a row give implausible start times: a single list
# may come after an outage of discovery, or name a server whose own clock is wrong.
IMPLAUSIBLE_LISTS_NEEDED = 2

log = logging.getLogger(__name__)


class ClockCheck:
    """Compares the reported times of starts with the moments at which the gateway learned of them."""

    def __init__(self) -> None:
        self._implausible_lists = 0  # how many lists in a row gave only implausible start times

    @property
    def is_plausible(self) -> bool:
        """Whether shared counts may be named by this clock; true until start times show that it is wrong."""
        return self._implausible_lists < IMPLAUSIBLE_LISTS_NEEDED

    def check_starts(self, reported_starts_at_ns: Sequence[int], now: int) -> None:
        """Check the reported times of all new starts in one list, which was received ``now``."""
        if not reported_starts_at_ns:
            return
        ages_ns = [now - start_at_ns for start_at_ns in reported_starts_at_ns]
        if any(-MAX_CLOCK_DIFFERENCE_NS <= age_ns <= MAX_REPORT_DELAY_NS for age_ns in ages_ns):
            if not self.is_plausible:
                log.warning("the clock agrees with discovery's again: quotas are shared again")
            self._implausible_lists = 0
            return
        self._implausible_lists += 1
        if self._implausible_lists == IMPLAUSIBLE_LISTS_NEEDED:
            _log_implausible_clock(min(ages_ns, key=abs))


def _log_implausible_clock(age_ns: int) -> None:
    log.error(
        "the clock is %s discovery's by about %.0f s: quotas are split evenly instead of shared; "
        "set this machine's clock, then restart this gateway",
        "ahead of" if age_ns > 0 else "behind",
        abs(age_ns) / clock.NS_PER_S,
    )
