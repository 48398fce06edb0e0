"""The time told to a server is at most what the client has left, however late its request is come to."""

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

SLACK_S = 0.15  # the protocol's
LEFT_S = 2.0
HELD_UP_S = 0.4
MORE = {"sockets": 64}  # a small table of clients


class SteppedClock:
    """The gateway's clock, set forward where the process is held up."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._ahead, self._real = 0, clock.now
        monkeypatch.setattr(clock, "now", lambda: self._real() + self._ahead)

    def hold_up(self, seconds: float = HELD_UP_S) -> None:
        self._ahead += int(seconds * clock.NS_PER_S)


def told(request: bytes) -> float:
    """The time that a server was told."""
    return float(request.split(b"X-Time-Left: ")[1].split(b"\r\n")[0])


def no_more_than(left: float, request: bytes) -> bool:
    return told(request) <= left + SLACK_S


async def answered(client: Client, count: int) -> list[int]:
    return [(await client.answer())[0] for _ in range(count)]


def test_to_one_that_was_read_behind_another_in_work(monkeypatch: pytest.MonkeyPatch) -> None:
    stepped = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server, release = await held_server()
        made = gateway(server.address)
        client = await Client.to(made)
        client.writer.write(build_request("post") + build_request("post"))
        await wait_until(
            lambda: len(server.requests) == 1 and any(c.pending for c in made.frontend.clients.open)
        )
        stepped.hold_up()
        release.set()
        assert await answered(client, 2) == [200, 200]
        assert no_more_than(LEFT_S - HELD_UP_S, server.requests[1])

    run(scenario())


def test_to_one_that_lay_unread_behind_others_in_work() -> None:
    # The kernel knows the age of the latest data alone: the last request's, not the one's before it.
    async def scenario() -> None:
        server, release = await held_server()
        made = gateway(server.address)
        client = await Client.to(made)
        client.writer.write(build_request("post") + build_request("post") + build_request("post"))
        await wait_until(
            lambda: any(c.reading_paused for c in made.frontend.clients.open) and len(server.requests) == 1
        )
        client.writer.write(build_request("post"))
        await asyncio.sleep(HELD_UP_S)
        client.writer.write(build_request("post"))
        await asyncio.sleep(0.02)  # that one may wait for nothing
        release.set()
        assert await answered(client, 5) == [200] * 5
        waited, fresh = server.requests[3:]
        assert no_more_than(LEFT_S - HELD_UP_S, waited)
        assert told(fresh) > LEFT_S - HELD_UP_S

    run(scenario())


def test_what_comes_after_a_pause_in_reading_keeps_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    # Whatever came next counted as if it had come while the batch before was read.
    stepped = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server = await answering_server(OK)
        made = gateway(server.address)
        client = await Client.to(made)
        for _ in range(2):
            client.writer.write(b"".join(build_request("post") for _ in range(4)))
            assert await answered(client, 4) == [200] * 4
            stepped.hold_up()  # nothing is unread meanwhile
        assert min(told(request) for request in server.requests[4:]) > LEFT_S - HELD_UP_S

    run(scenario())


def test_an_age_counts_no_further_back_than_the_backlog_was_empty(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(arrival_times, "last_data_age_ns", lambda sock: 3600 * clock.NS_PER_S)

    async def scenario() -> None:
        server = await answering_server(OK)
        made = gateway(server.address)
        for _ in range(2):
            client = await Client.to(made)
            assert (await client.send(build_request("post", left="20.000")))[0] == 200

    run(scenario())


def test_to_one_that_was_read_and_waits_for_its_decision(monkeypatch: pytest.MonkeyPatch) -> None:
    stepped = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server = await answering_server(OK)
        made = gateway(server.address)
        client = await Client.to(made)
        turn: Any = made.runtime._handle_events

        def late() -> None:
            if made.runtime._in_flight:
                stepped.hold_up()
            turn()

        await asyncio.sleep(0)
        monkeypatch.setattr(made.runtime, "_handle_events", late)
        status, _, _ = await client.send(build_request("post"))
        assert status == 200
        assert no_more_than(LEFT_S - HELD_UP_S, server.requests[0])

    run(scenario())


def test_to_one_that_lay_in_the_sockets_buffer_while_the_loop_was_held_up() -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        made = gateway(server.address)
        client = await Client.to(made)
        assert (await client.send(build_request("post")))[0] == 200
        client.writer.write(build_request("post"))
        time.sleep(HELD_UP_S)  # nothing is read meanwhile
        assert (await client.answer())[0] == 200
        assert no_more_than(LEFT_S - HELD_UP_S, server.requests[1])

    run(scenario())


def test_to_one_that_lay_in_the_backlog_of_a_full_table() -> None:
    async def scenario() -> None:
        server, release = await held_server()
        made = gateway(server.address, limits=MORE)
        taken = [await Client.to(made) for _ in range(made.frontend.clients.budget)]
        for client in taken:
            client.writer.write(build_request("post"))
        await wait_until(lambda: len(server.requests) == len(taken))
        late = await Client.to(made)
        late.writer.write(build_request("post"))
        await asyncio.sleep(HELD_UP_S)
        release.set()
        for client in taken:
            assert (await client.answer())[0] == 200
            client.writer.close()
        assert (await late.answer())[0] == 200
        assert no_more_than(LEFT_S - HELD_UP_S, server.requests[-1])

    run(scenario())


def test_one_whose_time_is_over_before_it_is_taken_is_refused_and_never_forwarded() -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        made = gateway(server.address)
        client = await Client.to(made)
        assert (await client.send(build_request("post")))[0] == 200
        client.writer.write(build_request("post", left="0.200"))
        time.sleep(HELD_UP_S)  # nothing is read meanwhile
        status, head, _ = await client.answer()
        assert status == 429
        assert b"Retry-After: " in head
        assert (await client.send(build_request("post")))[0] == 200  # its connection is kept
        assert len(server.requests) == 2

    run(scenario())


class Stalls:
    """Holds the process up between the decision for one of the attempts and its begin."""

    def __init__(self, made: Gateway, which: int, hold_up: Callable[[], None]) -> None:
        self._assign = made.runtime._action_handlers[interface.Assign]
        self._which, self._hold_up = which, hold_up
        self.seen = 0
        made.runtime._action_handlers[interface.Assign] = self

    def __call__(self, action: interface.Assign) -> None:
        self.seen += 1
        if self.seen == self._which:
            self._hold_up()
        self._assign(action)


@pytest.mark.parametrize("which", [1, 2], ids=["first", "retry"])
def test_by_an_attempt_that_is_held_up_behind_its_decision(
    which: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    stepped = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server = await answering_server(*[NOT_RUN] * (which - 1), OK)
        made = gateway(server.address, server.address)
        Stalls(made, which, stepped.hold_up)
        assert (await (await Client.to(made)).send(build_request("post")))[0] == 200
        assert len(server.requests) == which
        assert no_more_than(LEFT_S - HELD_UP_S, server.requests[-1])

    run(scenario())


QUICK = 8  # answers that show the servers not to be pressed: only then is an attempt hedged


def test_by_a_hedge_that_is_held_up_behind_its_decision(monkeypatch: pytest.MonkeyPatch) -> None:
    stepped = SteppedClock(monkeypatch)

    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            while True:
                peer.requests.append(await read_message(reader))
                if len(peer.requests) != QUICK + 1:
                    writer.write(OK)

        server = await Peer(script).start()
        made = gateway(server.address, server.address)
        client = await Client.to(made)
        for _ in range(QUICK):
            assert (await client.send(build_request()))[0] == 200
        stalls = Stalls(made, 2, stepped.hold_up)
        assert (await client.send(build_request()))[0] == 200
        assert stalls.seen == 2
        patience = OVERDUE_AIM_FRACTION * SETTINGS["classes"][0]["on-time-ns"] / clock.NS_PER_S
        assert no_more_than(LEFT_S - patience - HELD_UP_S, server.requests[-1])

    run(scenario())


@pytest.mark.parametrize("which", [1, 2], ids=["first", "retry"])
def test_no_attempt_begins_once_the_clients_time_is_over(which: int, monkeypatch: pytest.MonkeyPatch) -> None:
    stepped = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server = await answering_server(NOT_RUN)
        made = gateway(server.address, server.address)
        Stalls(made, which, lambda: stepped.hold_up(LEFT_S))
        status, head, _ = await (await Client.to(made)).send(build_request("post"))
        assert (status, b"Retry-After: " in head) == (503, True)
        assert len(server.requests) == which - 1
        assert not made.runtime._policy.in_flight

    run(scenario())


@pytest.mark.parametrize(("late_s", "arrives"), [(HELD_UP_S, True), (LEFT_S, False)])
def test_by_an_attempt_whose_connection_comes_up_late(
    late_s: float, arrives: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    held: list[Callable[[], None]] = []

    class Held(Dial):
        """A connection that is up; the loop is busy and runs neither this nor the timer meanwhile."""

        def _on_writable(self) -> None:
            self._stop()
            held.append(super()._on_writable)

    monkeypatch.setattr(backend, "Dial", Held)
    stepped = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server = await answering_server(OK)
        made = gateway(server.address)
        client = await Client.to(made)
        client.writer.write(build_request("post"))
        await wait_until(lambda: bool(held))
        stepped.hold_up(late_s)
        held.pop()()
        status, _, _ = await client.answer()
        assert status == (200 if arrives else 503)
        assert [no_more_than(LEFT_S - late_s, request) for request in server.requests] == [True] * arrives

    run(scenario())


AGE_NS = 700 * clock.NS_PER_MS


class Ages:
    """What the kernel is made to say, on the gateway's clock or on another one."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, age_ns: int | None) -> None:
        self.now, self.age_ns = 1_000 * clock.NS_PER_S, age_ns
        monkeypatch.setattr(clock, "now", lambda: self.now)
        monkeypatch.setattr(arrival_times, "last_data_age_ns", lambda sock: self.age_ns)

    def after(self, seconds: float) -> int:
        self.now += int(seconds * clock.NS_PER_S)
        return self.now


