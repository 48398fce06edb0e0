"""Units and periods that several decision modules share; names that end in ``_NS`` are nanoseconds."""

from __future__ import annotations

SECOND = 1_000_000_000
MS = 1_000_000
EPSILON = 1e-6  # units: less than any request uses, more than the rounding of totals sent with seven digits
COUNT_TTL_NS = 60 * SECOND  # after which the counter forgets a count; the longest time that it allows
REPORT_PERIOD_NS = SECOND  # a customer's use is reported to the shared counter in one batch a second
SWEEP_PERIOD_NS = 5 * SECOND  # between searches for idle customers and for state changes to log
OVERDUE_MEANS = 3.0  # an answer is overdue after so many mean answer times
# The target answer time under load, as the smallest and the largest fraction of the aim of a request class.
# The rest of the aim is left for random variation.
TARGET_AIM_FRACTIONS = (0.16, 0.5)
