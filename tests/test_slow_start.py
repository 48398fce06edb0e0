"""What a fleet of many gateways sends to a server that has just started."""

from __future__ import annotations

from gingerworks import interface
from gingerworks.policy import Policy
from tests.support import MS, SECOND, listing, request, served, server, settings

GATEWAYS = 40
WARM_SERVERS = 20
STEP_NS = 125 * MS  # between the requests of one gateway


def cold_sends(seconds: int, cold: int) -> list[int]:
    """Requests that all gateways together send to cold servers, second by second."""
    warm = [server(f"s{n}") for n in range(WARM_SERVERS)]
    sent = [0] * seconds
    for me in range(GATEWAYS):
        policy = Policy(me, settings(me=me, gateways=GATEWAYS), 0)
        policy.handle(0, [listing(*warm)])
        start = 10 * SECOND
        for n in range(80):  # the gateway knows its request rate when the servers start
            policy.handle(start - (80 - n) * STEP_NS, [request(n)])
            policy.handle(start - (80 - n) * STEP_NS, [served(n)])
        new = [server(f"new{n}", started_ns=start) for n in range(cold)]
        policy.handle(start, [listing(*new, mode=interface.ListMode.DELTA)])
        for n in range(seconds * SECOND // STEP_NS):
            now = start + n * STEP_NS
            for action in policy.handle(now, [request(1000 + n)]):
                if isinstance(action, interface.Assign):
                    sent[n * STEP_NS // SECOND] += action.server.startswith("new")
                    policy.handle(now, [served(1000 + n)])
    return sent


def test_cold_servers_get_about_their_share_from_the_first_seconds() -> None:
    # 320 requests a second over 20 warm servers and 20 cold ones at a fifth of their capacity: the cold ones
    # should get about 53 a second at first.
    sent = cold_sends(3, 20)
    assert min(sent) >= 30
    assert max(sent) <= 110


def test_one_cold_server_gets_no_burst_from_many_gateways() -> None:
    # Its share is 320 x 0.2 / 20.2 = 3.2 a second at first; up to twice its capacity is allowed.
    sent = cold_sends(3, 1)
    assert 4 <= sum(sent) <= 18
