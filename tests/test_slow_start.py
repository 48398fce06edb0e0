"""What a fleet of many gateways sends to a server that has just started."""

from __future__ import annotations

from gingerworks import interface
from gingerworks.policy import Policy
from tests.support import MS, SECOND, listing, request, served, server, settings

GATEWAYS = 40
STEADY = 20  # warm servers
STEP = 125 * MS  # between the requests of one gateway


def cold_sends(seconds: int, cold: int) -> list[int]:
    """Requests that all gateways together send to cold servers, second by second."""
    warm = [server(f"s{n}") for n in range(STEADY)]
    sent = [0] * seconds
    for me in range(GATEWAYS):
        policy = Policy(me, settings(me=me, gateways=GATEWAYS), 0)
        policy.handle(0, [listing(*warm)])
        start = 10 * SECOND
        for n in range(80):  # the gateway's own rate is known when the servers start
            policy.handle(start - (80 - n) * STEP, [request(n)])
            policy.handle(start - (80 - n) * STEP, [served(n)])
        new = [server(f"new{n}", started_ns=start) for n in range(cold)]
        policy.handle(start, [listing(*new, mode=interface.ListMode.DELTA)])
        for n in range(seconds * SECOND // STEP):
            now = start + n * STEP
            for action in policy.handle(now, [request(1000 + n)]):
                if isinstance(action, interface.Assign):
                    sent[n * STEP // SECOND] += action.server.startswith("new")
                    policy.handle(now, [served(1000 + n)])
    return sent


def test_cold_servers_are_used_from_the_first_seconds_and_by_their_share() -> None:
    # 320 requests a second over 20 warm and 20 cold servers, these at a fifth: about 53 a second at first.
    sent = cold_sends(3, 20)
    assert min(sent) >= 30
    assert max(sent) <= 110


def test_one_cold_server_gets_no_burst_from_many_gateways_at_once() -> None:
    # Its share is 320 x 0.2 / 20.2 = 3.2 a second at first; rule 4 lets twice its capacity through.
    sent = cold_sends(3, 1)
    assert 4 <= sum(sent) <= 18
