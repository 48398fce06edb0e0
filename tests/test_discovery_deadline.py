"""Whatever became of a watch and its calls before, a change is heard within 6 s; on virtual time."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

import pytest

from gingerworks.gateway import discovery
from gingerworks.gateway.discovery import Change, Watch
from tests.loopback import Peer, Reader, Writer, entry, listing
from tests.virtual_time import run

CHANGE_DEADLINE_S = 6.0  # the operators' figure
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
EMPTY = b"1\r\n\n\r\n"
HEARTBEAT_S = 2.0
FLEETS = [3, 40, 200, 1200]

Trouble = Callable[["Agent", Writer], Awaitable[None]]


def now() -> float:
    return asyncio.get_running_loop().time()


def line(index: int) -> bytes:
    text = json.dumps(listing(entry("a", ("127.0.0.1", 1)), index=index)).encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(text), text)


class Agent:
    """Discovery's agent: it plays a trouble up to a moment, from then on it tells of version 9 at once."""

    def __init__(self, trouble: Trouble, change_at: float) -> None:
        self.trouble = trouble
        self.change_at = change_at
        self.calls: list[float] = []

    async def script(self, peer: Peer, reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.calls.append(now())
        if now() < self.change_at:
            return await self.trouble(self, writer)
        writer.write(HEAD + line(9))
        await self.beat(writer)

    async def beat(self, writer: Writer, until: float = 1e9) -> None:
        """Empty lines, as nothing changes."""
        while now() + HEARTBEAT_S < until:
            await asyncio.sleep(HEARTBEAT_S)
            writer.write(EMPTY)

    async def rest(self) -> None:
        """The connection stays open, and nothing comes on it any more."""
        await asyncio.sleep(1e9)


async def refuses(agent: Agent, writer: Writer) -> None:
    writer.write(BUSY)


async def refuses_late(agent: Agent, writer: Writer) -> None:
    await asyncio.sleep(2.0)
    writer.write(BUSY)


async def resets(agent: Agent, writer: Writer) -> None:
    await asyncio.sleep(1.9)
    writer.transport.abort()


async def says_nothing(agent: Agent, writer: Writer) -> None:
    await agent.rest()


async def says_a_head(agent: Agent, writer: Writer) -> None:
    await asyncio.sleep(2.0)
    writer.write(HEAD)
    await agent.rest()


async def breaks_off(agent: Agent, writer: Writer) -> None:
    await asyncio.sleep(2.0)
    writer.write(HEAD + line(6)[:40])
    await agent.rest()


async def falls_silent(agent: Agent, writer: Writer) -> None:
    """The open watch falls silent with the change; what it misses counts from then on."""
    writer.write(HEAD + line(6))
    await agent.beat(writer, agent.change_at)
    await agent.rest()


async def serves_and_ends(agent: Agent, writer: Writer) -> None:
    writer.write(HEAD + line(6))
    await asyncio.sleep(0.7)


async def sends_junk(agent: Agent, writer: Writer) -> None:
    writer.write(HEAD + b"3\r\n{}\n\r\n")


TROUBLES: list[Trouble] = [
    refuses, refuses_late, resets, says_nothing, says_a_head, breaks_off, falls_silent, serves_and_ends,
    sends_junk,
]  # fmt: skip


def heard_after_s(trouble: Trouble, gateways: int, seed: int) -> float:
    """Seconds from a change until a watch that has been in trouble for a while hears of it."""

    async def scenario() -> float:
        agent = Agent(trouble, 20.0 + 20.0 * random.Random(seed).random())
        peer = await Peer(agent.script).start()
        heard: asyncio.Future[float] = asyncio.get_running_loop().create_future()

        def told(change: Change) -> None:
            if change.index == 9 and not heard.done():
                heard.set_result(now() - agent.change_at)

        watch = asyncio.ensure_future(Watch(peer.address, 5, seed, told, gateways).run())
        try:
            return await heard
        finally:
            watch.cancel()

    return run(scenario())


@pytest.mark.parametrize("gateways", FLEETS)
@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda trouble: str(trouble.__name__))
def test_a_change_is_heard_in_time_whatever_went_before(trouble: Trouble, gateways: int) -> None:
    # After a refusal a gateway of 40 once paused up to 23 s, one of 1,200 up to 173 s.
    late = [heard_after_s(trouble, gateways, seed) for seed in range(8)]
    assert max(late) < CHANGE_DEADLINE_S


def test_the_longest_chain_fits_in_the_time_after_which_a_change_counts_as_told() -> None:
    # Each wait at its longest; on virtual time the agent answers at once, and a connection comes up at once.
    first_line = discovery.CONNECT_TIMEOUT_S + discovery.ANSWER_TIMEOUT_S + discovery.FINAL_READ_S
    reopen = 1.5 * discovery.REOPEN_DELAY_S + first_line
    # An open watch falls silent.
    assert discovery.SILENCE_TIMEOUT_S + discovery.FINAL_READ_S + reopen < CHANGE_DEADLINE_S
    assert first_line + reopen < CHANGE_DEADLINE_S  # a call was not answered
    assert discovery.MAX_REFUSED_DELAY_S + first_line < CHANGE_DEADLINE_S  # one was refused
    assert discovery.SILENCE_TIMEOUT_S > HEARTBEAT_S


class Overbooked:
    """A discovery that takes calls in turn, so many a second, also those that were refused for waiting."""

    WAIT_S = 2.0

    def __init__(self, a_second: float) -> None:
        self.each_s = 1 / a_second
        self.free_at = 0.0

    async def script(self, peer: Peer, reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.free_at = max(now(), self.free_at) + self.each_s
        wait = self.free_at - now()
        await asyncio.sleep(min(wait, self.WAIT_S))
        if wait > self.WAIT_S:
            writer.write(BUSY)
            return
        writer.write(HEAD + line(9))
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            writer.write(EMPTY)


def crowd(gateways: int, a_second: float, seed: int) -> list[float]:
    """Watches that all come at once: when each first hears the list."""

    async def scenario() -> list[float]:
        peer = await Peer(Overbooked(a_second).script).start()
        heard: dict[int, float] = {}
        watches = []
        for me in range(gateways):

            def told(change: Change, me: int = me) -> None:
                heard.setdefault(me, now())

            watches.append(asyncio.ensure_future(Watch(peer.address, 5, seed + me, told, gateways).run()))
        while len(heard) < gateways and now() < 60.0:
            await asyncio.sleep(0.1)
        for watch in watches:
            watch.cancel()
        return sorted(heard.values())

    return run(scenario())


@pytest.mark.parametrize("seed", [1000, 2000])
@pytest.mark.parametrize(("gateways", "a_second"), [(40, 7.0), (200, 35.0)])
def test_a_crowd_that_discovery_turns_away_thins_out(gateways: int, a_second: float, seed: int) -> None:
    # Six seconds of work at once.  With pauses from 0 up, of the same bound, the jam never ended: nobody is
    # heard any more where calls come faster than they are worked on, and those given up are worked on too.
    heard = crowd(gateways, a_second, seed)
    assert len(heard) == gateways
    assert heard[-1] < 5 * gateways / a_second
