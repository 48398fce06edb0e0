"""Shared counts of gateways whose wall clocks differ, because some were stepped before the gateways started.

These tests guard against gateways that derive the names of counts, and the refill since a count began, each
from its own clock.  A gateway that was an hour off read a count that nobody else used, and granted the
reserve of the ceiling that the others had granted as well: 239 units beyond a ceiling in 20 s.  One that was
3 s behind took use for refilled, and its corrections misled the others: 28 units.  Without the reserve, which
only readings grant, no ceiling was exceeded.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.quota_fleet import Deployment, Fleet, Result, plan
from tests.support import SECOND

HOUR = 3600 * SECOND
GATEWAYS = 8

# A counter that takes all calls; three in five customers request two to four times their quota.
OVERUSED_QUOTAS = Deployment(
    gateways=GATEWAYS,
    plans=(
        (plan("low", 0.77, 3.0, 0.88, 1.2), 20),
        (plan("middle", 2.9, 15.0, 1.1, 0.5), 10),
        (plan("high", 16.0, 25.0, 1.8, 1.2, 1.75), 3),
        (plan("tight", 16.0, 25.0, 1.8, 1.2, 1.2), 3),
    ),
    gateway_skew=1.0,
    full_fraction=0.1,
    heavy_fraction=0.6,
    heavy_factor=(2.0, 4.0),
    retries=1,
    calls_per_s=20_000.0,
    max_call_queue_ns=150_000_000,
    call_timeout_ns=50_000_000,
    units=(1.0,),
    unit_weights=(1.0,),
    class_worths=(2.0, 3.0, 5.0),
    hot_fraction=0.0,
    seconds=20,
)


def simulate(seed: int, *clock_steps_ns: int) -> Result:
    return Fleet(replace(OVERUSED_QUOTAS, clock_steps_ns=clock_steps_ns), seed).run()


@pytest.mark.parametrize("seed", [1, 2])
def test_with_equal_clocks_ceilings_hold_and_quotas_nearly(seed: int) -> None:
    result = simulate(seed)
    assert result.beyond_ceiling == 0.0
    assert result.units_beyond / result.units_sent <= 0.05


def test_equal_steps_of_all_clocks_change_nothing() -> None:
    # An hour is a multiple of the time for which a count is kept: only the names of counts differ.
    assert simulate(1, *[HOUR] * GATEWAYS) == simulate(1)


@pytest.mark.parametrize("step_ns", [-3 * SECOND, HOUR, -HOUR])
def test_ceilings_hold_although_one_gateways_wall_clock_was_stepped(step_ns: int) -> None:
    """Without an agreed time, the gateway that used counts of its own admitted more than the ceiling."""
    assert simulate(2, step_ns).beyond_ceiling == 0.0


@pytest.mark.parametrize("seed", [1, 2])
def test_ceilings_hold_if_a_gateway_with_another_clock_calls_no_counter(seed: int) -> None:
    """So a gateway behaves once the start times of servers have shown that its clock is wrong."""
    deployment = replace(OVERUSED_QUOTAS, clock_steps_ns=(HOUR,), gateways_without_counter=1)
    result = Fleet(deployment, seed).run()
    assert result.beyond_ceiling == 0.0
    assert result.units_beyond / result.units_sent <= 0.12  # 0.22 and 0.32 if it uses counts of its own
    assert result.served_ratio >= 0.95


def test_the_simulated_ceiling_allows_its_burst_its_refill_and_its_slack() -> None:
    ceiling = Fleet(replace(OVERUSED_QUOTAS, seconds=0), 1).customers[-1].ceiling
    most = int(ceiling.cap)
    for _ in range(most):
        ceiling.take(1.0, 0)
    assert ceiling.overrun == 0.0
    ceiling.take(2.0, 0)
    assert ceiling.overrun == pytest.approx(most + 2 - ceiling.cap)
    before = ceiling.overrun
    ceiling.take(1.0, 10 * SECOND)  # refilled by then
    assert ceiling.overrun == before
