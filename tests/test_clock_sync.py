"""Agreement on the time of shared counts, with the order of the calls, and what becomes of each, forced.

``Bench`` plays the shared counter for several ``ClockSync``; each makes its calls only when it is told to.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from gingerworks import interface
from gingerworks.policy.clock_sync import (
    BEACON_AMOUNT,
    BEACON_LIFETIME_NS,
    BEACON_NAME,
    BEACON_SETTLE_NS,
    LAP_NS,
    MIN_AGREEMENT_NS,
    PRESENCE_NAMES,
    ClockSync,
    Purpose,
)
from tests.support import MS, SECOND

WAY = MS  # there and back
TOLERANCE = SECOND  # between clocks in agreement: quotas and ceilings bear that
STEPS = [-3 * SECOND, 3 * SECOND, 3600 * SECOND, -3600 * SECOND, 100 * SECOND + 500 * MS, -750 * MS]
STEPS += [LAP_NS // 2 + shift * MS for shift in (-600, -300, 0, 300, 600)]


@dataclass
class Node:
    """A gateway's clock: how far it is ahead of the model's time, and its part in the agreement."""

    sync: ClockSync
    ahead: int
    dead: bool = False

    def agrees(self, now: int) -> bool:
        return not self.dead and self.sync.agrees(now + self.ahead)

    def time(self, now: int) -> int:
        """The time by which it names counts, within a lap."""
        return self.sync.agreed_time(now + self.ahead) % LAP_NS


@dataclass
class Bench:
    """Some gateways and one counter; ``lost`` says which calls have no answer, though they are added."""

    now: int = LAP_NS
    nodes: list[Node] = field(default_factory=list)
    totals: dict[int, tuple[float, int]] = field(default_factory=dict)
    lost: float = 0.0
    away: bool = False
    calls: int = 0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def add(self, ahead: int = 0, gateways: int = 3) -> Node:
        node = Node(ClockSync(gateways, random.Random(len(self.nodes))), ahead)
        self.nodes.append(node)
        node.sync.start(self.now + ahead)
        return node

    def bump(self, call: interface.Count) -> float:
        total, ends = self.totals.get(call.name, (0.0, 0))
        if ends <= self.now:
            total, ends = 0.0, self.now + call.ttl_ns
        self.totals[call.name] = total + call.amount, ends
        return total + call.amount

    def due_at(self, node: Node) -> int:
        assert node.sync.due_at_ns is not None
        return max(self.now, node.sync.due_at_ns - node.ahead)

    def step(
        self, node: Node, status: interface.Status = interface.Status.DELIVERED
    ) -> interface.Count | None:
        """Make a node's next call when it is due, with this outcome."""
        self.now = self.due_at(node)
        call = node.sync.take_due_call(self.now + node.ahead)
        if call is None:
            return None
        self.calls += 1
        level = 0.0 if status.never_ran else self.bump(call)
        self.now += WAY
        node.sync.handle_answer(interface.Counted(call.name, status, level, WAY), self.now + node.ahead)
        return call

    def run(self, seconds: float) -> None:
        """Let all nodes make their calls in the order in which they are due."""
        until = self.now + int(seconds * SECOND)
        while True:
            alive = [node for node in self.nodes if not node.dead]
            node = min(alive, key=self.due_at, default=None)
            if node is None or self.due_at(node) >= until:
                break
            status = interface.Status.DELIVERED
            if self.away:
                status = interface.Status.DIAL_FAILED
            elif self.rng.random() < self.lost:
                status = interface.Status.EXPIRED
            self.step(node, status)
        self.now = until

    def assert_agreement(self) -> None:
        alive = [node for node in self.nodes if not node.dead]
        assert all(node.agrees(self.now) for node in alive)
        self.assert_nobody_agrees_on_another_time()

    def assert_nobody_agrees_on_another_time(self) -> None:
        times = [node.time(self.now) for node in self.nodes if node.agrees(self.now)]
        apart = [(a - b + LAP_NS // 2) % LAP_NS - LAP_NS // 2 for a in times for b in times]
        assert max(apart, default=0) <= TOLERANCE


def until_it_agrees(bench: Bench, node: Node, seconds: float = 10.0) -> None:
    until = bench.now + int(seconds * SECOND)
    while not node.agrees(bench.now):
        bench.step(node)
        assert bench.now < until


def test_the_first_gateway_sets_the_time_and_the_next_one_agrees_with_one_call() -> None:
    bench = Bench()
    first = bench.add()
    until_it_agrees(bench, first)
    assert bench.now - LAP_NS < 100 * MS  # its turn after the first read, and four calls
    second = bench.add()
    bench.step(second)
    assert second.agrees(bench.now)
    bench.assert_agreement()


def test_a_lone_gateway_agrees_without_a_call() -> None:
    sync = ClockSync(1, random.Random(1))
    assert not sync.start(0)
    assert sync.agrees(0)
    assert not sync.suspends_customer_calls(0)
    assert sync.take_due_call(SECOND) is None


@pytest.mark.parametrize("step", STEPS)
def test_a_gateway_with_another_clock_takes_over_the_time_of_the_fleet(step: int) -> None:
    bench = Bench()
    first, stepped = bench.add(), bench.add(step)
    until_it_agrees(bench, first)
    while first.sync.due_at_ns is not None and not stepped.agrees(bench.now):
        bench.run(0.1)
        bench.assert_nobody_agrees_on_another_time()
        assert bench.now < LAP_NS + 10 * SECOND
    assert first.time(bench.now) == bench.now % LAP_NS  # who has set the time keeps it
    bench.run(60)
    bench.assert_agreement()


@pytest.mark.parametrize("step", STEPS)
def test_it_makes_no_difference_whose_clock_is_wrong(step: int) -> None:
    bench = Bench()
    stepped, others = bench.add(step), [bench.add() for _ in range(4)]
    until_it_agrees(bench, stepped)
    bench.run(15)
    bench.assert_agreement()
    assert all(abs(node.time(bench.now) - stepped.time(bench.now)) <= TOLERANCE for node in others)


def test_of_two_that_find_nobody_at_the_same_time_one_sets_the_time() -> None:
    bench = Bench()
    nodes = [bench.add(), bench.add(3 * SECOND)]
    for _ in range(4):  # both have read no beacon and no presence count before either goes on
        for node in nodes:
            bench.step(node)
    assert {node.sync._next_purpose for node in nodes} == {Purpose.LOCK}
    for node in nodes:
        bench.step(node)
    assert [node.sync._next_purpose for node in nodes] == [Purpose.SET_TIME, Purpose.READ]
    bench.step(nodes[0])
    assert [node.agrees(bench.now) for node in nodes] == [True, False]
    bench.run(10)
    bench.assert_agreement()


def test_a_beacon_that_was_held_up_for_seconds_moves_nobody() -> None:
    # As after a cut: what was written into it reaches the counter when it heals.
    bench = Bench()
    until_it_agrees(bench, bench.add())
    newcomer = bench.add()
    bench.now += SECOND
    bench.bump(
        interface.Count(
            BEACON_NAME, BEACON_AMOUNT + (bench.now - 6 * SECOND) % LAP_NS // (100 * MS), BEACON_LIFETIME_NS
        )
    )
    bench.step(newcomer)
    assert not newcomer.agrees(bench.now)
    assert newcomer.sync.suspends_customer_calls(bench.now)
    bench.run(5)
    bench.assert_agreement()
    assert newcomer.sync.clock_steps == 0


def test_a_restart_between_two_beacons_does_not_set_the_time_again() -> None:
    bench = Bench()
    first = bench.add()
    until_it_agrees(bench, first)
    bench.run(30)
    for _ in range(200):
        bench.run(0.37)
        newcomer = bench.add(100 * SECOND)
        asked = [bench.step(newcomer) for _ in range(3)]
        bench.nodes.remove(newcomer)
        assert [call.amount for call in asked if call is not None] == [0.0, 0.0, 0.0]
        bench.assert_nobody_agrees_on_another_time()


@pytest.mark.parametrize("gateways", [2, 8, 40])
def test_presence_counts_outlive_each_other(gateways: int) -> None:
    bench = Bench()
    for _ in range(gateways):
        bench.add(gateways=gateways)
    bench.run(30)
    for _ in range(1200):
        bench.run(0.25)
        assert any(bench.totals.get(name, (0.0, 0))[1] > bench.now for name in PRESENCE_NAMES)
    bench.assert_agreement()


@pytest.mark.parametrize("gateways", [2, 8, 200])
def test_after_all_have_gone_the_time_is_set_anew_by_one(gateways: int) -> None:
    bench = Bench()
    old = bench.add(gateways=gateways)
    until_it_agrees(bench, old)
    bench.run(3)
    old.dead = True
    for step in (0, 3 * SECOND, -3600 * SECOND):
        bench.add(step, gateways=gateways)
    for _ in range(700):
        bench.run(0.1)
        bench.assert_nobody_agrees_on_another_time()
    bench.assert_agreement()


@pytest.mark.parametrize("seed", range(8))
def test_no_two_times_are_agreed_on_though_a_third_of_all_answers_are_lost(seed: int) -> None:
    bench = Bench(lost=0.33, rng=random.Random(seed))
    for step in (0, -3 * SECOND, 3 * SECOND, 0, 3600 * SECOND, 0):
        bench.add(step, gateways=6)
    agreed = 0
    for _ in range(600):
        bench.run(0.1)
        bench.assert_nobody_agrees_on_another_time()
        agreed += sum(node.agrees(bench.now) for node in bench.nodes)
    bench.assert_agreement()
    assert agreed >= 0.8 * 600 * len(bench.nodes)


@pytest.mark.parametrize("seconds", [5, 120])
@pytest.mark.parametrize("emptied", [False, True])
def test_an_outage_of_the_counter_leaves_one_time(seconds: int, emptied: bool) -> None:
    bench = Bench()
    for _ in range(3):
        bench.add()
    bench.run(30)
    bench.away = True
    bench.run(seconds - 1)
    bench.add(3 * SECOND)  # restarted meanwhile, with another clock
    bench.run(1)
    assert all(node.agrees(bench.now) == (seconds * SECOND < MIN_AGREEMENT_NS) for node in bench.nodes[:3])
    bench.away = False
    if emptied:
        bench.totals.clear()
    for _ in range(300):
        bench.run(0.1)
        bench.assert_nobody_agrees_on_another_time()
    bench.assert_agreement()


def test_a_gateway_whose_clock_stood_still_agrees_anew() -> None:
    # As a virtual machine that was paused: its monotonic clock does not count the pause.
    bench = Bench()
    nodes = [bench.add() for _ in range(3)]
    bench.run(10)
    nodes[1].ahead -= 7 * SECOND
    bench.run(30)
    bench.assert_agreement()


@pytest.mark.parametrize("gateways", [2, 8])
def test_agreement_lasts_through_the_ends_of_laps(gateways: int) -> None:
    bench = Bench(now=2 * LAP_NS - 5 * SECOND)
    for n in range(gateways):
        bench.add([0, 200 * MS, -200 * MS][n % 3], gateways=gateways)
    bench.run(4)
    for _ in range(100):
        bench.run(0.1)
        bench.assert_agreement()
    assert all(node.sync.clock_steps == 0 for node in bench.nodes)


@pytest.mark.parametrize("level", [1.0, -5.0, 1e9])
def test_answers_that_no_beacons_make_tell_nothing(level: float) -> None:
    bench = Bench()
    node = bench.add()
    bench.now = bench.due_at(node)
    call = node.sync.take_due_call(bench.now)
    assert call is not None
    node.sync.handle_answer(
        interface.Counted(call.name, interface.Status.DELIVERED, level, WAY), bench.now + WAY
    )
    assert not node.agrees(bench.now)
    until_it_agrees(bench, node)


@pytest.mark.parametrize(("gateways", "most"), [(2, 4.0), (5, 4.0), (60, 16.0), (200, 30.0)])
def test_agreement_costs_a_bounded_part_of_the_counters_calls(gateways: int, most: float) -> None:
    bench = Bench()
    for _ in range(gateways):
        bench.add(gateways=gateways)
    bench.run(30)
    before = bench.calls
    bench.run(60)
    assert (bench.calls - before) / 60 <= most


def test_beacons_of_clocks_that_agree_move_no_clock() -> None:
    bench = Bench()
    for _ in range(5):
        bench.add(gateways=5)
    bench.run(1000)
    assert all(node.time(bench.now) == bench.now % LAP_NS for node in bench.nodes)
    assert BEACON_SETTLE_NS > BEACON_LIFETIME_NS
