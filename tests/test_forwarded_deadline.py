"""The ``X-Time-Left`` sent to a server is at most what the client has left, however late it is handled."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from gingerworks import interface
from gingerworks.gateway import arrival_times, backend, clock
from gingerworks.gateway.__main__ import Gateway
from gingerworks.gateway.dial import Dial
from gingerworks.policy.driver import OVERDUE_AIM_FRACTION
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
    gateway,
    read_message,
    run,
    wait_until,
)
from tests.test_gateway_clients import held_server

SLACK_S = 0.15  # the tolerance that the protocol allows
LEFT_S = 2.0
DELAY_S = 0.4
FEW_CLIENTS = {"sockets": 64}  # leaves room for a few clients only


class SteppedClock:
    """The gateway's clock; a simulated delay of the process sets it forward."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._ahead, self._real = 0, clock.now
        monkeypatch.setattr(clock, "now", lambda: self._real() + self._ahead)

    def delay(self, seconds: float = DELAY_S) -> None:
        self._ahead += int(seconds * clock.NS_PER_S)


def time_left_in(request: bytes) -> float:
    """The time left that was sent to a server."""
    return float(request.split(b"X-Time-Left: ")[1].split(b"\r\n")[0])


def time_left_is_at_most(left: float, request: bytes) -> bool:
    return time_left_in(request) <= left + SLACK_S


async def answer_statuses(client: Client, count: int) -> list[int]:
    return [(await client.answer())[0] for _ in range(count)]


def test_time_of_a_request_that_was_read_behind_another_in_flight(monkeypatch: pytest.MonkeyPatch) -> None:
    stepped_clock = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server, release = await held_server()
        gw = gateway(server.address)
        client = await Client.to(gw)
        client.writer.write(build_request("post") + build_request("post"))
        await wait_until(
            lambda: len(server.requests) == 1 and any(c.has_requests_ahead for c in gw.frontend.clients.open)
        )
        stepped_clock.delay()
        release.set()
        assert await answer_statuses(client, 2) == [200, 200]
        assert time_left_is_at_most(LEFT_S - DELAY_S, server.requests[1])

    run(scenario())


def test_time_of_a_request_that_was_unread_behind_others() -> None:
    # The kernel knows only the age of the latest data: of the last request, not of the one before it.
    async def scenario() -> None:
        server, release = await held_server()
        gw = gateway(server.address)
        client = await Client.to(gw)
        client.writer.write(build_request("post") + build_request("post") + build_request("post"))
        await wait_until(
            lambda: any(c.reading_paused for c in gw.frontend.clients.open) and len(server.requests) == 1
        )
        client.writer.write(build_request("post"))
        await asyncio.sleep(DELAY_S)
        client.writer.write(build_request("post"))
        await asyncio.sleep(0.02)  # the last request arrives and need not wait
        release.set()
        assert await answer_statuses(client, 5) == [200] * 5
        waited, fresh = server.requests[3:]
        assert time_left_is_at_most(LEFT_S - DELAY_S, waited)
        assert time_left_in(fresh) > LEFT_S - DELAY_S

    run(scenario())


def test_a_request_after_a_pause_in_reading_keeps_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    # Such a request once counted as if it had come while the former requests were read.
    stepped_clock = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        client = await Client.to(gw)
        for _ in range(2):
            client.writer.write(b"".join(build_request("post") for _ in range(4)))
            assert await answer_statuses(client, 4) == [200] * 4
            stepped_clock.delay()  # nothing is unread meanwhile
        assert min(time_left_in(request) for request in server.requests[4:]) > LEFT_S - DELAY_S

    run(scenario())


