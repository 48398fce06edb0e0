"""Tests of system calls that fail in the ways that Linux documents, on each kind of connection.

A shortage on this host must not count against a server, the counter or discovery; a temporary error must not
lose a connection; and no error may lead to a second run of a request or to a busy loop.
"""

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
from gingerworks.gateway.server_list import change_from
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
from tests.test_gateway_counter import call as counter_call
from tests.test_gateway_discovery import line, start_watched_discovery

FOREVER = 1 << 30


def inject_faults(monkeypatch: pytest.MonkeyPatch, *faults: Fault, **sizes: int) -> FaultySocketModule:
    """Inject faults into the sockets that lead to servers and to the counter."""
    faulty = FaultySocketModule(*faults, **sizes)
    monkeypatch.setattr(dial, "socket", faulty)
    return faulty


def avoided_servers(gw: Gateway) -> list[str]:
    """The servers that the policy avoids as unreachable or failing."""
    servers = gw.runtime._policy.servers.backends.values()
    return [server.entry.name for server in servers if server.unreachable_until_ns or server.ejected_until_ns]


def out_of_memory(name: str) -> Callable[..., None]:
    """A replacement for a method of the loop that fails for lack of memory."""

    def method(*arguments: object) -> None:
        raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM), name)

    return method


def parameter_id(value: object) -> str:
    """The id of a test's parameter."""
    if isinstance(value, Call):
        return value.name
    return errno.errorcode[value] if isinstance(value, int) and not isinstance(value, bool) else str(value)


LOCAL_FAILURES = [
    *((Call.SOCKET, code) for code in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)),
    *((Call.SETSOCKOPT, code) for code in (errno.ENOBUFS, errno.ENOMEM)),
    *((Call.CONNECT, code) for code in (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EADDRINUSE)),
    *((Call.CONNECT, code) for code in (errno.EPERM, errno.EACCES, errno.ENOBUFS, errno.ENOMEM)),
    *((Call.CONNECT, code) for code in (errno.ENETUNREACH, errno.ENETDOWN)),
    *((Call.GETSOCKOPT, code) for code in (errno.ENOBUFS, errno.ENOMEM)),
    *((Call.SO_ERROR, code) for code in (errno.ENOBUFS, errno.EADDRNOTAVAIL)),
]


