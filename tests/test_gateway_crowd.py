"""A full table: idle clients keep no descriptor from discovery, the counter, servers or whoever asks."""

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
    answering,
    ask,
    entry,
    gateway,
    listing,
    raw_config,
    run,
    until,
)
from tests.test_gateway_discovery import HEAD, line

SOCKETS = 256
ROOM_FOR_EIGHT = {"sockets": 64}
HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"


async def insisting(process: Process, request: bytes) -> tuple[int, bytes, bytes]:
    """The answer on a new connection, which may be shut unread; whoever asks then comes again."""
    while True:
        client = await Client.at(process.address)
        try:
            return await client.send(request)
        except (ConnectionError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.002)
        finally:
            client.writer.close()


def rests_after(made: Gateway, requests: int) -> bool:
    """Whether the only client has had so many answers."""
    return made.runtime._last_request_id == requests and len(made.frontend.clients.idle) == 1


async def all_but_one(made: Gateway, asked: bool) -> list[Client]:
    """As many clients as leave room for one more; they rest after an answer, or have said nothing."""
    clients = [await Client.to(made) for _ in range(made.frontend.clients.budget - 1)]
    await until(lambda: len(made.frontend.clients.new) == len(clients))
    if asked:
        for client in clients:
            assert (await client.send(ask()))[0] == 200
    return clients


