"""A model of many gateways and of servers that have just started; all figures here are made up.

In any window of ``RULES.fall_ns``, a cold server may get a budget of requests of mean work from all gateways
together: N, which is the overload factor times what it can serve meanwhile, and 2 x root of N + 2 more for
random variation.  Each gateway runs a ``Policy`` of its own; they share a virtual clock and nothing else.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from gingerworks import interface
from gingerworks.policy import Policy
from tests.agenda import Agenda
from tests.support import KEYED, MS, SAFE, SECOND, UNSAFE, listing, settings

GATEWAYS = 30
CORES = 2
WORK_S = 0.1  # mean time of one core for a request
MAX_WORK_S = 0.4  # largest such mean, also for little traffic: deadlines allow no more
SERVED_PER_S = CORES / WORK_S  # requests, by a warm server of mean speed
FEW_REQUESTS = 30  # N below which the wider budget allows for more random variation
MAX_QUEUED = 40  # requests beyond which a server refuses more
START = 6 * SECOND  # when the cold servers start; the gateways know their own request rates by then
RULES = interface.Rules(250 * MS, 18 * SECOND, 0.2, 2.0, 3 * SECOND, 0)
WARM = START + RULES.cold_ns
END = WARM + RULES.fall_ns
CLASSES = (
    replace(SAFE, aim_ns=800 * MS, deadline_ns=2500 * MS),
    replace(KEYED, aim_ns=800 * MS, deadline_ns=2000 * MS),
    replace(UNSAFE, aim_ns=500 * MS, deadline_ns=1200 * MS),
)


@dataclass(frozen=True)
class Scenario:
    """What happens: the number of servers and of cold ones, and how busy they were while all were warm."""

    servers: int
    cold: int
    busy: float
    in_place: bool = False  # cold servers are old ones after a crash; otherwise new ones for drained ones
    burst: float = 1.0  # factor of the load from 1 to 7 s after the start
    list_delay_s: tuple[float, float] = (1.7, 4.6)  # until the first and the last gateway have the list
    reset_share: float = 0.0  # of the attempts, whose connection breaks before the answer
    gateways: int = GATEWAYS
    rate: float | None = None  # requests a second at each gateway; by default from ``busy``
    restart_list_delay_s: tuple[float, float] = (0.05, 0.8)  # until a new process has the whole list

    @property
    def load(self) -> float:
        """Requests a second from all clients, without the burst."""
        return self.busy * SERVED_PER_S * self.servers if self.rate is None else self.rate * self.gateways

    @property
    def work(self) -> float:
        """Mean seconds of one core for a request, such that the load keeps the servers as busy as stated."""
        return min(MAX_WORK_S, self.busy * self.servers * CORES / self.load)

    @property
    def served_per_s(self) -> float:
        """Requests a second that a warm server of mean speed serves."""
        return CORES / self.work


def capacity_share(started_ns: int, now: int) -> float:
    """The part of its capacity that a server has if it warms up as slowly as the rules allow."""
    if not started_ns or now < started_ns:
        return 1.0
    return min(1.0, RULES.start_capacity + (1 - RULES.start_capacity) * (now - started_ns) / RULES.cold_ns)


@dataclass
class ServerModel:
    """A server: its queue, and all attempts that were sent to it."""

    name: str
    cell: int
    speed: float
    served_per_s: float = SERVED_PER_S
    started_ns: int = 0
    down_from: int = 0
    down_until: int = 0
    free_at: list[float] = field(default_factory=lambda: [0.0] * CORES)
    due: list[float] = field(default_factory=list)
    # Time of each attempt, and whether its gateway knew of the server's start.
    sends: list[tuple[int, bool]] = field(default_factory=list)

    def budget(self, start: int) -> float:
        """Requests allowed in a window that starts then, with random variation."""
        requests = self.mean_budget(start)
        return requests + 2 * math.sqrt(requests) + 2

    def wide_budget(self, start: int) -> float:
        """The same, with more room for random variation where few requests are allowed."""
        requests = self.mean_budget(start)
        return requests + 3 * math.sqrt(requests) + 3 if requests < FEW_REQUESTS else self.budget(start)

    def mean_budget(self, start: int) -> float:
        """N: requests that the rules allow on average in a window that starts then."""
        requests = (
            RULES.overload_factor * capacity_share(self.started_ns, start) * self.speed * self.served_per_s
        )
        return requests * RULES.fall_ns / SECOND

    def serve(self, now: int, work: float) -> tuple[interface.Status, int]:
        """The outcome of a request that arrives now, and its time."""
        if self.down_from <= now < self.down_until:
            return interface.Status.DIAL_FAILED, now + MS
        self.due = [at for at in self.due if at > now]
        if len(self.due) >= MAX_QUEUED:
            return interface.Status.SHED, now + MS
        core = min(range(CORES), key=lambda n: self.free_at[n])
        ends = max(now, self.free_at[core]) + work * SECOND / (
            self.speed * capacity_share(self.started_ns, now)
        )
        self.free_at[core] = ends
        self.due.append(ends)
        return interface.Status.DELIVERED, int(ends) + MS

    def entry(self, phase: interface.Phase = interface.Phase.READY) -> interface.Server:
        """Its entry in the server list."""
        return interface.Server(self.name, phase, "a", self.cell, self.started_ns)


class Gateway:
    """One gateway: its policy, the delay of its server lists and its attempts; a restart loses them."""

    def __init__(self, me: int, fleet: Fleet) -> None:
        self.me, self.fleet, self.processes, self.knows_start = me, fleet, 0, False
        self.list_delay_ns = int(fleet.rng.uniform(*fleet.scenario.list_delay_s) * SECOND)
        self.start_process(0)
        self.handle(0, listing(*fleet.before))

    def start_process(self, now: int) -> None:
        self.processes += 1
        self.in_flight: dict[tuple[int, int], int] = {}  # time of sending, by request and attempt
        self.attempts: dict[int, int] = {}
        changes = settings(
            me=self.me, gateways=self.fleet.scenario.gateways, has_counter=False, classes=CLASSES
        )
        limits = interface.Limits(6, False, True, True, True, 2 * SECOND, 1000)
        mine = replace(changes, rules=RULES, limits=limits)
        self.policy = Policy(self.fleet.rng.getrandbits(48), mine, now)

    def restart(self, now: int) -> None:
        """Start a new process: it has a list of before the cold servers' start, and soon the whole list."""
        self.start_process(now)
        self.knows_start = True
        self.handle(now, listing(*self.fleet.before, mode=interface.ListMode.CACHED))
        whole_list_delay_s = self.fleet.rng.uniform(*self.fleet.scenario.restart_list_delay_s)
        self.fleet.schedule(now + int(whole_list_delay_s * SECOND), self.receive_whole_list)

    def receive_whole_list(self, now: int) -> None:
        self.handle(now, listing(*self.fleet.after))

    def receive_changes(self, now: int) -> None:
        self.knows_start = True
        self.handle(now, listing(*self.fleet.changes, mode=interface.ListMode.DELTA))

    def handle(self, now: int, *events: interface.Event) -> None:
        for action in self.policy.handle(now, events):
            match action:
                case interface.Assign():
                    self.send(now, action)
                case interface.CancelAttempt():
                    self.end(now, action.id, action.attempt, interface.Status.CANCELLED)
                case interface.Wake():
                    self.schedule_event(now + action.after_ns, interface.Timer(action.token))

    def schedule_event(self, at: int, event: interface.Event) -> None:
        """Schedule an event for the present process of the gateway."""
        process = self.processes
        self.fleet.schedule(at, lambda now: self.handle(now, event) if process == self.processes else None)

    def send(self, now: int, action: interface.Assign) -> None:
        model, rng = self.fleet.server_models[action.server], self.fleet.rng
        attempt = self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
        self.in_flight[action.id, attempt] = now
        self.fleet.sent.append(now)
        if now >= model.started_ns > 0:
            model.sends.append((now, self.knows_start))
        status, ends = model.serve(now, rng.expovariate(1 / self.fleet.scenario.work))
        if status is interface.Status.DELIVERED and rng.random() < self.fleet.scenario.reset_share:
            status, ends = interface.Status.DROPPED, now + int(rng.uniform(0, 0.5) * SECOND)
        if ends > now + action.timeout_ns:
            status, ends = interface.Status.EXPIRED, now + action.timeout_ns
        process = self.processes
        self.fleet.schedule(
            ends, lambda at: self.end(at, action.id, attempt, status) if process == self.processes else None
        )

    def end(self, now: int, number: int, attempt: int, status: interface.Status) -> None:
        """End an attempt, unless it has ended before."""
        sent_at = self.in_flight.pop((number, attempt), None)
        if sent_at is not None:
            served = status is interface.Status.DELIVERED
            self.fleet.served += served
            self.schedule_event(now, interface.Outcome(number, attempt, status, now - sent_at, served))


