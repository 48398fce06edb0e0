"""A client that disconnects, in each state of its request: nothing more is sent to a server for it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest

from gingerworks import interface
from gingerworks.gateway import backend, frontend
from gingerworks.gateway.__main__ import Gateway
from gingerworks.gateway.client import ClientConnection
from gingerworks.gateway.config import Address
from gingerworks.gateway.dial import Dial
from tests.loopback import (
    NOT_RUN,
    OK,
    SETTINGS,
    Client,
    Peer,
    Reader,
    Writer,
    answering_server,
    build_request,
    closed_port,
    gateway,
    read_message,
    run,
    silent_server,
    wait_until,
)
from tests.test_gateway_clients import held_server


def close(client: Client) -> None:
    client.writer.close()


def half_close(client: Client) -> None:
    client.writer.write_eof()


def reset(client: Client) -> None:
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()


disconnects = pytest.mark.parametrize("disconnect", [close, half_close, reset])
Disconnect = Callable[[Client], None]


async def request_dropped(gw: Gateway) -> None:
    """Wait until the gateway has noticed the disconnect and keeps nothing of the request."""
    await wait_until(lambda: not gw.frontend.clients.open)
    await wait_until(lambda: not gw.runtime._in_flight and not gw.runtime._policy.in_flight)


def hold_connects(monkeypatch: pytest.MonkeyPatch) -> list[Callable[[], None]]:
    """Hold connections to servers while they open; each function of the returned list lets one go on."""
    held_connects: list[Callable[[], None]] = []

    class HeldDial(Dial):
        """A connect whose completion the test triggers."""

        def _on_writable(self) -> None:
            self._loop.remove_writer(self._socket.fileno())
            held_connects.append(super()._on_writable)

    monkeypatch.setattr(backend, "Dial", HeldDial)
    return held_connects


@disconnects
def test_disconnect_while_the_counter_is_asked_prevents_the_attempt(disconnect: Disconnect) -> None:
    async def scenario() -> None:
        called, release = asyncio.Event(), asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            line = await reader.readline()
            called.set()
            await release.wait()
            writer.write(b"ok %b\r\n" % line.split()[2])
            await reader.read()

        counter, server = await Peer(script).start(), await answering_server(OK)
        specifics = SETTINGS["specifics"] | {"has-counter": True, "count-wait-ns": 20_000_000_000}
        gw = gateway(
            server.address,
            settings=SETTINGS | {"specifics": specifics},
            counter=f"{counter.address[0]}:{counter.address[1]}",
        )
        client = await Client.to(gw)
        client.writer.write(build_request(X_Contract="small", X_Metering="units=6,spread=3,first=1"))
        await called.wait()
        disconnect(client)
        await wait_until(lambda: not gw.frontend.clients.open)
        release.set()
        await request_dropped(gw)
        assert server.connections == 0

    run(scenario())


@disconnects
@pytest.mark.parametrize("may_cancel", [True, False])
def test_disconnect_while_the_server_connection_opens_prevents_the_attempt(
    disconnect: Disconnect, may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    held_connects = hold_connects(monkeypatch)

    async def scenario() -> None:
        server = await answering_server(OK)
        limits = SETTINGS["limits"] | {"may-cancel": may_cancel}
        gw = gateway(server.address, settings=SETTINGS | {"limits": limits})
        client = await Client.to(gw)
        client.writer.write(build_request("post"))
        await wait_until(lambda: bool(held_connects))
        disconnect(client)
        await wait_until(lambda: not gw.frontend.clients.open)
        await asyncio.sleep(0)
        if gw.backends._open:  # not cancelled: it opens, and the attempt must not start
            held_connects[0]()
        await request_dropped(gw)
        assert server.requests == []

    run(scenario())


@disconnects
def test_disconnect_between_two_attempts_prevents_the_second(disconnect: Disconnect) -> None:
    # The attempt's outcome and the disconnect are read in one turn of the loop, in either order.
    async def scenario() -> None:
        first_sent, release = asyncio.Event(), asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            peer.requests.append(await reader.readuntil(b"\r\n\r\n"))
            first_sent.set()
            await release.wait()
            writer.write(NOT_RUN)
            await reader.read()

        server = await Peer(script).start()
        gw = gateway(server.address, server.address)
        client = await Client.to(gw)
        client.writer.write(build_request("post"))
        await first_sent.wait()
        release.set()
        disconnect(client)
        await request_dropped(gw)
        assert len(server.requests) == 1

    run(scenario())


@disconnects
def test_disconnect_in_the_turn_of_the_submission_prevents_the_attempt(
    disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        client = await Client.to(gw)
        submit: Any = gw.runtime.submit

        def submit_and_cancel(*arguments: Any) -> int:
            number: int = submit(*arguments)
            gw.runtime.cancel_request(number)  # the policy gets both events in one turn
            return number

        monkeypatch.setattr(gw.runtime, "submit", submit_and_cancel)
        client.writer.write(build_request("post"))
        await wait_until(lambda: gw.runtime._last_request_id == 1 and not gw.runtime._in_flight)
        disconnect(client)
        await request_dropped(gw)
        assert server.requests == []

    run(scenario())


@disconnects
def test_disconnect_during_an_attempt_closes_the_server_connection(disconnect: Disconnect) -> None:
    async def scenario() -> None:
        server = await silent_server()
        gw = gateway(server.address)
        client = await Client.to(gw)
        client.writer.write(build_request("post"))
        await wait_until(lambda: len(server.requests) == 1)
        disconnect(client)
        await request_dropped(gw)
        await wait_until(lambda: server.requests[1:] == [b""])

    run(scenario())


@disconnects
def test_disconnect_is_noticed_while_reading_is_paused(
    disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A paused connection doesn't report its end: pipelined requests used to be sent to servers one by one.
    monkeypatch.setattr(frontend, "TIMEOUT_CHECK_INTERVAL_S", 0.01)

    async def scenario() -> None:
        server = await silent_server()
        gw = gateway(server.address)
        client = await Client.to(gw)
        client.writer.write(b"".join(build_request("post") for _ in range(8)))
        await wait_until(
            lambda: any(c.reading_paused for c in gw.frontend.clients.open) and len(server.requests) == 1
        )
        disconnect(client)
        await request_dropped(gw)
        await wait_until(lambda: server.requests[1:] == [b""])

    run(scenario())


@disconnects
def test_disconnect_prevents_the_next_pipelined_request(
    disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(frontend, "TIMEOUT_CHECK_INTERVAL_S", 1e6)

    async def scenario() -> None:
        server, release = await held_server()
        gw = gateway(server.address)
        client = await Client.to(gw)
        client.writer.write(b"".join(build_request("post") for _ in range(8)))
        await wait_until(
            lambda: any(c.reading_paused for c in gw.frontend.clients.open) and len(server.requests) == 1
        )
        disconnect(client)
        (connection,) = gw.frontend.clients.open
        await wait_until(connection.has_abandoned_request)
        release.set()
        await request_dropped(gw)
        assert len(server.requests) == 1

    run(scenario())


@disconnects
def test_disconnect_in_the_backlog_prevents_the_attempt(disconnect: Disconnect) -> None:
    # At the first read the request and the disconnect are both there, but the latter is read a turn later.
    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        gw.frontend._unwatch_listener()
        client = await Client.to(gw)
        client.writer.write(build_request("post"))
        disconnect(client)
        await asyncio.sleep(0.01)
        gw.frontend._watch_listener()
        await wait_until(lambda: gw.runtime._last_request_id == 1 or disconnect is reset)
        await request_dropped(gw)
        assert server.connections == 0
        assert not gw.backends._open

    run(scenario())


@disconnects
def test_disconnect_in_the_turn_in_which_the_server_connection_opens_prevents_the_attempt(
    disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    held_connects = hold_connects(monkeypatch)

    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        sock = socket.create_connection(gw.frontend.address)
        client = Client(*await asyncio.open_connection(sock=sock))
        client.writer.write(build_request("post"))
        await wait_until(lambda: bool(held_connects))
        (connection,) = gw.frontend.clients.open
        assert connection.transport is not None
        connection.transport.pause_reading()  # the disconnect stays unread, as in a turn with much other work
        disconnect(client)
        await asyncio.sleep(0.01)
        held_connects[0]()
        connection.transport.resume_reading()
        await request_dropped(gw)
        assert server.requests == []
        assert not gw.backends._open

    run(scenario())


@disconnects
@pytest.mark.parametrize("pipelined", [b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n" * 8, b"\x00\r\n\r\n"])
def test_disconnect_while_reading_is_paused_prevents_a_retry(
    disconnect: Disconnect, pipelined: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Pipelined input, valid or not, stops the reading.  The outcome comes before the next timeout check.
    async def scenario() -> None:
        release = asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            peer.requests.append(await reader.readuntil(b"\r\n\r\n"))
            await release.wait()
            writer.write(NOT_RUN)
            await reader.read()

        monkeypatch.setattr(frontend, "TIMEOUT_CHECK_INTERVAL_S", 0.1)
        server = await Peer(script).start()
        gw = gateway(server.address, server.address)
        check_timeouts: Any = gw.frontend._check_timeouts
        monkeypatch.setattr(gw.frontend, "_check_timeouts", lambda: None)
        client = await Client.to(gw)
        client.writer.write(build_request("post") + pipelined)
        await wait_until(
            lambda: any(c.reading_paused for c in gw.frontend.clients.open) and len(server.requests) == 1
        )
        disconnect(client)
        await asyncio.sleep(0.01)
        release.set()
        await wait_until(lambda: not gw.runtime._in_flight and not gw.runtime._policy.in_flight)
        assert len(server.requests) == 1
        check_timeouts()
        await request_dropped(gw)

    run(scenario())


async def held_counter() -> tuple[Peer, asyncio.Event, asyncio.Event]:
    """A counter, an event that its first call sets, and one that releases its answers."""
    called, release = asyncio.Event(), asyncio.Event()

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        while line := await reader.readline():
            called.set()
            await release.wait()
            writer.write(b"ok %b\r\n" % line.split()[2])

    return await Peer(script).start(), called, release


def pause_all_reading(gw: Gateway) -> list[ClientConnection]:
    """Leave unread what the clients do next, as in a loop turn with much other work."""
    for connection in (connections := list(gw.frontend.clients.open)):
        assert connection.transport is not None
        connection.transport.pause_reading()
    return connections


def resume_all_reading(connections: list[ClientConnection]) -> None:
    for connection in connections:
        if connection.transport is not None:
            connection.transport.resume_reading()


@disconnects
@pytest.mark.parametrize("shutting_down", [False, True])
def test_unread_disconnects_of_requests_admitted_together_prevent_all_attempts(
    disconnect: Disconnect, shutting_down: bool
) -> None:
    # One counter answer admits several requests, while the disconnects of all their clients are unread.
    async def scenario() -> None:
        (counter, called, release), server = await held_counter(), await answering_server(OK)
        specifics = SETTINGS["specifics"] | {"has-counter": True, "count-wait-ns": 20_000_000_000}
        tariffs = [SETTINGS["tariffs"][0], SETTINGS["tariffs"][1] | {"most-at-once": 60.0}]
        gw = gateway(
            server.address,
            settings=SETTINGS | {"peers-total": 30, "specifics": specifics, "tariffs": tariffs},
            counter=f"{counter.address[0]}:{counter.address[1]}",
        )
        clients = [await Client.to(gw) for _ in range(8)]
        for client in clients:
            client.writer.write(build_request(X_Contract="small", X_Metering="units=6,spread=30,first=1"))
        await called.wait()
        await wait_until(lambda: len(gw.runtime._in_flight) == len(clients))
        if shutting_down:
            gw.frontend.begin_shutdown()
        connections = pause_all_reading(gw)
        for client in clients:
            disconnect(client)
        release.set()
        await wait_until(lambda: not gw.runtime._in_flight and not gw.runtime._policy.in_flight)
        resume_all_reading(connections)
        await request_dropped(gw)
        assert server.connections == 0
        assert not gw.backends._open
        if shutting_down:
            await gw.wait_and_close()

    run(scenario())


class BlockingClient:
    """A client on a blocking socket: each call has taken effect when it returns."""

    def __init__(self, gw: Gateway, request: bytes) -> None:
        self.socket = socket.create_connection(gw.frontend.address)
        self.socket.sendall(request)

    def close(self) -> None:
        self.socket.close()

    def half_close(self) -> None:
        self.socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


immediate_disconnects = pytest.mark.parametrize(
    "disconnect", [BlockingClient.close, BlockingClient.half_close, BlockingClient.reset]
)


@immediate_disconnects
def test_disconnect_just_before_the_first_attempt_prevents_it(
    disconnect: Callable[[BlockingClient], None],
) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        client = BlockingClient(gw, build_request("post"))
        assign = gw.runtime._action_handlers[interface.Assign]

        def disconnect_first(action: interface.Assign) -> None:
            disconnect(client)  # in the same loop turn as the attempt
            assign(action)

        gw.runtime._action_handlers[interface.Assign] = disconnect_first
        await wait_until(lambda: gw.runtime._last_request_id == 1)
        await request_dropped(gw)
        assert server.connections == 0

    run(scenario())


@immediate_disconnects
def test_disconnect_just_before_a_retry_prevents_it(
    disconnect: Callable[[BlockingClient], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        server = await answering_server(NOT_RUN)
        gw = gateway(server.address, server.address)
        clients = [BlockingClient(gw, build_request("post"))]
        ended: Any = gw.runtime._attempt_ended

        def disconnect_first(*arguments: Any) -> None:
            if clients:
                disconnect(clients.pop())
            ended(*arguments)

        monkeypatch.setattr(gw.runtime, "_attempt_ended", disconnect_first)
        await wait_until(lambda: gw.runtime._last_request_id == 1)
        await request_dropped(gw)
        assert len(server.requests) == 1

    run(scenario())


@immediate_disconnects
@pytest.mark.parametrize("shutting_down", [False, True])
def test_disconnect_in_the_backlog_of_a_full_client_table_prevents_the_attempt(
    disconnect: Callable[[BlockingClient], None], shutting_down: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # An idle connection to a server carries the request in the same loop turn.
    monkeypatch.setattr(backend, "MIN_IDLE_BEFORE_REUSE_NS", 0)

    async def scenario() -> None:
        server, release = await held_server()
        gw = gateway(server.address, limits={"sockets": 64})
        clients_in_table = [await Client.to(gw) for _ in range(gw.frontend.clients.budget)]
        for client in clients_in_table:
            client.writer.write(build_request("post"))
        await wait_until(lambda: len(server.requests) == len(clients_in_table))
        late = BlockingClient(gw, build_request("post"))
        disconnect(late)
        if shutting_down:
            gw.frontend.begin_shutdown()
        release.set()
        for client in clients_in_table:
            assert (await client.answer())[0] == 200
            client.writer.close()
        await wait_until(
            lambda: (
                gw.runtime._last_request_id == len(clients_in_table) + 1 or disconnect is BlockingClient.reset
            )
        )
        await request_dropped(gw)
        assert len(server.requests) == len(clients_in_table)

    run(scenario())


def run_before_assign(gw: Gateway, which: int, what: Callable[[], None]) -> list[interface.Assign]:
    """Call ``what`` just before the attempt number ``which`` starts, in the same loop turn."""
    assign, assigned_actions = gw.runtime._action_handlers[interface.Assign], list[interface.Assign]()

    def assigned(action: interface.Assign) -> None:
        assigned_actions.append(action)
        if len(assigned_actions) == which:
            what()
        assign(action)

    gw.runtime._action_handlers[interface.Assign] = assigned
    return assigned_actions


FAST_ANSWERS = 8  # answers that show a low load of the servers: otherwise no hedge or replacement starts


@immediate_disconnects
@pytest.mark.parametrize("shutting_down", [False, True])
@pytest.mark.parametrize("hedging", [True, False], ids=["hedge", "replacement"])
def test_disconnect_just_before_a_hedge_or_replacement_prevents_it(
    disconnect: Callable[[BlockingClient], None], shutting_down: bool, hedging: bool
) -> None:
    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            while True:
                peer.requests.append(await read_message(reader))
                if len(peer.requests) <= FAST_ANSWERS:
                    writer.write(OK)

        server = await Peer(script).start()
        limits = SETTINGS["limits"] | {"second-copies": hedging}
        gw = gateway(server.address, server.address, settings=SETTINGS | {"limits": limits})
        client = await Client.to(gw)
        for _ in range(FAST_ANSWERS):
            assert (await client.send(build_request()))[0] == 200
        client.writer.close()
        late = BlockingClient(gw, build_request())
        assigned_actions = run_before_assign(gw, 2, lambda: disconnect(late))
        await wait_until(lambda: len(server.requests) == FAST_ANSWERS + 1)
        if shutting_down:
            gw.frontend.begin_shutdown()
        await request_dropped(gw)
        assert len(assigned_actions) == 2
        assert len(server.requests) == FAST_ANSWERS + 1

    run(scenario())


@immediate_disconnects
def test_disconnect_while_the_connection_for_a_retry_opens_prevents_it(
    disconnect: Callable[[BlockingClient], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    held_connects = hold_connects(monkeypatch)

    async def scenario() -> None:
        server = await answering_server(NOT_RUN)
        gw = gateway(server.address, server.address)
        client = BlockingClient(gw, build_request("post"))
        await wait_until(lambda: bool(held_connects))
        held_connects.pop()()
        await wait_until(lambda: bool(held_connects))
        connections = pause_all_reading(gw)
        disconnect(client)
        held_connects.pop()()  # in the same loop turn as the disconnect
        resume_all_reading(connections)
        await request_dropped(gw)
        assert len(server.requests) == 1

    run(scenario())


async def fill_receive_buffer(gw: Gateway, sock: socket.socket, pipelined: bytes) -> None:
    """Send until the kernel's buffers of a paused connection are full."""
    sock.setblocking(False)
    sock.send(pipelined * 1000)
    await wait_until(lambda: any(client.reading_paused for client in gw.frontend.clients.open))
    with contextlib.suppress(BlockingIOError):
        while True:
            sock.send(pipelined * 1000)


