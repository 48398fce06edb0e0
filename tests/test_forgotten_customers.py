"""A customer that is forgotten as too many others came: its ceiling holds, and its use is reported."""

from __future__ import annotations

from functools import partial

from gingerworks import interface
from gingerworks.policy import Policy
from gingerworks.policy.timer_queue import TimerQueue
from tests.support import CAPPED, MS, SECOND, action_names, listing, request, served, server, settings

MAX_CUSTOMERS = 20


def small_policy(**changes: object) -> Policy:
    policy = Policy(7, settings(**changes), 0, max_customers=MAX_CUSTOMERS)
    policy.handle(0, [listing(server("s1"), server("s2"))])
    return policy


# Guards against a ceiling that is filled again for a customer that had to be forgotten.
def test_a_customer_that_is_forgotten_again_and_again_does_not_pass_its_ceiling() -> None:
    policy, admitted, number = small_policy(has_counter=False), 0.0, 0
    duration_s = 20
    for step in range(duration_s * 10):
        now = SECOND + step * 100 * MS
        for _ in range(4):
            number += 1
            asked = request(number, plan="capped", customer="pressing", units=4.0, entries=1)
            if "Assign" in action_names(policy.handle(now, [asked])):
                admitted += 4.0
                policy.handle(now, [served(number)])
        for _ in range(MAX_CUSTOMERS + 1):
            number += 1
            policy.handle(now, [request(number, customer=f"new{number}"), served(number)])
        assert len(policy.quotas.customers) <= MAX_CUSTOMERS
    assert admitted > 0
    limit = CAPPED.ceiling_burst + CAPPED.ceiling_rate * (duration_s + 1) + CAPPED.ceiling_slack
    assert admitted <= limit


# Guards against a busy customer that is forgotten in favour of names that are seen once.
def test_the_customer_without_a_request_for_the_longest_time_is_forgotten_first() -> None:
    policy = small_policy()
    for number in range(10 * MAX_CUSTOMERS):
        name = "busy" if number % 10 == 0 else f"new{number}"
        policy.handle(number * MS, [request(number, customer=name)])
        assert ("busy", "free") in policy.quotas.customers


# Guards against use that no gateway learns of, as its customer was forgotten before its report.
def test_the_use_of_a_forgotten_customer_is_reported_to_the_counter() -> None:
    policy, reported = small_policy(), 0.0
    for number in range(2 * MAX_CUSTOMERS):
        asked = request(number, plan="small", customer=f"new{number}", entries=1)
        for action in policy.handle(number, [asked]):
            if isinstance(action, interface.Count):
                reported += action.amount
    assert reported >= MAX_CUSTOMERS * 1.0


# Guards against requests that are kept until their deadline, long after their end.
def test_nothing_is_kept_of_requests_that_have_ended() -> None:
    policy = small_policy(has_counter=False)
    for number in range(1000):
        assert "Assign" in action_names(policy.handle(number, [request(number, customer="one")]))
        policy.handle(number, [served(number)])
    assert not policy.in_flight
    assert len(policy.scheduled) == 1  # the next sweep


def test_callbacks_come_in_order_of_time_and_not_after_they_were_cancelled() -> None:
    queue, called = TimerQueue(), list[int]()
    handles = [queue.add(number % 7, partial(called.append, number)) for number in range(700)]
    for number, handle in enumerate(handles):
        if number % 3:
            handle.cancel()
            handle.cancel()
    assert len(queue) == 234
    assert queue.next_due_ns() == 0
    while (callback := queue.take_due(3)) is not None:
        callback()
    assert called == sorted((n for n in range(0, 700, 3) if n % 7 <= 3), key=lambda n: (n % 7, n))
    assert queue.next_due_ns() == 4
    for handle in handles:
        handle.cancel()
    assert len(queue) == 0
    assert queue.next_due_ns() is None
