"""A client that leaves, in each state of its request: nothing is sent on for it any more."""

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
    answering,
    ask,
    closed_port,
    gateway,
    read_message,
    run,
    silent,
    until,
)
from tests.test_gateway_clients import holding


def close(client: Client) -> None:
    client.writer.close()


def half_close(client: Client) -> None:
    client.writer.write_eof()


def reset(client: Client) -> None:
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()


ways = pytest.mark.parametrize("leave", [close, half_close, reset])
Leave = Callable[[Client], None]


async def forgotten(made: Gateway) -> None:
    """Until the gateway has taken in that the client has gone and holds nothing of its request."""
    await until(lambda: not made.frontend.clients.open)
    await until(lambda: not made.runtime._in_flight and not made.runtime._policy.in_flight)


def held_dials(monkeypatch: pytest.MonkeyPatch) -> list[Callable[[], None]]:
    """Connections to servers come up only when the test calls what is in this list."""
    held: list[Callable[[], None]] = []

    class Held(Dial):
        """A connection that comes up only when the test says so."""

        def _on_writable(self) -> None:
            self._loop.remove_writer(self._socket.fileno())
            held.append(super()._on_writable)

    monkeypatch.setattr(backend, "Dial", Held)
    return held


@ways
def test_while_its_request_waits_for_the_counter(leave: Leave) -> None:
    async def scenario() -> None:
        asked, go_on = asyncio.Event(), asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            line = await reader.readline()
            asked.set()
            await go_on.wait()
            writer.write(b"ok %b\r\n" % line.split()[2])
            await reader.read()

        counter, server = await Peer(script).start(), await answering(OK)
        family = SETTINGS["specifics"] | {"has-counter": True, "count-wait-ns": 20_000_000_000}
        made = gateway(
            server.address,
            settings=SETTINGS | {"specifics": family},
            counter=f"{counter.address[0]}:{counter.address[1]}",
        )
        client = await Client.to(made)
        client.writer.write(ask(X_Contract="small", X_Metering="units=6,spread=3,first=1"))
        await asked.wait()
        leave(client)
        await until(lambda: not made.frontend.clients.open)
        go_on.set()
        await forgotten(made)
        assert server.connections == 0

    run(scenario())


