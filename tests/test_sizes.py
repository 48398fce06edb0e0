"""Tests with a thousand gateways and a thousand servers.

They check that settings and server lists of that size are accepted, and that one gateway stays within its
limits of file descriptors and memory.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
import resource
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from itertools import cycle, islice
from pathlib import Path
from typing import Any

import pytest

from gingerworks import interface
from gingerworks.gateway import discovery
from gingerworks.gateway.__main__ import RESERVED_SOCKETS
from gingerworks.gateway.answer_parser import Answer
from gingerworks.gateway.backend import Attempt
from tests.loopback import (
    OK,
    SETTINGS,
    TEST_TIMEOUT_S,
    Client,
    Peer,
    Process,
    Reader,
    Writer,
    answering_server,
    build_request,
    entry,
    gateway,
    listing,
    raw_config,
    read_message,
    run,
    wait_until,
)
from tests.test_adapter import REQUEST, ROWS, START, batch
from tests.test_adapter import run as play
from tests.test_gateway_discovery import HEAD, start_watched_discovery

COUNT = 1024  # number of gateways, of servers, and of gateways that a customer uses
LISTENERS = 16  # listening peers, each of which stands for many servers
MAX_MEMORY_KIB = 96 << 10  # half of the 192 MB allowed; on long trial days memory above this half has a price
HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
LONG_TIME_LEFT_S = "20.000"  # enough for a burst of requests to queue up
CLASSES_WITH_LONG_DEADLINES = [
    one | {"on-time-ns": 20_000_000_000, "hard-limit-ns": 20_000_000_000} for one in SETTINGS["classes"]
]
LONG_BODY = b"a" * 60_000
LONG_OK = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LONG_BODY), LONG_BODY)


def entries(peers: list[Peer], first: int = 0) -> list[dict[str, Any]]:
    """The entries of the longest server list allowed, with names as long as discovery writes them."""
    addresses = cycle(peer.address for peer in peers)
    return [
        entry(f"s-{first + number:08x}", address) for number, address in enumerate(islice(addresses, COUNT))
    ]


def fleet_settings(me: int) -> dict[str, Any]:
    """The settings of gateway ``me`` among a thousand."""
    return SETTINGS | {"peers-total": COUNT, "me": me}


@pytest.mark.parametrize("me", [0, COUNT - 1])
@pytest.mark.parametrize(
    ("spread", "first"), [(COUNT, 0), (COUNT, COUNT - 1), (3, COUNT - 2), (1, COUNT - 1)]
)
def test_a_customer_may_use_any_range_of_a_thousand_gateways_with_wrap_around(
    me: int, spread: int, first: int
) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        client = await Client.to(gateway(server.address, settings=fleet_settings(me)))
        metering = f"units=2,spread={spread},first={first}"
        for plan in ("free", "small"):
            assert (await client.send(build_request(X_Contract=plan, X_Metering=metering)))[0] == 200
        assert len(server.requests) == 2

    run(scenario())


@pytest.mark.parametrize(("spread", "first"), [(COUNT + 1, 0), (1, COUNT), (0, 0)])
def test_a_range_beyond_a_thousand_gateways_is_refused_as_malformed(spread: int, first: int) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        client = await Client.to(gateway(server.address, settings=fleet_settings(0)))
        assert (await client.send(build_request(X_Metering=f"units=2,spread={spread},first={first}")))[
            0
        ] == 400
        assert not server.requests

    run(scenario())


def test_the_adapter_accepts_a_thousand_gateways_and_servers() -> None:
    rows = [f"ROW phase=1 block=0 zone=a hw=k server=s{number} size=1" for number in range(COUNT)]
    whole = "\n".join([f"BACKENDS_CHANGED index=1 mode=4 records={COUNT} extra=1", *rows])
    start = START.replace(ROWS, whole).replace("me=0 peers-total=2", f"me={COUNT - 1} peers-total={COUNT}")
    start = start.replace("has-counter=true", "has-counter=false")
    code, lines = play(batch(f"{start}\n{REQUEST.replace('n-entries=2', f'n-entries={COUNT}')}"))
    assert code == 0
    assert any(re.match(r"ASSIGN op-id=9 server=s\d+ ", line) for line in lines)


def in_one_chunk(message: bytes) -> list[bytes]:
    """A message as discovery sends it: one chunk in one write."""
    return [b"%x\r\n%b\r\n" % (len(message), message)]


def in_pieces(message: bytes) -> list[bytes]:
    """The same message in chunks and writes of random sizes, which do not coincide."""
    rng = random.Random(1024)

    def cut(whole: bytes) -> Iterator[bytes]:
        at = 0
        while at < len(whole):
            size = rng.randrange(1, 4096, 2)
            yield whole[at : at + size]
            at += size

    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in cut(message))
    return list(cut(chunks))


def an_entry_a_line(message: dict[str, Any]) -> str:
    """A message with one entry a line, as the protocol's documentation shows it."""
    return json.dumps(message).replace('{"name"', '\n  {"name"')