async def counting() -> Peer:
    """A counter that takes all it is told."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        while told := await reader.readline():
            peer.requests.append(told)
            writer.write(b"ok 1\r\n")

    return await Peer(script).start()


class Discovery:
    """One whose address is known while nobody listens there: a port that is bound refuses until ``back``."""

    def __init__(self) -> None:
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"

    async def back(self, *entries: dict[str, Any]) -> None:
        """It listens again, and tells of these servers."""

        async def serve(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + line(listing(*entries, index=9)))

        await asyncio.start_server(serve, sock=self.socket)


def test_a_crowd_leaves_discovery_the_counter_servers_and_who_asks_their_descriptors(tmp_path: Path) -> None:
    # The kernel holds the process to its limit: whatever goes beyond its part fails and is logged.
    async def scenario() -> None:
        old, new, counter = await answering(OK), await answering(OK), await counting()
        away = Discovery()
        specifics = SETTINGS["specifics"] | {"has-counter": True, "count-wait-ns": 2_000_000_000}
        config = raw_config(
            old.address,
            limits={"sockets": SOCKETS},
            discovery=away.address,
            counter=f"127.0.0.1:{counter.address[1]}",
            settings=SETTINGS | {"specifics": specifics},
        )
        with Process(tmp_path, config) as process:
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
            await process.listening()
            most, crowd = 0, []
            for _ in range(300):
                crowd.append(client := await Client.at(process.address))
                assert (await client.send(ask()))[0] == 200  # and rests from now on
            crowd += [await Client.at(process.address) for _ in range(200)]  # and say nothing

            async def more() -> None:
                nonlocal most
                while True:
                    fresh = await Client.at(process.address)
                    crowd.append(fresh)
                    crowd.pop(0).writer.close()
                    most = max(most, process.descriptors())
                    await asyncio.sleep(0.001)

            crowding = asyncio.ensure_future(more())
            await until(lambda: most > SOCKETS // 3)  # the table is full
            # The counter's connection is gone, and the list names another server: each needs a new one.
            for writer in counter.writers:
                writer.close()
            await away.back(entry("s9", new.address))
            while not new.requests:
                assert (await insisting(process, ask()))[0] in (200, 429, 502, 503)
            counted = counter.connections
            while counter.connections == counted:
                await insisting(process, ask(X_Contract="small"))
            told = len(counter.requests)
            await insisting(process, ask(X_Contract="small"))
            await until(lambda: len(counter.requests) > told)
            assert (await insisting(process, ask()))[0] == 200
            assert not crowding.done()
            crowding.cancel()
            assert most <= SOCKETS
            assert "Too many open files" not in process.log()

    run(scenario())


def test_a_gateway_out_of_descriptors_goes_on_taking_in_who_asks(tmp_path: Path) -> None:
    # Here the limit lies under what the configuration says, so that accept itself fails.
    async def scenario() -> None:
        with Process(tmp_path, raw_config(limits={"sockets": 1024})) as process:
            await process.listening()
            bound = process.descriptors() + 20
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (bound, bound))
            crowd = [await Client.at(process.address) for _ in range(100)]
            assert (await insisting(process, HEALTH))[0] == 200
            assert "accept: [Errno 24]" in process.log()
            assert len(crowd) == 100

    run(scenario())


def test_the_watch_opens_with_the_first_dial_after_discovery_is_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        away, pauses, back = Discovery(), [], asyncio.Event()

        async def pause(seconds: float) -> None:
            pauses.append(seconds)
            await asyncio.sleep(0 if len(pauses) < 500 else seconds)
            if len(pauses) == 500:
                await back.wait()

        monkeypatch.setattr(discovery, "pause", pause)
        made = gateway(discovery=away.address, limits=ROOM_FOR_EIGHT)
        crowd = [await Client.to(made) for _ in range(40)]
        await until(
            lambda: len(pauses) == 500
        )  # after hundreds of refused dials, a table full of idle clients
        await away.back(entry("s9", ("127.0.0.1", 1)))
        back.set()
        await until(lambda: [s.name for s in made.backends.servers()] == ["s9"])
        assert len(pauses) == 500
        assert max(pauses) <= 1.5 * discovery.REOPEN_PAUSE_S
        assert len(crowd) == 40

    run(scenario())


def test_one_accepted_but_not_attached_does_not_stop_room_from_being_made(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # On a small part of a core an accept of many outlasts the time of grace.  One that had no transport yet
    # counted as sent away, was not, and nobody else was as long as it stayed: all others waited unread.
    async def scenario() -> None:
        made = gateway(limits=ROOM_FOR_EIGHT)
        socks = [
            socket.create_connection(made.frontend.address) for _ in range(made.frontend.clients.budget - 1)
        ]
        made.frontend._accept_batch()
        assert all(client.transport is None for client in made.frontend.clients.open)
        monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)
        made.frontend.clients.make_room()
        assert not made.frontend.clients.evicted
        await until(lambda: all(client.transport is not None for client in made.frontend.clients.open))
        made.frontend.clients.make_room()
        await until(lambda: not made.frontend.clients.open)
        for sock in socks:
            sock.close()

    run(scenario())


def test_a_request_that_comes_in_pieces_outstays_those_that_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    # It was taken for one that connects and says nothing, and went before hundreds that rest.
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address, limits={"sockets": 128})
        resting = [await Client.to(made) for _ in range(made.frontend.clients.budget - 2)]
        for client in resting:
            assert (await client.send(ask()))[0] == 200
        slow, request = await Client.to(made), ask("post", body=b"a" * 100)
        slow.writer.write(request[:-50])
        await until(lambda: any(client.receiving for client in made.frontend.clients.open))
        made.frontend.clients.make_room()
        await until(lambda: not made.frontend.clients.evicted)
        assert len(made.frontend.clients.idle) < len(resting)
        assert (await slow.send(request[-50:]))[0] == 200

    run(scenario())


@pytest.mark.parametrize("asked", [False, True])
def test_half_requests_alone_do_not_shut_out_who_asks(asked: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    # Want of room passed over half requests on used connections, and then over all: who asked waited for 2 s.
    # No limit on a request's time rings within the test.
    monkeypatch.setattr("gingerworks.gateway.client.REQUEST_TIMEOUT_NS", 1 << 62)

    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address, limits=ROOM_FOR_EIGHT)
        halves = [await Client.to(made) for _ in range(made.frontend.clients.budget - 1)]
        for client in halves:
            if asked:
                assert (await client.send(HEALTH))[0] == 200
        for client in halves:
            client.writer.write(ask()[:30])
        await until(lambda: sum(client.receiving for client in made.frontend.clients.open) == len(halves))
        for _ in range(2 * made.frontend.clients.budget):
            halves.append(client := await Client.to(made))
            assert (await client.send(ask()))[0] == 200
            client.writer.write(ask()[:30])

    run(scenario())


def test_an_answer_that_is_not_read_stops_no_room_from_being_made(monkeypatch: pytest.MonkeyPatch) -> None:
    # The close waited for its client to read, and nobody else was sent away until that had lasted for 2 s.
    monkeypatch.setattr("gingerworks.gateway.client.ANSWER_READ_TIMEOUT_NS", 1 << 62)

    async def scenario() -> None:
        body = b"a" * 60_000
        server = await answering(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        made = gateway(server.address, limits=ROOM_FOR_EIGHT)
        with socket.create_connection(made.frontend.address) as deaf:
            for asked in count(1):
                deaf.sendall(ask())
                await until(partial(rests_after, made, asked))
                if any(client.has_unsent_output() for client in made.frontend.clients.idle):
                    break
            resting = []
            for _ in range(3 * made.frontend.clients.budget):
                resting.append(client := await Client.to(made))
                assert (await client.send(HEALTH))[0] == 200
            assert len(made.frontend.clients.open) <= made.frontend.clients.budget

    run(scenario())


@pytest.mark.parametrize("asked", [False, True])
def test_a_request_that_has_come_as_room_is_made_is_answered(
    asked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address, limits=ROOM_FOR_EIGHT)
        clients = await all_but_one(made, asked)
        before = len(server.requests)
        crossing = clients[0]  # the first to go
        sock: socket.socket = crossing.writer.get_extra_info("socket")
        os.write(sock.fileno(), ask())  # in the gateway's kernel buffer before its loop turns again
        made.frontend.clients.make_room()
        assert made.frontend.clients.evicted
        assert (await crossing.answer())[0] == 200
        assert len(server.requests) == before + 1

    run(scenario())


@pytest.mark.parametrize("asked", [False, True])
def test_a_request_that_crosses_its_close_is_never_read(asked: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address, limits=ROOM_FOR_EIGHT)
        clients = await all_but_one(made, asked)
        before = made.runtime._last_request_id
        made.frontend.clients.make_room()
        for client in clients:
            sock: socket.socket = client.writer.get_extra_info("socket")
            os.write(sock.fileno(), ask())  # after the look, before the close
        for client in clients:
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await client.answer()
        assert made.runtime._last_request_id == before
        assert (await (await Client.to(made)).send(ask()))[0] == 200

    run(scenario())


def test_an_answer_that_is_being_written_as_room_is_made_comes_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        body = b"a" * 60_000
        server = await answering(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        made = gateway(server.address, limits=ROOM_FOR_EIGHT)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(made.frontend.address)
        client = Client(*await asyncio.open_connection(sock=sock))
        assert (await client.send(HEALTH))[0] == 200
        (taken,) = made.frontend.clients.open
        taken.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        rest = made.frontend.connection_idle

        def rests_as_room_is_made(resting: ClientConnection) -> None:
            rest(resting)
            made.frontend.clients.make_room()

        monkeypatch.setattr(made.frontend, "connection_idle", rests_as_room_is_made)
        status, _, got = await client.send(ask())
        assert (status, got) == (200, body)

    run(scenario())
