"""System calls that fail for a moment, in the ways that Linux documents, on each kind of connection."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import os
import re
import select
import socket
from collections.abc import Callable
from typing import Any

import pytest

from gingerworks import interface
from gingerworks.gateway import client as client_module
from gingerworks.gateway import client_table, clock, dial, discovery, frontend, read_retry, shutdown
from gingerworks.gateway import counter as counter_module
from gingerworks.gateway.__main__ import Gateway
from gingerworks.gateway.discovery import change_from
from tests.fault_injection import Call, Fault, FaultySocket, FaultySocketModule
from tests.loopback import (
    BODY,
    OK,
    SETTINGS,
    Client,
    Peer,
    Reader,
    Writer,
    answering_server,
    build_request,
    closed_port,
    entry,
    gateway,
    listing,
    read_message,
    run,
    wait_until,
)
from tests.support import MS, SECOND, policy_with_servers, request
from tests.test_full_client_table import HEALTH
from tests.test_gateway_attempts import Results, make_attempt, make_backends, run_attempt
from tests.test_gateway_counter import answer_each_call, make_counter_client, start_peer
from tests.test_gateway_counter import call as counted
from tests.test_gateway_discovery import line, watching

FOR_GOOD = 1 << 30


def injected(monkeypatch: pytest.MonkeyPatch, *faults: Fault, **sizes: int) -> FaultySocketModule:
    """FaultySocketModule in the sockets that lead to servers and to the counter."""
    made = FaultySocketModule(*faults, **sizes)
    monkeypatch.setattr(dial, "socket", made)
    return made


def left_out(made: Gateway) -> list[str]:
    """The servers that are held to accept no connection, or to fail."""
    servers = made.runtime._policy.servers.backends.values()
    return [server.entry.name for server in servers if server.unreachable_until_ns or server.ejected_until_ns]


def failing(name: str) -> Callable[..., None]:
    """A method of the loop that finds no memory."""

    def method(*arguments: object) -> None:
        raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM), name)

    return method


def shown(value: object) -> str:
    """A parameter in a test's name."""
    if isinstance(value, Call):
        return value.name
    return errno.errorcode[value] if isinstance(value, int) and not isinstance(value, bool) else str(value)


HERE = [
    *((Call.SOCKET, code) for code in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)),
    *((Call.SETSOCKOPT, code) for code in (errno.ENOBUFS, errno.ENOMEM)),
    *((Call.CONNECT, code) for code in (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EADDRINUSE)),
    *((Call.CONNECT, code) for code in (errno.EPERM, errno.EACCES, errno.ENOBUFS, errno.ENOMEM)),
    *((Call.CONNECT, code) for code in (errno.ENETUNREACH, errno.ENETDOWN)),
    *((Call.GETSOCKOPT, code) for code in (errno.ENOBUFS, errno.ENOMEM)),
    *((Call.SO_ERROR, code) for code in (errno.ENOBUFS, errno.EADDRNOTAVAIL)),
]


