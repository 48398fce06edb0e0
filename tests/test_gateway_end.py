"""The graceful end over loopback sockets: what is taken is answered, in each state that SIGTERM may meet."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from gingerworks.gateway import client as client_module
from gingerworks.gateway import frontend
from gingerworks.gateway.__main__ import Gateway
from tests.loopback import (
    OK,
    Client,
    Peer,
    Reader,
    Writer,
    answering,
    ask,
    gateway,
    raw_config,
    read_message,
    run,
    until,
)
from tests.test_gateway_clients import holding

NO_ROOM = raw_config()["limits"] | {"sockets": 64}


def connected(made: Gateway, request: bytes) -> socket.socket:
    """A connection and a request on it, in the kernel's hands before the loop turns again."""
    sock = socket.create_connection(made.frontend.address)
    sock.sendall(request)
    sock.setblocking(False)
    return sock


async def answered(sock: socket.socket) -> bytes:
    """What comes until the gateway ends the connection."""
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        return await reader.read()
    finally:
        writer.close()


def stop_now(made: Gateway) -> None:
    """SIGTERM, and at once the moment at which the listener would be closed."""
    made.frontend.begin_shutdown()
    made.frontend._shutdown.connection_accepted(0)  # long ago
    made.frontend._close_listener()


def test_all_who_wait_in_the_backlog_are_taken_in_before_the_listener_closes() -> None:
    # The last accept took 64 and the close reset the others, whose requests counted as taken.
    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address)
        made.frontend.start_accepting()
        socks = [connected(made, ask()) for _ in range(100)]
        stop_now(made)
        heads = [(await answered(sock)).split(b"\r\n")[0] for sock in socks]
        assert [head.split()[1] for head in heads] == [b"200"] * 100
        await made.ended()

    run(scenario())


def test_with_a_full_table_the_listener_closes_only_once_nobody_waits() -> None:
    async def scenario() -> None:
        server, release = await holding()
        made = gateway(server.address, limits=NO_ROOM)
        made.frontend.start_accepting()
        held = [connected(made, ask()) for _ in range(made.frontend.clients.budget)]
        await until(lambda: len(made.frontend.clients.open) == made.frontend.clients.budget)
        await until(lambda: bool(server.requests))
        waits = connected(made, ask())
        stop_now(made)
        release.set()
        for sock in [*held, waits]:
            assert (await answered(sock)).startswith(b"HTTP/1.1 200")
        await made.ended()

    run(scenario())


def test_sigterm_before_the_first_accept_still_serves_who_waits() -> None:
    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address)  # discovery has not answered yet: nobody is taken in
        sock = connected(made, ask())
        made.frontend.begin_shutdown()
        assert (await answered(sock)).startswith(b"HTTP/1.1 200")
        await made.ended()

    run(scenario())


def test_a_second_sigterm_changes_nothing() -> None:
    async def scenario() -> None:
        server, release = await holding()
        made = gateway(server.address)
        client = await Client.to(made)
        client.writer.write(ask())
        await until(lambda: bool(server.requests))
        made.frontend.begin_shutdown()
        schedule = made.frontend._shutdown.schedule
        made.frontend.begin_shutdown()
        assert made.frontend._shutdown.schedule is schedule
        release.set()
        assert (await client.answer())[0] == 200
        await made.ended()

    run(scenario())


def test_one_accepted_but_not_attached_as_the_listener_closes_is_not_missed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Without a transport it was passed over, and nobody looked again: the end waited for other bounds.
    monkeypatch.setattr(client_module, "REQUEST_TIMEOUT_NS", 1 << 62)
    monkeypatch.setattr(frontend, "INCOMPLETE_REQUEST_WAIT_S", 1e6)

    async def scenario() -> None:
        made = gateway()
        made.frontend.start_accepting()
        sock = connected(made, b"")
        stop_now(made)
        (client,) = made.frontend.clients.open
        assert client.transport is None
        assert await answered(sock) == b""
        await made.ended()

    run(scenario())


def test_each_request_written_ahead_is_answered_and_the_last_says_close() -> None:
    # The first answer said so, and the requests that had been read behind it were dropped.
    async def scenario() -> None:
        server, release = await holding()
        made = gateway(server.address)
        client = await Client.to(made)
        client.writer.write(ask() + ask() + ask())
        await until(lambda: bool(server.requests))
        made.frontend.begin_shutdown()
        release.set()
        heads = [(await client.answer())[:2] for _ in range(3)]
        assert [status for status, _ in heads] == [200] * 3
        assert [b"Connection: close" in head for _, head in heads] == [False, False, True]
        assert await client.reader.read() == b""
        await made.ended()

    run(scenario())


