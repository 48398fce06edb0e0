"""A full client table, and evictions from it.

Idle clients must not keep descriptors from discovery, the counter, servers or clients that send requests.
"""

from __future__ import annotations

import asyncio
import os
import resource
import socket
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any

import pytest

from gingerworks.gateway import client_table, discovery
from gingerworks.gateway.__main__ import Gateway
from gingerworks.gateway.client import ClientConnection
from tests.loopback import (
    OK,
    SETTINGS,
    Client,
    Peer,
    Process,
    Reader,
    Writer,
    answering_server,
    build_request,
    entry,
    gateway,
    listing,
    raw_config,
    run,
    wait_until,
)
from tests.test_gateway_discovery import HEAD, line

SOCKETS = 256
EIGHT_CLIENTS = {"sockets": 64}  # leaves a budget of eight client connections
HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"


async def send_with_reconnects(process: Process, request: bytes) -> tuple[int, bytes, bytes]:
    """The answer to a request on a new connection, with a retry if that is evicted before it is read."""
    while True:
        client = await Client.at(process.address)
        try:
            return await client.send(request)
        except (ConnectionError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.002)
        finally:
            client.writer.close()


def idle_after(gw: Gateway, requests: int) -> bool:
    """Whether the only client is idle after this many requests."""
    return gw.runtime._last_request_id == requests and len(gw.frontend.clients.idle) == 1


async def fill_table_but_one(gw: Gateway, has_requested: bool) -> list[Client]:
    """Fill the client table up to one place; the clients are idle, or silent if not ``has_requested``."""
    clients = [await Client.to(gw) for _ in range(gw.frontend.clients.budget - 1)]
    await wait_until(lambda: len(gw.frontend.clients.new) == len(clients))
    if has_requested:
        for client in clients:
            assert (await client.send(build_request()))[0] == 200
    return clients


