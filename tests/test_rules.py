"""Rules that every decision must keep to, by example and by property tests over random event sequences.

Each request gets exactly one final answer, before its deadline.  A request that may have run is neither
repeated nor refused unless that is harmless.  Nothing new is sent to draining or gone servers.  Cold servers
and ceilings get no more than their share.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from gingerworks import interface
from gingerworks.policy import Policy
from tests.support import (
    CAPPED,
    MS,
    SECOND,
    action_names,
    listing,
    outcome,
    policy_with_servers,
    request,
    served,
    server,
    settings,
)


def test_a_request_without_an_answer_fails_a_tick_before_its_deadline() -> None:
    policy = policy_with_servers()
    policy.handle(0, [request(1, class_name="post", ttl_ns=SECOND)])
    assert action_names(policy.handle(SECOND - 3 * MS, [interface.Timer(0)])) == []
    assert action_names(policy.handle(SECOND - 2 * MS, [interface.Timer(0)])) == ["Fail", "CancelAttempt"]
    assert action_names(policy.handle(2 * SECOND, [interface.Timer(0)])) == []


def test_requests_are_refused_at_once_while_no_server_is_ready() -> None:
    policy = Policy(1, settings(), 0)
    assert action_names(policy.handle(0, [listing(), request(1)])) == ["Decline"]
    drained = listing(server("s1", phase=interface.Phase.DRAINING))
    assert action_names(policy.handle(1, [drained, request(2)])) == ["Decline"]


def test_every_refusal_says_when_to_retry() -> None:
    # Refusals without a ready server, or at the deadline, once carried no time to wait.
    (bare,) = (
        a
        for a in Policy(1, settings(), 0).handle(0, [listing(), request(1)])
        if isinstance(a, interface.Decline)
    )
    policy = policy_with_servers(server("s1"))
    policy.handle(0, [request(1, ttl_ns=SECOND)])
    late = [
        a for a in policy.handle(SECOND - 2 * MS, [interface.Timer(0)]) if isinstance(a, interface.Decline)
    ]
    assert [0 < a.retry_after_ns <= SECOND for a in (bare, *late)] == [True, True]


def test_an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() -> None:
    for status in (
        interface.Status.EXPIRED,
        interface.Status.ERROR,
        interface.Status.DROPPED,
        interface.Status.CANCELLED,
    ):
        policy = policy_with_servers()
        policy.handle(0, [request(1, class_name="post")])
        assert action_names(policy.handle(MS, [outcome(1, 0, status)])) == ["Fail"]


def test_an_unsafe_request_that_never_ran_is_sent_again() -> None:
    policy = policy_with_servers()
    policy.handle(0, [request(1, class_name="post")])
    assert action_names(policy.handle(MS, [outcome(1, 0, interface.Status.SHED)])) == ["Assign"]


def test_a_keyed_request_is_repeated_only_in_its_cell_and_window() -> None:
    cells = (server("s1", cell=1), server("s2", cell=2))
    policy = policy_with_servers(*cells)
    policy.handle(0, [request(1, class_name="put")])
    first = next(
        a for a in policy.handle(0, [request(2, class_name="put")]) if isinstance(a, interface.Assign)
    )
    again = policy.handle(MS, [outcome(2, 0, interface.Status.ERROR)])
    assert [a.server for a in again if isinstance(a, interface.Assign)] == [first.server]
    assert action_names(policy.handle(3 * SECOND - MS, [outcome(2, 1, interface.Status.ERROR)])) != [
        "Decline"
    ]
    late = policy_with_servers(*cells)
    late.handle(0, [request(3, class_name="put", ttl_ns=4 * SECOND)])
    assert action_names(late.handle(3 * SECOND, [outcome(3, 0, interface.Status.ERROR)])) == ["Fail"]


@pytest.mark.parametrize("connect_ms", [100, 250, 2000])
def test_a_keyed_request_is_repeated_only_if_it_can_connect_within_the_window(connect_ms: int) -> None:
    # An attempt chosen just within the window arrived after it, as its connection was slow to open, and had a
    # second effect.
    base = settings().limits
    for before_end, again in ((connect_ms + 1, "Assign"), (connect_ms, "Fail"), (1, "Fail")):
        policy = policy_with_servers(server("s1"), limits=replace(base, connect_timeout_ns=connect_ms * MS))
        policy.handle(0, [request(1, class_name="put", ttl_ns=4 * SECOND)])
        actions = policy.handle(3 * SECOND - before_end * MS, [outcome(1, 0, interface.Status.ERROR)])
        assert action_names(actions) == [again]


def test_nothing_new_goes_to_a_draining_or_missing_server() -> None:
    policy = policy_with_servers()
    policy.handle(1, [listing(server("s1", phase=interface.Phase.DRAINING), mode=interface.ListMode.DELTA)])
    for n in range(20):
        actions = policy.handle(2, [request(n)])
        assert [a.server for a in actions if isinstance(a, interface.Assign)] == ["s2"]
        policy.handle(2, [served(n)])
    policy.handle(3, [listing(server("s3"))])
    actions = policy.handle(4, [request(n) for n in range(20, 22)])
    assert {a.server for a in actions if isinstance(a, interface.Assign)} == {"s3"}


def test_a_cold_server_gets_requests_by_its_part_of_capacity() -> None:
    policy = policy_with_servers(server("s1"), server("s2"), server("cold", started_ns=SECOND))
    sent = {"s1": 0, "s2": 0, "cold": 0}
    for n in range(400):
        now = SECOND + n * 10 * MS
        actions = policy.handle(now, [request(n)])
        for action in actions:
            if isinstance(action, interface.Assign):
                sent[action.server] += 1
                policy.handle(now, [served(n)])
    # Its capacity starts at 0.2 and is full after 10 s: over these 4 s, it is at most 0.36 on average.
    assert 0 < sent["cold"] <= 0.36 * (sent["s1"] + sent["s2"]) / 2 + 2


def ceiling_use(policy: Policy, start_ns: int, seconds: float, first: int) -> float:
    """Units sent on for one customer that asks all the time."""
    used = 0.0
    for k in range(int(seconds * 50)):
        number = first + k
        ask = request(number, plan="capped", customer="c", units=2.0)
        for action in policy.handle(start_ns + k * 20 * MS, [ask]):
            if isinstance(action, interface.Assign):
                used += 2.0
                policy.handle(start_ns + k * 20 * MS, [served(number)])
    return used


def test_a_restarted_gateway_takes_no_more_than_its_share_of_the_ceiling() -> None:
    # The quota is far above the ceiling, so only the ceiling limits.
    plan = replace(CAPPED, rate=1000.0, burst=1000.0)
    ceiling_settings = settings(plans=(plan,))
    used = 0.0
    for restart in range(4):
        policy = Policy(restart, ceiling_settings, restart * 2 * SECOND)
        policy.handle(restart * 2 * SECOND, [listing(server("s1"))])
        used += ceiling_use(policy, restart * 2 * SECOND, 2.0, 1000 * restart)
    share = (plan.ceiling_burst + plan.ceiling_slack + plan.ceiling_rate * 8) / 3
    assert 0.5 * plan.ceiling_rate * 8 / 3 < used <= share


STATUSES = [
    interface.Status.DELIVERED, interface.Status.ERROR, interface.Status.SHED, interface.Status.EXPIRED,
    interface.Status.DIAL_FAILED, interface.Status.DROPPED, interface.Status.CANCELLED,
]  # fmt: skip


class Checker:
    """Plays random events to one gateway, and fails where an action breaks a rule."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0
        self.policy = Policy(seed, settings(), 0)
        self.zones = {f"s{n}": ("ab"[n % 2], n % 3) for n in range(5)}
        self.phase = dict.fromkeys(self.zones, interface.Phase.READY)
        self.open_requests: dict[int, interface.Request] = {}
        self.deadlines: dict[int, int] = {}
        self.attempts: dict[int, list[tuple[str, int, interface.Status | None]]] = {}
        self.ended: set[int] = set()
        self.counter_answers: list[interface.Event] = []
        self.handle([self.server_list()])

    def server_list(self) -> interface.ServersChanged:
        return listing(*(
            server(name, zone=self.zones[name][0], cell=self.zones[name][1], phase=phase)
            for name, phase in self.phase.items()
        ))  # fmt: skip

    def handle(self, events: list[interface.Event]) -> None:
        for action in self.policy.handle(self.now, events):
            match action:
                case interface.Assign():
                    self.check_assign(action)
                case interface.Decline():
                    self.check_decline(action.id)
                    self.end(action.id)
                case interface.Fail():
                    self.end(action.id)
                case interface.Count():
                    self.schedule_counter_answer(action)
        for number, due in self.deadlines.items():
            assert self.now < due + 8 * MS, f"request {number} has no final answer after its deadline"

    def schedule_counter_answer(self, action: interface.Count) -> None:
        status = self.rng.choice(
            [
                interface.Status.DELIVERED,
                interface.Status.DELIVERED,
                interface.Status.EXPIRED,
                interface.Status.SHED,
            ]
        )
        self.counter_answers = [
            *getattr(self, "counter_answers", []),
            interface.Counted(action.name, status, self.rng.random() * 50, MS),
        ]

    def end(self, number: int) -> None:
        assert number in self.open_requests, "a second final answer, or one to an unknown request"
        del self.open_requests[number], self.deadlines[number]
        self.ended.add(number)

    def attempts_that_may_have_run(self, number: int) -> list[tuple[str, int, interface.Status | None]]:
        return [a for a in self.attempts[number] if a[2] is None or not a[2].never_ran]

    def check_decline(self, number: int) -> None:
        if self.open_requests[number].class_name != "look":
            assert not self.attempts_that_may_have_run(number), "refused although it may have run"

    def check_assign(self, action: interface.Assign) -> None:
        assert action.id in self.open_requests, "an attempt after the final answer"
        assert self.phase[action.server] is interface.Phase.READY, "an attempt on a draining or gone server"
        ran = self.attempts_that_may_have_run(action.id)
        name = self.open_requests[action.id].class_name
        assert len(self.attempts[action.id]) < 4
        if ran and name == "post":
            raise AssertionError("an unsafe request repeated")
        if ran and name == "put":
            assert self.zones[ran[0][0]] == self.zones[action.server]
            assert self.now - ran[0][1] < 3 * SECOND
        self.attempts[action.id].append((action.server, self.now, None))

    def step(self, number: int) -> None:
        self.now += self.rng.choice([0, 2 * MS, 20 * MS, 200 * MS])
        events: list[interface.Event] = list(self.counter_answers)
        self.counter_answers = []
        ttl = self.rng.choice([10 * MS, 300 * MS, 3 * SECOND])
        if self.rng.random() < 0.6:
            name, plan = self.rng.choice(["look", "put", "post"]), self.rng.choice(["free", "small"])
            customer = self.rng.choice("xyz")
            made = request(number, class_name=name, ttl_ns=ttl, plan=plan, customer=customer)
            self.open_requests[number], self.deadlines[number], self.attempts[number] = (
                made,
                self.now + ttl,
                [],
            )
            events.append(made)
        if self.rng.random() < 0.1:
            self.phase[self.rng.choice(sorted(self.phase))] = self.rng.choice(list(interface.Phase))
            events.insert(0, self.server_list())
        self.handle([*events, interface.Timer(0)])
        for key in sorted(self.attempts):
            for attempt, (name, sent, status) in enumerate(self.attempts[key]):
                if status is None and self.rng.random() < 0.3:
                    self.attempts[key][attempt] = (name, sent, status := self.rng.choice(STATUSES))
                    is_served = status is interface.Status.DELIVERED and key in self.open_requests
                    if is_served:
                        self.end(key)
                    self.handle([outcome(key, attempt, status, key in self.ended)])

    def run_to_deadlines(self) -> None:
        """Let the time pass to each deadline, without further traffic."""
        for due in sorted(self.deadlines.values()):
            self.now = max(self.now, due)
            self.handle([interface.Timer(0)])
        assert not self.open_requests


