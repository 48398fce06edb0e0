"""What thirty gateways together send to servers that have just started.

Each gateway decides alone; the sum must stay within what a cold server can bear, and still use it.
"""

from __future__ import annotations

import pytest

from tests.cold_fleet import (
    GATEWAYS,
    RULES,
    START,
    WARM,
    Scenario,
    ServerModel,
    most_of_budget,
    run_fleet,
    used_of_share,
)
from tests.support import SECOND

SCENARIOS = {
    "one new among many": Scenario(12, 1, 0.6, burst=1.5),
    "one new, early lists": Scenario(12, 1, 0.66, burst=1.5, list_delay_s=(0.2, 1.0)),
    "half of them new, early lists": Scenario(12, 6, 0.6, burst=1.5, list_delay_s=(0.2, 1.0)),
    "half of them new, connections reset": Scenario(12, 6, 0.5, burst=1.5, reset_share=0.1),
    "most of them new, all busy": Scenario(10, 8, 0.66, burst=1.5),
    "all of them new": Scenario(12, 12, 0.66, burst=1.5),
    "all of them new, overload, early lists": Scenario(12, 12, 0.8, burst=2.0, list_delay_s=(0.2, 1.0)),
    "a third restarted": Scenario(9, 3, 0.6, in_place=True, burst=1.5),
    "one of few new, all busy, early lists": Scenario(4, 1, 0.66, burst=1.5, list_delay_s=(0.2, 1.0)),
}


@pytest.mark.parametrize("scenario", SCENARIOS.values(), ids=SCENARIOS)
@pytest.mark.parametrize("seed", [1, 2])
def test_thirty_gateways_keep_within_the_budget_of_cold_servers_and_use_it(
    seed: int, scenario: Scenario
) -> None:
    fleet = run_fleet(seed, scenario)
    assert all(gateway.knows_start for gateway in fleet.gateways)
    assert sum(gateway.processes == 2 for gateway in fleet.gateways) == GATEWAYS // 3
    assert max(most_of_budget(model) for model in fleet.cold) <= 1.0
    # The cold servers are neither left idle nor overused, at first as well as over the whole cold time.
    informed = START + int(scenario.list_delay_s[1] * SECOND)
    assert 0.5 <= used_of_share(fleet, informed, informed + 4 * SECOND) <= 1.5
    assert 0.8 <= used_of_share(fleet, informed, WARM) <= 1.2


def test_one_request_above_the_budget_of_any_window_is_found() -> None:
    model = ServerModel("s", 0, 1.0, started_ns=START)
    most = int(model.budget(START))
    assert most == 35  # twice 4 requests a second for 3 s: 24, and 2 x root of 24 + 2
    model.sends = [(START + n, True) for n in range(most)]
    assert most_of_budget(model) <= 1.0
    model.sends.append((START + RULES.fall_ns + most, True))  # a window later
    assert most_of_budget(model) <= 1.0
    model.sends[-1] = (START + RULES.fall_ns - 1, True)
    assert most_of_budget(model) > 1.0
    model.sends = [(at, n % 3 > 0) for n, (at, _) in enumerate(model.sends)]
    assert most_of_budget(model) == 0.0  # a third came from gateways that did not know of the start
