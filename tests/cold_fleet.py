"""A model of many gateways and of servers that have just started; all figures here are made up.

Rule 4 counts a budget: in any window of the length that the rules name, a cold server may get N requests of
mean work from all gateways, N being the overload factor times what it can take meanwhile, and 2 x root of N
+ 2 more for chance.  The modules run beside each other on one virtual clock and share nothing.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from gingerworks import interface
from gingerworks.policy import Policy
from tests.support import KEYED, MS, SAFE, SECOND, UNSAFE, listing, settings

GATEWAYS = 30
CORES = 2
WORK_S = 0.1  # on the mean, of one core
LONGEST_WORK_S = 0.4  # on the mean, however little traffic a server has: deadlines allow no more
TAKES = CORES / WORK_S  # requests a second, a warm server of mean speed
FEW_CALLS = 30  # N below which the standing test leaves more to chance
QUEUE = 40  # requests beyond which a server turns away
START = 6 * SECOND  # when the cold ones start; by then the gateways know their own rates
RULES = interface.Rules(250 * MS, 18 * SECOND, 0.2, 2.0, 3 * SECOND, 0)
WARM = START + RULES.cold_ns
END = WARM + RULES.fall_ns
CLASSES = (
    replace(SAFE, aim_ns=800 * MS, deadline_ns=2500 * MS),
    replace(KEYED, aim_ns=800 * MS, deadline_ns=2000 * MS),
    replace(UNSAFE, aim_ns=500 * MS, deadline_ns=1200 * MS),
)


@dataclass(frozen=True)
class Day:
    """What happens: so many servers, so many of them cold, and how busy they were when all were warm."""

    servers: int
    cold: int
    busy: float
    in_place: bool = False  # crashed before and back under their names, or else new ones for drained ones
    burst: float = 1.0  # times the load, from 1 to 7 s after the start
    late: tuple[float, float] = (1.7, 4.6)  # seconds: the first and the last gateway have the list
    resets: float = 0.0  # of the attempts: the connection breaks before the answer
    gateways: int = GATEWAYS
    rate: float | None = None  # requests a second for each gateway; none: what keeps the servers so busy
    list_after_restart: tuple[float, float] = (0.05, 0.8)  # seconds: when a new process has the whole list

    @property
    def load(self) -> float:
        """Requests a second from all clients, without the burst."""
        return self.busy * TAKES * self.servers if self.rate is None else self.rate * self.gateways

    @property
    def work(self) -> float:
        """Seconds of one core that a request takes on the mean, so that the load keeps the servers busy."""
        return min(LONGEST_WORK_S, self.busy * self.servers * CORES / self.load)

    @property
    def takes(self) -> float:
        """Requests a second that a warm server of mean speed takes."""
        return CORES / self.work


def warmth(started_ns: int, now: int) -> float:
    """The share of its capacity that a server has, by the slowest way to get warm that the rules allow."""
    if not started_ns or now < started_ns:
        return 1.0
    return min(1.0, RULES.start_capacity + (1 - RULES.start_capacity) * (now - started_ns) / RULES.cold_ns)


@dataclass
class Machine:
    """A server: what it works on, and all that was sent to it."""

    name: str
    cell: int
    speed: float
    takes: float = TAKES
    started_ns: int = 0
    gone_from: int = 0
    gone_until: int = 0
    free_at: list[float] = field(default_factory=lambda: [0.0] * CORES)
    due: list[float] = field(default_factory=list)
    sends: list[tuple[int, bool]] = field(default_factory=list)  # when, and whether by one told of the start

    def budget(self, start: int) -> float:
        """Requests in a window: what the rules let pass, with what is put down to chance."""
        calls = self.calls(start)
        return calls + 2 * math.sqrt(calls) + 2

    def fall(self, start: int) -> float:
        """The same by the standing test, which leaves more to chance where few requests are allowed."""
        calls = self.calls(start)
        return calls + 3 * math.sqrt(calls) + 3 if calls < FEW_CALLS else self.budget(start)

    def calls(self, start: int) -> float:
        """N: what the rules allow in a window that starts then."""
        calls = RULES.overload_factor * warmth(self.started_ns, start) * self.speed * self.takes
        return calls * RULES.fall_ns / SECOND

    def take(self, now: int, work: float) -> tuple[interface.Status, int]:
        """What becomes of a request that comes now, and when."""
        if self.gone_from <= now < self.gone_until:
            return interface.Status.DIAL_FAILED, now + MS
        self.due = [at for at in self.due if at > now]
        if len(self.due) >= QUEUE:
            return interface.Status.SHED, now + MS
        core = min(range(CORES), key=lambda n: self.free_at[n])
        ends = max(now, self.free_at[core]) + work * SECOND / (self.speed * warmth(self.started_ns, now))
        self.free_at[core] = ends
        self.due.append(ends)
        return interface.Status.DELIVERED, int(ends) + MS

    def entry(self, phase: interface.Phase = interface.Phase.READY) -> interface.Server:
        """Its line in the list."""
        return interface.Server(self.name, phase, "a", self.cell, self.started_ns)


class Gateway:
    """One module, its delay of lists and what it has out; a restart forgets all of it."""

    def __init__(self, me: int, fleet: Fleet) -> None:
        self.me, self.fleet, self.lives, self.told = me, fleet, 0, False
        self.late = int(fleet.rng.uniform(*fleet.day.late) * SECOND)
        self.begin(0)
        self.handle(0, listing(*fleet.before))

    def begin(self, now: int) -> None:
        self.lives += 1
        self.out: dict[tuple[int, int], int] = {}  # when sent
        self.attempts: dict[int, int] = {}
        changes = settings(me=self.me, gateways=self.fleet.day.gateways, has_counter=False, classes=CLASSES)
        limits = interface.Limits(6, False, True, True, True, 2 * SECOND, 1000)
        mine = replace(changes, rules=RULES, limits=limits)
        self.policy = Policy(self.fleet.rng.getrandbits(48), mine, now)

    def restart(self, now: int) -> None:
        """A new process, which counts as told; it has a list of before the start, and soon the whole one."""
        self.begin(now)
        self.told = True
        self.handle(now, listing(*self.fleet.before, mode=interface.ListMode.CACHED))
        whole_after = self.fleet.rng.uniform(*self.fleet.day.list_after_restart)
        self.fleet.at(now + int(whole_after * SECOND), self.whole_list)

    def whole_list(self, now: int) -> None:
        self.handle(now, listing(*self.fleet.after))

    def change(self, now: int) -> None:
        self.told = True
        self.handle(now, listing(*self.fleet.changes, mode=interface.ListMode.DELTA))

    def handle(self, now: int, *events: interface.Event) -> None:
        for action in self.policy.handle(now, events):
            match action:
                case interface.Assign():
                    self.send(now, action)
                case interface.CancelAttempt():
                    self.end(now, action.id, action.attempt, interface.Status.CANCELLED)
                case interface.Wake():
                    self.later(now + action.after_ns, interface.Timer(action.token))

    def later(self, at: int, event: interface.Event) -> None:
        """An event for this life of the gateway."""
        life = self.lives
        self.fleet.at(at, lambda now: self.handle(now, event) if life == self.lives else None)

    def send(self, now: int, action: interface.Assign) -> None:
        machine, rng = self.fleet.machines[action.server], self.fleet.rng
        attempt = self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
        self.out[action.id, attempt] = now
        self.fleet.sent.append(now)
        if now >= machine.started_ns > 0:
            machine.sends.append((now, self.told))
        status, ends = machine.take(now, rng.expovariate(1 / self.fleet.day.work))
        if status is interface.Status.DELIVERED and rng.random() < self.fleet.day.resets:
            status, ends = interface.Status.DROPPED, now + int(rng.uniform(0, 0.5) * SECOND)
        if ends > now + action.timeout_ns:
            status, ends = interface.Status.EXPIRED, now + action.timeout_ns
        life = self.lives
        self.fleet.at(
            ends, lambda at: self.end(at, action.id, attempt, status) if life == self.lives else None
        )

    def end(self, now: int, number: int, attempt: int, status: interface.Status) -> None:
        """An attempt's outcome, unless it has had one."""
        sent_at = self.out.pop((number, attempt), None)
        if sent_at is not None:
            served = status is interface.Status.DELIVERED
            self.fleet.served += served
            self.later(now, interface.Outcome(number, attempt, status, now - sent_at, served))


