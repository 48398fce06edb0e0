"""Units and periods that several decision modules share; names that end in ``_NS`` are nanoseconds."""

from __future__ import annotations

SECOND = 1_000_000_000
MS = 1_000_000
# A tolerance for amounts of units: less than any request uses, and more than the rounding error of the shared
# counter's totals, which are sent with seven digits.
EPSILON = 1e-6
COUNT_TTL_NS = 60 * SECOND  # the shared counter forgets a count after this, the longest time that it allows
REPORT_PERIOD_NS = SECOND  # a customer's use is reported to the shared counter in one batch a second
SWEEP_PERIOD_NS = 5 * SECOND  # time between searches for idle customers and for state changes to log
OVERDUE_MEANS = 3.0  # a server's answer is overdue after so many mean answer times of its class of requests
# The least and the greatest target answer time under load, as fractions of the aim of a class of requests.
# The rest of the aim is left for random variation.
TARGET_AIM_FRACTIONS = (0.16, 0.5)
