"""A new server comes up at the address of one that has gone: it is not taken for the old one."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import pytest

from gingerworks.gateway.server_list import change_from
from tests.loopback import (
    OK,
    SETTINGS,
    Client,
    Peer,
    Reader,
    Writer,
    build_request,
    entry,
    gateway,
    listing,
    read_message,
    run,
    wait_until,
)

KEYED_IN_A_CELL = {
    "name": "put", "effect": "idempotency_key", "dedup-scope": "cell", "window-ns": 30_000_000_000,
    "on-time-ns": 1_000_000_000, "hard-limit-ns": 3_000_000_000, "worth": 2.0,
}  # fmt: skip


class Discovery:
    """A discovery whose list a test changes while a gateway watches it."""

    def __init__(self, first: dict[str, Any]) -> None:
        self.first = first
        self.writers: list[Writer] = []

    async def start(self) -> Peer:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.writers.append(writer)
            self._write(writer, self.first)
            await reader.read()

        return await Peer(script).start()

    def tell(self, change: dict[str, Any]) -> None:
        for writer in self.writers:
            self._write(writer, change)

    @staticmethod
    def _write(writer: Writer, change: dict[str, Any]) -> None:
        line = json.dumps(change).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))


def settings() -> dict[str, Any]:
    return SETTINGS | {"classes": [*SETTINGS["classes"], KEYED_IN_A_CELL]}


# Guards against a new process that gets the work of the old one at its address (incident of 2026-12-05).
@pytest.mark.parametrize("snapshot", [False, True], ids=["change", "whole_list"])
def test_a_keyed_request_is_not_repeated_at_a_new_process_at_the_old_address(snapshot: bool) -> None:
    async def scenario() -> None:
        told = asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            peer.requests.append(await read_message(reader))
            if len(peer.requests) == 1:
                await told.wait()
                writer.close()  # the old process ends: it may have run the request
                return
            writer.write(OK)
            await reader.read()

        server = await Peer(script).start()
        old = entry("s-old", server.address)
        discovery = Discovery(listing(old, index=1))
        agent = await discovery.start()
        gw = gateway(
            settings=settings(), known=listing(old), discovery=f"{agent.address[0]}:{agent.address[1]}"
        )
        await wait_until(lambda: bool(discovery.writers))
        client = await Client.to(gw)
        client.writer.write(build_request("put", Idempotency_Key="k1").replace(b"GET", b"POST"))
        await wait_until(lambda: len(server.requests) == 1)
        new = entry("s-new", server.address, since_ms=int(time.time() * 1000)) | {"group": 1}
        discovery.tell(listing(*([old] if snapshot else []), new, index=2, snapshot=snapshot))
        await wait_until(lambda: "s-new" in gw.runtime._policy.servers.backends)
        told.set()
        status, _, _ = await client.answer()
        assert status == 502
        assert len(server.requests) == 1

    run(scenario())


# Guards against a cold process that gets the load of the warm one at its address (incident of 2026-12-05).
def test_a_server_is_gone_once_another_one_is_listed_at_its_address() -> None:
    async def scenario() -> None:
        gw = gateway(known=listing(entry("s-old", ("127.0.0.1", 9)), entry("s-other", ("127.0.0.1", 10))))
        servers = gw.runtime._policy.servers
        await wait_until(lambda: set(servers.backends) == {"s-old", "s-other"})

        def tell(index: int, *entries: dict[str, Any], snapshot: bool = False) -> None:
            gw.runtime.update_servers(change_from(listing(*entries, index=index, snapshot=snapshot)))

        tell(2, entry("s-new", ("127.0.0.1", 9), since_ms=1000))
        await wait_until(lambda: "s-new" in servers.backends)
        assert set(servers.backends) == {"s-new", "s-other"}
        assert {server.name for server in gw.backends.servers()} == {"s-new", "s-other"}
        # Its end is told late, and must not end the new one; then the old one comes up elsewhere.
        tell(3, entry("s-old", ("127.0.0.1", 9), status="Gone"))
        tell(4, entry("s-old", ("127.0.0.1", 11)))
        await wait_until(lambda: "s-old" in servers.backends)
        assert set(servers.backends) == {"s-old", "s-new", "s-other"}
        # An old list that names both does not bring the former one back.
        tell(5, entry("s-a", ("127.0.0.1", 12)), entry("s-b", ("127.0.0.1", 13)), snapshot=True)
        tell(6, entry("s-c", ("127.0.0.1", 12), since_ms=2000))
        tell(
            7, entry("s-a", ("127.0.0.1", 12)), entry("s-c", ("127.0.0.1", 12), since_ms=2000), snapshot=True
        )
        await wait_until(lambda: set(servers.backends) == {"s-c"})

    run(scenario())
