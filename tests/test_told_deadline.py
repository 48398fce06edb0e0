"""The time told to a server is at most what the client has left, however late its request is come to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from gingerworks import interface as io
from gingerworks.gateway import backend, clock
from gingerworks.gateway.__main__ import Gateway
from gingerworks.gateway.dial import Dial
from gingerworks.policy.driver import PATIENCE_AIM
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
    gateway,
    read_message,
    run,
    until,
)

SLACK_S = 0.15  # the protocol's
LEFT_S = 2.0
HELD_UP_S = 0.4


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


def test_to_one_that_was_read_and_waits_for_its_decision(monkeypatch: pytest.MonkeyPatch) -> None:
    stepped = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address)
        client = await Client.to(made)
        turn: Any = made.runtime._turn

        def late() -> None:
            if made.runtime._in_flight:
                stepped.hold_up()
            turn()

        await asyncio.sleep(0)
        monkeypatch.setattr(made.runtime, "_turn", late)
        status, _, _ = await client.send(ask("post"))
        assert status == 200
        assert no_more_than(LEFT_S - HELD_UP_S, server.requests[0])

    run(scenario())


class Stalls:
    """Holds the process up between the decision for one of the attempts and its begin."""

    def __init__(self, made: Gateway, which: int, hold_up: Callable[[], None]) -> None:
        self._assign = made.runtime._perform[io.Assign]
        self._which, self._hold_up = which, hold_up
        self.seen = 0
        made.runtime._perform[io.Assign] = self

    def __call__(self, action: io.Assign) -> None:
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
        server = await answering(*[NOT_RUN] * (which - 1), OK)
        made = gateway(server.address, server.address)
        Stalls(made, which, stepped.hold_up)
        assert (await (await Client.to(made)).send(ask("post")))[0] == 200
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
            assert (await client.send(ask()))[0] == 200
        stalls = Stalls(made, 2, stepped.hold_up)
        assert (await client.send(ask()))[0] == 200
        assert stalls.seen == 2
        patience = PATIENCE_AIM * SETTINGS["classes"][0]["on-time-ns"] / clock.NS_PER_S
        assert no_more_than(LEFT_S - patience - HELD_UP_S, server.requests[-1])

    run(scenario())


@pytest.mark.parametrize("which", [1, 2], ids=["first", "retry"])
def test_no_attempt_begins_once_the_clients_time_is_over(which: int, monkeypatch: pytest.MonkeyPatch) -> None:
    stepped = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server = await answering(NOT_RUN)
        made = gateway(server.address, server.address)
        Stalls(made, which, lambda: stepped.hold_up(LEFT_S))
        status, head, _ = await (await Client.to(made)).send(ask("post"))
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

        def _writable(self) -> None:
            self._stop()
            held.append(super()._writable)

    monkeypatch.setattr(backend, "Dial", Held)
    stepped = SteppedClock(monkeypatch)

    async def scenario() -> None:
        server = await answering(OK)
        made = gateway(server.address)
        client = await Client.to(made)
        client.writer.write(ask("post"))
        await until(lambda: bool(held))
        stepped.hold_up(late_s)
        held.pop()()
        status, _, _ = await client.answer()
        assert status == (200 if arrives else 503)
        assert [no_more_than(LEFT_S - late_s, request) for request in server.requests] == [True] * arrives

    run(scenario())
