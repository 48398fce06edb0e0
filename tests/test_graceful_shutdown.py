"""The graceful shutdown over loopback sockets: requests are answered, whatever their state at SIGTERM."""

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
    answering_server,
    build_request,
    gateway,
    raw_config,
    read_message,
    run,
    wait_until,
)
from tests.test_gateway_clients import held_server

EIGHT_CLIENTS = raw_config()["limits"] | {"sockets": 64}  # leaves a budget of eight client connections


def connect_and_send(gw: Gateway, request: bytes) -> socket.socket:
    """Open a connection and send a request on it, before the event loop runs again."""
    sock = socket.create_connection(gw.frontend.address)
    sock.sendall(request)
    sock.setblocking(False)
    return sock


async def read_to_end(sock: socket.socket) -> bytes:
    """All that the gateway sends until it closes the connection."""
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        return await reader.read()
    finally:
        writer.close()


def shut_down_now(gw: Gateway) -> None:
    """Begin the shutdown, and go on to the time at which the listener would be closed."""
    gw.frontend.begin_shutdown()
    gw.frontend._shutdown.connection_accepted(0)  # long ago
    gw.frontend._close_listener()


def test_all_connections_in_the_backlog_are_accepted_before_the_listener_closes() -> None:
    # The last accept used to take 64 connections and the close reset the others, which had sent requests.
    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        gw.frontend.start_accepting()
        socks = [connect_and_send(gw, build_request()) for _ in range(100)]
        shut_down_now(gw)
        heads = [(await read_to_end(sock)).split(b"\r\n")[0] for sock in socks]
        assert [head.split()[1] for head in heads] == [b"200"] * 100
        await gw.wait_and_close()

    run(scenario())


def test_with_a_full_client_table_the_listener_closes_only_with_an_empty_backlog() -> None:
    async def scenario() -> None:
        server, release = await held_server()
        gw = gateway(server.address, limits=EIGHT_CLIENTS)
        gw.frontend.start_accepting()
        held = [connect_and_send(gw, build_request()) for _ in range(gw.frontend.clients.budget)]
        await wait_until(lambda: len(gw.frontend.clients.open) == gw.frontend.clients.budget)
        await wait_until(lambda: bool(server.requests))
        waits = connect_and_send(gw, build_request())
        shut_down_now(gw)
        release.set()
        for sock in [*held, waits]:
            assert (await read_to_end(sock)).startswith(b"HTTP/1.1 200")
        await gw.wait_and_close()

    run(scenario())


def test_sigterm_before_the_first_accept_still_serves_the_backlog() -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)  # discovery has not answered yet: nothing is accepted
        sock = connect_and_send(gw, build_request())
        gw.frontend.begin_shutdown()
        assert (await read_to_end(sock)).startswith(b"HTTP/1.1 200")
        await gw.wait_and_close()

    run(scenario())


def test_a_second_sigterm_changes_nothing() -> None:
    async def scenario() -> None:
        server, release = await held_server()
        gw = gateway(server.address)
        client = await Client.to(gw)
        client.writer.write(build_request())
        await wait_until(lambda: bool(server.requests))
        gw.frontend.begin_shutdown()
        schedule = gw.frontend._shutdown.schedule
        gw.frontend.begin_shutdown()
        assert gw.frontend._shutdown.schedule is schedule
        release.set()
        assert (await client.answer())[0] == 200
        await gw.wait_and_close()

    run(scenario())


def test_connection_without_a_transport_as_the_listener_closes_is_closed_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Without a transport it was not closed and not checked again, so the shutdown waited for a timeout.
    monkeypatch.setattr(client_module, "REQUEST_TIMEOUT_NS", 1 << 62)
    monkeypatch.setattr(frontend, "INCOMPLETE_REQUEST_WAIT_S", 1e6)

    async def scenario() -> None:
        gw = gateway()
        gw.frontend.start_accepting()
        sock = connect_and_send(gw, b"")
        shut_down_now(gw)
        (client,) = gw.frontend.clients.open
        assert client.transport is None
        assert await read_to_end(sock) == b""
        await gw.wait_and_close()

    run(scenario())


def test_each_pipelined_request_is_answered_and_the_last_answer_closes() -> None:
    # The first answer used to close the connection, and the requests read behind it were dropped.
    async def scenario() -> None:
        server, release = await held_server()
        gw = gateway(server.address)
        client = await Client.to(gw)
        client.writer.write(build_request() + build_request() + build_request())
        await wait_until(lambda: bool(server.requests))
        gw.frontend.begin_shutdown()
        release.set()
        heads = [(await client.answer())[:2] for _ in range(3)]
        assert [status for status, _ in heads] == [200] * 3
        assert [b"Connection: close" in head for _, head in heads] == [False, False, True]
        assert await client.reader.read() == b""
        await gw.wait_and_close()

    run(scenario())