async def counter_peer() -> Peer:
    """A counter that answers each call with a total of 1."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        while call := await reader.readline():
            peer.requests.append(call)
            writer.write(b"ok 1\r\n")

    return await Peer(script).start()


class Discovery:
    """A discovery service that is down until ``listen``: connections to its bound port are refused."""

    def __init__(self) -> None:
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"

    async def listen(self, *entries: dict[str, Any]) -> None:
        """Start to listen, and list these servers."""

        async def serve(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + line(listing(*entries, index=9)))

        await asyncio.start_server(serve, sock=self.socket)


def test_many_idle_clients_leave_descriptors_for_all_other_connections(tmp_path: Path) -> None:
    # The process runs under a kernel limit on descriptors: whatever exceeds its share fails and is logged.
    async def scenario() -> None:
        old, new, counter = await answering_server(OK), await answering_server(OK), await counter_peer()
        discovery_peer = Discovery()
        specifics = SETTINGS["specifics"] | {"has-counter": True, "count-wait-ns": 2_000_000_000}
        config = raw_config(
            old.address,
            limits={"sockets": SOCKETS},
            discovery=discovery_peer.address,
            counter=f"127.0.0.1:{counter.address[1]}",
            settings=SETTINGS | {"specifics": specifics},
        )
        with Process(tmp_path, config) as process:
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
            await process.listening()
            max_descriptors, clients = 0, []
            for _ in range(300):
                clients.append(client := await Client.at(process.address))
                assert (await client.send(build_request()))[0] == 200  # idle from now on
            clients += [await Client.at(process.address) for _ in range(200)]  # silent

            async def keep_connecting() -> None:
                nonlocal max_descriptors
                while True:
                    fresh = await Client.at(process.address)
                    clients.append(fresh)
                    clients.pop(0).writer.close()
                    max_descriptors = max(max_descriptors, process.descriptors())
                    await asyncio.sleep(0.001)

            connecting = asyncio.ensure_future(keep_connecting())
            await wait_until(lambda: max_descriptors > SOCKETS // 3)  # the table is full
            # The counter closes its connection and discovery lists another server: both need new connections.
            for writer in counter.writers:
                writer.close()
            await discovery_peer.listen(entry("s9", new.address))
            while not new.requests:
                assert (await send_with_reconnects(process, build_request()))[0] in (200, 429, 502, 503)
            counted = counter.connections
            while counter.connections == counted:
                await send_with_reconnects(process, build_request(X_Contract="small"))
            line_count = len(counter.requests)
            await send_with_reconnects(process, build_request(X_Contract="small"))
            await wait_until(lambda: len(counter.requests) > line_count)
            assert (await send_with_reconnects(process, build_request()))[0] == 200
            assert not connecting.done()
            connecting.cancel()
            assert max_descriptors <= SOCKETS
            assert "Too many open files" not in process.log()

    run(scenario())


def test_gateway_out_of_descriptors_still_serves_new_clients(tmp_path: Path) -> None:
    # The kernel's limit is lower than the configured one, so accept itself fails.
    async def scenario() -> None:
        with Process(tmp_path, raw_config(limits={"sockets": 1024})) as process:
            await process.listening()
            bound = process.descriptors() + 20
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (bound, bound))
            clients = [await Client.at(process.address) for _ in range(100)]
            assert (await send_with_reconnects(process, HEALTH))[0] == 200
            assert "accept: [Errno 24]" in process.log()
            assert len(clients) == 100

    run(scenario())


def test_watch_reopens_at_the_first_attempt_after_discovery_is_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        discovery_peer, pauses, back = Discovery(), [], asyncio.Event()

        async def pause(seconds: float) -> None:
            pauses.append(seconds)
            await asyncio.sleep(0 if len(pauses) < 500 else seconds)
            if len(pauses) == 500:
                await back.wait()

        monkeypatch.setattr(discovery, "pause", pause)
        gw = gateway(discovery=discovery_peer.address, limits=EIGHT_CLIENTS)
        clients = [await Client.to(gw) for _ in range(40)]
        # After hundreds of refused connects, with a table full of idle clients.
        await wait_until(lambda: len(pauses) == 500)
        await discovery_peer.listen(entry("s9", ("127.0.0.1", 1)))
        back.set()
        await wait_until(lambda: [s.name for s in gw.backends.servers()] == ["s9"])
        assert len(pauses) == 500
        assert max(pauses) <= 1.5 * discovery.REOPEN_DELAY_S
        assert len(clients) == 40

    run(scenario())


def test_connection_without_a_transport_does_not_stop_evictions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # With little processor time, accepting many connections takes longer than the time of grace.  A
    # connection that had no transport yet used to count as evicted though it stayed open.  That blocked all
    # further evictions, and other clients waited unread.
    async def scenario() -> None:
        gw = gateway(limits=EIGHT_CLIENTS)
        socks = [socket.create_connection(gw.frontend.address) for _ in range(gw.frontend.clients.budget - 1)]
        gw.frontend._accept_batch()
        assert all(client.transport is None for client in gw.frontend.clients.open)
        monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)
        gw.frontend.clients.make_room()
        assert not gw.frontend.clients.evicted
        await wait_until(lambda: all(client.transport is not None for client in gw.frontend.clients.open))
        gw.frontend.clients.make_room()
        await wait_until(lambda: not gw.frontend.clients.open)
        for sock in socks:
            sock.close()

    run(scenario())


def test_incomplete_request_is_evicted_after_idle_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    # It used to count as silent and was evicted before hundreds of idle connections.
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address, limits={"sockets": 128})
        idle_clients = [await Client.to(gw) for _ in range(gw.frontend.clients.budget - 2)]
        for client in idle_clients:
            assert (await client.send(build_request()))[0] == 200
        slow, request = await Client.to(gw), build_request("post", body=b"a" * 100)
        slow.writer.write(request[:-50])
        await wait_until(lambda: any(client.receiving for client in gw.frontend.clients.open))
        gw.frontend.clients.make_room()
        await wait_until(lambda: not gw.frontend.clients.evicted)
        assert len(gw.frontend.clients.idle) < len(idle_clients)
        assert (await slow.send(request[-50:]))[0] == 200

    run(scenario())


@pytest.mark.parametrize("has_requested", [False, True])
def test_incomplete_requests_alone_do_not_keep_out_complete_ones(
    has_requested: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Connections with an incomplete request used to be spared, first only used ones and then all, so new
    # requests waited until those timed out after 2 s.  The test disables that timeout.
    monkeypatch.setattr("gingerworks.gateway.client.REQUEST_TIMEOUT_NS", 1 << 62)

    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address, limits=EIGHT_CLIENTS)
        incomplete = [await Client.to(gw) for _ in range(gw.frontend.clients.budget - 1)]
        for client in incomplete:
            if has_requested:
                assert (await client.send(HEALTH))[0] == 200
        for client in incomplete:
            client.writer.write(build_request()[:30])
        await wait_until(
            lambda: sum(client.receiving for client in gw.frontend.clients.open) == len(incomplete)
        )
        for _ in range(2 * gw.frontend.clients.budget):
            incomplete.append(client := await Client.to(gw))
            assert (await client.send(build_request()))[0] == 200
            client.writer.write(build_request()[:30])

    run(scenario())


def test_unread_answer_does_not_stop_evictions(monkeypatch: pytest.MonkeyPatch) -> None:
    # The close used to wait for the client to read its answer, and no other was evicted until the timeout of
    # 2 s.
    monkeypatch.setattr("gingerworks.gateway.client.ANSWER_READ_TIMEOUT_NS", 1 << 62)

    async def scenario() -> None:
        body = b"a" * 60_000
        server = await answering_server(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        gw = gateway(server.address, limits=EIGHT_CLIENTS)
        with socket.create_connection(gw.frontend.address) as not_reading:
            for requests in count(1):
                not_reading.sendall(build_request())
                await wait_until(partial(idle_after, gw, requests))
                if any(client.has_unsent_output() for client in gw.frontend.clients.idle):
                    break
            idle_clients = []
            for _ in range(3 * gw.frontend.clients.budget):
                idle_clients.append(client := await Client.to(gw))
                assert (await client.send(HEALTH))[0] == 200
            assert len(gw.frontend.clients.open) <= gw.frontend.clients.budget

    run(scenario())


@pytest.mark.parametrize("has_requested", [False, True])
def test_request_that_is_unread_at_the_eviction_is_answered(
    has_requested: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address, limits=EIGHT_CLIENTS)
        clients = await fill_table_but_one(gw, has_requested)
        before = len(server.requests)
        sender = clients[0]  # the first candidate
        sock: socket.socket = sender.writer.get_extra_info("socket")
        os.write(sock.fileno(), build_request())  # in the gateway's kernel buffer before its loop runs again
        gw.frontend.clients.make_room()
        assert gw.frontend.clients.evicted
        assert (await sender.answer())[0] == 200
        assert len(server.requests) == before + 1

    run(scenario())


@pytest.mark.parametrize("has_requested", [False, True])
def test_request_sent_after_the_eviction_is_never_handled(
    has_requested: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address, limits=EIGHT_CLIENTS)
        clients = await fill_table_but_one(gw, has_requested)
        before = gw.runtime._last_request_id
        gw.frontend.clients.make_room()
        for client in clients:
            sock: socket.socket = client.writer.get_extra_info("socket")
            os.write(sock.fileno(), build_request())  # after the eviction's check for input, before the close
        for client in clients:
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await client.answer()
        assert gw.runtime._last_request_id == before
        assert (await (await Client.to(gw)).send(build_request()))[0] == 200

    run(scenario())


def test_answer_being_written_at_the_eviction_arrives_complete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        body = b"a" * 60_000
        server = await answering_server(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        gw = gateway(server.address, limits=EIGHT_CLIENTS)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(gw.frontend.address)
        client = Client(*await asyncio.open_connection(sock=sock))
        assert (await client.send(HEALTH))[0] == 200
        (connection,) = gw.frontend.clients.open
        connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connection_idle = gw.frontend.connection_idle

        def idle_then_make_room(client: ClientConnection) -> None:
            connection_idle(client)
            gw.frontend.clients.make_room()

        monkeypatch.setattr(gw.frontend, "connection_idle", idle_then_make_room)
        status, _, got = await client.send(build_request())
        assert (status, got) == (200, body)

    run(scenario())