def test_an_age_counts_back_to_the_empty_backlog_at_most(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(arrival_times, "last_data_age_ns", lambda sock: 3600 * clock.NS_PER_S)

    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        for _ in range(2):
            client = await Client.to(gw)
            assert (await client.send(build_request("post", left="20.000")))[0] == 200

    run(scenario())


def test_time_of_a_request_that_waits_for_its_decision(monkeypatch: pytest.MonkeyPatch) -> None:
    stepped_clock = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        client = await Client.to(gw)
        handle_events: Any = gw.runtime._handle_events

        def handle_late() -> None:
            if gw.runtime._in_flight:
                stepped_clock.delay()
            handle_events()

        await asyncio.sleep(0)
        monkeypatch.setattr(gw.runtime, "_handle_events", handle_late)
        status, _, _ = await client.send(build_request("post"))
        assert status == 200
        assert time_left_is_at_most(LEFT_S - DELAY_S, server.requests[0])

    run(scenario())


def test_time_of_a_request_that_was_unread_while_the_loop_was_delayed() -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        client = await Client.to(gw)
        assert (await client.send(build_request("post")))[0] == 200
        client.writer.write(build_request("post"))
        time.sleep(DELAY_S)  # nothing is read meanwhile
        assert (await client.answer())[0] == 200
        assert time_left_is_at_most(LEFT_S - DELAY_S, server.requests[1])

    run(scenario())


def test_time_of_a_request_that_waited_in_the_backlog_of_a_full_client_table() -> None:
    async def scenario() -> None:
        server, release = await held_server()
        gw = gateway(server.address, limits=FEW_CLIENTS)
        taken = [await Client.to(gw) for _ in range(gw.frontend.clients.budget)]
        for client in taken:
            client.writer.write(build_request("post"))
        await wait_until(lambda: len(server.requests) == len(taken))
        late = await Client.to(gw)
        late.writer.write(build_request("post"))
        await asyncio.sleep(DELAY_S)
        release.set()
        for client in taken:
            assert (await client.answer())[0] == 200
            client.writer.close()
        assert (await late.answer())[0] == 200
        assert time_left_is_at_most(LEFT_S - DELAY_S, server.requests[-1])

    run(scenario())


def test_a_request_whose_time_is_over_before_it_is_read_is_refused_and_never_forwarded() -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        client = await Client.to(gw)
        assert (await client.send(build_request("post")))[0] == 200
        client.writer.write(build_request("post", left="0.200"))
        time.sleep(DELAY_S)  # nothing is read meanwhile
        status, head, _ = await client.answer()
        assert status == 429
        assert b"Retry-After: " in head
        assert (await client.send(build_request("post")))[0] == 200  # its connection is kept
        assert len(server.requests) == 2

    run(scenario())


class DelayedAttempt:
    """Delays the process between the decision on one of the attempts and its start."""

    def __init__(self, gw: Gateway, attempt_number: int, delay: Callable[[], None]) -> None:
        self._assign = gw.runtime._action_handlers[interface.Assign]
        self._attempt_number, self._delay = attempt_number, delay
        self.attempts = 0
        gw.runtime._action_handlers[interface.Assign] = self

    def __call__(self, action: interface.Assign) -> None:
        self.attempts += 1
        if self.attempts == self._attempt_number:
            self._delay()
        self._assign(action)


@pytest.mark.parametrize("attempt_number", [1, 2], ids=["first", "retry"])
def test_time_sent_by_an_attempt_that_is_delayed_after_its_decision(
    attempt_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    stepped_clock = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server = await answering_server(*[NOT_RUN] * (attempt_number - 1), OK)
        gw = gateway(server.address, server.address)
        DelayedAttempt(gw, attempt_number, stepped_clock.delay)
        assert (await (await Client.to(gw)).send(build_request("post")))[0] == 200
        assert len(server.requests) == attempt_number
        assert time_left_is_at_most(LEFT_S - DELAY_S, server.requests[-1])

    run(scenario())


FAST_ANSWERS = 8  # answers that show that the servers are not overloaded: only then is an attempt hedged


def test_time_sent_by_a_hedge_that_is_delayed_after_its_decision(monkeypatch: pytest.MonkeyPatch) -> None:
    stepped_clock = SteppedClock(monkeypatch)

    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            while True:
                peer.requests.append(await read_message(reader))
                if len(peer.requests) != FAST_ANSWERS + 1:
                    writer.write(OK)

        server = await Peer(script).start()
        gw = gateway(server.address, server.address)
        client = await Client.to(gw)
        for _ in range(FAST_ANSWERS):
            assert (await client.send(build_request()))[0] == 200
        delayed = DelayedAttempt(gw, 2, stepped_clock.delay)
        assert (await client.send(build_request()))[0] == 200
        assert delayed.attempts == 2
        hedge_delay_s = OVERDUE_AIM_FRACTION * SETTINGS["classes"][0]["on-time-ns"] / clock.NS_PER_S
        assert time_left_is_at_most(LEFT_S - hedge_delay_s - DELAY_S, server.requests[-1])

    run(scenario())


@pytest.mark.parametrize("attempt_number", [1, 2], ids=["first", "retry"])
def test_no_attempt_starts_once_the_clients_time_is_over(
    attempt_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    stepped_clock = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server = await answering_server(NOT_RUN)
        gw = gateway(server.address, server.address)
        DelayedAttempt(gw, attempt_number, lambda: stepped_clock.delay(LEFT_S))
        status, head, _ = await (await Client.to(gw)).send(build_request("post"))
        assert (status, b"Retry-After: " in head) == (503, True)
        assert len(server.requests) == attempt_number - 1
        assert not gw.runtime._policy.in_flight

    run(scenario())


@pytest.mark.parametrize(("late_s", "arrives"), [(DELAY_S, True), (LEFT_S, False)])
def test_time_sent_by_an_attempt_whose_connection_is_established_late(
    late_s: float, arrives: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    held_callbacks: list[Callable[[], None]] = []

    class HeldDial(Dial):
        """A connection that is established while a busy event loop runs neither this nor the timer."""

        def _on_writable(self) -> None:
            self._stop()
            held_callbacks.append(super()._on_writable)

    monkeypatch.setattr(backend, "Dial", HeldDial)
    stepped_clock = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        client = await Client.to(gw)
        client.writer.write(build_request("post"))
        await wait_until(lambda: bool(held_callbacks))
        stepped_clock.delay(late_s)
        held_callbacks.pop()()
        status, _, _ = await client.answer()
        assert status == (200 if arrives else 503)
        assert [time_left_is_at_most(LEFT_S - late_s, request) for request in server.requests] == [
            True
        ] * arrives

    run(scenario())


AGE_NS = 700 * clock.NS_PER_MS


class ReportedAge:
    """Replaces the gateway's clock and the age of data that the kernel reports."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, age_ns: int | None) -> None:
        self.now, self.age_ns = 1_000 * clock.NS_PER_S, age_ns
        monkeypatch.setattr(clock, "now", lambda: self.now)
        monkeypatch.setattr(arrival_times, "last_data_age_ns", lambda sock: self.age_ns)

    def advance(self, seconds: float) -> int:
        self.now += int(seconds * clock.NS_PER_S)
        return self.now


def test_data_of_unknown_age_counts_as_received_when_it_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    reported = ReportedAge(monkeypatch, None)
    with socket.socket() as sock:
        arrivals = arrival_times.ArrivalTracker(sock, reported.now)
        reported.advance(1.0)
        arrivals.begin_read()
        assert arrivals.end_read(emptied=True) == arrival_times.ArrivalTimes(reported.now, reported.now)


def test_an_age_counts_back_to_the_empty_connection_at_most(monkeypatch: pytest.MonkeyPatch) -> None:
    reported = ReportedAge(monkeypatch, 3600 * clock.NS_PER_S)  # longer than the connection exists
    with socket.socket() as sock:
        empty_at = reported.now
        arrivals = arrival_times.ArrivalTracker(sock, empty_at)
        began_at = reported.advance(0.1)
        arrivals.begin_read()
        reported.advance(0.01)
        assert arrivals.end_read(emptied=False).latest_ns == empty_at  # more of the same is still unread
        arrivals.begin_read()
        assert arrivals.end_read(emptied=True).latest_ns == empty_at
        reported.advance(0.01)
        arrivals.begin_read()
        assert arrivals.end_read(emptied=True).latest_ns == began_at + 10 * clock.NS_PER_MS


def test_after_a_pause_in_reading_only_the_last_data_has_a_known_age(monkeypatch: pytest.MonkeyPatch) -> None:
    reported = ReportedAge(monkeypatch, None)
    with socket.socket() as sock:
        arrivals = arrival_times.ArrivalTracker(sock, reported.now)
        began_at = reported.advance(0.1)
        arrivals.begin_read()
        arrivals.end_read(emptied=True)
        arrivals.pause()
        reported.advance(1.0)
        reported.age_ns = AGE_NS
        for emptied in (False, True):
            arrivals.begin_read()
            assert arrivals.end_read(emptied) == arrival_times.ArrivalTimes(began_at, reported.now - AGE_NS)
        reported.advance(1.0)
        arrivals.begin_read()
        assert arrivals.end_read(emptied=True) == arrival_times.ArrivalTimes(
            reported.now - AGE_NS, reported.now - AGE_NS
        )


def test_the_kernel_reports_the_age_of_unread_data_including_the_backlog() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        client.sendall(b"a" * 100)
        time.sleep(DELAY_S)
        accepted, _ = listener.accept()
        with client, accepted:
            for _ in range(2):
                age = arrival_times.last_data_age_ns(accepted)
                assert age is not None
                assert age >= (DELAY_S - 0.02) * clock.NS_PER_S  # the kernel's clock is coarse
                accepted.recv(10)


class TruncatedOption(socket.socket):
    """A system that reports less about a connection."""

    def getsockopt(self, *asked: Any) -> Any:
        return bytes(8)


def test_an_age_that_the_system_does_not_report_is_unknown() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs, TruncatedOption() as short:
        assert arrival_times.last_data_age_ns(ours) is None
        assert arrival_times.last_data_age_ns(short) is None
