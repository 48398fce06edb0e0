"""Agreement of gateways on one time, in a model that controls the order and the outcome of all calls.

``SimulatedFleet`` plays the shared counter for several ``ClockSync`` and makes their calls one by one.
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

ROUND_TRIP_NS = MS  # of a call to the counter
TOLERANCE_NS = SECOND  # allowed between clocks in agreement; quotas and ceilings hold with it
CLOCK_STEPS_NS = [-3 * SECOND, 3 * SECOND, 3600 * SECOND, -3600 * SECOND, 100 * SECOND + 500 * MS, -750 * MS]
CLOCK_STEPS_NS += [LAP_NS // 2 + shift * MS for shift in (-600, -300, 0, 300, 600)]


@dataclass
class Node:
    """A gateway: how far its clock is ahead of the model's time, and its part in the agreement."""

    sync: ClockSync
    ahead_ns: int
    stopped: bool = False

    def agrees(self, now: int) -> bool:
        return not self.stopped and self.sync.agrees(now + self.ahead_ns)

    def agreed_time(self, now: int) -> int:
        """The time by which it names shared counts, within a lap."""
        return self.sync.agreed_time(now + self.ahead_ns) % LAP_NS


@dataclass
class SimulatedFleet:
    """Some gateways and the shared counter.

    ``loss_rate`` is the share of calls that the counter handles but whose answer is lost.
    """

    now: int = LAP_NS
    nodes: list[Node] = field(default_factory=list)
    totals: dict[int, tuple[float, int]] = field(default_factory=dict)
    loss_rate: float = 0.0
    counter_down: bool = False
    calls: int = 0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def add(self, ahead_ns: int = 0, gateways: int = 3) -> Node:
        node = Node(ClockSync(gateways, random.Random(len(self.nodes))), ahead_ns)
        self.nodes.append(node)
        node.sync.start(self.now + ahead_ns)
        return node

    def add_to_count(self, call: interface.Count) -> float:
        total, expires_ns = self.totals.get(call.name, (0.0, 0))
        if expires_ns <= self.now:
            total, expires_ns = 0.0, self.now + call.ttl_ns
        self.totals[call.name] = total + call.amount, expires_ns
        return total + call.amount

    def due_at(self, node: Node) -> int:
        assert node.sync.due_at_ns is not None
        return max(self.now, node.sync.due_at_ns - node.ahead_ns)

    def make_call(
        self, node: Node, status: interface.Status = interface.Status.DELIVERED
    ) -> interface.Count | None:
        """Make a node's next call at its due time, with this outcome."""
        self.now = self.due_at(node)
        call = node.sync.take_due_call(self.now + node.ahead_ns)
        if call is None:
            return None
        self.calls += 1
        total = 0.0 if status.never_ran else self.add_to_count(call)
        self.now += ROUND_TRIP_NS
        node.sync.handle_answer(
            interface.Counted(call.name, status, total, ROUND_TRIP_NS), self.now + node.ahead_ns
        )
        return call

    def run(self, seconds: float) -> None:
        """Make all nodes' calls in the order in which they are due."""
        until = self.now + int(seconds * SECOND)
        while True:
            alive = [node for node in self.nodes if not node.stopped]
            node = min(alive, key=self.due_at, default=None)
            if node is None or self.due_at(node) >= until:
                break
            status = interface.Status.DELIVERED
            if self.counter_down:
                status = interface.Status.DIAL_FAILED
            elif self.rng.random() < self.loss_rate:
                status = interface.Status.EXPIRED
            self.make_call(node, status)
        self.now = until

    def assert_agreement(self) -> None:
        alive = [node for node in self.nodes if not node.stopped]
        assert all(node.agrees(self.now) for node in alive)
        self.assert_single_agreed_time()

    def assert_single_agreed_time(self) -> None:
        times = [node.agreed_time(self.now) for node in self.nodes if node.agrees(self.now)]
        differences = [(a - b + LAP_NS // 2) % LAP_NS - LAP_NS // 2 for a in times for b in times]
        assert max(differences, default=0) <= TOLERANCE_NS


def run_until_agreement(fleet: SimulatedFleet, node: Node, seconds: float = 10.0) -> None:
    until = fleet.now + int(seconds * SECOND)
    while not node.agrees(fleet.now):
        fleet.make_call(node)
        assert fleet.now < until


def test_the_first_gateway_sets_the_time_and_the_next_one_agrees_with_one_call() -> None:
    fleet = SimulatedFleet()
    first = fleet.add()
    run_until_agreement(fleet, first)
    assert fleet.now - LAP_NS < 100 * MS  # the random wait before the second read, and four more calls
    second = fleet.add()
    fleet.make_call(second)
    assert second.agrees(fleet.now)
    fleet.assert_agreement()


def test_a_single_gateway_agrees_without_a_call() -> None:
    sync = ClockSync(1, random.Random(1))
    assert not sync.start(0)
    assert sync.agrees(0)
    assert not sync.suspends_customer_calls(0)
    assert sync.take_due_call(SECOND) is None


@pytest.mark.parametrize("step", CLOCK_STEPS_NS)
def test_a_gateway_with_a_stepped_clock_takes_over_the_time_of_the_fleet(step: int) -> None:
    fleet = SimulatedFleet()
    first, stepped = fleet.add(), fleet.add(step)
    run_until_agreement(fleet, first)
    while first.sync.due_at_ns is not None and not stepped.agrees(fleet.now):
        fleet.run(0.1)
        fleet.assert_single_agreed_time()
        assert fleet.now < LAP_NS + 10 * SECOND
    assert first.agreed_time(fleet.now) == fleet.now % LAP_NS  # the gateway that has set the time keeps it
    fleet.run(60)
    fleet.assert_agreement()


@pytest.mark.parametrize("step", CLOCK_STEPS_NS)
def test_gateways_follow_the_one_that_set_the_time_even_if_its_clock_is_wrong(step: int) -> None:
    fleet = SimulatedFleet()
    stepped, others = fleet.add(step), [fleet.add() for _ in range(4)]
    run_until_agreement(fleet, stepped)
    fleet.run(15)
    fleet.assert_agreement()
    assert all(
        abs(node.agreed_time(fleet.now) - stepped.agreed_time(fleet.now)) <= TOLERANCE_NS for node in others
    )


def test_of_two_gateways_that_find_no_beacon_at_the_same_time_one_sets_the_time() -> None:
    fleet = SimulatedFleet()
    nodes = [fleet.add(), fleet.add(3 * SECOND)]
    for _ in range(4):  # both find no beacon and no presence count before either goes on
        for node in nodes:
            fleet.make_call(node)
    assert {node.sync._next_purpose for node in nodes} == {Purpose.LOCK}
    for node in nodes:
        fleet.make_call(node)
    assert [node.sync._next_purpose for node in nodes] == [Purpose.SET_TIME, Purpose.READ]
    fleet.make_call(nodes[0])
    assert [node.agrees(fleet.now) for node in nodes] == [True, False]
    fleet.run(10)
    fleet.assert_agreement()


def test_a_beacon_delayed_by_seconds_moves_no_clock() -> None:
    # As after a network partition: what was sent during it reaches the counter when it ends.
    fleet = SimulatedFleet()
    run_until_agreement(fleet, fleet.add())
    newcomer = fleet.add()
    fleet.now += SECOND
    fleet.add_to_count(
        interface.Count(
            BEACON_NAME, BEACON_AMOUNT + (fleet.now - 6 * SECOND) % LAP_NS // (100 * MS), BEACON_LIFETIME_NS
        )
    )
    fleet.make_call(newcomer)
    assert not newcomer.agrees(fleet.now)
    assert newcomer.sync.suspends_customer_calls(fleet.now)
    fleet.run(5)
    fleet.assert_agreement()
    assert newcomer.sync.clock_steps == 0


def test_a_gateway_that_restarts_between_beacons_does_not_set_the_time_again() -> None:
    fleet = SimulatedFleet()
    first = fleet.add()
    run_until_agreement(fleet, first)
    fleet.run(30)
    for _ in range(200):
        fleet.run(0.37)
        newcomer = fleet.add(100 * SECOND)
        calls = [fleet.make_call(newcomer) for _ in range(3)]
        fleet.nodes.remove(newcomer)
        assert [call.amount for call in calls if call is not None] == [0.0, 0.0, 0.0]
        fleet.assert_single_agreed_time()


@pytest.mark.parametrize("gateways", [2, 8, 40])
def test_one_presence_count_always_exists(gateways: int) -> None:
    fleet = SimulatedFleet()
    for _ in range(gateways):
        fleet.add(gateways=gateways)
    fleet.run(30)
    for _ in range(1200):
        fleet.run(0.25)
        assert any(fleet.totals.get(name, (0.0, 0))[1] > fleet.now for name in PRESENCE_NAMES)
    fleet.assert_agreement()


@pytest.mark.parametrize("gateways", [2, 8, 200])
def test_after_all_gateways_have_stopped_one_new_gateway_sets_the_time(gateways: int) -> None:
    fleet = SimulatedFleet()
    old = fleet.add(gateways=gateways)
    run_until_agreement(fleet, old)
    fleet.run(3)
    old.stopped = True
    for step in (0, 3 * SECOND, -3600 * SECOND):
        fleet.add(step, gateways=gateways)
    for _ in range(700):
        fleet.run(0.1)
        fleet.assert_single_agreed_time()
    fleet.assert_agreement()


@pytest.mark.parametrize("seed", range(8))
def test_one_time_is_agreed_on_though_a_third_of_all_answers_are_lost(seed: int) -> None:
    fleet = SimulatedFleet(loss_rate=0.33, rng=random.Random(seed))
    for step in (0, -3 * SECOND, 3 * SECOND, 0, 3600 * SECOND, 0):
        fleet.add(step, gateways=6)
    agreed = 0
    for _ in range(600):
        fleet.run(0.1)
        fleet.assert_single_agreed_time()
        agreed += sum(node.agrees(fleet.now) for node in fleet.nodes)
    fleet.assert_agreement()
    assert agreed >= 0.8 * 600 * len(fleet.nodes)


@pytest.mark.parametrize("seconds", [5, 120])
@pytest.mark.parametrize("counts_lost", [False, True])
def test_an_outage_of_the_counter_leaves_one_time(seconds: int, counts_lost: bool) -> None:
    fleet = SimulatedFleet()
    for _ in range(3):
        fleet.add()
    fleet.run(30)
    fleet.counter_down = True
    fleet.run(seconds - 1)
    fleet.add(3 * SECOND)  # restarted during the outage, with another clock
    fleet.run(1)
    assert all(node.agrees(fleet.now) == (seconds * SECOND < MIN_AGREEMENT_NS) for node in fleet.nodes[:3])
    fleet.counter_down = False
    if counts_lost:
        fleet.totals.clear()
    for _ in range(300):
        fleet.run(0.1)
        fleet.assert_single_agreed_time()
    fleet.assert_agreement()


def test_a_gateway_whose_clock_paused_agrees_again() -> None:
    # As on a paused virtual machine, whose monotonic clock does not count the pause.
    fleet = SimulatedFleet()
    nodes = [fleet.add() for _ in range(3)]
    fleet.run(10)
    nodes[1].ahead_ns -= 7 * SECOND
    fleet.run(30)
    fleet.assert_agreement()


@pytest.mark.parametrize("gateways", [2, 8])
def test_agreement_continues_past_the_end_of_a_lap(gateways: int) -> None:
    fleet = SimulatedFleet(now=2 * LAP_NS - 5 * SECOND)
    for n in range(gateways):
        fleet.add([0, 200 * MS, -200 * MS][n % 3], gateways=gateways)
    fleet.run(4)
    for _ in range(100):
        fleet.run(0.1)
        fleet.assert_agreement()
    assert all(node.sync.clock_steps == 0 for node in fleet.nodes)


@pytest.mark.parametrize("total", [1.0, -5.0, 1e9])
def test_totals_that_are_no_sum_of_beacons_are_ignored(total: float) -> None:
    fleet = SimulatedFleet()
    node = fleet.add()
    fleet.now = fleet.due_at(node)
    call = node.sync.take_due_call(fleet.now)
    assert call is not None
    node.sync.handle_answer(
        interface.Counted(call.name, interface.Status.DELIVERED, total, ROUND_TRIP_NS),
        fleet.now + ROUND_TRIP_NS,
    )
    assert not node.agrees(fleet.now)
    run_until_agreement(fleet, node)


@pytest.mark.parametrize(("gateways", "most"), [(2, 4.0), (5, 4.0), (60, 16.0), (200, 30.0)])
def test_agreement_takes_a_bounded_rate_of_calls(gateways: int, most: float) -> None:
    fleet = SimulatedFleet()
    for _ in range(gateways):
        fleet.add(gateways=gateways)
    fleet.run(30)
    before = fleet.calls
    fleet.run(60)
    assert (fleet.calls - before) / 60 <= most


def test_beacons_of_clocks_that_agree_move_no_clock() -> None:
    fleet = SimulatedFleet()
    for _ in range(5):
        fleet.add(gateways=5)
    fleet.run(1000)
    assert all(node.agreed_time(fleet.now) == fleet.now % LAP_NS for node in fleet.nodes)
    assert BEACON_SETTLE_NS > BEACON_LIFETIME_NS
