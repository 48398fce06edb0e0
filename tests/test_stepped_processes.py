"""Gateway processes whose wall clocks differ use the same shared count for the same customer.

Each process has its own port of the counter, so that the counts that it calls can be told from the others'.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from gingerworks.gateway.config import Address
from gingerworks.policy.clock_sync import BEACON_NAME, LOCK_NAME, PRESENCE_NAMES
from tests.loopback import (
    OK,
    SETTINGS,
    Client,
    Peer,
    Process,
    Reader,
    Writer,
    answering_server,
    build_request,
    raw_config,
    run,
    wait_until,
)

CLOCK_NAMES = {BEACON_NAME, LOCK_NAME, *PRESENCE_NAMES}
GATEWAYS = 3
REQUEST_INTERVAL_S = 0.03
LATEST_CALLS = 4  # of each gateway: all of them must name the same count


class SharedCounter:
    """The shared counter: totals by name, each with the lifetime given in the call that created it."""

    def __init__(self) -> None:
        self.totals: dict[int, tuple[float, float]] = {}
        self.ports: list[Peer] = []
        self.named: list[list[int]] = []  # for each gateway, the customers' counts that it has called

    async def port(self) -> Address:
        """Open a port for one more gateway."""
        called_names: list[int] = []
        self.named.append(called_names)

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            while line := await reader.readline():
                writer.write(self._answer(line.split(), called_names))

        self.ports.append(await Peer(script).start())
        return self.ports[-1].address

    def _answer(self, words: list[bytes], called_names: list[int]) -> bytes:
        if words[0] == b"ping":
            return b"pong\r\n"
        name, amount, life_s = int(words[1]), float(words[2]), int(words[3]) / 1000
        now = asyncio.get_running_loop().time()
        total, expires = self.totals.get(name, (0.0, 0.0))
        if expires <= now:
            total, expires = 0.0, now + life_s
        self.totals[name] = total + amount, expires
        if name not in CLOCK_NAMES:
            called_names.append(name)
        return b"ok %.7g\r\n" % (total + amount)

    def is_shared_by(self, *gateways: int) -> bool:
        """Whether the latest calls of these gateways all name one count."""
        latest = [self.named[number][-LATEST_CALLS:] for number in gateways]
        return all(len(names) == LATEST_CALLS for names in latest) and len(set().union(*latest)) == 1

    def restart_empty(self) -> None:
        """Lose all counts and break all connections, as if the counter's zone was lost."""
        self.totals.clear()
        for port in self.ports:
            for writer in port.writers:
                writer.transport.abort()


async def flood(process: Process) -> None:
    """Send requests of one customer for far more than its quota."""
    await process.listening()
    client = await Client.at(process.address)
    while True:
        status, _, _ = await client.send(
            build_request(X_Contract="small", X_Metering="units=2,spread=3,first=0")
        )
        assert status in (200, 429, 503)
        await asyncio.sleep(REQUEST_INTERVAL_S)


class Fleet:
    """Gateways with a counter and a server; each constantly gets requests of the same customer."""

    def __init__(self, folder: Path, counter: SharedCounter, server: Address) -> None:
        self.folder, self.counter, self.server = folder, counter, server
        self.processes: list[Process] = []
        self.floods: list[asyncio.Task[None]] = []

    async def add(self, step_s: int) -> None:
        """Start one more gateway, with a wall clock that was stepped by ``step_s`` before."""
        number = len(self.processes)
        host, port = await self.counter.port()
        specifics = SETTINGS["specifics"] | {"has-counter": True}
        changes = {"me": number % GATEWAYS, "peers-total": GATEWAYS, "specifics": specifics}
        config = raw_config(
            self.server, name=f"n{number}", counter=f"{host}:{port}", settings=SETTINGS | changes
        )
        process = Process(self.folder, config, "tests.stepped_gateway", WALL_STEP_BEFORE=str(step_s))
        self.processes.append(process)
        self.floods.append(asyncio.create_task(flood(process)))

    async def kill(self, number: int) -> None:
        """Kill a gateway, as when its machine fails."""
        self.floods[number].cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.floods[number]
        self.processes[number].kill()

    async def end(self) -> None:
        for number in range(len(self.processes)):
            await self.kill(number)


@contextlib.asynccontextmanager
async def fleet(folder: Path, *steps_s: int) -> AsyncIterator[Fleet]:
    server = await answering_server(OK)
    gateways = Fleet(folder, SharedCounter(), server.address)
    try:
        for step_s in steps_s:
            await gateways.add(step_s)
        yield gateways
    finally:
        await gateways.end()


@pytest.mark.parametrize("steps_s", [(0, 100, 0), (3600, 0, 0), (0, -3600, 100)])
def test_processes_with_other_wall_clocks_name_the_same_counts(
    tmp_path: Path, steps_s: tuple[int, ...]
) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, *steps_s) as gateways:
            await wait_until(lambda: gateways.counter.is_shared_by(0, 1, 2))

    run(scenario())


def test_a_restart_with_another_wall_clock_follows_the_others_though_all_counts_were_lost(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 0, 0, 0) as gateways:
            await wait_until(lambda: gateways.counter.is_shared_by(0, 1, 2))
            await gateways.kill(0)
            gateways.counter.restart_empty()
            await gateways.add(100)
            await wait_until(lambda: gateways.counter.is_shared_by(1, 2, 3))

    run(scenario())