@immediate_disconnects
@pytest.mark.parametrize("pipelined", [b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", b"\x00" * 40])
def test_disconnect_hidden_behind_a_full_receive_buffer_prevents_a_retry(
    disconnect: Callable[[BlockingClient], None], pipelined: bytes
) -> None:
    # The close is queued behind that input: the kernel can't receive it before there is room for the input.
    async def scenario() -> None:
        release = asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            peer.requests.append(await read_message(reader))
            await release.wait()
            writer.write(NOT_RUN)
            await reader.read()

        server = await Peer(script).start()
        gw = gateway(server.address, server.address)
        client = BlockingClient(gw, build_request("post"))
        await wait_until(lambda: len(server.requests) == 1)
        await fill_receive_buffer(gw, client.socket, pipelined)
        disconnect(client)
        release.set()
        await wait_until(lambda: not gw.runtime._in_flight and not gw.runtime._policy.in_flight)
        assert len(server.requests) == 1

    run(scenario())


def test_possibly_hidden_disconnect_is_refused_if_no_attempt_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # It used to be answered as failed, though its attempts had reached no server.
    async def scenario() -> None:
        gw = gateway(closed_address(), closed_address())
        checks: list[ClientConnection] = []

        def hidden(connection: ClientConnection) -> bool:
            checks.append(connection)
            return len(checks) > 2  # the first attempt checks at most twice

        monkeypatch.setattr(ClientConnection, "disconnect_may_be_hidden", hidden)
        status, head, _ = await (await Client.to(gw)).send(build_request("post"))
        assert len(checks) > 2
        assert status == 429
        assert b"Retry-After" in head

    run(scenario())


def closed_address() -> Address:
    return ("127.0.0.1", closed_port())


def test_possibly_hidden_disconnect_still_gets_the_answer_of_an_open_attempt() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            while True:
                peer.requests.append(await read_message(reader))
                if len(peer.requests) > FAST_ANSWERS:
                    await release.wait()
                writer.write(OK)

        server = await Peer(script).start()
        gw = gateway(server.address, server.address)
        client = await Client.to(gw)
        for _ in range(FAST_ANSWERS):
            assert (await client.send(build_request()))[0] == 200
        client.writer.close()
        late = BlockingClient(gw, build_request())
        await wait_until(lambda: len(server.requests) == FAST_ANSWERS + 1)
        assigned_actions = run_before_assign(gw, 2, lambda: None)
        await fill_receive_buffer(gw, late.socket, b"\x00" * 40)
        await wait_until(lambda: len(assigned_actions) == 1)  # the policy asked for a hedge
        release.set()
        assert (await asyncio.get_running_loop().sock_recv(late.socket, 12)) == b"HTTP/1.1 200"
        assert len(server.requests) == FAST_ANSWERS + 1
        late.close()

    run(scenario())


def test_every_request_of_a_client_that_pipelines_and_stays_is_answered() -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        client, count = await Client.to(gw), 600
        client.writer.write(b"".join(build_request("post") for _ in range(count)))
        statuses = [(await client.answer())[0] for _ in range(count)]
        assert set(statuses) <= {200, 429}  # 429 while a disconnect would have been hidden
        assert statuses.count(200) == len(server.requests)
        assert statuses[-1] == 200
        assert (await client.send(build_request("post")))[0] == 200

    run(scenario())
