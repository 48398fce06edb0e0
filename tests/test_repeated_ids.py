"""An id that has been sent to a server is not sent again, whoever brings it and however much came between."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from gingerworks.gateway import clock, memory_budget
from gingerworks.gateway.recent_ids import RecentIds
from gingerworks.gateway.requests import RequestRejected
from tests.loopback import (
    OK,
    SETTINGS,
    Client,
    answering_server,
    build_request,
    gateway,
    run,
    silent_server,
    wait_until,
)

DEADLINE_NS = 600_000_000  # as on the days with short deadlines


def short_deadlines() -> dict[str, Any]:
    classes = [
        kind | {"hard-limit-ns": DEADLINE_NS, "on-time-ns": 300_000_000} for kind in SETTINGS["classes"]
    ]
    return SETTINGS | {"classes": classes}


# Guards against an id that runs twice when it comes again after its client has left (incident of 2026-12-05).
@pytest.mark.parametrize("pause_s", [0.0, 0.7, 1.3, 2.5])
def test_an_id_that_comes_again_after_its_client_has_left_is_not_sent_again(pause_s: float) -> None:
    async def scenario() -> None:
        server = await silent_server()
        gw = gateway(server.address, settings=short_deadlines())
        request = build_request("post", left="0.600", X_Correlation_Id="feedc0de00000001")
        first = await Client.to(gw)
        first.writer.write(request)
        await wait_until(lambda: len(server.requests) == 1)
        first.writer.close()
        for _ in range(5):
            await asyncio.sleep(pause_s / 5)
            between = await Client.to(gw)
            between.writer.write(build_request("look", left="0.100"))
            await between.answer()
            between.writer.close()
        again = await Client.to(gw)
        status, _, _ = await again.send(request)
        assert status == 409
        assert sum(b"feedc0de00000001" in one for one in server.requests) == 1

    run(scenario())


# Guards against ids that are forgotten early as many others come in between (incident of 2026-12-05).
def test_an_id_is_kept_while_a_client_sends_ever_new_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(memory_budget, "MAX_REMEMBERED_IDS", 100)

    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        client = await Client.to(gw)
        request = build_request("post", X_Correlation_Id="feedc0de00000002")
        assert (await client.send(request))[0] == 200
        for start in range(0, 2000, 50):
            # Too little time is left for any of them, so that none gets to a server.
            batch = [
                build_request("look", left="0.001", X_Correlation_Id=f"flood{number:x}")
                for number in range(start, start + 50)
            ]
            client.writer.write(b"".join(batch))
            for _ in batch:
                await client.answer()
        status, _, _ = await client.send(request)
        assert status == 409
        assert sum(b"feedc0de00000002" in one for one in server.requests) == 1

    run(scenario())


# Guards against ids that are forgotten before the longest deadline where too many have run.
def test_without_room_for_further_ids_new_requests_are_rejected_until_the_deadline_is_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = [0]
    monkeypatch.setattr(clock, "now", lambda: now[0])
    ids = RecentIds(longest_deadline_ns=4 * clock.NS_PER_S, capacity=60)
    for number in range(60):
        ids.begin(b"%d" % number)
        ids.end(b"%d" % number, may_have_run=True)
    now[0] = 3 * clock.NS_PER_S
    with pytest.raises(RequestRejected) as full:
        ids.begin(b"new")
    assert full.value.status == 503
    with pytest.raises(RequestRejected) as known:
        ids.begin(b"0")
    assert known.value.status == 409
    now[0] = 5 * clock.NS_PER_S
    ids.begin(b"new")
    assert len(ids) <= 60


def test_an_id_that_no_server_has_seen_may_come_again() -> None:
    ids = RecentIds(longest_deadline_ns=4 * clock.NS_PER_S, capacity=60)
    for _ in range(100):
        ids.begin(b"refused")
        ids.end(b"refused", may_have_run=False)
    assert len(ids) == 0
