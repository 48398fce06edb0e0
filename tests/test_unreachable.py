"""Tests of how the policy treats servers that accept no connections though the server list still has them.

This happens during a release, for instance, while the list is not yet up to date.
"""

from __future__ import annotations

from itertools import pairwise

from gingerworks import interface
from gingerworks.policy import Policy
from tests.support import MS, SECOND, listing, outcome, policy_with_servers, request, served, server


def sent_to(actions: list[interface.Action]) -> list[str]:
    return [action.server for action in actions if isinstance(action, interface.Assign)]


def try_all(
    policy: Policy,
    number: int,
    now: int,
    dead: set[str],
    status: interface.Status = interface.Status.DIAL_FAILED,
) -> list[str]:
    """Run one request to its end and return the servers tried, in order."""
    tried = sent_to(policy.handle(now, [request(number)]))
    while tried and tried[-1] in dead:
        more = sent_to(policy.handle(now, [outcome(number, len(tried) - 1, status)]))
        if not more:
            return tried
        tried += more
    policy.handle(now, [served(number, len(tried) - 1)])
    return tried


def test_retries_after_refused_connections_do_not_use_the_retry_budget() -> None:
    # During a release many servers are gone before the list says so; such retries once used up the retry
    # budget.
    policy = policy_with_servers(server("alive"), server("dead1"), server("dead2"))
    policy.retry_budget.level = 0.0
    for number in range(30):
        assert try_all(policy, number, number * 3 * SECOND, {"dead1", "dead2"})[-1] == "alive"


def test_a_server_that_refuses_connections_is_avoided_for_longer_each_time() -> None:
    policy, times = policy_with_servers(server("alive"), server("dead")), []
    for n in range(600):
        # Slower than the other server, which is therefore preferred whenever it is not avoided.
        policy.servers.backends["alive"].relative_answer_time = 3.0
        if "dead" in try_all(policy, n, n * 100 * MS, {"dead"}):
            times.append(n * 100 * MS)
    assert len(times) <= 8  # of 600 requests in a minute
    assert len(times) >= 3
    gaps = [after - before for before, after in pairwise(times)]
    assert gaps[0] >= 0.7 * SECOND
    assert gaps[-1] > 3 * gaps[0]


def test_unsent_attempts_use_no_retry_budget_and_count_against_no_server() -> None:
    # A shortage on the gateway's host once counted against each server chosen, until all were avoided.
    policy = policy_with_servers(server("s1"), server("s2"))
    policy.retry_budget.level = 0.0
    try_all(policy, 1, 0, {"s1", "s2"}, interface.Status.UNUSED)
    level = policy.retry_budget.level
    assert (
        len(try_all(policy, 2, MS, {"s1", "s2"}, interface.Status.UNUSED))
        == policy.settings.limits.max_attempts
    )
    assert policy.retry_budget.level >= level
    assert [b.unreachable_until_ns for b in policy.servers.backends.values()] == [0, 0]
    assert len(try_all(policy, 3, 2 * MS, set())) == 1


def test_an_avoided_server_is_used_again_once_the_list_reports_its_restart() -> None:
    policy = policy_with_servers(server("s1"), server("s2"))
    for n in range(8):
        try_all(policy, n, n * MS, {"s1"})
    policy.handle(SECOND, [listing(server("s1", started_ns=1), mode=interface.ListMode.DELTA)])
    policy.servers.backends["s2"].relative_answer_time = 3.0  # the other server is preferred if not avoided
    used = {try_all(policy, n, 20 * SECOND + n * MS, set())[-1] for n in range(100, 140)}
    assert "s1" in used


def test_servers_are_still_tried_if_all_of_them_refuse_connections() -> None:
    policy = policy_with_servers(server("s1"), server("s2"))
    for n in range(6):
        assert try_all(policy, n, n * MS, {"s1", "s2"})
