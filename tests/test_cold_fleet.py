"""What thirty gateways together send to servers that have just started."""

from __future__ import annotations

import pytest

from tests.cold_fleet import GATEWAYS, RULES, START, WARM, Day, Machine, nearest, play, used
from tests.support import SECOND

DAYS = {
    "one new among many": Day(12, 1, 0.6, burst=1.5),
    "one new, told soon": Day(12, 1, 0.66, burst=1.5, late=(0.2, 1.0)),
    "half of them new, told soon": Day(12, 6, 0.6, burst=1.5, late=(0.2, 1.0)),
    "half of them new, connections reset": Day(12, 6, 0.5, burst=1.5, resets=0.1),
    "most of them new, all busy": Day(10, 8, 0.66, burst=1.5),
    "all of them new": Day(12, 12, 0.66, burst=1.5),
    "all of them new, overload, told soon": Day(12, 12, 0.8, burst=2.0, late=(0.2, 1.0)),
    "a third back cold": Day(9, 3, 0.6, in_place=True, burst=1.5),
    "one of few new, all busy, told soon": Day(4, 1, 0.66, burst=1.5, late=(0.2, 1.0)),
}


@pytest.mark.parametrize("day", DAYS.values(), ids=DAYS)
@pytest.mark.parametrize("seed", [1, 2])
def test_no_cold_server_gets_more_from_thirty_gateways_than_its_budget(seed: int, day: Day) -> None:
    fleet = play(seed, day)
    assert all(gateway.told for gateway in fleet.gateways)
    assert sum(gateway.lives == 2 for gateway in fleet.gateways) == GATEWAYS // 3
    assert max(nearest(machine) for machine in fleet.cold) <= 1.0
    # Safety is not bought by leaving them idle, neither at first nor later, nor kept by chance alone.
    told = START + int(day.late[1] * SECOND)
    assert 0.5 <= used(fleet, told, told + 4 * SECOND) <= 1.5
    assert 0.8 <= used(fleet, told, WARM) <= 1.2


def test_the_budget_is_counted_in_every_window_and_broken_by_one_request_more() -> None:
    machine = Machine("s", 0, 1.0, started_ns=START)
    most = int(machine.budget(START))
    assert most == 35  # twice 4 a second for 3 s: 24, and 2 x root of 24 + 2
    machine.sends = [(START + n, True) for n in range(most)]
    assert nearest(machine) <= 1.0
    machine.sends.append((START + RULES.fall_ns + most, True))  # a window later
    assert nearest(machine) <= 1.0
    machine.sends[-1] = (START + RULES.fall_ns - 1, True)
    assert nearest(machine) > 1.0
    machine.sends = [(at, n % 3 > 0) for n, (at, _) in enumerate(machine.sends)]
    assert nearest(machine) == 0.0  # a third came from gateways that could not know