class Fleet(Agenda):
    """All gateways and servers on one clock."""

    def __init__(self, seed: int, scenario: Scenario) -> None:
        self.scenario, self.rng = scenario, random.Random(seed)
        super().__init__()
        self.sent: list[int] = []
        self.served = self.requested = 0
        old = [self.new_server(f"s{n}", n) for n in range(scenario.servers)]
        replaced = old[: scenario.cold]
        self.before = [model.entry() for model in old]
        if scenario.in_place:
            self.cold, kept = replaced, old
            for model in replaced:
                model.down_from, model.down_until = START - 5 * SECOND, START
        else:
            self.cold = [self.new_server(f"new{n}", n) for n in range(scenario.cold)]
            kept = self.cold + old[scenario.cold :]
            for model in replaced:  # drained; the lists of restarted gateways still have them
                model.down_from, model.down_until = START + 3 * SECOND, END
        for model in self.cold:
            model.started_ns = START
        self.after = [model.entry() for model in kept]
        self.changes = [model.entry() for model in self.cold]
        self.changes += [model.entry(interface.Phase.GONE) for model in old if model not in kept]
        self.server_models = {model.name: model for model in old + self.cold}
        self.gateways = [Gateway(me, self) for me in range(scenario.gateways)]
        # Some gateways get several times the mean traffic, some next to none.
        self.shares = [self.rng.expovariate(1.0) + 0.05 for _ in self.gateways]

    def new_server(self, name: str, number: int) -> ServerModel:
        """A new server; their speeds differ by up to a fifth."""
        return ServerModel(name, number % 3, self.rng.uniform(0.8, 1.2), self.scenario.served_per_s)

    def arrive(self, now: int) -> None:
        """Schedule the next request, and handle one at a gateway drawn by its share of the traffic."""
        peak = self.scenario.load * self.scenario.burst
        self.schedule(now + int(self.rng.expovariate(peak) * SECOND), self.arrive)
        bursting = START + SECOND <= now < START + 7 * SECOND
        if bursting or self.rng.random() * self.scenario.burst < 1.0:
            self.requested += 1
            request_class = self.rng.choices(CLASSES, (0.42, 0.3, 0.28))[0]
            gateway = self.rng.choices(self.gateways, self.shares)[0]
            customer = f"customer{self.requested % 7}"
            gateway.handle(
                now,
                interface.Request(
                    self.requested, request_class.name, "free", customer, 3, request_class.deadline_ns, 1.0
                ),
            )

    def run(self, until: int = END) -> None:
        self.schedule(0, self.arrive)
        for gateway in self.gateways:
            self.schedule(START + gateway.list_delay_ns, gateway.receive_changes)
            if gateway.me % 3 == 0:
                self.schedule(START + int(self.rng.uniform(3, 9) * SECOND), gateway.restart)
        self.run_until(until)