def test_incomplete_request_behind_the_one_in_flight_is_answered_once_complete() -> None:
    async def scenario() -> None:
        server, release = await held_server()
        gw = gateway(server.address)
        client, second = await Client.to(gw), build_request()
        client.writer.write(build_request() + second[:50])
        await wait_until(
            lambda: bool(server.requests) and any(c.has_requests_ahead for c in gw.frontend.clients.open)
        )
        gw.frontend.begin_shutdown()
        release.set()
        assert (await client.answer())[0] == 200
        status, head, _ = await client.send(second[50:])
        assert status == 200
        assert b"Connection: close" in head
        await gw.wait_and_close()

    run(scenario())


def test_shutdown_does_not_finish_with_a_request_unread() -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        client, request = await Client.to(gw), build_request()
        client.writer.write(request[:50])
        await wait_until(lambda: any(c.receiving for c in gw.frontend.clients.open))
        shut_down_now(gw)
        os.write(client.writer.get_extra_info("socket").fileno(), request[50:])
        gw.frontend._reject_incomplete()  # before the event loop runs again
        assert not gw.frontend.finished.is_set()
        assert (await client.answer())[0] == 200
        await gw.wait_and_close()

    run(scenario())


def test_request_partly_written_to_its_server_is_completed_and_answered() -> None:
    async def scenario() -> None:
        begun, release = asyncio.Event(), asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            sock: socket.socket = writer.get_extra_info("socket")
            writer.transport.pause_reading()  # type: ignore[attr-defined]  # asyncio's stubs lack it here
            assert sock is not None
            begun.set()
            await release.wait()
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            peer.requests.append(await read_message(reader))
            writer.write(OK)
            await reader.read()

        server = await Peer(script).start()
        gw = gateway(server.address)
        client = await Client.to(gw)
        client.writer.write(build_request("post", body=b"a" * 60_000))
        await begun.wait()
        gw.frontend.begin_shutdown()
        release.set()
        status, head, _ = await client.answer()
        assert status == 200
        assert b"Connection: close" in head
        await gw.wait_and_close()

    run(scenario())


async def slow_reader(gw: Gateway) -> tuple[socket.socket, client_module.ClientConnection]:
    """A client with small socket buffers, and its connection at the gateway."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, gw.frontend.address)
    await wait_until(lambda: any(client.transport for client in gw.frontend.clients.open))
    (client,) = gw.frontend.clients.open
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return sock, client


LONG_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"a" * 60_000


def test_request_behind_answers_that_are_not_read_yet_is_answered() -> None:
    # The connection used to count as idle though the request had been read, and SIGTERM closed it.
    async def scenario() -> None:
        server = await answering_server(LONG_ANSWER)
        gw = gateway(server.address)
        sock, client = await slow_reader(gw)
        sock.send(build_request() + build_request())
        await wait_until(lambda: client.write_blocked)
        sock.send(build_request())
        await wait_until(lambda: client.has_requests_ahead)
        gw.frontend.begin_shutdown()
        reader, writer = await asyncio.open_connection(sock=sock)
        for _ in range(3):
            assert (await read_message(reader)).startswith(b"HTTP/1.1 200")
        writer.close()
        await gw.wait_and_close()

    run(scenario())


def test_answers_ahead_of_a_rejection_are_sent_completely_to_a_slow_reader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The connection used to be closed 0.3 s after the rejection, even with answers still unsent.
    monkeypatch.setattr(client_module, "LINGER_S", 0.0)

    async def scenario() -> None:
        server = await answering_server(LONG_ANSWER)
        gw = gateway(server.address)
        sock, client = await slow_reader(gw)
        sock.send(build_request() + b"\x00\r\n\r\n")
        await wait_until(lambda: client.closing)
        assert client.has_unsent_output()
        await asyncio.sleep(0.05)  # the linger timer has fired
        reader, writer = await asyncio.open_connection(sock=sock)
        assert (await read_message(reader)).startswith(b"HTTP/1.1 200")
        assert (await read_message(reader)).startswith(b"HTTP/1.1 400")
        writer.close()

    run(scenario())


def test_hanging_server_does_not_delay_the_final_answer_during_shutdown() -> None:
    async def scenario() -> None:
        server, _ = await held_server()
        gw = gateway(server.address)
        client = await Client.to(gw)
        client.writer.write(build_request("post", left="0.500"))
        await wait_until(lambda: bool(server.requests))
        gw.frontend.begin_shutdown()
        began = asyncio.get_running_loop().time()
        assert (await client.answer())[0] == 502
        assert asyncio.get_running_loop().time() - began < 5.0  # the server never answers
        await gw.wait_and_close()

    run(scenario())