def test_a_request_half_read_behind_the_one_in_work_is_answered() -> None:
    async def scenario() -> None:
        server, release = await holding()
        made = gateway(server.address)
        client, second = await Client.to(made), ask()
        client.writer.write(ask() + second[:50])
        await until(lambda: bool(server.requests) and any(c.receiving for c in made.frontend.clients.open))
        made.frontend.begin_shutdown()
        release.set()
        assert (await client.answer())[0] == 200
        status, head, _ = await client.send(second[50:])
        assert status == 200
        assert b"Connection: close" in head
        await made.ended()

    run(scenario())


def test_the_end_does_not_come_on_a_request_that_is_unread() -> None:
    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address)
        client, request = await Client.to(made), ask()
        client.writer.write(request[:50])
        await until(lambda: any(c.receiving for c in made.frontend.clients.open))
        stop_now(made)
        os.write(client.writer.get_extra_info("socket").fileno(), request[50:])
        made.frontend._reject_incomplete()  # before the loop turns again
        assert not made.frontend.finished.is_set()
        assert (await client.answer())[0] == 200
        await made.ended()

    run(scenario())


def test_a_request_half_written_to_its_server_is_finished_and_answered() -> None:
    async def scenario() -> None:
        begun, go_on = asyncio.Event(), asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            sock: socket.socket = writer.get_extra_info("socket")
            writer.transport.pause_reading()  # type: ignore[attr-defined]  # asyncio's stubs lack it here
            assert sock is not None
            begun.set()
            await go_on.wait()
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            peer.requests.append(await read_message(reader))
            writer.write(OK)
            await reader.read()

        server = await Peer(script).start()
        made = gateway(server.address)
        client = await Client.to(made)
        client.writer.write(ask("post", body=b"a" * 60_000))
        await begun.wait()
        made.frontend.begin_shutdown()
        go_on.set()
        status, head, _ = await client.answer()
        assert status == 200
        assert b"Connection: close" in head
        await made.ended()

    run(scenario())


async def slow_reader(made: Gateway) -> tuple[socket.socket, client_module.ClientConnection]:
    """A client that takes little at a time, and its connection at the gateway."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, made.frontend.address)
    await until(lambda: any(client.transport for client in made.frontend.clients.open))
    (client,) = made.frontend.clients.open
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return sock, client


LONG = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"a" * 60_000


def test_a_request_that_waits_behind_answers_not_taken_yet_is_answered() -> None:
    # It was read, and the connection counted as idle all the same: SIGTERM closed it.
    async def scenario() -> None:
        server = await answering(LONG)
        made = gateway(server.address)
        sock, client = await slow_reader(made)
        sock.send(ask() + ask())
        await until(lambda: client.write_blocked)
        sock.send(ask())
        await until(lambda: bool(client.pending))
        made.frontend.begin_shutdown()
        reader, writer = await asyncio.open_connection(sock=sock)
        for _ in range(3):
            assert (await read_message(reader)).startswith(b"HTTP/1.1 200")
        writer.close()
        await made.ended()

    run(scenario())


def test_answers_ahead_of_a_refusal_are_not_cut_while_the_client_takes_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # 0.3 s after the refusal the connection was closed, whatever of the answers had gone out.
    monkeypatch.setattr(client_module, "LINGER_S", 0.0)

    async def scenario() -> None:
        server = await answering(LONG)
        made = gateway(server.address)
        sock, client = await slow_reader(made)
        sock.send(ask() + b"\x00\r\n\r\n")
        await until(lambda: client.closing)
        assert client.has_unsent_output()
        await asyncio.sleep(0.05)  # the timer has rung
        reader, writer = await asyncio.open_connection(sock=sock)
        assert (await read_message(reader)).startswith(b"HTTP/1.1 200")
        assert (await read_message(reader)).startswith(b"HTTP/1.1 400")
        writer.close()

    run(scenario())


def test_a_hung_server_holds_no_answer_past_its_time_at_the_end() -> None:
    async def scenario() -> None:
        server, _ = await holding()
        made = gateway(server.address)
        client = await Client.to(made)
        client.writer.write(ask("post", left="0.500"))
        await until(lambda: bool(server.requests))
        made.frontend.begin_shutdown()
        began = asyncio.get_running_loop().time()
        assert (await client.answer())[0] == 502
        assert asyncio.get_running_loop().time() - began < 5.0  # nothing would ever come from the server
        await made.ended()

    run(scenario())