@pytest.mark.parametrize(("call", "code"), LOCAL_FAILURES, ids=parameter_id)
def test_a_local_connect_failure_does_not_count_against_a_server(
    call: Call, code: int, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Each server whose connect failed for a local shortage was once avoided for a second and more, so that
    # all servers seemed to be unreachable.
    async def scenario() -> None:
        one, two = await answering_server(OK), await answering_server(OK)
        gw = gateway(one.address, two.address)
        faults = inject_faults(monkeypatch, Fault(call, code, times=FOREVER))
        client = await Client.to(gw)
        for _ in range(3):
            # An unsafe request may be refused only because it is known not to have run.
            status, head, _ = await client.send(build_request("post"))
            assert status == 503
            assert b"Retry-After" in head
        assert faults.call_counts[call] <= 3 * gw._config.settings.limits.max_attempts  # no busy loop
        assert not avoided_servers(gw)
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
def test_a_request_is_retried_after_a_local_connect_failure(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        call = Call.SOCKET if code == errno.EMFILE else Call.CONNECT
        faults = inject_faults(monkeypatch, Fault(call, code, times=2))
        assert (await (await Client.to(gw)).send(build_request("post")))[0] == 200
        assert faults.fault_counts[call] == 2
        assert len(server.requests) == 1

    run(scenario())


def test_a_loop_that_cannot_watch_a_connecting_socket_does_not_count_against_a_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The error once escaped from the constructor and left the socket open.
    async def scenario() -> None:
        server = await answering_server(OK)
        pool, faults = make_backends(server.address), inject_faults(monkeypatch)
        with monkeypatch.context() as patch:
            patch.setattr(asyncio.get_running_loop(), "add_writer", out_of_memory("add_writer"))
            assert await run_attempt(pool) is interface.Status.UNUSED
        assert faults.all_closed()
        assert not pool._open
        assert await run_attempt(pool) is interface.Status.DELIVERED

    run(scenario())


def test_a_loop_that_cannot_watch_a_new_connection_does_not_count_against_a_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The error once escaped into the loop, and the attempt timed out on a connection that nothing read.
    async def scenario() -> None:
        server = await answering_server(OK)
        pool, faults = make_backends(server.address), inject_faults(monkeypatch)
        with monkeypatch.context() as patch:
            patch.setattr(asyncio.get_running_loop(), "add_reader", out_of_memory("add_reader"))
            assert await run_attempt(pool) is interface.Status.UNUSED
        assert faults.all_closed()
        assert not pool._open
        assert await run_attempt(pool) is interface.Status.DELIVERED

    run(scenario())


REMOTE_FAILURES = [
    *((Call.CONNECT, code) for code in (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT)),
    *((Call.SO_ERROR, code) for code in (errno.ECONNREFUSED, errno.ECONNRESET, errno.ETIMEDOUT)),
    *((Call.SO_ERROR, code) for code in (errno.EHOSTUNREACH, errno.ENETUNREACH)),
]


@pytest.mark.parametrize(("call", "code"), REMOTE_FAILURES, ids=parameter_id)
def test_a_remote_connect_failure_ends_the_attempt_as_not_connected(
    call: Call, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        pool, faults = make_backends(server.address), inject_faults(monkeypatch, Fault(call, code))
        assert await run_attempt(pool) is interface.Status.DIAL_FAILED
        assert faults.all_closed()
        assert await run_attempt(pool) is interface.Status.DELIVERED

    run(scenario())


def test_a_connect_interrupted_by_a_signal_continues(monkeypatch: pytest.MonkeyPatch) -> None:
    # The interrupt once counted as a connect failure, and the connection was closed once established.
    async def scenario() -> None:
        server = await answering_server(OK)
        pool = make_backends(server.address)
        inject_faults(monkeypatch, Fault(Call.CONNECT, errno.EINTR))
        assert await run_attempt(pool) is interface.Status.DELIVERED
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
    ids=parameter_id,
)
def test_an_idle_connection_is_closed_only_to_free_a_descriptor(
    call: Call, code: int, kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # It may be the only way left to reach its server.  Any failed connect, even a refused one, once closed
    # the oldest idle connection.
    async def scenario() -> None:
        one, two = await answering_server(OK), await answering_server(OK)
        pool = make_backends(one.address, two.address)
        assert await run_attempt(pool) is interface.Status.DELIVERED
        inject_faults(monkeypatch, Fault(call, code))
        results: Results = []
        pool.start(make_attempt(results, "s1"))
        assert results
        assert bool(pool._idle.get("s0")) is kept
        assert await run_attempt(pool, server="s1") is interface.Status.DELIVERED

    run(scenario())


def test_a_refused_connect_does_not_close_an_idle_connection_to_another_server() -> None:
    # As above, with a refusal by the kernel instead of an injected one.
    async def scenario() -> None:
        server = await answering_server(OK)
        pool = make_backends(server.address, ("127.0.0.1", closed_port()))
        assert await run_attempt(pool) is interface.Status.DELIVERED
        assert await run_attempt(pool, server="s1") is interface.Status.DIAL_FAILED
        assert pool._idle["s0"]

    run(scenario())


def test_the_connection_limit_does_not_count_against_a_server() -> None:
    # Each server chosen while all connections to servers were in use was once avoided for a second and more.
    async def scenario() -> None:
        one, two = await answering_server(OK), await answering_server(OK)
        gw = gateway(one.address, two.address)
        budget, gw.backends._max_connections = gw.backends._max_connections, 0
        client = await Client.to(gw)
        status, head, _ = await client.send(build_request("post"))
        assert status == 503
        assert b"Retry-After" in head
        assert not avoided_servers(gw)
        gw.backends._max_connections = budget
        assert (await client.send(build_request("post")))[0] == 200

    run(scenario())


@pytest.mark.parametrize(("call", "code"), LOCAL_FAILURES, ids=parameter_id)
def test_a_local_connect_failure_does_not_count_as_a_silent_counter(
    call: Call, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The pause before the next connect once doubled up to a second, as for an unreachable counter.
    now = [0]
    monkeypatch.setattr(clock, "now", lambda: now[0])

    async def scenario() -> None:
        faults = inject_faults(monkeypatch, Fault(call, code, times=FOREVER))
        peer = await start_peer(answer_each_call)
        counter_client, answers = make_counter_client(peer.address)
        for _ in range(8):
            before = len(answers)
            for number in range(100):
                counter_client.call(counter_call(number))
            await wait_until(lambda: len(answers) == before + 100)  # noqa: B023
            now[0] += 3 * counter_module.MIN_RECONNECT_DELAY_NS // 2
        assert {answer.status for answer in answers} == {interface.Status.UNUSED}
        assert faults.call_counts[call] == 8  # one connect for each pause, however many calls
        assert faults.all_closed()
        faults.replace_faults([])
        counter_client.call(counter_call(1000))
        await wait_until(lambda: len(answers) == 801)
        assert answers[-1].status is interface.Status.DELIVERED

    run(scenario())


def test_a_loop_that_cannot_watch_the_counter_loses_that_connection_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The error once escaped from the loop's callback: the socket stayed open, and calls on it timed out.
    now = [0]
    monkeypatch.setattr(clock, "now", lambda: now[0])

    async def scenario() -> None:
        faults, peer = inject_faults(monkeypatch), await start_peer(answer_each_call)
        counter_client, answers = make_counter_client(peer.address)
        with monkeypatch.context() as patch:
            patch.setattr(asyncio.get_running_loop(), "add_reader", out_of_memory("add_reader"))
            counter_client.call(counter_call(1))
            await wait_until(lambda: bool(answers))
        assert answers[0].status is interface.Status.UNUSED
        assert faults.all_closed()
        now[0] += 2 * counter_module.MIN_RECONNECT_DELAY_NS
        counter_client.call(counter_call(2))
        await wait_until(lambda: len(answers) == 2)
        assert answers[1].status is interface.Status.DELIVERED

    run(scenario())


@pytest.mark.parametrize("refused", [True, False])
def test_connects_to_an_unreachable_counter_become_rarer(
    refused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        code = errno.ECONNREFUSED if refused else errno.ETIMEDOUT
        inject_faults(monkeypatch, Fault(Call.SO_ERROR, code, times=FOREVER))
        peer = await start_peer(answer_each_call)
        counter_client, answers = make_counter_client(peer.address)
        counter_client.call(counter_call(1))
        await wait_until(lambda: len(answers) == 1)
        assert answers[0].status is interface.Status.DIAL_FAILED
        assert counter_client._reconnect_delay_ns == 2 * counter_module.MIN_RECONNECT_DELAY_NS

    run(scenario())


def test_unsent_counter_calls_do_not_reduce_the_rate_of_calls() -> None:
    # A shortage on this host once made calls rarer, as if the counter had answered late.
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
    ids=parameter_id,
)
def test_a_request_that_cannot_be_fully_written_never_ran(
    code: int, status: interface.Status, first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A signal, or a temporary lack of buffers, once counted as a server that accepts no connection.
    async def scenario() -> None:
        server = await answering_server(OK)
        pool = make_backends(server.address)
        faults = inject_faults(monkeypatch, Fault(Call.SEND, code, first=first), max_sent=16)
        assert await run_attempt(pool) is status
        if status is not interface.Status.DELIVERED:
            assert faults.all_closed()
            assert not server.requests
            assert await run_attempt(pool) is interface.Status.DELIVERED

    run(scenario())


@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM], ids=parameter_id)
def test_a_request_without_send_buffers_is_refused_and_counts_against_no_server(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        one, two = await answering_server(OK), await answering_server(OK)
        gw = gateway(one.address, two.address)
        faults = inject_faults(monkeypatch, Fault(Call.SEND, code, times=FOREVER))
        client = await Client.to(gw)
        status, head, _ = await client.send(build_request("post"))
        assert status == 503
        assert b"Retry-After" in head
        assert faults.call_counts[Call.SEND] <= gw._config.settings.limits.max_attempts  # no busy loop
        assert not avoided_servers(gw)
        faults.replace_faults([])
        assert (await client.send(build_request("post")))[0] == 200
        assert len(one.requests + two.requests) == 1

    run(scenario())


UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n" + BODY


@pytest.mark.parametrize("answer", [OK, UNFRAMED], ids=["a length", "no length"])
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
    ids=parameter_id,
)
def test_reading_an_answer_continues_after_a_temporary_error_and_ends_at_a_broken_connection(
    code: int, status: interface.Status, first: int, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A signal, or a temporary lack of memory, once counted as a reset, and an available answer was lost.
    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            peer.requests.append(await read_message(reader))
            writer.write(answer)

        server = await Peer(script).start()
        inject_faults(monkeypatch, Fault(Call.RECV, code, first=first), max_received=16)
        pool, results = make_backends(server.address), Results()
        pool.start(make_attempt(results))
        await wait_until(lambda: bool(results))
        got = results[0]
        assert got[0] is status
        assert len(server.requests) == 1
        if status is interface.Status.DELIVERED:
            assert got[1] is not None
            assert got[1].body == BODY

    run(scenario())


@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM], ids=parameter_id)
def test_reads_from_a_server_pause_while_there_are_no_buffers(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The loop once retried the read in each turn, at the full load of a core, until the attempt timed out.
    monkeypatch.setattr(read_retry, "SHORTAGE_RETRY_DELAY_S", 3600.0)

    async def scenario() -> None:
        server = await answering_server(OK)
        faults = inject_faults(monkeypatch, Fault(Call.RECV, code, times=FOREVER))
        pool, results = make_backends(server.address), Results()
        pool.start(make_attempt(results))
        await wait_until(lambda: faults.fault_counts[Call.RECV] > 0)
        await asyncio.sleep(0.05)
        assert faults.fault_counts[Call.RECV] == 1
        faults.replace_faults([])
        (connection,) = pool._open
        assert connection.socket is not None
        read_retry.retry_read(pool.loop, connection.socket, connection.on_readable, lambda: True)
        await wait_until(lambda: bool(results))
        assert results[0][0] is interface.Status.DELIVERED

    run(scenario())


@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM], ids=parameter_id)
def test_reads_from_the_counter_pause_while_there_are_no_buffers(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(read_retry, "SHORTAGE_RETRY_DELAY_S", 3600.0)

    async def scenario() -> None:
        faults = inject_faults(monkeypatch, Fault(Call.RECV, code, times=FOREVER))
        peer = await start_peer(answer_each_call)
        counter_client, _ = make_counter_client(peer.address)
        counter_client.call(counter_call(1, 1.5))
        await wait_until(lambda: faults.fault_counts[Call.RECV] > 0)
        await asyncio.sleep(0.05)
        assert faults.fault_counts[Call.RECV] == 1
        counter_client.close()

    run(scenario())


def test_requests_and_answers_may_be_transferred_byte_by_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        inject_faults(monkeypatch, max_sent=1, max_received=1)
        client = await Client.to(gw)
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


def inject_into_listener(monkeypatch: pytest.MonkeyPatch, gw: Gateway, *faults: Fault) -> FaultySocketModule:
    """Inject faults into the listener that a gateway has opened, and into its clients' sockets."""
    faulty_module = FaultySocketModule(*faults)
    listener = gw.frontend._listener
    assert listener is not None
    faulty = FaultySocket(faulty_module, listener.family, listener.type, fileno=listener.detach())
    gw.frontend._listener = faulty
    return faulty_module


CONNECTION_ERRORS = [
    *(errno.ECONNABORTED, errno.EPROTO, errno.EINTR, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN),
    *(errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.EPERM),
]


async def idle_and_waiting_clients(gw: Gateway) -> tuple[Client, list[Client]]:
    """An idle client that has had an answer, and others that have connected and are not accepted yet."""
    idle = await Client.to(gw)
    assert (await idle.send(HEALTH))[0] == 200
    gw.frontend._unwatch_listener()
    return idle, [await Client.to(gw) for _ in range(3)]


@pytest.mark.parametrize("code", CONNECTION_ERRORS, ids=parameter_id)
def test_a_connection_lost_before_accept_does_not_affect_others(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Such a connection once counted as a shortage: idle clients were closed, and none accepted for 20 ms.
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        gw = gateway()
        idle, waiting = await idle_and_waiting_clients(gw)
        inject_into_listener(monkeypatch, gw, Fault(Call.ACCEPT, code, times=2))
        assert gw.frontend._accept_batch()  # the backlog is empty
        assert len(gw.frontend.clients.open) == 4
        for client in [idle, *waiting]:
            assert (await client.send(HEALTH))[0] == 200

    run(scenario())


def test_connections_lost_before_accept_do_not_block_the_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        gw = gateway()
        faults = inject_into_listener(monkeypatch, gw, Fault(Call.ACCEPT, errno.ECONNABORTED, times=FOREVER))
        assert not gw.frontend._accept_batch()
        assert faults.call_counts[Call.ACCEPT] == frontend.ACCEPTS_PER_TURN

    run(scenario())


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM], ids=parameter_id)
def test_a_shortage_at_accept_closes_idle_clients_and_is_logged_once(
    code: int, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # The shortage was once logged at each retry, every 20 ms, without saying what to do about it.
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        gw = gateway()
        idle, waiting = await idle_and_waiting_clients(gw)
        faults = inject_into_listener(monkeypatch, gw, Fault(Call.ACCEPT, code, times=FOREVER))
        assert not gw.frontend._accept_batch()
        assert not gw.frontend._listener_watched  # no busy loop
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await idle.send(HEALTH)
        await wait_until(lambda: faults.call_counts[Call.ACCEPT] >= 5)  # retried, with pauses between
        (said,) = [record.message for record in caplog.records if record.message.startswith("accept")]
        assert f"[Errno {code}]" in said
        assert ";" in said  # advice for the operator
        faults.replace_faults([])
        for client in waiting:
            assert (await client.send(HEALTH))[0] == 200

    run(scenario())


def test_an_accept_error_other_than_a_shortage_closes_no_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        gw = gateway()
        idle, waiting = await idle_and_waiting_clients(gw)
        faults = inject_into_listener(monkeypatch, gw, Fault(Call.ACCEPT, errno.EINVAL))
        assert not gw.frontend._accept_batch()
        assert faults.call_counts[Call.ACCEPT] == 1  # no busy loop
        for client in [idle, *waiting]:
            assert (await client.send(HEALTH))[0] == 200

    run(scenario())


def test_a_gateway_without_descriptors_shuts_down_early_if_no_client_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Without a free descriptor accept(2) fails before it checks the backlog, so its error does not mean that
    # a client waits.  The shutdown once waited for such clients without end.
    monkeypatch.setattr(shutdown, "QUIET_PERIOD_NS", 10 * MS)

    async def scenario() -> None:
        gw = gateway()
        inject_into_listener(monkeypatch, gw, Fault(Call.ACCEPT, errno.ENFILE, times=FOREVER))
        gw.frontend.begin_shutdown()
        await gw.wait_and_close()
        assert clock.now() < gw.frontend._shutdown.schedule.answers_due_ns

    run(scenario())


@pytest.mark.parametrize("call", [Call.SETBLOCKING, Call.SETSOCKOPT], ids=parameter_id)
@pytest.mark.parametrize("code", [errno.EINVAL, errno.ENOBUFS, errno.ENOMEM], ids=parameter_id)
def test_a_request_is_answered_even_if_the_socket_options_cannot_be_set(
    call: Call, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The error once escaped from the loop's callback, and the socket stayed open, neither read nor listed.
    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        _, waiting = await idle_and_waiting_clients(gw)
        faults = inject_into_listener(monkeypatch, gw, Fault(call, code, times=FOREVER))
        for client in waiting:
            client.writer.write(build_request("post"))
        assert gw.frontend._accept_batch()
        assert len(gw.frontend.clients.open) == 4
        for client in waiting:
            assert (await client.answer())[0] == 200
            assert (await client.send(build_request("post")))[0] == 200
            client.writer.close()
        await wait_until(faults.all_closed)
        assert len(gw.frontend.clients.open) == 1

    run(scenario())


def test_a_connection_that_the_loop_cannot_attach_is_closed_and_removed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        gw = gateway()
        _, waiting = await idle_and_waiting_clients(gw)
        faults = inject_into_listener(monkeypatch, gw)

        async def attach(*arguments: object) -> None:
            raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))

        with monkeypatch.context() as patch:
            patch.setattr(gw.frontend.loop, "connect_accepted_socket", attach)
            assert gw.frontend._accept_batch()
            await wait_until(lambda: len(gw.frontend.clients.open) == 1)
        assert faults.all_closed()
        for client in waiting:
            assert await client.reader.read() == b""
        assert (await (await Client.to(gw)).send(HEALTH))[0] == 200

    run(scenario())


def test_watching_the_listener_is_retried_after_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    # After the error the listener once counted as watched, and no further client was accepted.
    async def scenario() -> None:
        gw = gateway()
        await idle_and_waiting_clients(gw)
        with monkeypatch.context() as patch:
            patch.setattr(gw.frontend.loop, "add_reader", out_of_memory("add_reader"))
            with contextlib.suppress(OSError):
                gw.frontend._watch_listener()
        assert (await (await Client.to(gw)).send(HEALTH))[0] == 200

    run(scenario())


async def client_with_unread_request(
    monkeypatch: pytest.MonkeyPatch, gw: Gateway, asked: bool
) -> tuple[Client, FaultySocketModule]:
    """A client whose next request is unread in the gateway's kernel buffer, and its socket's faults."""
    faults = inject_into_listener(monkeypatch, gw)
    client = await Client.to(gw)
    if asked:
        assert (await client.send(HEALTH))[0] == 200
    await wait_until(lambda: [c.transport is not None for c in gw.frontend.clients.open] == [True])
    sock: socket.socket = client.writer.get_extra_info("socket")
    os.write(sock.fileno(), build_request("post"))  # before the next turn of the loop
    return client, faults


def make_room(gw: Gateway) -> None:
    gw.frontend.clients.make_room()


def begin_shutdown(gw: Gateway) -> None:
    gw.frontend.begin_shutdown()


def let_idle_time_pass(gw: Gateway) -> None:
    (client,) = gw.frontend.clients.open
    client.check_timeouts(client.state_since_ns + 60 * SECOND)


CLOSING_EVENTS = [make_room, begin_shutdown, let_idle_time_pass]


@pytest.mark.parametrize("asked", [False, True])
@pytest.mark.parametrize("closing_event", CLOSING_EVENTS)
@pytest.mark.parametrize("code", [errno.EINTR, errno.ENOBUFS, errno.ENOMEM], ids=parameter_id)
def test_an_unread_request_is_answered_if_peeking_at_it_fails_temporarily(
    code: int, closing_event: Callable[[Gateway], None], asked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Any error when peeking for unread data once counted as "no data", and the connection was closed.
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        client, faults = await client_with_unread_request(monkeypatch, gw, asked)
        faults.replace_faults([Fault(Call.RECV, code)])
        closing_event(gw)
        assert faults.fault_counts[Call.RECV] == 1
        assert (await client.answer())[0] == 200

    run(scenario())


@pytest.mark.parametrize("code", [errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH], ids=parameter_id)
def test_a_broken_connection_counts_as_having_no_unread_data(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 0)

    async def scenario() -> None:
        gw = gateway()
        client, faults = await client_with_unread_request(monkeypatch, gw, asked=True)
        faults.replace_faults([Fault(Call.RECV, code, times=FOREVER)])
        gw.frontend.clients.make_room()
        await wait_until(lambda: not gw.frontend.clients.open)
        assert client.writer is not None

    run(scenario())


@pytest.mark.parametrize("code", [errno.EINTR, errno.ENOMEM, errno.EINVAL], ids=parameter_id)
def test_a_request_is_answered_if_polling_its_client_fails(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The error once failed the request before its attempt had started.
    class FailingPoll:
        """A poll object that fails."""

        def register(self, *arguments: object) -> None:
            pass

        def poll(self, timeout: float) -> list[tuple[int, int]]:
            raise OSError(code, os.strerror(code))

    class Select:
        """Replaces the module ``select``."""

        POLLRDHUP = select.POLLRDHUP
        poll = FailingPoll

    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        client = await Client.to(gw)
        monkeypatch.setattr(client_module, "select", Select)
        for _ in range(2):
            assert (await client.send(build_request("post")))[0] == 200

    run(scenario())


@pytest.mark.parametrize("first", [1, 3])
@pytest.mark.parametrize(
    "code", [errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.ENFILE], ids=parameter_id
)
def test_writing_counter_calls_continues_after_a_temporary_error(
    code: int, first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The error once closed the connection, and each call in flight counted as possibly added.
    async def scenario() -> None:
        faults = inject_faults(monkeypatch, Fault(Call.SEND, code, first=first, times=2), max_sent=7)
        peer = await start_peer(answer_each_call)
        counter_client, answers = make_counter_client(peer.address)
        for number in range(20):
            counter_client.call(counter_call(number, number + 0.5))
        await wait_until(lambda: len(answers) == 20)
        assert [(answer.status, answer.total) for answer in answers] == [
            (interface.Status.DELIVERED, number + 0.5) for number in range(20)
        ]
        assert peer.connections == 1
        assert faults.fault_counts[Call.SEND] == 2
        assert peer.requests == [b"bump %d %d.5000000 60000\r\n" % (n, n) for n in range(20)]

    run(scenario())


def test_writes_to_the_counter_pause_while_there_are_no_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(counter_module, "SHORTAGE_RETRY_DELAY_S", 3600.0)

    async def scenario() -> None:
        faults = inject_faults(monkeypatch, Fault(Call.SEND, errno.ENOBUFS, times=FOREVER))
        peer = await start_peer(answer_each_call)
        counter_client, answers = make_counter_client(peer.address, 80 * MS)
        for number in range(20):
            counter_client.call(counter_call(number))
        await wait_until(lambda: len(answers) == 20)
        # The calls were not written, so nothing was added.
        assert {answer.status for answer in answers} == {interface.Status.DIAL_FAILED}
        assert faults.call_counts[Call.SEND] == 1

    run(scenario())


@pytest.mark.parametrize("first", [1, 3])
@pytest.mark.parametrize("code", [errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM], ids=parameter_id)
def test_reading_counter_answers_continues_after_a_temporary_error(
    code: int, first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        inject_faults(monkeypatch, Fault(Call.RECV, code, first=first), max_received=3)
        peer = await start_peer(answer_each_call)
        counter_client, answers = make_counter_client(peer.address)
        for number in range(20):
            counter_client.call(counter_call(number, number + 0.5))
        await wait_until(lambda: len(answers) == 20)
        assert [answer.total for answer in answers] == [number + 0.5 for number in range(20)]
        assert {answer.status for answer in answers} == {interface.Status.DELIVERED}
        assert peer.connections == 1

    run(scenario())


BROKEN_CONNECTION = [errno.EPIPE, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH]


@pytest.mark.parametrize("code", BROKEN_CONNECTION, ids=parameter_id)
def test_after_a_broken_write_to_the_counter_only_fully_written_calls_may_have_been_added(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        line = len(call_line())
        inject_faults(monkeypatch, Fault(Call.SEND, code, first=2), max_sent=line + line // 2)

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            await reader.read()

        peer = await start_peer(script)
        counter_client, answers = make_counter_client(peer.address)
        counter_client.call(counter_call(1))
        counter_client.call(counter_call(2))
        await wait_until(lambda: len(answers) == 2)
        assert [answer.status for answer in answers] == [
            interface.Status.EXPIRED,
            interface.Status.DIAL_FAILED,
        ]

    run(scenario())


def call_line() -> bytes:
    return b"bump 1 1.0000000 60000\r\n"


@pytest.mark.parametrize("code", [errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH], ids=parameter_id)
def test_after_a_broken_read_from_the_counter_calls_may_have_been_added(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        faults = inject_faults(monkeypatch, Fault(Call.RECV, code))
        peer = await start_peer(answer_each_call)
        counter_client, answers = make_counter_client(peer.address)
        counter_client.call(counter_call(1))
        await wait_until(lambda: bool(answers))
        assert answers[0].status is interface.Status.EXPIRED
        assert faults.all_closed()

    run(scenario())


def test_a_call_reported_as_not_added_is_not_written_later(monkeypatch: pytest.MonkeyPatch) -> None:
    # A call that timed out while its connection was being established, or before anything could be written,
    # counted as not added; it was once written and added all the same when the connection was ready.
    async def scenario() -> None:
        faults = inject_faults(monkeypatch, Fault(Call.SEND, errno.EAGAIN, times=FOREVER))
        peer = await start_peer(answer_each_call)
        counter_client, answers = make_counter_client(peer.address, 80 * MS)
        counter_client.call(counter_call(1))
        counter_client.call(counter_call(2))
        await wait_until(lambda: len(answers) == 2)
        assert {answer.status for answer in answers} == {interface.Status.DIAL_FAILED}
        counter_client._answer_timeout_s = 20.0
        faults.replace_faults([])
        counter_client.call(counter_call(3))
        await wait_until(lambda: len(answers) == 3)
        assert answers[2].status is interface.Status.DELIVERED
        assert [line.split()[1] for line in peer.requests] == [b"3"]
        assert peer.connections == 1

    run(scenario())


def test_a_partly_written_call_counts_as_possibly_added(monkeypatch: pytest.MonkeyPatch) -> None:
    # A call that timed out in the middle of its line once counted as not added; the rest was written later.
    async def scenario() -> None:
        half = len(call_line()) // 2
        fault = Fault(Call.SEND, errno.EAGAIN, first=2, times=FOREVER)
        faults = inject_faults(monkeypatch, fault, max_sent=half)
        peer = await start_peer(answer_each_call)
        counter_client, answers = make_counter_client(peer.address, 80 * MS)
        for number in (1, 2):
            counter_client.call(counter_call(number))
        await wait_until(lambda: len(answers) == 2)
        assert {answer.name: answer.status for answer in answers} == {
            1: interface.Status.EXPIRED,
            2: interface.Status.DIAL_FAILED,
        }
        counter_client._answer_timeout_s = 20.0
        faults.replace_faults([])
        counter_client.call(counter_call(3))
        await wait_until(lambda: len(answers) == 3)
        assert (answers[2].name, answers[2].status) == (3, interface.Status.DELIVERED)
        assert [line.split()[1] for line in peer.requests] == [b"1", b"3"]

    run(scenario())


@pytest.fixture
def pauses(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Records the pauses between calls of discovery instead of waiting for them."""
    taken: list[float] = []

    async def pause(seconds: float) -> None:
        taken.append(seconds)
        await asyncio.sleep(0)

    monkeypatch.setattr(discovery, "pause", pause)
    return taken


def fail_first_connects(monkeypatch: pytest.MonkeyPatch, code: int, times: int) -> None:
    """Make the first connects of asyncio streams fail."""
    dial_stream, left = asyncio.open_connection, [times]

    async def dial(*arguments: Any) -> tuple[Reader, Writer]:
        if left[0]:
            left[0] -= 1
            raise OSError(code, os.strerror(code))
        return await dial_stream(*arguments)

    monkeypatch.setattr(asyncio, "open_connection", dial)


def fail_first_reads(monkeypatch: pytest.MonkeyPatch, code: int, times: int) -> None:
    """Make the first connections of asyncio streams fail at the first read."""
    dial_stream, left = asyncio.open_connection, [times]

    async def dial(*arguments: Any) -> tuple[Reader, Writer]:
        reader, writer = await dial_stream(*arguments)
        if left[0]:
            left[0] -= 1
            reader.set_exception(OSError(code, os.strerror(code)))
        return reader, writer

    monkeypatch.setattr(asyncio, "open_connection", dial)


FULL_LIST = [line(listing(entry("a", ("127.0.0.1", 1)), index=9))]


@pytest.mark.parametrize(
    "code",
    [
        *(errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN),
        *(errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ECONNREFUSED),
    ],
    ids=parameter_id,
)
def test_a_watch_is_opened_by_the_first_connect_that_succeeds(
    code: int,
    pauses: list[float],
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)

    async def scenario() -> None:
        fail_first_connects(monkeypatch, code, times=200)
        peer, changes = await start_watched_discovery(FULL_LIST)
        await wait_until(lambda: bool(changes))
        assert len(pauses) == 200
        assert all(0.5 <= seconds / discovery.REOPEN_DELAY_S <= 1.5 for seconds in pauses)
        assert peer.connections == 1
        assert peer.task is not None
        peer.task.cancel()

    run(scenario())
    (said,) = [record.message for record in caplog.records if "reopening the watch" in record.message]
    assert f"[Errno {code}]" in said


@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE], ids=parameter_id)
def test_a_discovery_call_ended_by_a_local_shortage_is_not_a_refusal(
    code: int, pauses: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    # It once counted as overload of discovery: pauses grew to 3 s, as after refused calls.
    async def scenario() -> None:
        fail_first_reads(monkeypatch, code, times=20)
        peer, changes = await start_watched_discovery(*([[]] * 20), FULL_LIST)
        await wait_until(lambda: bool(changes))
        assert max(pauses) <= 1.5 * discovery.REOPEN_DELAY_S
        assert peer.task is not None
        peer.task.cancel()

    run(scenario())


@pytest.mark.parametrize(
    ("code", "crowded"),
    [(errno.ECONNRESET, True), (errno.EHOSTUNREACH, True), (errno.ETIMEDOUT, False)],
    ids=parameter_id,
)
def test_a_discovery_call_broken_before_its_answer_is_a_refusal_unless_it_timed_out(
    code: int, crowded: bool, pauses: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    # After ETIMEDOUT nothing has acknowledged the call, so discovery is silent and not overloaded.
    async def scenario() -> None:
        fail_first_reads(monkeypatch, code, times=20)
        peer, changes = await start_watched_discovery(*([[]] * 20), FULL_LIST)
        await wait_until(lambda: bool(changes))
        least = 0.5 * discovery.MAX_REFUSED_DELAY_S if crowded else 0.0
        assert least <= max(pauses)
        assert max(pauses) <= (discovery.MAX_REFUSED_DELAY_S if crowded else 1.5 * discovery.REOPEN_DELAY_S)
        assert peer.task is not None
        peer.task.cancel()

    run(scenario())


ALL_FAULTS = [
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


@pytest.mark.parametrize(("call", "code"), ALL_FAULTS, ids=parameter_id)
def test_each_request_gets_one_answer_and_runs_once_whichever_system_call_fails(
    call: Call, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Each of the first system calls of a kind fails in turn, over all sockets of a gateway.  On a busy
    # machine a new client may outlast its grace period and be closed to make room; that is switched off here.
    monkeypatch.setattr(client_table, "EVICTION_GRACE_NS", 1 << 62)

    async def scenario() -> None:
        one, two, counter_peer = (
            await answering_server(OK),
            await answering_server(OK),
            await start_peer(answer_each_call),
        )
        specifics = SETTINGS["specifics"] | {"has-counter": True, "count-wait-ns": 2_000_000_000}
        gw = gateway(
            one.address,
            two.address,
            counter=f"127.0.0.1:{counter_peer.address[1]}",
            settings=SETTINGS | {"specifics": specifics},
        )
        faults = inject_into_listener(monkeypatch, gw)
        faults.max_sent, faults.max_received = 40, 40  # several system calls for each message
        monkeypatch.setattr(dial, "socket", faults)
        for first in range(1, 9):
            gw.backends.close()  # so that connections are opened again
            gw.backends._idle.clear()
            faults.replace_faults([Fault(call, code, first=first, times=2)])
            clients = [await Client.to(gw) for _ in range(3)]
            kinds = [build_request("post", X_Contract="small"), build_request("post"), build_request()]
            for client, asked in zip(clients, kinds, strict=True):
                client.writer.write(asked)
            for client in clients:
                status, head, _ = await client.answer()
                assert status in (200, 429, 502, 503)
                assert status in (200, 502) or b"Retry-After" in head
            for client in clients:
                client.writer.close()
            await wait_until(lambda: not gw.frontend.clients.open)
        posts = [message for message in one.requests + two.requests if message.startswith(b"POST")]
        ids = [re.findall(rb"X-Correlation-Id: (\w+)", message)[0] for message in posts]
        assert len(ids) == len(set(ids))
        faults.replace_faults([])
        assert faults.fault_counts[call]
        gw.runtime._policy.servers.backends.clear()  # forget what was learned of the servers
        gw.runtime.update_servers(change_from(listing(entry("s9", one.address))))
        assert (await (await Client.to(gw)).send(build_request("post")))[0] == 200

    run(scenario())