class Fleet:
    """All gateways and servers on one clock."""

    def __init__(self, seed: int, day: Day) -> None:
        self.day, self.rng = day, random.Random(seed)
        self.agenda: list[tuple[int, int, Callable[[int], None]]] = []
        self.serial = itertools.count()
        self.sent: list[int] = []
        self.served = self.asked = 0
        old = [self.machine(f"s{n}", n) for n in range(day.servers)]
        hit = old[: day.cold]
        self.before = [machine.entry() for machine in old]
        if day.in_place:
            self.cold, kept = hit, old
            for machine in hit:
                machine.gone_from, machine.gone_until = START - 5 * SECOND, START
        else:
            self.cold = [self.machine(f"new{n}", n) for n in range(day.cold)]
            kept = self.cold + old[day.cold :]
            for machine in hit:  # drained; restarted gateways still have them in their lists
                machine.gone_from, machine.gone_until = START + 3 * SECOND, END
        for machine in self.cold:
            machine.started_ns = START
        self.after = [machine.entry() for machine in kept]
        self.changes = [machine.entry() for machine in self.cold]
        self.changes += [machine.entry(interface.Phase.GONE) for machine in old if machine not in kept]
        self.machines = {machine.name: machine for machine in old + self.cold}
        self.gateways = [Gateway(me, self) for me in range(day.gateways)]
        # Some see several times the mean, some next to nothing.
        self.shares = [self.rng.expovariate(1.0) + 0.05 for _ in self.gateways]

    def machine(self, name: str, number: int) -> Machine:
        """One of like size: they differ by a fifth."""
        return Machine(name, number % 3, self.rng.uniform(0.8, 1.2), self.day.takes)

    def at(self, at: int, what: Callable[[int], None]) -> None:
        heapq.heappush(self.agenda, (at, next(self.serial), what))

    def arrive(self, now: int) -> None:
        """One request, most likely at a gateway of a large share, and the next one by chance."""
        peak = self.day.load * self.day.burst
        self.at(now + int(self.rng.expovariate(peak) * SECOND), self.arrive)
        bursting = START + SECOND <= now < START + 7 * SECOND
        if bursting or self.rng.random() * self.day.burst < 1.0:
            self.asked += 1
            kind = self.rng.choices(CLASSES, (0.42, 0.3, 0.28))[0]
            gateway = self.rng.choices(self.gateways, self.shares)[0]
            customer = f"customer{self.asked % 7}"
            gateway.handle(
                now, interface.Request(self.asked, kind.name, "free", customer, 3, kind.deadline_ns, 1.0)
            )

    def run(self, until: int = END) -> None:
        self.at(0, self.arrive)
        for gateway in self.gateways:
            self.at(START + gateway.late, gateway.change)
            if gateway.me % 3 == 0:
                self.at(START + int(self.rng.uniform(3, 9) * SECOND), gateway.restart)
        while self.agenda[0][0] < until:
            now, _, what = heapq.heappop(self.agenda)
            what(now)


def play(seed: int, day: Day) -> Fleet:
    fleet = Fleet(seed, day)
    fleet.run()
    return fleet


def nearest(machine: Machine, budget: Callable[[Machine, int], float] = Machine.budget) -> float:
    """The most that a window had of its budget, of those with over two thirds from gateways that were told.

    The capacity is that at the window's start, the least in it.
    """
    most, first, told = 0.0, 0, 0
    for n, (until, by_told) in enumerate(machine.sends):
        told += by_told
        start = until - RULES.fall_ns
        while machine.sends[first][0] <= start:
            told -= machine.sends[first][1]
            first += 1
        count = n - first + 1
        if 3 * told > 2 * count and start < WARM:
            most = max(most, count / budget(machine, max(machine.started_ns, start)))
    return most


def used(fleet: Fleet, since: int, until: int) -> float:
    """What the cold servers had of their warmth's share of all that was sent in this time."""
    cold = fleet.day.cold
    shares = (cold * warmth(START, at) for at in fleet.sent if since <= at < until)
    due = sum(share / (fleet.day.servers - cold + share) for share in shares)
    return sum(since <= at < until for machine in fleet.cold for at, _ in machine.sends) / due