@pytest.mark.parametrize(("call", "code"), HERE, ids=shown)
def test_a_dial_that_fails_on_this_host_is_held_against_no_server(
    call: Call, code: int, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Each server that a shortage met was left out for a second and more, so the whole fleet seemed away.
    async def scenario() -> None:
        one, two = await answering_server(OK), await answering_server(OK)
        made = gateway(one.address, two.address)
        faults = injected(monkeypatch, Fault(call, code, times=FOR_GOOD))
        client = await Client.to(made)
        for _ in range(3):
            status, head, _ = await client.send(
                build_request("post")
            )  # may not run twice, so it must be known not to
            assert status == 503
            assert b"Retry-After" in head
        assert faults.call_counts[call] <= 3 * made._config.settings.limits.max_attempts  # no spin
        assert not left_out(made)
        assert faults.all_closed()
        assert not one.requests + two.requests
        said = [record for record in caplog.records if "cannot connect to servers" in record.message]
        if call in (Call.SOCKET, Call.SETSOCKOPT, Call.CONNECT):
            assert len(said) == 1
        faults.replace_faults([])
        for _ in range(8):
            assert (await client.send(build_request("post")))[0] == 200

    caplog.set_level(logging.INFO)
    run(scenario())


@pytest.mark.parametrize("code", [errno.EMFILE, errno.EADDRNOTAVAIL, errno.ENETUNREACH])
def test_after_a_dial_that_failed_on_this_host_the_request_is_served_by_the_next(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        made = gateway(server.address)
        call = Call.SOCKET if code == errno.EMFILE else Call.CONNECT
        faults = injected(monkeypatch, Fault(call, code, times=2))
        assert (await (await Client.to(made)).send(build_request("post")))[0] == 200
        assert faults.fault_counts[call] == 2
        assert len(server.requests) == 1

    run(scenario())


def test_a_loop_that_cannot_watch_a_dial_is_held_against_no_server(monkeypatch: pytest.MonkeyPatch) -> None:
    # The error left the constructor with the socket open.
    async def scenario() -> None:
        server = await answering_server(OK)
        made, faults = make_backends(server.address), injected(monkeypatch)
        with monkeypatch.context() as patch:
            patch.setattr(asyncio.get_running_loop(), "add_writer", failing("add_writer"))
            assert await run_attempt(made) is interface.Status.UNUSED
        assert faults.all_closed()
        assert not made._open
        assert await run_attempt(made) is interface.Status.DELIVERED

    run(scenario())


def test_a_loop_that_cannot_watch_a_new_connection_is_held_against_no_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The error escaped into the loop, and the attempt waited out its time on a connection nobody read.
    async def scenario() -> None:
        server = await answering_server(OK)
        made, faults = make_backends(server.address), injected(monkeypatch)
        with monkeypatch.context() as patch:
            patch.setattr(asyncio.get_running_loop(), "add_reader", failing("add_reader"))
            assert await run_attempt(made) is interface.Status.UNUSED
        assert faults.all_closed()
        assert not made._open
        assert await run_attempt(made) is interface.Status.DELIVERED

    run(scenario())


THERE = [
    *((Call.CONNECT, code) for code in (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT)),
    *((Call.SO_ERROR, code) for code in (errno.ECONNREFUSED, errno.ECONNRESET, errno.ETIMEDOUT)),
    *((Call.SO_ERROR, code) for code in (errno.EHOSTUNREACH, errno.ENETUNREACH)),
]


@pytest.mark.parametrize(("call", "code"), THERE, ids=shown)
def test_a_dial_that_fails_on_the_way_is_told_as_no_connection(
    call: Call, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        made, faults = make_backends(server.address), injected(monkeypatch, Fault(call, code))
        assert await run_attempt(made) is interface.Status.DIAL_FAILED
        assert faults.all_closed()
        assert await run_attempt(made) is interface.Status.DELIVERED

    run(scenario())


def test_a_connect_that_a_signal_interrupts_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    # It was taken for a server that accepts no connection, and the connection that came up was closed.
    async def scenario() -> None:
        server = await answering_server(OK)
        made = make_backends(server.address)
        injected(monkeypatch, Fault(Call.CONNECT, errno.EINTR))
        assert await run_attempt(made) is interface.Status.DELIVERED
        assert server.connections == 1

    run(scenario())


@pytest.mark.parametrize(
    ("call", "code", "kept"),
    [
        (Call.SOCKET, errno.EMFILE, False),
        (Call.SOCKET, errno.ENFILE, False),
        (Call.SOCKET, errno.ENOBUFS, True),
        (Call.CONNECT, errno.EADDRNOTAVAIL, True),
        (Call.CONNECT, errno.ENETUNREACH, True),
        (Call.CONNECT, errno.ECONNREFUSED, True),
    ],
    ids=shown,
)
def test_an_idle_connection_is_closed_only_for_its_descriptor(
    call: Call, code: int, kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # It may be the only way left to its server; any failed dial, also a refused one, closed the oldest.
    async def scenario() -> None:
        one, two = await answering_server(OK), await answering_server(OK)
        made = make_backends(one.address, two.address)
        assert await run_attempt(made) is interface.Status.DELIVERED
        injected(monkeypatch, Fault(call, code))
        ended: Results = []
        made.start(make_attempt(ended, "s1"))
        assert ended
        assert bool(made._idle.get("s0")) is kept
        assert await run_attempt(made, server="s1") is interface.Status.DELIVERED

    run(scenario())


def test_a_server_that_refuses_costs_no_idle_connection_to_another() -> None:
    # As above, by the kernel's own refusal.
    async def scenario() -> None:
        server = await answering_server(OK)
        made = make_backends(server.address, ("127.0.0.1", closed_port()))
        assert await run_attempt(made) is interface.Status.DELIVERED
        assert await run_attempt(made, server="s1") is interface.Status.DIAL_FAILED
        assert made._idle["s0"]

    run(scenario())


def test_a_table_of_connections_that_is_full_is_held_against_no_server() -> None:
    # Each server chosen while all descriptors for servers were in use was left out for a second and more.
    async def scenario() -> None:
        one, two = await answering_server(OK), await answering_server(OK)
        made = gateway(one.address, two.address)
        budget, made.backends._max_connections = made.backends._max_connections, 0
        client = await Client.to(made)
        status, head, _ = await client.send(build_request("post"))
        assert status == 503
        assert b"Retry-After" in head
        assert not left_out(made)
        made.backends._max_connections = budget
        assert (await client.send(build_request("post")))[0] == 200

    run(scenario())


@pytest.mark.parametrize(("call", "code"), HERE, ids=shown)
def test_a_dial_to_the_counter_that_fails_on_this_host_is_no_silence_of_the_counter(
    call: Call, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The pause before the next dial doubled up to a second, as for a counter that is away.
    now = [0]
    monkeypatch.setattr(clock, "now", lambda: now[0])

    async def scenario() -> None:
        faults = injected(monkeypatch, Fault(call, code, times=FOR_GOOD))
        peer = await start_peer(answer_each_call)
        made, told = make_counter_client(peer.address)
        for _ in range(8):
            before = len(told)
            for number in range(100):
                made.call(counted(number))
            await wait_until(lambda: len(told) == before + 100)  # noqa: B023
            now[0] += 3 * counter_module.MIN_RECONNECT_DELAY_NS // 2
        assert {answer.status for answer in told} == {interface.Status.UNUSED}
        assert faults.call_counts[call] == 8  # one dial for each pause, however many calls
        assert faults.all_closed()
        faults.replace_faults([])
        made.call(counted(1000))
        await wait_until(lambda: len(told) == 801)
        assert told[-1].status is interface.Status.DELIVERED

    run(scenario())


def test_a_loop_that_cannot_watch_the_counter_ends_that_connection_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The error left the loop's callback: the socket stayed open, and calls waited there for their time.
    now = [0]
    monkeypatch.setattr(clock, "now", lambda: now[0])

    async def scenario() -> None:
        faults, peer = injected(monkeypatch), await start_peer(answer_each_call)
        made, told = make_counter_client(peer.address)
        with monkeypatch.context() as patch:
            patch.setattr(asyncio.get_running_loop(), "add_reader", failing("add_reader"))
            made.call(counted(1))
            await wait_until(lambda: bool(told))
        assert told[0].status is interface.Status.UNUSED
        assert faults.all_closed()
        now[0] += 2 * counter_module.MIN_RECONNECT_DELAY_NS
        made.call(counted(2))
        await wait_until(lambda: len(told) == 2)
        assert told[1].status is interface.Status.DELIVERED

    run(scenario())


@pytest.mark.parametrize("refused", [True, False])
def test_a_counter_that_refuses_is_dialled_less_and_less(
    refused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        code = errno.ECONNREFUSED if refused else errno.ETIMEDOUT
        injected(monkeypatch, Fault(Call.SO_ERROR, code, times=FOR_GOOD))
        peer = await start_peer(answer_each_call)
        made, told = make_counter_client(peer.address)
        made.call(counted(1))
        await wait_until(lambda: len(told) == 1)
        assert told[0].status is interface.Status.DIAL_FAILED
        assert made._reconnect_delay_ns == 2 * counter_module.MIN_RECONNECT_DELAY_NS

    run(scenario())


def test_calls_that_never_left_do_not_make_others_rarer() -> None:
    # The counter was asked less often for a shortage of this host, as if it had been late.
    policy = policy_with_servers()
    before = policy.quotas.read_fraction
    for number in range(8):
        event = request(number, plan="small", customer=f"c{number}", units=4.0, entries=200)
        for action in policy.handle(number * MS, [event]):
            if isinstance(action, interface.Count):
                policy.handle(number * MS, [interface.Counted(action.name, interface.Status.UNUSED, 0.0, 0)])
    assert policy.quotas.read_fraction == before


@pytest.mark.parametrize("first", [1, 3])
@pytest.mark.parametrize(
    ("code", "status"),
    [
        (errno.EAGAIN, interface.Status.DELIVERED),
        (errno.EINTR, interface.Status.DELIVERED),
        (errno.ENOBUFS, interface.Status.UNUSED),
        (errno.ENOMEM, interface.Status.UNUSED),
        (errno.EPIPE, interface.Status.DIAL_FAILED),
        (errno.ECONNRESET, interface.Status.DIAL_FAILED),
        (errno.ETIMEDOUT, interface.Status.DIAL_FAILED),
        (errno.EHOSTUNREACH, interface.Status.DIAL_FAILED),
        (errno.ENETUNREACH, interface.Status.DIAL_FAILED),
    ],
    ids=shown,
)
def test_a_request_that_cannot_be_written_whole_never_ran(
    code: int, status: interface.Status, first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A signal, or a moment without buffers, was taken for a server that accepts no connection.
    async def scenario() -> None:
        server = await answering_server(OK)
        made = make_backends(server.address)
        faults = injected(monkeypatch, Fault(Call.SEND, code, first=first), max_sent=16)
        assert await run_attempt(made) is status
        if status is not interface.Status.DELIVERED:
            assert faults.all_closed()
            assert not server.requests
            assert await run_attempt(made) is interface.Status.DELIVERED

    run(scenario())


@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM], ids=shown)
def test_a_host_without_buffers_refuses_and_blames_no_server(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        one, two = await answering_server(OK), await answering_server(OK)
        made = gateway(one.address, two.address)
        faults = injected(monkeypatch, Fault(Call.SEND, code, times=FOR_GOOD))
        client = await Client.to(made)
        status, head, _ = await client.send(build_request("post"))
        assert status == 503
        assert b"Retry-After" in head
        assert faults.call_counts[Call.SEND] <= made._config.settings.limits.max_attempts  # no spin
        assert not left_out(made)
        faults.replace_faults([])
        assert (await client.send(build_request("post")))[0] == 200
        assert len(one.requests + two.requests) == 1

    run(scenario())


BARE = b"HTTP/1.1 200 OK\r\n\r\n" + BODY


@pytest.mark.parametrize("answer", [OK, BARE], ids=["a length", "no length"])
@pytest.mark.parametrize("first", [1, 3])
@pytest.mark.parametrize(
    ("code", "status"),
    [
        (errno.EAGAIN, interface.Status.DELIVERED),
        (errno.EINTR, interface.Status.DELIVERED),
        (errno.ENOBUFS, interface.Status.DELIVERED),
        (errno.ENOMEM, interface.Status.DELIVERED),
        (errno.ECONNRESET, interface.Status.DROPPED),
        (errno.ETIMEDOUT, interface.Status.DROPPED),
        (errno.EHOSTUNREACH, interface.Status.DROPPED),
    ],
    ids=shown,
)
def test_an_answer_is_read_past_what_lasts_for_a_moment_and_cut_by_what_breaks(
    code: int, status: interface.Status, first: int, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A signal, or a moment without memory, was taken for a reset: an answer that was there was lost.
    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            peer.requests.append(await read_message(reader))
            writer.write(answer)

        server = await Peer(script).start()
        injected(monkeypatch, Fault(Call.RECV, code, first=first), max_received=16)
        made, ended = make_backends(server.address), Results()
        made.start(make_attempt(ended))
        await wait_until(lambda: bool(ended))
        got = ended[0]
        assert got[0] is status
        assert len(server.requests) == 1
        if status is interface.Status.DELIVERED:
            assert got[1] is not None
            assert got[1].body == BODY

    run(scenario())


@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM], ids=shown)
def test_a_lasting_want_of_buffers_at_a_server_is_met_by_pauses(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Each turn of the loop tried anew, with all of a core, until the attempt's time was over.
    monkeypatch.setattr(read_retry, "SHORTAGE_RETRY_DELAY_S", 3600.0)

    async def scenario() -> None:
        server = await answering_server(OK)
        faults = injected(monkeypatch, Fault(Call.RECV, code, times=FOR_GOOD))
        made, ended = make_backends(server.address), Results()
        made.start(make_attempt(ended))
        await wait_until(lambda: faults.fault_counts[Call.RECV] > 0)
        await asyncio.sleep(0.05)
        assert faults.fault_counts[Call.RECV] == 1
        faults.replace_faults([])
        (connection,) = made._open
        assert connection.socket is not None
        read_retry.retry_read(made.loop, connection.socket, connection.on_readable, lambda: True)
        await wait_until(lambda: bool(ended))
        assert ended[0][0] is interface.Status.DELIVERED

    run(scenario())


@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM], ids=shown)
def test_a_lasting_want_of_buffers_for_the_counters_answers_is_met_by_pauses(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(read_retry, "SHORTAGE_RETRY_DELAY_S", 3600.0)

    async def scenario() -> None:
        faults = injected(monkeypatch, Fault(Call.RECV, code, times=FOR_GOOD))
        peer = await start_peer(answer_each_call)
        made, _ = make_counter_client(peer.address)
        made.call(counted(1, 1.5))
        await wait_until(lambda: faults.fault_counts[Call.RECV] > 0)
        await asyncio.sleep(0.05)
        assert faults.fault_counts[Call.RECV] == 1
        made.close()

    run(scenario())


def test_requests_and_answers_pass_byte_by_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        made = gateway(server.address)
        injected(monkeypatch, max_sent=1, max_received=1)
        client = await Client.to(made)
        for _ in range(3):
            request = build_request("post", body=b"some bytes")
            for place in range(len(request)):
                client.writer.write(request[place : place + 1])
                await client.writer.drain()
                await asyncio.sleep(0)
            status, _, body = await client.answer()
            assert (status, body) == (200, BODY)
        assert [message.endswith(b"some bytes") for message in server.requests] == [True] * 3

    run(scenario())


def listening(monkeypatch: pytest.MonkeyPatch, made: Gateway, *faults: Fault) -> FaultySocketModule:
    """FaultySocketModule in the sockets of clients, and in the listener that a gateway has opened already."""
    injected_here = FaultySocketModule(*faults)
    listener = made.frontend._listener
    assert listener is not None
    faulty = FaultySocket(injected_here, listener.family, listener.type, fileno=listener.detach())
    made.frontend._listener = faulty
    return injected_here


NO_SHORTAGE = [
    *(errno.ECONNABORTED, errno.EPROTO, errno.EINTR, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN),
    *(errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.EPERM),
]


async def resting_and_waiting(made: Gateway) -> tuple[Client, list[Client]]:
    """A client that rests after an answer, and others that have connected and are not accepted yet."""
    resting = await Client.to(made)
    assert (await resting.send(HEALTH))[0] == 200
    made.frontend._unwatch_listener()
    return resting, [await Client.to(made) for _ in range(3)]


@pytest.mark.parametrize("code", NO_SHORTAGE, ids=shown)
def test_a_connection_that_ends_before_it_is_accepted_costs_no_other(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Clients between requests were closed, and nobody was accepted for 20 ms, though nothing was short.
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        made = gateway()
        resting, waiting = await resting_and_waiting(made)
        listening(monkeypatch, made, Fault(Call.ACCEPT, code, times=2))
        assert made.frontend._accept_batch()  # nobody waits any more
        assert len(made.frontend.clients.open) == 4
        for client in [resting, *waiting]:
            assert (await client.send(HEALTH))[0] == 200

    run(scenario())


def test_connections_that_end_before_they_are_accepted_do_not_hold_up_a_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        made = gateway()
        faults = listening(monkeypatch, made, Fault(Call.ACCEPT, errno.ECONNABORTED, times=FOR_GOOD))
        assert not made.frontend._accept_batch()
        assert faults.call_counts[Call.ACCEPT] == frontend.ACCEPTS_PER_TURN

    run(scenario())


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM], ids=shown)
def test_a_shortage_at_accept_makes_room_and_is_told_once(
    code: int, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # One line came with each pause of 20 ms, and said nothing of what to do.
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        made = gateway()
        resting, waiting = await resting_and_waiting(made)
        faults = listening(monkeypatch, made, Fault(Call.ACCEPT, code, times=FOR_GOOD))
        assert not made.frontend._accept_batch()
        assert not made.frontend._listener_watched  # no spin
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await resting.send(HEALTH)
        await wait_until(lambda: faults.call_counts[Call.ACCEPT] >= 5)  # again and again, with pauses between
        (said,) = [record.message for record in caplog.records if record.message.startswith("accept")]
        assert f"[Errno {code}]" in said
        assert ";" in said  # what can be done about it
        faults.replace_faults([])
        for client in waiting:
            assert (await client.send(HEALTH))[0] == 200

    run(scenario())


def test_a_fault_of_the_listener_that_is_no_shortage_closes_no_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        made = gateway()
        resting, waiting = await resting_and_waiting(made)
        faults = listening(monkeypatch, made, Fault(Call.ACCEPT, errno.EINVAL))
        assert not made.frontend._accept_batch()
        assert faults.call_counts[Call.ACCEPT] == 1  # no spin
        for client in [resting, *waiting]:
            assert (await client.send(HEALTH))[0] == 200

    run(scenario())


def test_a_gateway_without_descriptors_ends_where_nobody_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    # accept fails for want of a descriptor before it looks whether anybody waits: the end never came.
    monkeypatch.setattr(shutdown, "QUIET_PERIOD_NS", 10 * MS)

    async def scenario() -> None:
        made = gateway()
        listening(monkeypatch, made, Fault(Call.ACCEPT, errno.ENFILE, times=FOR_GOOD))
        made.frontend.begin_shutdown()
        await made.wait_and_close()
        assert clock.now() < made.frontend._shutdown.schedule.answers_due_ns

    run(scenario())


@pytest.mark.parametrize("call", [Call.SETBLOCKING, Call.SETSOCKOPT], ids=shown)
@pytest.mark.parametrize("code", [errno.EINVAL, errno.ENOBUFS, errno.ENOMEM], ids=shown)
def test_a_request_on_a_socket_that_takes_no_options_is_answered(
    call: Call, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The error left the loop's callback; the socket stayed open, unread, in no table.
    async def scenario() -> None:
        server = await answering_server(OK)
        made = gateway(server.address)
        _, waiting = await resting_and_waiting(made)
        faults = listening(monkeypatch, made, Fault(call, code, times=FOR_GOOD))
        for client in waiting:
            client.writer.write(build_request("post"))
        assert made.frontend._accept_batch()
        assert len(made.frontend.clients.open) == 4
        for client in waiting:
            assert (await client.answer())[0] == 200
            assert (await client.send(build_request("post")))[0] == 200
            client.writer.close()
        await wait_until(faults.all_closed)
        assert len(made.frontend.clients.open) == 1

    run(scenario())


def test_a_connection_that_cannot_be_attached_is_closed_and_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        made = gateway()
        _, waiting = await resting_and_waiting(made)
        faults = listening(monkeypatch, made)

        async def attach(*arguments: object) -> None:
            raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))

        with monkeypatch.context() as patch:
            patch.setattr(made.frontend.loop, "connect_accepted_socket", attach)
            assert made.frontend._accept_batch()
            await wait_until(lambda: len(made.frontend.clients.open) == 1)
        assert faults.all_closed()
        for client in waiting:
            assert await client.reader.read() == b""
        assert (await (await Client.to(made)).send(HEALTH))[0] == 200

    run(scenario())


def test_a_loop_that_cannot_watch_the_listener_tries_again(monkeypatch: pytest.MonkeyPatch) -> None:
    # The listener counted as watched from then on, and nobody was accepted any more.
    async def scenario() -> None:
        made = gateway()
        await resting_and_waiting(made)
        with monkeypatch.context() as patch:
            patch.setattr(made.frontend.loop, "add_reader", failing("add_reader"))
            with contextlib.suppress(OSError):
                made.frontend._watch_listener()
        assert (await (await Client.to(made)).send(HEALTH))[0] == 200

    run(scenario())


async def come_but_not_read(
    monkeypatch: pytest.MonkeyPatch, made: Gateway, asked: bool
) -> tuple[Client, FaultySocketModule]:
    """A client whose next request lies in the gateway's kernel buffer, unread, and its socket's faults."""
    faults = listening(monkeypatch, made)
    client = await Client.to(made)
    if asked:
        assert (await client.send(HEALTH))[0] == 200
    await wait_until(lambda: [c.transport is not None for c in made.frontend.clients.open] == [True])
    sock: socket.socket = client.writer.get_extra_info("socket")
    os.write(sock.fileno(), build_request("post"))  # before the loop turns again
    return client, faults


def room_is_made(made: Gateway) -> None:
    made.frontend.clients.make_room()


def the_end_begins(made: Gateway) -> None:
    made.frontend.begin_shutdown()


def it_has_rested_for_long(made: Gateway) -> None:
    (client,) = made.frontend.clients.open
    client.check_timeouts(client.state_since_ns + 60 * SECOND)


CLOSES = [room_is_made, the_end_begins, it_has_rested_for_long]


@pytest.mark.parametrize("asked", [False, True])
@pytest.mark.parametrize("closes", CLOSES)
@pytest.mark.parametrize("code", [errno.EINTR, errno.ENOBUFS, errno.ENOMEM], ids=shown)
def test_a_request_that_the_system_cannot_tell_of_for_a_moment_is_answered(
    code: int, closes: Callable[[Gateway], None], asked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Any error of the look for unread bytes was taken for "nothing has come", and the connection was closed.
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        server = await answering_server(OK)
        made = gateway(server.address)
        client, faults = await come_but_not_read(monkeypatch, made, asked)
        faults.replace_faults([Fault(Call.RECV, code)])
        closes(made)
        assert faults.fault_counts[Call.RECV] == 1
        assert (await client.answer())[0] == 200

    run(scenario())


@pytest.mark.parametrize("code", [errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH], ids=shown)
def test_a_connection_that_has_broken_holds_nothing_unread(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        made = gateway()
        client, faults = await come_but_not_read(monkeypatch, made, asked=True)
        faults.replace_faults([Fault(Call.RECV, code, times=FOR_GOOD)])
        made.frontend.clients.make_room()
        await wait_until(lambda: not made.frontend.clients.open)
        assert client.writer is not None

    run(scenario())


@pytest.mark.parametrize("code", [errno.EINTR, errno.ENOMEM, errno.EINVAL], ids=shown)
def test_a_request_whose_client_cannot_be_looked_at_is_answered(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The error ended the request: it was answered as failed, and its attempt never began.
    class Blind:
        """A poll object that fails."""

        def register(self, *arguments: object) -> None:
            pass

        def poll(self, timeout: float) -> list[tuple[int, int]]:
            raise OSError(code, os.strerror(code))

    class Select:
        """Stands for the module ``select``."""

        POLLRDHUP = select.POLLRDHUP
        poll = Blind

    async def scenario() -> None:
        server = await answering_server(OK)
        made = gateway(server.address)
        client = await Client.to(made)
        monkeypatch.setattr(client_module, "select", Select)
        for _ in range(2):
            assert (await client.send(build_request("post")))[0] == 200

    run(scenario())


@pytest.mark.parametrize("first", [1, 3])
@pytest.mark.parametrize(
    "code", [errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.ENFILE], ids=shown
)
def test_calls_of_the_counter_are_written_past_what_lasts_for_a_moment(
    code: int, first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The connection was given up, and with it each call that was out counted as one that may have been added.
    async def scenario() -> None:
        faults = injected(monkeypatch, Fault(Call.SEND, code, first=first, times=2), max_sent=7)
        peer = await start_peer(answer_each_call)
        made, told = make_counter_client(peer.address)
        for number in range(20):
            made.call(counted(number, number + 0.5))
        await wait_until(lambda: len(told) == 20)
        assert [(answer.status, answer.total) for answer in told] == [
            (interface.Status.DELIVERED, number + 0.5) for number in range(20)
        ]
        assert peer.connections == 1
        assert faults.fault_counts[Call.SEND] == 2
        assert peer.requests == [b"bump %d %d.5000000 60000\r\n" % (n, n) for n in range(20)]

    run(scenario())


def test_a_lasting_want_of_buffers_at_the_counter_is_met_by_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(counter_module, "SHORTAGE_RETRY_DELAY_S", 3600.0)

    async def scenario() -> None:
        faults = injected(monkeypatch, Fault(Call.SEND, errno.ENOBUFS, times=FOR_GOOD))
        peer = await start_peer(answer_each_call)
        made, told = make_counter_client(peer.address, 80 * MS)
        for number in range(20):
            made.call(counted(number))
        await wait_until(lambda: len(told) == 20)
        assert {answer.status for answer in told} == {
            interface.Status.DIAL_FAILED
        }  # not written: nothing added
        assert faults.call_counts[Call.SEND] == 1

    run(scenario())


@pytest.mark.parametrize("first", [1, 3])
@pytest.mark.parametrize("code", [errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM], ids=shown)
def test_answers_of_the_counter_are_read_past_what_lasts_for_a_moment(
    code: int, first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        injected(monkeypatch, Fault(Call.RECV, code, first=first), max_received=3)
        peer = await start_peer(answer_each_call)
        made, told = make_counter_client(peer.address)
        for number in range(20):
            made.call(counted(number, number + 0.5))
        await wait_until(lambda: len(told) == 20)
        assert [answer.total for answer in told] == [number + 0.5 for number in range(20)]
        assert {answer.status for answer in told} == {interface.Status.DELIVERED}
        assert peer.connections == 1

    run(scenario())


BROKEN = [errno.EPIPE, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH]


@pytest.mark.parametrize("code", BROKEN, ids=shown)
def test_a_connection_to_the_counter_that_breaks_in_a_line_tells_each_call_what_it_proves(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        line = len(counted_line())
        injected(monkeypatch, Fault(Call.SEND, code, first=2), max_sent=line + line // 2)

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            await reader.read()

        peer = await start_peer(script)
        made, told = make_counter_client(peer.address)
        made.call(counted(1))
        made.call(counted(2))
        await wait_until(lambda: len(told) == 2)
        assert [answer.status for answer in told] == [interface.Status.EXPIRED, interface.Status.DIAL_FAILED]

    run(scenario())


def counted_line() -> bytes:
    return b"bump 1 1.0000000 60000\r\n"


@pytest.mark.parametrize("code", [errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH], ids=shown)
def test_a_connection_to_the_counter_that_breaks_under_calls_may_have_added_them(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        faults = injected(monkeypatch, Fault(Call.RECV, code))
        peer = await start_peer(answer_each_call)
        made, told = make_counter_client(peer.address)
        made.call(counted(1))
        await wait_until(lambda: bool(told))
        assert told[0].status is interface.Status.EXPIRED
        assert faults.all_closed()

    run(scenario())


def test_a_call_that_was_told_as_not_added_is_not_written_later(monkeypatch: pytest.MonkeyPatch) -> None:
    # A call given up while its connection was coming up, or while nothing could be written, counted as one
    # that adds nothing, and was written and added all the same once the connection could carry it.
    async def scenario() -> None:
        faults = injected(monkeypatch, Fault(Call.SEND, errno.EAGAIN, times=FOR_GOOD))
        peer = await start_peer(answer_each_call)
        made, told = make_counter_client(peer.address, 80 * MS)
        made.call(counted(1))
        made.call(counted(2))
        await wait_until(lambda: len(told) == 2)
        assert {answer.status for answer in told} == {interface.Status.DIAL_FAILED}
        made._wait_s = 20.0
        faults.replace_faults([])
        made.call(counted(3))
        await wait_until(lambda: len(told) == 3)
        assert told[2].status is interface.Status.DELIVERED
        assert [line.split()[1] for line in peer.requests] == [b"3"]
        assert peer.connections == 1

    run(scenario())


def test_a_call_that_is_written_in_part_may_yet_be_added(monkeypatch: pytest.MonkeyPatch) -> None:
    # Given up in the middle of its line it counted as one that adds nothing, and the rest was written later.
    async def scenario() -> None:
        half = len(counted_line()) // 2
        fault = Fault(Call.SEND, errno.EAGAIN, first=2, times=FOR_GOOD)
        faults = injected(monkeypatch, fault, max_sent=half)
        peer = await start_peer(answer_each_call)
        made, told = make_counter_client(peer.address, 80 * MS)
        for number in (1, 2):
            made.call(counted(number))
        await wait_until(lambda: len(told) == 2)
        assert {answer.name: answer.status for answer in told} == {
            1: interface.Status.EXPIRED,
            2: interface.Status.DIAL_FAILED,
        }
        made._wait_s = 20.0
        faults.replace_faults([])
        made.call(counted(3))
        await wait_until(lambda: len(told) == 3)
        assert (told[2].name, told[2].status) == (3, interface.Status.DELIVERED)
        assert [line.split()[1] for line in peer.requests] == [b"1", b"3"]

    run(scenario())


@pytest.fixture
def pauses(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """The pauses between the calls of discovery, none of which is waited out."""
    taken: list[float] = []

    async def pause(seconds: float) -> None:
        taken.append(seconds)
        await asyncio.sleep(0)

    monkeypatch.setattr(discovery, "pause", pause)
    return taken


def dials_that_fail(monkeypatch: pytest.MonkeyPatch, code: int, times: int) -> None:
    """The first dials of any asyncio stream."""
    dial_stream, left = asyncio.open_connection, [times]

    async def dial(*arguments: Any) -> tuple[Reader, Writer]:
        if left[0]:
            left[0] -= 1
            raise OSError(code, os.strerror(code))
        return await dial_stream(*arguments)

    monkeypatch.setattr(asyncio, "open_connection", dial)


def first_reads_that_fail(monkeypatch: pytest.MonkeyPatch, code: int, times: int) -> None:
    """The first connections of any asyncio stream come up, and break at the first read."""
    dial_stream, left = asyncio.open_connection, [times]

    async def dial(*arguments: Any) -> tuple[Reader, Writer]:
        reader, writer = await dial_stream(*arguments)
        if left[0]:
            left[0] -= 1
            reader.set_exception(OSError(code, os.strerror(code)))
        return reader, writer

    monkeypatch.setattr(asyncio, "open_connection", dial)


WHOLE = [line(listing(entry("a", ("127.0.0.1", 1)), index=9))]


@pytest.mark.parametrize(
    "code",
    [
        *(errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN),
        *(errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ECONNREFUSED),
    ],
    ids=shown,
)
def test_a_watch_whose_dial_fails_is_opened_with_the_first_that_does_not(
    code: int,
    pauses: list[float],
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)

    async def scenario() -> None:
        dials_that_fail(monkeypatch, code, times=200)
        peer, told = await watching(WHOLE)
        await wait_until(lambda: bool(told))
        assert len(pauses) == 200
        assert all(0.5 <= seconds / discovery.REOPEN_DELAY_S <= 1.5 for seconds in pauses)
        assert peer.connections == 1
        assert peer.task is not None
        peer.task.cancel()

    run(scenario())
    (said,) = [record.message for record in caplog.records if "reopening the watch" in record.message]
    assert f"[Errno {code}]" in said


@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE], ids=shown)
def test_a_call_of_discovery_that_a_shortage_ends_is_no_refusal(
    code: int, pauses: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    # It was taken for a crowd at discovery: pauses grew to 3 s, as after calls that are turned away.
    async def scenario() -> None:
        first_reads_that_fail(monkeypatch, code, times=20)
        peer, told = await watching(*([[]] * 20), WHOLE)
        await wait_until(lambda: bool(told))
        assert max(pauses) <= 1.5 * discovery.REOPEN_DELAY_S
        assert peer.task is not None
        peer.task.cancel()

    run(scenario())


@pytest.mark.parametrize(
    ("code", "crowded"),
    [(errno.ECONNRESET, True), (errno.EHOSTUNREACH, True), (errno.ETIMEDOUT, False)],
    ids=shown,
)
def test_a_call_of_discovery_that_breaks_before_its_answer_is_a_refusal_unless_nobody_heard_it(
    code: int, crowded: bool, pauses: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    # ETIMEDOUT: nobody has acknowledged the call, which is silence and no crowd.
    async def scenario() -> None:
        first_reads_that_fail(monkeypatch, code, times=20)
        peer, told = await watching(*([[]] * 20), WHOLE)
        await wait_until(lambda: bool(told))
        least = 0.5 * discovery.MAX_REFUSED_DELAY_S if crowded else 0.0
        assert least <= max(pauses)
        assert max(pauses) <= (discovery.MAX_REFUSED_DELAY_S if crowded else 1.5 * discovery.REOPEN_DELAY_S)
        assert peer.task is not None
        peer.task.cancel()

    run(scenario())


SWEPT = [
    *((Call.SOCKET, code) for code in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)),
    *((Call.SETSOCKOPT, code) for code in (errno.EINVAL, errno.ENOBUFS)),
    *((Call.CONNECT, code) for code in (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ECONNREFUSED)),
    *((Call.CONNECT, code) for code in (errno.EINTR, errno.EAGAIN, errno.EPERM)),
    *((Call.SO_ERROR, code) for code in (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOBUFS)),
    *((Call.SEND, code) for code in (errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.EPIPE)),
    *((Call.SEND, code) for code in (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH)),
    *((Call.RECV, code) for code in (errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ECONNRESET)),
    *((Call.RECV, code) for code in (errno.ETIMEDOUT, errno.EHOSTUNREACH)),
    *((Call.ACCEPT, code) for code in (errno.ECONNABORTED, errno.EMFILE, errno.ENOBUFS, errno.EINTR)),
]


@pytest.mark.parametrize(("call", "code"), SWEPT, ids=shown)
def test_each_request_has_one_answer_and_no_second_run_whichever_call_fails(
    call: Call, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The same fault at each of the first calls of its kind, in turn, over all of a gateway's own sockets.
    # A newcomer may be closed for room after its grace, which a busy machine may use up; here nobody is.
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 1 << 62)

    async def scenario() -> None:
        one, two, told = (
            await answering_server(OK),
            await answering_server(OK),
            await start_peer(answer_each_call),
        )
        specifics = SETTINGS["specifics"] | {"has-counter": True, "count-wait-ns": 2_000_000_000}
        made = gateway(
            one.address,
            two.address,
            counter=f"127.0.0.1:{told.address[1]}",
            settings=SETTINGS | {"specifics": specifics},
        )
        faults = listening(monkeypatch, made)
        faults.max_sent, faults.max_received = 40, 40  # some calls to each message
        monkeypatch.setattr(dial, "socket", faults)
        for first in range(1, 9):
            made.backends.close()  # connections are made anew
            made.backends._idle.clear()
            faults.replace_faults([Fault(call, code, first=first, times=2)])
            clients = [await Client.to(made) for _ in range(3)]
            kinds = [build_request("post", X_Contract="small"), build_request("post"), build_request()]
            for client, asked in zip(clients, kinds, strict=True):
                client.writer.write(asked)
            for client in clients:
                status, head, _ = await client.answer()
                assert status in (200, 429, 502, 503)
                assert status in (200, 502) or b"Retry-After" in head
            for client in clients:
                client.writer.close()
            await wait_until(lambda: not made.frontend.clients.open)
        posts = [message for message in one.requests + two.requests if message.startswith(b"POST")]
        ids = [re.findall(rb"X-Correlation-Id: (\w+)", message)[0] for message in posts]
        assert len(ids) == len(set(ids))
        faults.replace_faults([])
        assert faults.fault_counts[call]
        made.runtime._policy.servers.backends.clear()  # what was learned of the servers, rightly or not
        made.runtime.update_servers(change_from(listing(entry("s9", one.address))))
        assert (await (await Client.to(made)).send(build_request("post")))[0] == 200

    run(scenario())