def run_fleet(seed: int, scenario: Scenario) -> Fleet:
    fleet = Fleet(seed, scenario)
    fleet.run()
    return fleet


def most_of_budget(
    model: ServerModel, budget: Callable[[ServerModel, int], float] = ServerModel.budget
) -> float:
    """The largest part of its budget that any window had.

    Only windows count in which over two thirds of the requests came from gateways that knew of the start.
    The capacity is that at the window's start, which is the least in it.
    """
    most, first, informed = 0.0, 0, 0
    for n, (until, by_informed) in enumerate(model.sends):
        informed += by_informed
        start = until - RULES.fall_ns
        while model.sends[first][0] <= start:
            informed -= model.sends[first][1]
            first += 1
        count = n - first + 1
        if 3 * informed > 2 * count and start < WARM:
            most = max(most, count / budget(model, max(model.started_ns, start)))
    return most


def used_of_share(fleet: Fleet, since: int, until: int) -> float:
    """The requests that the cold servers got, as a part of what their capacity share would give them."""
    cold = fleet.scenario.cold
    shares = (cold * capacity_share(START, at) for at in fleet.sent if since <= at < until)
    due = sum(share / (fleet.scenario.servers - cold + share) for share in shares)
    return sum(since <= at < until for model in fleet.cold for at, _ in model.sends) / due
