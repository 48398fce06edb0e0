"""Connections and requests that have ended are freed at once, and leave nothing to the garbage collector.

What only the collector frees stays for a long time in a busy process, as it seldom looks at older objects.
"""

from __future__ import annotations

import asyncio
import gc
from collections import Counter
from collections.abc import Iterator

import pytest

from gingerworks.gateway.__main__ import Gateway
from tests.loopback import (
    MAY_HAVE_RUN,
    NOT_RUN,
    OK,
    SETTINGS,
    answering_server,
    closed_port,
    gateway,
    run,
    silent_server,
    wait_until,
)
from tests.test_memory_limit import KINDS, Crowd, Send, UsualClient

CLIENTS = 20
OURS = ("gingerworks.", "httptools.")
SHORT_TIMES = {"hard-limit-ns": 400_000_000, "on-time-ns": 200_000_000}
SHORT_CLASSES = [kind | SHORT_TIMES for kind in SETTINGS["classes"]]


@pytest.fixture
def kept_garbage() -> Iterator[list[object]]:
    """Keeps what the collector finds, in ``gc.garbage``."""
    gc.collect()
    gc.disable()
    gc.set_debug(gc.DEBUG_SAVEALL)
    yield gc.garbage
    gc.set_debug(0)
    gc.garbage.clear()
    gc.enable()


async def gateway_among_servers() -> Gateway:
    servers = [await answering_server(answer) for answer in (OK, NOT_RUN, MAY_HAVE_RUN, b"")]
    servers.append(await silent_server())
    addresses = [*(server.address for server in servers), ("127.0.0.1", closed_port())]
    gw = gateway(*addresses, settings=SETTINGS | {"classes": SHORT_CLASSES})
    return gw


def own_types(garbage: list[object]) -> Counter[str]:
    names = (f"{type(one).__module__}.{type(one).__qualname__}" for one in garbage)
    return Counter(name for name in names if name.startswith(OURS))


async def settle(gw: Gateway) -> None:
    await wait_until(lambda: not gw.frontend.clients.open and not gw.runtime._in_flight)
    await wait_until(lambda: not gw.runtime._policy.in_flight)
    await asyncio.sleep(0.1)


# Guards against closed connections that stay in memory until a garbage collection (incident of 2026-12-05).
@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
def test_bad_clients_that_have_left_leave_no_garbage(kind: Send, kept_garbage: list[object]) -> None:
    async def scenario() -> None:
        gw = await gateway_among_servers()
        crowd = Crowd()
        await crowd.join(gw.frontend.address, CLIENTS, kind)
        await asyncio.sleep(0.5)
        await crowd.leave()
        await settle(gw)
        gc.collect()
        assert own_types(kept_garbage) == Counter()

    run(scenario())


# Guards against the same for requests and their attempts, however these end.
def test_requests_that_have_ended_leave_no_garbage(kept_garbage: list[object]) -> None:
    async def scenario() -> None:
        gw = await gateway_among_servers()
        for _ in range(40):
            client = UsualClient(gw.frontend.address)
            await client.ask()
            client.leave()
        await settle(gw)
        gc.collect()
        assert own_types(kept_garbage) == Counter()

    run(scenario())
