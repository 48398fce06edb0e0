"""Settings, events and a policy for the tests of the decisions; all figures here are made up."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from gingerworks import interface
from gingerworks.policy import Policy

SECOND = 1_000_000_000
MS = 1_000_000

SAFE = interface.RequestClass(
    "look", interface.Effect.SAFE, interface.DedupGroup.ALL, 0, SECOND, 4 * SECOND, 1.0, 0.0
)
KEYED = interface.RequestClass(
    "put", interface.Effect.KEYED, interface.DedupGroup.CELL, 3 * SECOND, SECOND, 4 * SECOND, 2.0, 0.0
)
UNSAFE = interface.RequestClass(
    "post", interface.Effect.UNSAFE, interface.DedupGroup.CELL, 0, SECOND, 4 * SECOND, 3.0, 0.0
)
FREE = interface.Plan("free", 0.0, 0.0, 0, 1.0, 0.0, 0.0, 0.0, 0.0, 0.0)
SMALL = interface.Plan("small", 2.0, 8.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
CAPPED = interface.Plan("capped", 20.0, 30.0, 0, 1.0, 0.0, 1.0, 40.0, 60.0, 6.0)


def settings(**changes: Any) -> interface.Settings:
    limits = interface.Limits(4, True, True, True, True, SECOND, 1000)
    rules = interface.Rules(SECOND, 10 * SECOND, 0.2, 3.0, 3 * SECOND, 0)
    base = interface.Settings(
        me=0,
        gateways=1,  # with one gateway there is no clock synchronisation: all counter calls are for customers
        zone="a",
        tick_ns=2 * MS,
        discovery_on_request=False,
        report_names=(),
        probe_reports=False,
        has_counter=True,
        counter_wait_ns=80 * MS,
        counter_price=0.01,
        meter_ns=0,
        max_units=4,
        cost_after=False,
        price_probe=0.01,
        price_cross_zone=0.01,
        price_waste=0.05,
        price_late=0.05,
        classes=(SAFE, KEYED, UNSAFE),
        plans=(FREE, SMALL, CAPPED),
        rules=rules,
        limits=limits,
    )
    return replace(base, **changes)


def server(name: str, **changes: Any) -> interface.Server:
    return replace(interface.Server(name, interface.Phase.READY, "a", 0, 0, 1.0), **changes)


def listing(
    *servers: interface.Server, mode: interface.ListMode = interface.ListMode.FULL
) -> interface.ServersChanged:
    return interface.ServersChanged(mode, servers)


def request(number: int, **changes: Any) -> interface.Request:
    base = interface.Request(number, "look", "free", f"customer{number}", 3, 3 * SECOND, 1.0)
    return replace(base, **changes)


def outcome(
    number: int, attempt: int, status: interface.Status, terminal: bool = False, **changes: Any
) -> interface.Outcome:
    return replace(interface.Outcome(number, attempt, status, 50 * MS, terminal), **changes)


def served(number: int, attempt: int = 0, **changes: Any) -> interface.Outcome:
    return outcome(number, attempt, interface.Status.DELIVERED, True, **changes)


def policy_with_servers(*servers: interface.Server, **changes: Any) -> Policy:
    policy = Policy(7, settings(**changes), 0)
    policy.handle(0, [listing(*(servers or (server("s1"), server("s2"))))])
    return policy


def action_names(actions: list[interface.Action]) -> list[str]:
    """Type names of the actions, without timers."""
    return [type(a).__name__ for a in actions if not isinstance(a, interface.Wake)]


class SharedCounts(dict[int, float]):
    """The shared counter: totals by name, each kept for the time that its first call gave."""

    def __init__(self) -> None:
        super().__init__()
        self.expires_ns: dict[int, int] = {}

    def add(self, call: interface.Count, now: int) -> float:
        """Carry out a call; returns the total."""
        if call.name not in self or self.expires_ns[call.name] <= now:
            self[call.name], self.expires_ns[call.name] = 0.0, now + call.ttl_ns
        self[call.name] += call.amount
        return self[call.name]