def test_where_the_age_of_data_is_unknown_it_came_as_it_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    ages = Ages(monkeypatch, None)
    with socket.socket() as sock:
        arrivals = arrival_times.ArrivalTracker(sock, ages.now)
        ages.after(1.0)
        arrivals.begin_read()
        assert arrivals.end_read(emptied=True) == arrival_times.ArrivalTimes(ages.now, ages.now)


def test_an_age_counts_only_back_to_when_the_connection_held_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    ages = Ages(monkeypatch, 3600 * clock.NS_PER_S)  # by another clock
    with socket.socket() as sock:
        empty_at = ages.now
        arrivals = arrival_times.ArrivalTracker(sock, empty_at)
        began_at = ages.after(0.1)
        arrivals.begin_read()
        ages.after(0.01)
        assert arrivals.end_read(emptied=False).latest_ns == empty_at  # more of the same is still unread
        arrivals.begin_read()
        assert arrivals.end_read(emptied=True).latest_ns == empty_at
        ages.after(0.01)
        arrivals.begin_read()
        assert arrivals.end_read(emptied=True).latest_ns == began_at + 10 * clock.NS_PER_MS


def test_of_what_a_pause_kept_unread_only_the_last_has_a_known_age(monkeypatch: pytest.MonkeyPatch) -> None:
    ages = Ages(monkeypatch, None)
    with socket.socket() as sock:
        arrivals = arrival_times.ArrivalTracker(sock, ages.now)
        began_at = ages.after(0.1)
        arrivals.begin_read()
        arrivals.end_read(emptied=True)
        arrivals.pause()
        ages.after(1.0)
        ages.age_ns = AGE_NS
        for emptied in (False, True):
            arrivals.begin_read()
            assert arrivals.end_read(emptied) == arrival_times.ArrivalTimes(began_at, ages.now - AGE_NS)
        ages.after(1.0)
        arrivals.begin_read()
        assert arrivals.end_read(emptied=True) == arrival_times.ArrivalTimes(
            ages.now - AGE_NS, ages.now - AGE_NS
        )


def test_the_kernel_tells_how_long_data_lay_in_the_backlog_and_unread() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        client.sendall(b"a" * 100)
        time.sleep(HELD_UP_S)
        accepted, _ = listener.accept()
        with client, accepted:
            for _ in range(2):
                age = arrival_times.last_data_age_ns(accepted)
                assert age is not None
                assert age >= (HELD_UP_S - 0.02) * clock.NS_PER_S  # its clock is coarse
                accepted.recv(10)


class Short(socket.socket):
    """A system that tells less."""

    def getsockopt(self, *asked: Any) -> Any:
        return bytes(8)


def test_an_age_that_the_system_does_not_tell_is_unknown() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs, Short() as short:
        assert arrival_times.last_data_age_ns(ours) is None
        assert arrival_times.last_data_age_ns(short) is None
