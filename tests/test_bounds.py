"""Memory bounds: tables keyed by customer, server, request or connection do not grow over time."""

from __future__ import annotations

import pytest

from gingerworks import interface
from gingerworks.gateway.recent_ids import RecentIds
from gingerworks.gateway.server_list import Change, change_from
from gingerworks.policy import Policy
from tests.loopback import (
    OK,
    Client,
    answering_server,
    build_request,
    entry,
    gateway,
    listing,
    run,
    wait_until,
)
from tests.support import MS, outcome, policy_with_servers, request, server
from tests.support import listing as servers_changed

HOUR_S = 3600
PERIOD_MS = 250  # between requests: four a second, as at one gateway of a large fleet


def answers(actions: list[interface.Action], statuses: list[interface.Status]) -> list[interface.Event]:
    """An outcome for each attempt, in turn one of these statuses, and a time-out for each counter call."""
    events: list[interface.Event] = []
    for action in actions:
        if isinstance(action, interface.Assign):
            statuses.append(statuses.pop(0))
            status = statuses[-1]
            events.append(outcome(action.id, 0, status, status is interface.Status.DELIVERED))
        elif isinstance(action, interface.Count):
            events.append(interface.Counted(action.name, interface.Status.EXPIRED, 0.0, 80 * MS))
        elif isinstance(action, interface.CancelAttempt):
            events.append(outcome(action.id, action.attempt, interface.Status.CANCELLED))
    return events


def table_sizes(policy: Policy) -> dict[str, int]:
    """The sizes of the policy's tables."""
    return {
        "customers": len(policy.quotas.customers),
        "calls": len(policy.quotas.calls),
        "servers": len(policy.servers.backends),
        "requests": len(policy.in_flight),
        "scheduled": len(policy.scheduled),
    }


def test_the_tables_of_a_policy_do_not_grow_over_an_hour_of_new_customers_and_servers() -> None:
    policy = policy_with_servers(server("s0"), server("s1"))
    statuses = [
        interface.Status.DELIVERED,
        interface.Status.SHED,
        interface.Status.EXPIRED,
        interface.Status.ERROR,
        interface.Status.DROPPED,
    ]
    most: dict[str, int] = {}
    quarters: list[dict[str, int]] = []
    for n in range(HOUR_S * 1000 // PERIOD_MS):
        now = (n + 1) * PERIOD_MS * MS
        plan, class_name = ("free", "small", "capped")[n % 3], ("look", "put", "post")[n // 3 % 3]
        events: list[interface.Event] = [request(n, class_name=class_name, plan=plan, customer=f"new{n}")]
        if n % 40 == 0:  # one server is replaced every ten seconds
            gone = server(f"s{n // 40}", phase=interface.Phase.GONE)
            come = server(f"s{n // 40 + 2}", started_ns=now)
            events.insert(0, servers_changed(gone, come, mode=interface.ListMode.DELTA))
        replies = answers(policy.handle(now, events), statuses)
        while replies:
            replies = answers(policy.handle(now + 80 * MS, replies), statuses)
        for name, size in table_sizes(policy).items():
            most[name] = max(most.get(name, 0), size)
        if (n + 1) % (HOUR_S * 1000 // PERIOD_MS // 4) == 0:
            quarters.append(most)
            most = {}
    assert quarters[0]["customers"] > 20  # the traffic does fill the tables
    assert all(size <= 1.2 * quarters[0][name] + 5 for last in quarters[1:] for name, size in last.items())
    assert quarters[-1]["customers"] <= 400
    assert quarters[-1]["scheduled"] <= 400
    assert quarters[-1]["servers"] <= 3


def test_connections_of_replaced_servers_and_of_clients_that_left_are_closed() -> None:
    async def scenario() -> None:
        made = gateway()
        peers = [await answering_server(OK) for _ in range(6)]
        for index, peer in enumerate(peers, 1):
            change = backend_list(index, peer.address)
            made.runtime.update_servers(change)
            clients = [await Client.to(made) for _ in range(4)]
            assert [(await client.send(build_request()))[0] for client in clients] == [200] * 4
            for client in clients:
                client.writer.close()
        await wait_until(lambda: not made.frontend.clients.open)
        pools, runtime = made.backends, made.runtime
        assert len(pools._endpoints) == 1
        assert set(pools._idle) <= {"s6"}
        assert {each.endpoint.server.name for each in pools._open} <= {"s6"}
        await wait_until(lambda: not runtime._in_flight)
        table = made.frontend.clients
        assert not any((table.new, table.idle, table.closing, table.evicted))
        assert made.frontend.held_input.total_bytes == 0

    run(scenario())


def backend_list(index: int, address: tuple[str, int]) -> Change:
    """A whole server list of this server alone; earlier ones are gone."""
    return change_from(listing(entry(f"s{index}", address), index=index))


def test_old_request_ids_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    now = [0]
    monkeypatch.setattr("gingerworks.gateway.clock.now", lambda: now[0])

    ids, most = RecentIds(4_000 * MS, 50_000), 0
    for n in range(2000):
        now[0] = n * 100 * MS
        ids.begin(b"%016x" % n)
        ids.end(b"%016x" % n, may_have_run=True)
        most = max(most, len(ids))
    assert 600 <= most <= 700 + 2  # ten a second, remembered for a minute, in groups of ten seconds
