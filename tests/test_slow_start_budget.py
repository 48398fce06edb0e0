"""What fleets of one to two hundred gateways send to cold servers, against what the standing test allows."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gingerworks import interface
from gingerworks.policy import Policy
from tests.cold_fleet import RULES, START, Day, Fleet, Machine, nearest
from tests.support import MS, SECOND, listing, outcome, request, served, server, settings

COLDEST = START + 8 * SECOND  # by then the burst is over, and the servers have grown much less cold
FEW_A_SECOND = 4.0  # requests at each gateway, where the traffic grows with the fleet

# Kinds of trouble, for fleets of any size.  All gateways that have restarted have the whole list at once.
KINDS = {
    "one new, burst": Day(4, 1, 0.6, burst=1.5, late=(0.2, 1.0)),
    "half of them new, great burst": Day(4, 2, 0.6, burst=3.0, late=(0.2, 1.0)),
    "all of many new, great burst": Day(12, 12, 0.6, burst=3.0, late=(0.2, 1.0)),
    "both of two new, great burst": Day(2, 2, 0.6, burst=3.0, late=(0.2, 1.0)),
    "all back cold, great burst": Day(4, 4, 0.6, burst=3.0, in_place=True),
    "both of two back cold, told soon": Day(2, 2, 0.6, burst=3.0, in_place=True, late=(0.2, 1.0)),
}
# Gateways, and the requests a second of each: none where all together always have the same.
SIZES: tuple[tuple[int, float | None], ...] = (
    (1, None),
    (2, FEW_A_SECOND),
    (3, None),
    (5, FEW_A_SECOND),
    (12, None),
    (25, FEW_A_SECOND),
    (60, None),
    (60, FEW_A_SECOND),
    (200, None),
)


def most_of_budget(fleet: Fleet) -> float:
    """The most that a cold server had of what the standing test allows, up to the burst's end."""
    fleet.run(until=COLDEST)
    return max(nearest(machine, Machine.fall) for machine in fleet.cold)


@pytest.mark.parametrize("day", KINDS.values(), ids=KINDS)
@pytest.mark.parametrize(("gateways", "rate"), SIZES)
def test_no_cold_server_gets_more_than_its_budget_from_a_fleet_of_any_size(
    gateways: int, rate: float | None, day: Day
) -> None:
    sized = replace(day, gateways=gateways, rate=rate, list_after_restart=(0.0, 0.0))
    fleet = Fleet(1, sized)
    assert most_of_budget(fleet) <= 1.0
    assert any(machine.sends for machine in fleet.cold)


@pytest.mark.parametrize("burst", [1.5, 3.0])
@pytest.mark.parametrize("in_place", [False, True])
@pytest.mark.parametrize(("gateways", "rate"), [(3, None), (60, FEW_A_SECOND), (200, None)])
def test_the_budget_holds_as_all_gateways_restart_while_all_servers_start(
    gateways: int, rate: float | None, in_place: bool, burst: float
) -> None:
    # None of them has seen an answer that would tell what a warm server takes.
    day = Day(4, 4, 0.66, in_place, burst, gateways=gateways, rate=rate, list_after_restart=(0.0, 0.0))
    fleet = Fleet(1, day)
    for gateway in fleet.gateways:
        fleet.at(START + int(fleet.rng.uniform(0, 0.3) * SECOND), gateway.restart)
    assert most_of_budget(fleet) <= 1.0
    assert fleet.served > 0


def cold_gateway(me: int, *servers: interface.Server) -> Policy:
    """One gateway that was told of these servers as they started, and has seen no answer."""
    policy = Policy(me, replace(settings(me=me, gateways=200), rules=RULES), 0)
    policy.handle(0, [listing(*servers)])
    return policy


def sent(policy: Policy, now: int, number: int) -> int:
    """Attempts that begin with one more request."""
    return sum(isinstance(action, interface.Assign) for action in policy.handle(now, [request(number)]))


def test_gateways_of_few_requests_share_each_of_them_out_once() -> None:
    # One warm and one cold server, one request in five seconds: the gap does not count for several.
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


def test_gateways_that_know_nothing_take_the_load_for_what_warm_servers_bear() -> None:
    # All twelve servers cold: they get their warmth's share of the load, not all of it.
    gateways, requests, total = 200, 4, 0
    for me in range(gateways):
        policy = cold_gateway(me, *(server(f"cold{n}", started_ns=1) for n in range(12)))
        for number in range(requests):
            total += sent(policy, (number + 1) * SECOND, number)
    warmth = RULES.start_capacity + (1 - RULES.start_capacity) * requests * SECOND / RULES.cold_ns
    assert 0 < total <= gateways * requests * warmth


@pytest.mark.parametrize("status", [interface.Status.DIAL_FAILED, interface.Status.UNUSED])
def test_attempts_that_meet_nobody_do_not_count_as_load(status: interface.Status) -> None:
    # Every server refuses connections, then all start anew: attempts made in vain allow no more to be sent.
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
    warmth = RULES.start_capacity + (1 - RULES.start_capacity) * age / RULES.cold_ns
    assert 0 < total <= gateways * warmth