FORMS: dict[str, Callable[[dict[str, Any]], str]] = {
    "one line": json.dumps,
    "an entry a line": an_entry_a_line,
    "indented": partial(json.dumps, indent=2),
    "indented wide": partial(json.dumps, indent=8),
}


async def discovery_sending(text: str, pieces: bool) -> Peer:
    """A discovery that sends one message and then stays silent."""
    message = text.encode() + b"\n"

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        peer.requests.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
        writer.write(HEAD)
        for piece in in_pieces(message) if pieces else in_one_chunk(message):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        await reader.read()

    return await Peer(script).start()


@pytest.mark.parametrize("snapshot", [True, False], ids=["snapshot", "delta"])
@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS.keys())
@pytest.mark.parametrize("pieces", [False, True], ids=["at once", "in pieces"])
def test_a_list_of_a_thousand_servers_is_read_and_used(
    snapshot: bool,
    form: Callable[[dict[str, Any]], str],
    pieces: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_S", 1e6)  # no further message is sent

    async def scenario() -> None:
        peers = [await answering_server(OK) for _ in range(LISTENERS)]
        servers = entries(peers)
        discovery_peer = await discovery_sending(form(listing(*servers, index=2, snapshot=snapshot)), pieces)
        gw = gateway(discovery=f"{discovery_peer.address[0]}:{discovery_peer.address[1]}")
        await wait_until(lambda: len(list(gw.backends.servers())) == COUNT)
        assert [one.name for one in gw.backends.servers()] == [one["name"] for one in servers]
        assert discovery_peer.requests == [b"/catalog/members?follow=1&since=1"]
        assert not any(peer.connections for peer in peers)
        assert (await (await Client.to(gw)).send(build_request()))[0] == 200
        assert sum(peer.connections for peer in peers) == 1

    run(scenario())


def test_a_delta_may_replace_all_of_a_thousand_servers() -> None:
    async def scenario() -> None:
        peers = [await answering_server(OK)]
        old, new = entries(peers), entries(peers, COUNT)
        leaving = [one | {"status": "Gone"} for one in old]
        texts = [
            json.dumps(message).encode() + b"\n"
            for message in (listing(*old, index=6), listing(*leaving, *new, index=7, snapshot=False))
        ]
        peer, changes = await start_watched_discovery(
            [piece for message in texts for piece in in_one_chunk(message)]
        )
        await wait_until(lambda: len(changes) == 2)
        assert [(change.full, len(change.endpoints)) for change in changes] == [
            (True, COUNT),
            (False, 2 * COUNT),
        ]
        assert peer.connections == 1
        gw = gateway()
        for change in changes:
            gw.runtime.update_servers(change)
        assert {one.name for one in gw.backends.servers()} == {one["name"] for one in new}
        assert (await (await Client.to(gw)).send(build_request()))[0] == 200

    run(scenario())


@contextmanager
def many_descriptors() -> Iterator[None]:
    """Raise the limit of descriptors as far as allowed, for all the sockets of a test in this process."""
    former = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (former[1], former[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, former)


def peak_kib(process: Process) -> int:
    """The peak resident memory of a process."""
    found = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{process.pid}/status").read_text())
    assert found is not None
    return int(found[1])


class Burst:
    """Clients that all send a request at once; each connects again until it has an answer."""

    def __init__(self, process: Process, clients: int) -> None:
        self.process = process
        self.statuses: list[int] = []
        self.most_descriptors = 0  # of the gateway
        self._tasks = [asyncio.ensure_future(self._ask()) for _ in range(clients)]

    async def _ask(self) -> None:
        while True:
            client = await Client.at(self.process.address)
            try:
                status, _, body = await client.send(build_request(left=LONG_TIME_LEFT_S))
            except (ConnectionError, asyncio.IncompleteReadError):
                continue  # closed by the gateway to make room
            finally:
                client.writer.close()
            assert status != 200 or body == LONG_BODY
            self.statuses.append(status)
            return

    async def wait(self) -> None:
        """Wait for all answers, and record how many descriptors the gateway uses meanwhile."""
        while not all(task.done() for task in self._tasks):
            self.most_descriptors = max(self.most_descriptors, self.process.descriptors())
            await asyncio.sleep(0.002)
        await asyncio.gather(*self._tasks)


async def slow_server() -> Peer:
    """A slow server with long answers, so that many requests are in flight at once."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        while True:
            peer.requests.append(await read_message(reader))
            await asyncio.sleep(0.5)
            writer.write(LONG_OK)

    return await Peer(script).start()


async def discovery_repeating(servers: list[dict[str, Any]], times: int) -> Peer:
    """A discovery that repeatedly sends the whole list and a change of all its entries."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD)
        for index in range(2, 2 + times):
            message = listing(*servers, index=index, snapshot=index % 2 == 0)
            writer.write(in_one_chunk(json.dumps(message).encode() + b"\n")[0])
            await writer.drain()
        peer.requests.append(b"all sent")
        while True:
            await asyncio.sleep(1.0)
            writer.write(b"1\r\n\n\r\n")

    return await Peer(script).start()


@pytest.mark.parametrize("sockets", [256, 1024])
def test_a_thousand_servers_and_a_burst_stay_within_descriptors_and_memory(
    sockets: int, tmp_path: Path
) -> None:
    # The kernel enforces the limit of descriptors: what exceeds it fails and is logged.
    async def scenario() -> None:
        peers = [await slow_server() for _ in range(LISTENERS)]
        servers = entries(peers)
        discovery_peer = await discovery_repeating(servers, 20)
        config = raw_config(
            discovery=f"{discovery_peer.address[0]}:{discovery_peer.address[1]}",
            known=listing(*servers),
            limits={"sockets": sockets},
            settings=fleet_settings(COUNT - 1) | {"classes": CLASSES_WITH_LONG_DEADLINES},
        )
        with Process(tmp_path, config) as process:
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
            await process.listening()
            assert (await (await Client.at(process.address)).send(HEALTH))[0] == 200
            await wait_until(lambda: discovery_peer.requests == [b"all sent"])
            assert process.descriptors() < RESERVED_SOCKETS
            assert not any(peer.connections for peer in peers)
            silent = [await Client.at(process.address) for _ in range(sockets)]
            await wait_until(lambda: process.descriptors() > sockets // 3)  # the client table is full
            burst = Burst(process, sockets // 2 + 100)  # more than the client table holds
            await burst.wait()
            connections = sum(peer.connections for peer in peers)
            assert 0 < connections <= sum(len(peer.requests) for peer in peers)
            assert burst.most_descriptors <= sockets
            # Which of them are refused depends on load shedding, which other tests check.
            assert 200 in burst.statuses
            assert set(burst.statuses) <= {200, 429, 502, 503}
            assert len(silent) == sockets
            assert peak_kib(process) < MAX_MEMORY_KIB
            assert "Too many open files" not in process.log()
            assert "skipping a malformed entry" not in process.log()

    with many_descriptors():
        run(scenario())


@pytest.mark.parametrize("sockets", [256, 1024])
def test_attempts_on_a_thousand_servers_stay_within_the_limit_of_server_connections(sockets: int) -> None:
    # The attempts are started without the policy, which never has so many in flight at once.
    async def scenario() -> None:
        peers = [await answering_server(OK) for _ in range(LISTENERS)]
        servers = entries(peers)
        gw = gateway(known=listing(*servers), limits={"sockets": sockets})
        assert gw.frontend.clients.budget + gw.backends._max_connections + RESERVED_SOCKETS <= sockets
        backends, budget = gw.backends, gw.backends._max_connections
        ended: list[interface.Status] = []

        def end(attempt: Attempt, status: interface.Status, answer: Answer | None) -> None:
            ended.append(status)

        def attempt_at(server: dict[str, Any]) -> None:
            backends.start(
                Attempt(server["name"], TEST_TIMEOUT_S, lambda left: build_request(), lambda: True, end)
            )

        for server in servers:  # all at once: only some get a connection
            attempt_at(server)
        await wait_until(lambda: len(ended) == COUNT)
        assert ended.count(interface.Status.UNUSED) == COUNT - budget
        assert ended.count(interface.Status.DELIVERED) == budget
        ended.clear()
        for server in reversed(servers):  # one by one: idle connections are closed to make room
            attempt_at(server)
            assert len(backends._open) <= budget
            await wait_until(lambda: len(ended) == 1)
            assert ended.pop() is interface.Status.DELIVERED
        assert sum(peer.connections for peer in peers) <= budget + COUNT

    with many_descriptors():
        run(scenario())
