"""What fleets of one to two hundred gateways send to cold servers, against the wider budget.

The wider budget allows for more random variation where few requests are allowed; see ``cold_fleet``.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from gingerworks import interface
from gingerworks.policy import Policy
from tests.cold_fleet import RULES, START, Fleet, Scenario, ServerModel, most_of_budget
from tests.support import MS, SECOND, listing, outcome, request, served, server, settings

BURST_OVER = START + 8 * SECOND  # the servers have much more of their capacity by then
FEW_PER_S = 4.0  # requests at each gateway, where the traffic grows with the fleet

# Scenarios for fleets of any size.  All restarted gateways have the whole list at once.
SCENARIOS = {
    "one new, burst": Scenario(4, 1, 0.6, burst=1.5, list_delay_s=(0.2, 1.0)),
    "half of them new, great burst": Scenario(4, 2, 0.6, burst=3.0, list_delay_s=(0.2, 1.0)),
    "all of many new, great burst": Scenario(12, 12, 0.6, burst=3.0, list_delay_s=(0.2, 1.0)),
    "both of two new, great burst": Scenario(2, 2, 0.6, burst=3.0, list_delay_s=(0.2, 1.0)),
    "all restarted, great burst": Scenario(4, 4, 0.6, burst=3.0, in_place=True),
    "both of two restarted, early lists": Scenario(
        2, 2, 0.6, burst=3.0, in_place=True, list_delay_s=(0.2, 1.0)
    ),
}
# Gateways, and the requests a second of each; none: all gateways together always get the same.
SIZES: tuple[tuple[int, float | None], ...] = (
    (1, None),
    (2, FEW_PER_S),
    (3, None),
    (5, FEW_PER_S),
    (12, None),
    (25, FEW_PER_S),
    (60, None),
    (60, FEW_PER_S),
    (200, None),
)


def most_of_wide_budget(fleet: Fleet) -> float:
    """The largest part of the wider budget that a cold server got, up to the end of the burst."""
    fleet.run(until=BURST_OVER)
    return max(most_of_budget(model, ServerModel.wide_budget) for model in fleet.cold)


@pytest.mark.parametrize("scenario", SCENARIOS.values(), ids=SCENARIOS)
@pytest.mark.parametrize(("gateways", "rate"), SIZES)
def test_a_fleet_of_any_size_keeps_within_the_budget_of_cold_servers(
    gateways: int, rate: float | None, scenario: Scenario
) -> None:
    sized = replace(scenario, gateways=gateways, rate=rate, restart_list_delay_s=(0.0, 0.0))
    fleet = Fleet(1, sized)
    assert most_of_wide_budget(fleet) <= 1.0
    assert any(model.sends for model in fleet.cold)


@pytest.mark.parametrize("burst", [1.5, 3.0])
@pytest.mark.parametrize("in_place", [False, True])
@pytest.mark.parametrize(("gateways", "rate"), [(3, None), (60, FEW_PER_S), (200, None)])
def test_the_budget_holds_when_all_gateways_and_all_servers_restart_at_once(
    gateways: int, rate: float | None, in_place: bool, burst: float
) -> None:
    # No gateway has seen answers from which it could estimate what a warm server can serve.
    scenario = Scenario(
        4, 4, 0.66, in_place, burst, gateways=gateways, rate=rate, restart_list_delay_s=(0.0, 0.0)
    )
    fleet = Fleet(1, scenario)
    for gateway in fleet.gateways:
        fleet.schedule(START + int(fleet.rng.uniform(0, 0.3) * SECOND), gateway.restart)
    assert most_of_wide_budget(fleet) <= 1.0
    assert fleet.served > 0


def cold_gateway(me: int, *servers: interface.Server) -> Policy:
    """A gateway that knows these servers from their start and has seen no answer."""
    policy = Policy(me, replace(settings(me=me, gateways=200), rules=RULES), 0)
    policy.handle(0, [listing(*servers)])
    return policy


def sent(policy: Policy, now: int, number: int) -> int:
    """Attempts that one more request starts."""
    return sum(isinstance(action, interface.Assign) for action in policy.handle(now, [request(number)]))


def test_each_request_of_a_quiet_gateway_is_allotted_to_cold_servers_once() -> None:
    # One warm and one cold server, and one request in five seconds.  A gateway that multiplied its rate just
    # after a request by the long gap before would count it as several.
    gateways, requests, total = 200, 3, 0
    for me in range(gateways):
        policy = cold_gateway(me, server("warm"), server("cold", started_ns=1))
        for number in range(requests):
            now = (number + 1) * 5 * SECOND
            actions = policy.handle(now, [request(number)])
            total += any(isinstance(act, interface.Assign) and act.server == "cold" for act in actions)
            policy.handle(now + 50 * MS, [served(number)])
    # At 15 s the cold server has 0.87 of its capacity: a fair share is 0.46 of the requests at the most.
    assert total <= gateways * requests * 0.47


def test_a_fleet_of_cold_servers_gets_only_its_part_of_capacity_from_new_gateways() -> None:
    # All twelve servers are cold.  Gateways without answers assume that the load is what the servers could
    # bear if they were warm, so the servers get their part of capacity of it, not all.
    gateways, requests, total = 200, 4, 0
    for me in range(gateways):
        policy = cold_gateway(me, *(server(f"cold{n}", started_ns=1) for n in range(12)))
        for number in range(requests):
            total += sent(policy, (number + 1) * SECOND, number)
    capacity_share = RULES.start_capacity + (1 - RULES.start_capacity) * requests * SECOND / RULES.cold_ns
    assert 0 < total <= gateways * requests * capacity_share


@pytest.mark.parametrize("status", [interface.Status.DIAL_FAILED, interface.Status.UNUSED])
def test_attempts_that_reach_no_server_do_not_count_as_load(status: interface.Status) -> None:
    # Every server refuses connections, then all restart: the failed attempts must not refill the allowances.
    gateways, total, age = 200, 0, 2 * SECOND
    for me in range(gateways):
        down = [server(f"s{n}") for n in range(4)]
        policy = cold_gateway(me, *down)
        now = 5 * SECOND
        attempts = sent(policy, now, 0)
        tried = 0
        while attempts:
            now += MS
            failed = policy.handle(now, [outcome(0, tried, status)])
            attempts = sum(isinstance(action, interface.Assign) for action in failed)
            tried += 1
        assert tried > 1
        policy.handle(now, [listing(*(replace(entry, started_ns=now) for entry in down))])
        total += sent(policy, now + age, 1)
    capacity_share = RULES.start_capacity + (1 - RULES.start_capacity) * age / RULES.cold_ns
    assert 0 < total <= gateways * capacity_share