@ways
@pytest.mark.parametrize("may_cancel", [True, False])
def test_while_a_connection_is_coming_up(
    leave: Leave, may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    held = held_dials(monkeypatch)

    async def scenario() -> None:
        server = await answering(OK)
        limits = SETTINGS["limits"] | {"may-cancel": may_cancel}
        made = gateway(server.address, settings=SETTINGS | {"limits": limits})
        client = await Client.to(made)
        client.writer.write(ask("post"))
        await until(lambda: bool(held))
        leave(client)
        await until(lambda: not made.frontend.clients.open)
        await asyncio.sleep(0)
        if made.backends._open:  # not called off: it comes up, and finds that nobody wants it
            held[0]()
        await forgotten(made)
        assert server.requests == []

    run(scenario())


@ways
def test_between_two_attempts(leave: Leave) -> None:
    # The outcome and the end of the connection are read in one turn of the loop, in either order.
    async def scenario() -> None:
        first_asked, go_on = asyncio.Event(), asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            peer.requests.append(await reader.readuntil(b"\r\n\r\n"))
            first_asked.set()
            await go_on.wait()
            writer.write(NOT_RUN)
            await reader.read()

        server = await Peer(script).start()
        made = gateway(server.address, server.address)
        client = await Client.to(made)
        client.writer.write(ask("post"))
        await first_asked.wait()
        go_on.set()
        leave(client)
        await forgotten(made)
        assert len(server.requests) == 1

    run(scenario())


@ways
def test_in_the_turn_in_which_its_request_is_assigned(leave: Leave, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address)
        client = await Client.to(made)
        taken: Any = made.runtime.submit

        def leaves_at_once(*told: Any) -> int:
            number: int = taken(*told)
            made.runtime.cancel_request(number)  # the module hears of both in one turn
            return number

        monkeypatch.setattr(made.runtime, "submit", leaves_at_once)
        client.writer.write(ask("post"))
        await until(lambda: made.runtime._last_request_id == 1 and not made.runtime._in_flight)
        leave(client)
        await forgotten(made)
        assert server.requests == []

    run(scenario())


@ways
def test_while_its_attempt_is_out(leave: Leave) -> None:
    async def scenario() -> None:
        server = await silent()
        made = gateway(server.address)
        client = await Client.to(made)
        client.writer.write(ask("post"))
        await until(lambda: len(server.requests) == 1)
        leave(client)
        await forgotten(made)
        await until(lambda: server.requests[1:] == [b""])

    run(scenario())


@ways
def test_while_it_is_not_read_for_what_it_wrote_ahead(leave: Leave, monkeypatch: pytest.MonkeyPatch) -> None:
    # A connection that is not read tells of no end: all that had been read ahead was sent on, one by one.
    monkeypatch.setattr(frontend, "TIMEOUT_CHECK_INTERVAL_S", 0.01)

    async def scenario() -> None:
        server = await silent()
        made = gateway(server.address)
        client = await Client.to(made)
        client.writer.write(b"".join(ask("post") for _ in range(8)))
        await until(
            lambda: any(c.reading_paused for c in made.frontend.clients.open) and len(server.requests) == 1
        )
        leave(client)
        await forgotten(made)
        await until(lambda: server.requests[1:] == [b""])

    run(scenario())


@ways
def test_before_the_next_of_what_it_wrote_ahead_is_begun(
    leave: Leave, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(frontend, "TIMEOUT_CHECK_INTERVAL_S", 1e6)

    async def scenario() -> None:
        server, release = await holding()
        made = gateway(server.address)
        client = await Client.to(made)
        client.writer.write(b"".join(ask("post") for _ in range(8)))
        await until(
            lambda: any(c.reading_paused for c in made.frontend.clients.open) and len(server.requests) == 1
        )
        leave(client)
        (connection,) = made.frontend.clients.open
        await until(connection.has_abandoned_request)
        release.set()
        await forgotten(made)
        assert len(server.requests) == 1

    run(scenario())


@ways
def test_behind_its_request_in_the_backlog(leave: Leave) -> None:
    # The request and the end behind it are there at the first read: the end is read a turn later.
    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address)
        made.frontend._unwatch_listener()
        client = await Client.to(made)
        client.writer.write(ask("post"))
        leave(client)
        await asyncio.sleep(0.01)
        made.frontend._watch_listener()
        await until(lambda: made.runtime._last_request_id == 1 or leave is reset)
        await forgotten(made)
        assert server.connections == 0
        assert not made.backends._open

    run(scenario())


@ways
def test_in_the_turn_in_which_its_connection_comes_up(leave: Leave, monkeypatch: pytest.MonkeyPatch) -> None:
    held = held_dials(monkeypatch)

    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address)
        sock = socket.create_connection(made.frontend.address)
        client = Client(*await asyncio.open_connection(sock=sock))
        client.writer.write(ask("post"))
        await until(lambda: bool(held))
        (connection,) = made.frontend.clients.open
        assert connection.transport is not None
        connection.transport.pause_reading()  # the end stays unread, as behind a turn's other work
        leave(client)
        await asyncio.sleep(0.01)
        held[0]()
        connection.transport.resume_reading()
        await forgotten(made)
        assert server.requests == []
        assert not made.backends._open

    run(scenario())


