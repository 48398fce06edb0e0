"""Units and periods that several decision modules share; names that end in ``_NS`` are nanoseconds."""

from __future__ import annotations

SECOND = 1_000_000_000
MS = 1_000_000
# Amounts of units that differ by no more than this count as equal.  It is less than any request uses, and
# more than the rounding error of the shared counter's totals, which are sent with seven digits.
EPSILON = 1e-6
COUNT_TTL_NS = 60 * SECOND  # the shared counter forgets a count after this, the longest time that it allows
REPORT_PERIOD_NS = SECOND  # a customer's use is reported to the shared counter in one batch a second
SWEEP_PERIOD_NS = 5 * SECOND  # a sweep looks for idle customers and for state changes to log this often
OVERDUE_MEANS = 3.0  # an answer is overdue after so many mean answer times of its class of requests
# The target answer time under load is at least the first and at most the second of these fractions of the aim
# of a class of requests, the time within which its answers are worth the most.  The rest of the aim is left
# for random variation.
TARGET_AIM_FRACTIONS = (0.16, 0.5)