@hypothesis_settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 10**6))
def test_no_rule_is_broken_over_random_events(seed: int) -> None:
    checker = Checker(seed)
    for number in range(80):
        due = min(checker.deadlines.values(), default=0)
        if checker.deadlines and checker.now + 200 * MS > due - 2 * MS > checker.now:
            checker.now = due - 2 * MS
            checker.handle([interface.Timer(0)])
        checker.step(number)
        checker.handle([interface.Timer(0)])
    checker.run_to_deadlines()


def test_a_streamed_answer_that_has_begun_has_no_deadline() -> None:
    policy = policy_with_servers()
    policy.handle(0, [request(1, ttl_ns=SECOND)])
    policy.handle(MS, [interface.Started(1, 0)])
    assert action_names(policy.handle(2 * SECOND, [interface.Timer(0)])) == []
    assert action_names(policy.handle(3 * SECOND, [served(1)])) == []
    assert policy.in_flight == {}


def test_servers_that_are_gone_are_forgotten() -> None:
    policy = policy_with_servers()
    for number in range(200):  # servers are replaced, each under a new name
        fresh = interface.Server(f"new{number}", interface.Phase.READY)
        old = interface.Server(f"new{number - 5}", interface.Phase.GONE)
        policy.handle(number, [interface.ServersChanged(interface.ListMode.DELTA, (fresh, old))])
        assert len(policy.servers.backends) < 20
    policy.handle(
        200,
        [
            interface.ServersChanged(
                interface.ListMode.FULL, (interface.Server("last", interface.Phase.READY),)
            )
        ],
    )
    assert list(policy.servers.backends) == ["last"]
