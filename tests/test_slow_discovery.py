"""A discovery that takes seconds to answer is heard all the same; on virtual time, and by a gateway."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Awaitable, Callable

import pytest

from gingerworks import interface
from gingerworks.gateway.discovery import MAX_UNANSWERED_S, Watch
from gingerworks.gateway.server_list import Change
from tests import loopback, virtual_time
from tests.loopback import OK, Client, Peer, Reader, Writer, answering_server, build_request, entry, listing
from tests.test_discovery_deadline import (
    CHANGE_DEADLINE_S,
    HEAD,
    HEARTBEAT_S,
    OverloadedDiscovery,
    first_report_times,
    now,
)

TURN_S = 0.1  # for what takes no virtual time but a delay of some milliseconds
KNOWN = 41  # the version that the gateway knows at its start
SLOW_S = [2.4, 3.0, 4.5, 5.8]


def line(index: int, snapshot: bool = True) -> bytes:
    text = json.dumps(listing(entry("a", ("127.0.0.1", 1)), index=index, snapshot=snapshot))
    return chunk(text.encode() + b"\n")


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(text), text)


class SlowDiscovery:
    """Answers each call after a time, in one of several ways, and then sends empty lines."""

    def __init__(self, delay_s: float, answer: Answer, silent_calls: int = 0) -> None:
        self.delay_s = delay_s
        self.answer = answer
        self.silent_calls = silent_calls  # so many calls at first are never answered
        self.calls: list[bytes] = []  # the target of each call
        self.most_open = self.open = 0
        self.open_at_end = 0  # as the watch is about to be ended

    async def script(self, peer: Peer, reader: Reader, writer: Writer) -> None:
        self.calls.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        ended = asyncio.ensure_future(reader.read())
        answered = asyncio.ensure_future(self._answer(len(self.calls), writer))
        try:
            await asyncio.wait([ended, answered], return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.open -= 1
            answered.cancel()

    async def _answer(self, number: int, writer: Writer) -> None:
        if number <= self.silent_calls:
            await asyncio.sleep(1e9)
        await self.answer(self.delay_s, writer)
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            writer.write(chunk(b"\n"))


Answer = Callable[[float, Writer], Awaitable[None]]


async def at_once(delay_s: float, writer: Writer) -> None:
    await asyncio.sleep(delay_s)
    writer.write(HEAD + line(60))


async def with_the_head_first(delay_s: float, writer: Writer) -> None:
    writer.write(HEAD)
    await asyncio.sleep(delay_s)
    writer.write(line(60))


async def with_a_part_first(delay_s: float, writer: Writer) -> None:
    whole = line(60)
    writer.write(HEAD + whole[:40])
    await asyncio.sleep(delay_s)
    writer.write(whole[40:])


async def with_a_part_late(delay_s: float, writer: Writer) -> None:
    whole = line(60)
    await asyncio.sleep(delay_s / 2)
    writer.write(HEAD + whole[:40])
    await asyncio.sleep(delay_s / 2)
    writer.write(whole[40:])


ANSWERS: list[Answer] = [at_once, with_the_head_first, with_a_part_first, with_a_part_late]


def heard_after_s(discovery: SlowDiscovery, seed: int = 7, watched_s: float = 0.0) -> float:
    """Seconds from the start of a watch until it reports version 60; it is watched for some time after."""

    async def scenario() -> float:
        peer = await Peer(discovery.script).start()
        heard: asyncio.Future[float] = asyncio.get_running_loop().create_future()

        def on_change(change: Change) -> None:
            assert change.index == 60
            assert not heard.done()
            heard.set_result(now())

        watch = asyncio.ensure_future(Watch(peer.address, KNOWN, seed, on_change).run())
        try:
            async with asyncio.timeout(120.0):
                result = await heard
            await asyncio.sleep(watched_s)
            discovery.open_at_end = discovery.open
            return result
        finally:
            watch.cancel()

    return virtual_time.run(scenario())


# Guards against a list that is never heard: each call was given up after 2.3 s and begun anew, so a gateway
# went on by an old list, sent to draining servers and repeated keyed requests in other cells, for as long as
# discovery took longer than that for an answer (cases 6 and 9 of the second review).
@pytest.mark.parametrize("answer", ANSWERS, ids=lambda answer: str(answer.__name__))
@pytest.mark.parametrize("delay_s", SLOW_S)
def test_a_list_that_takes_seconds_is_heard_as_soon_as_it_comes(delay_s: float, answer: Answer) -> None:
    heard_s = heard_after_s(SlowDiscovery(delay_s, answer))
    assert heard_s < min(CHANGE_DEADLINE_S, delay_s + TURN_S)


# Guards against the same where the time-out is merely longer: no page limits how slow discovery may be.
@pytest.mark.parametrize("delay_s", [7.0, 11.0, 25.0])
def test_a_list_that_takes_longer_than_the_deadline_is_heard_as_well(delay_s: float) -> None:
    assert heard_after_s(SlowDiscovery(delay_s, at_once)) < delay_s + TURN_S


async def ends(writer: Writer) -> None:
    writer.transport.abort()


async def falls_silent(writer: Writer) -> None:
    await asyncio.sleep(1e9)


# Guards against the same on a watch that has to be opened anew, from whose end or silence on the time counts.
@pytest.mark.parametrize(("failure", "delay_s"), [(ends, 5.5), (falls_silent, 2.9)])
def test_a_change_is_heard_from_a_slow_discovery_after_a_watch_has_failed(
    failure: Callable[[Writer], Awaitable[None]], delay_s: float
) -> None:
    async def scenario() -> float:
        failed_at_s = 0.0
        reported: asyncio.Future[float] = asyncio.get_running_loop().create_future()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            nonlocal failed_at_s
            await reader.readuntil(b"\r\n\r\n")
            if peer.connections > 1:
                await at_once(delay_s, writer)
                await reader.read()
            writer.write(HEAD + line(50))
            await asyncio.sleep(HEARTBEAT_S)
            writer.write(chunk(b"\n"))
            await asyncio.sleep(0)
            failed_at_s = now()
            await failure(writer)

        def on_change(change: Change) -> None:
            if change.index == 60:
                reported.set_result(now() - failed_at_s)

        peer = await Peer(script).start()
        watch = asyncio.ensure_future(Watch(peer.address, KNOWN, 7, on_change).run())
        try:
            async with asyncio.timeout(120.0):
                return await reported
        finally:
            watch.cancel()

    assert virtual_time.run(scenario()) < CHANGE_DEADLINE_S


# Guards against a crowd that keeps discovery busy with calls that were given up, and never hears the answers.
@pytest.mark.parametrize(("gateways", "per_s"), [(40, 10.0), (200, 40.0)])
def test_a_fleet_that_waits_in_line_at_discovery_is_answered_in_turn(gateways: int, per_s: float) -> None:
    discovery = OverloadedDiscovery(per_s, max_wait_s=math.inf)  # it refuses nobody
    heard = first_report_times(discovery, gateways, seed=0)
    assert len(heard) == gateways
    assert heard[-1] < gateways / per_s + TURN_S < CHANGE_DEADLINE_S


# Guards against waiting for one call alone: its connection may be dead, or discovery may have forgotten it.
@pytest.mark.parametrize(("silent_calls", "delay_s"), [(1, 0.0), (1, 3.0), (2, 0.5), (20, 3.0)])
def test_calls_that_are_never_answered_do_not_hold_up_a_slow_answer(
    silent_calls: int, delay_s: float
) -> None:
    discovery = SlowDiscovery(delay_s, at_once, silent_calls)
    heard_s = heard_after_s(discovery)
    assert heard_s < silent_calls * 2.5 + delay_s + TURN_S
    assert discovery.most_open <= 4  # the calls kept do not pile up


# Guards against a dead call that takes the place of the one kept for a discovery slower than the deadline.
def test_a_call_that_is_never_answered_makes_room_after_a_minute() -> None:
    discovery = SlowDiscovery(10.0, at_once, silent_calls=1)
    assert heard_after_s(discovery) < MAX_UNANSWERED_S + 10.0 + TURN_S
    assert discovery.most_open <= 4


def test_one_call_stays_open_once_one_is_answered() -> None:
    discovery = SlowDiscovery(5.0, at_once)
    heard_after_s(discovery, watched_s=20.0)
    assert discovery.open_at_end == 1
    assert len(discovery.calls) == 3  # at 0, 2.3 and 4.7 s, and none after the answer


# Guards against a wrong list: a call kept open asks for the changes since a version, and these must not be
# applied once that version is no longer trusted.
def test_a_call_kept_open_is_not_heard_after_an_invalid_line_on_another() -> None:
    async def scenario() -> list[int]:
        calls: list[bytes] = []

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            calls.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
            if len(calls) == 1:
                await asyncio.sleep(3.0)
                writer.write(HEAD + line(55, snapshot=False))
            elif len(calls) == 2:
                writer.write(HEAD + chunk(b"{}\n"))
            else:
                await asyncio.sleep(2.0)
                writer.write(HEAD + line(60))
            await reader.read()

        peer = await Peer(script).start()
        heard: list[int] = []
        watch = Watch(peer.address, KNOWN, 7, lambda change: heard.append(change.index))
        task = asyncio.ensure_future(watch.run())
        await asyncio.sleep(6.0)
        task.cancel()
        assert [call.rpartition(b"=")[2] for call in calls] == [b"41", b"41", b"0"]
        return heard

    assert virtual_time.run(scenario()) == [60]


# Guards against the case as the review played it (case 9): a server that drains since before the start, and a
# discovery that answers each call after 3 s.
def test_a_gateway_hears_of_a_draining_server_from_a_slow_discovery() -> None:
    async def scenario() -> None:
        draining, ready = await answering_server(OK), await answering_server(OK)
        told = [entry("s0", draining.address, "Terminating"), entry("s1", ready.address)]

        async def answer(delay_s: float, writer: Writer) -> None:
            await asyncio.sleep(delay_s)
            writer.write(HEAD + chunk(json.dumps(listing(*told, index=60)).encode() + b"\n"))

        peer = await Peer(SlowDiscovery(3.0, answer).script).start()
        address = f"{peer.address[0]}:{peer.address[1]}"
        gw = loopback.gateway(draining.address, ready.address, discovery=address)
        started_s = now()
        while now() - started_s < CHANGE_DEADLINE_S:
            await asyncio.sleep(0.05)
        phases = {server.name: server.phase for server in gw.backends.servers()}
        assert phases == {"s0": interface.Phase.DRAINING, "s1": interface.Phase.READY}
        client, before = await Client.to(gw), len(draining.requests)
        for _ in range(20):
            assert (await client.send(build_request()))[0] == 200
        assert len(draining.requests) == before

    loopback.run(scenario())