@ways
@pytest.mark.parametrize("ahead", [b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n" * 8, b"\x00\r\n\r\n"])
def test_before_a_further_attempt_while_it_is_not_read(
    leave: Leave, ahead: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # What it wrote ahead, good or bad, ends the reading; the attempt's outcome comes before any look.
    async def scenario() -> None:
        release = asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            peer.requests.append(await reader.readuntil(b"\r\n\r\n"))
            await release.wait()
            writer.write(NOT_RUN)
            await reader.read()

        monkeypatch.setattr(frontend, "TIMEOUT_CHECK_INTERVAL_S", 0.1)
        server = await Peer(script).start()
        made = gateway(server.address, server.address)
        checked: Any = made.frontend._check_timeouts
        monkeypatch.setattr(made.frontend, "_check_timeouts", lambda: None)
        client = await Client.to(made)
        client.writer.write(ask("post") + ahead)
        await until(
            lambda: any(c.reading_paused for c in made.frontend.clients.open) and len(server.requests) == 1
        )
        leave(client)
        await asyncio.sleep(0.01)
        release.set()
        await until(lambda: not made.runtime._in_flight and not made.runtime._policy.in_flight)
        assert len(server.requests) == 1
        checked()
        await forgotten(made)

    run(scenario())


async def held_back() -> tuple[Peer, asyncio.Event, asyncio.Event]:
    """A counter that nobody else uses, whether it was asked, and when it may answer."""
    asked, go_on = asyncio.Event(), asyncio.Event()

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        while line := await reader.readline():
            asked.set()
            await go_on.wait()
            writer.write(b"ok %b\r\n" % line.split()[2])

    return await Peer(script).start(), asked, go_on


def stop_reading(made: Gateway) -> list[ClientConnection]:
    """What the clients do next stays unread, as behind a turn's other work."""
    for connection in (connections := list(made.frontend.clients.open)):
        assert connection.transport is not None
        connection.transport.pause_reading()
    return connections


def go_on_reading(connections: list[ClientConnection]) -> None:
    for connection in connections:
        if connection.transport is not None:
            connection.transport.resume_reading()


@ways
@pytest.mark.parametrize("ending", [False, True])
def test_behind_the_turn_that_reads_the_counter(leave: Leave, ending: bool) -> None:
    # One reading admits several requests; the ends of all their connections lie unread meanwhile.
    async def scenario() -> None:
        (counter, asked, go_on), server = await held_back(), await answering(OK)
        family = SETTINGS["specifics"] | {"has-counter": True, "count-wait-ns": 20_000_000_000}
        tariffs = [SETTINGS["tariffs"][0], SETTINGS["tariffs"][1] | {"most-at-once": 60.0}]
        made = gateway(
            server.address,
            settings=SETTINGS | {"peers-total": 30, "specifics": family, "tariffs": tariffs},
            counter=f"{counter.address[0]}:{counter.address[1]}",
        )
        clients = [await Client.to(made) for _ in range(8)]
        for client in clients:
            client.writer.write(ask(X_Contract="small", X_Metering="units=6,spread=30,first=1"))
        await asked.wait()
        await until(lambda: len(made.runtime._in_flight) == len(clients))
        if ending:
            made.frontend.begin_shutdown()
        connections = stop_reading(made)
        for client in clients:
            leave(client)
        go_on.set()
        await until(lambda: not made.runtime._in_flight and not made.runtime._policy.in_flight)
        go_on_reading(connections)
        await forgotten(made)
        assert server.connections == 0
        assert not made.backends._open
        if ending:
            await made.ended()

    run(scenario())


class Raw:
    """A client on a plain blocking socket: what it does has been done when the call returns."""

    def __init__(self, made: Gateway, request: bytes) -> None:
        self.socket = socket.create_connection(made.frontend.address)
        self.socket.sendall(request)

    def close(self) -> None:
        self.socket.close()

    def half_close(self) -> None:
        self.socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


at_once = pytest.mark.parametrize("leave", [Raw.close, Raw.half_close, Raw.reset])


@at_once
def test_as_its_request_is_assigned_behind_a_turns_other_work(leave: Callable[[Raw], None]) -> None:
    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address)
        client = Raw(made, ask("post"))
        assign = made.runtime._action_handlers[interface.Assign]

        def leaves_before(action: interface.Assign) -> None:
            leave(client)  # the loop has no turn between this and the attempt
            assign(action)

        made.runtime._action_handlers[interface.Assign] = leaves_before
        await until(lambda: made.runtime._last_request_id == 1)
        await forgotten(made)
        assert server.connections == 0

    run(scenario())


@at_once
def test_as_the_answer_is_read_behind_which_it_would_be_tried_again(
    leave: Callable[[Raw], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        server = await answering(NOT_RUN)
        made = gateway(server.address, server.address)
        clients = [Raw(made, ask("post"))]
        ended: Any = made.runtime._attempt_ended

        def leaves_before(*told: Any) -> None:
            if clients:
                leave(clients.pop())
            ended(*told)

        monkeypatch.setattr(made.runtime, "_attempt_ended", leaves_before)
        await until(lambda: made.runtime._last_request_id == 1)
        await forgotten(made)
        assert len(server.requests) == 1

    run(scenario())


@at_once
@pytest.mark.parametrize("ending", [False, True])
def test_in_the_backlog_of_a_full_table(
    leave: Callable[[Raw], None], ending: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        backend, "MIN_IDLE_BEFORE_REUSE_NS", 0
    )  # an idle connection takes the request in the same turn

    async def scenario() -> None:
        server, release = await holding()
        made = gateway(server.address, limits={"sockets": 64})
        taken = [await Client.to(made) for _ in range(made.frontend.clients.budget)]
        for client in taken:
            client.writer.write(ask("post"))
        await until(lambda: len(server.requests) == len(taken))
        late = Raw(made, ask("post"))
        leave(late)
        if ending:
            made.frontend.begin_shutdown()
        release.set()
        for client in taken:
            assert (await client.answer())[0] == 200
            client.writer.close()
        await until(lambda: made.runtime._last_request_id == len(taken) + 1 or leave is Raw.reset)
        await forgotten(made)
        assert len(server.requests) == len(taken)

    run(scenario())


def before_assign(made: Gateway, which: int, what: Callable[[], None]) -> list[interface.Assign]:
    """Do something as one of the attempts is assigned: the loop has no turn between this and the attempt."""
    assign, seen = made.runtime._action_handlers[interface.Assign], list[interface.Assign]()

    def assigned(action: interface.Assign) -> None:
        seen.append(action)
        if len(seen) == which:
            what()
        assign(action)

    made.runtime._action_handlers[interface.Assign] = assigned
    return seen


QUICK = 8  # answers that show the servers not to be pressed: only then is an attempt followed by another


@at_once
@pytest.mark.parametrize("ending", [False, True])
@pytest.mark.parametrize("hedging", [True, False], ids=["hedge", "called off"])
def test_as_an_answer_is_overdue(leave: Callable[[Raw], None], ending: bool, hedging: bool) -> None:
    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            while True:
                peer.requests.append(await read_message(reader))
                if len(peer.requests) <= QUICK:
                    writer.write(OK)

        server = await Peer(script).start()
        limits = SETTINGS["limits"] | {"second-copies": hedging}
        made = gateway(server.address, server.address, settings=SETTINGS | {"limits": limits})
        client = await Client.to(made)
        for _ in range(QUICK):
            assert (await client.send(ask()))[0] == 200
        client.writer.close()
        late = Raw(made, ask())
        seen = before_assign(made, 2, lambda: leave(late))
        await until(lambda: len(server.requests) == QUICK + 1)
        if ending:
            made.frontend.begin_shutdown()
        await forgotten(made)
        assert len(seen) == 2
        assert len(server.requests) == QUICK + 1

    run(scenario())


@at_once
def test_while_the_connection_of_a_further_attempt_comes_up(
    leave: Callable[[Raw], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    held = held_dials(monkeypatch)

    async def scenario() -> None:
        server = await answering(NOT_RUN)
        made = gateway(server.address, server.address)
        client = Raw(made, ask("post"))
        await until(lambda: bool(held))
        held.pop()()
        await until(lambda: bool(held))
        connections = stop_reading(made)
        leave(client)
        held.pop()()  # the loop has no turn between the two
        go_on_reading(connections)
        await forgotten(made)
        assert len(server.requests) == 1

    run(scenario())


async def fill(made: Gateway, sock: socket.socket, ahead: bytes) -> None:
    """Send more than the system takes in of a connection that is not read."""
    sock.setblocking(False)
    sock.send(ahead * 1000)
    await until(lambda: any(client.reading_paused for client in made.frontend.clients.open))
    with contextlib.suppress(BlockingIOError):
        while True:
            sock.send(ahead * 1000)


@at_once
@pytest.mark.parametrize("ahead", [b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", b"\x00" * 40])
def test_behind_more_than_the_system_takes_in_unread(leave: Callable[[Raw], None], ahead: bytes) -> None:
    # The close is behind it: the system hears of none before there is room for what was sent ahead of it.
    async def scenario() -> None:
        release = asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            peer.requests.append(await read_message(reader))
            await release.wait()
            writer.write(NOT_RUN)
            await reader.read()

        server = await Peer(script).start()
        made = gateway(server.address, server.address)
        client = Raw(made, ask("post"))
        await until(lambda: len(server.requests) == 1)
        await fill(made, client.socket, ahead)
        leave(client)
        release.set()
        await until(lambda: not made.runtime._in_flight and not made.runtime._policy.in_flight)
        assert len(server.requests) == 1

    run(scenario())


def test_one_that_may_have_left_unseen_is_refused_where_nothing_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # It counted as failed for attempts that had met nobody.
    async def scenario() -> None:
        made = gateway(closed_address(), closed_address())
        asked: list[ClientConnection] = []

        def hidden(connection: ClientConnection) -> bool:
            asked.append(connection)
            return len(asked) > 2  # after the first attempt's two looks at the most

        monkeypatch.setattr(ClientConnection, "disconnect_may_be_hidden", hidden)
        status, head, _ = await (await Client.to(made)).send(ask("post"))
        assert len(asked) > 2
        assert status == 429
        assert b"Retry-After" in head

    run(scenario())


def closed_address() -> Address:
    return ("127.0.0.1", closed_port())


def test_one_that_may_have_left_unseen_gets_the_answer_of_the_attempt_that_is_out() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            while True:
                peer.requests.append(await read_message(reader))
                if len(peer.requests) > QUICK:
                    await release.wait()
                writer.write(OK)

        server = await Peer(script).start()
        made = gateway(server.address, server.address)
        client = await Client.to(made)
        for _ in range(QUICK):
            assert (await client.send(ask()))[0] == 200
        client.writer.close()
        late = Raw(made, ask())
        await until(lambda: len(server.requests) == QUICK + 1)
        seen = before_assign(made, 2, lambda: None)
        await fill(made, late.socket, b"\x00" * 40)
        await until(lambda: len(seen) == 1)  # a hedge was decided
        release.set()
        assert (await asyncio.get_running_loop().sock_recv(late.socket, 12)) == b"HTTP/1.1 200"
        assert len(server.requests) == QUICK + 1
        late.close()

    run(scenario())


def test_each_request_of_one_that_writes_far_ahead_and_stays_is_answered() -> None:
    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address)
        client, count = await Client.to(made), 600
        client.writer.write(b"".join(ask("post") for _ in range(count)))
        statuses = [(await client.answer())[0] for _ in range(count)]
        assert set(statuses) <= {200, 429}  # 429 while its end would have been hidden
        assert statuses.count(200) == len(server.requests)
        assert statuses[-1] == 200
        assert (await client.send(ask("post")))[0] == 200

    run(scenario())
