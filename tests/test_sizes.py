"""Sizes: a thousand gateways and a thousand servers, within the descriptors and the memory of one gateway."""

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
from gingerworks.gateway.backend import Answer, Attempt
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

COUNT = 1024  # of gateways, of servers, and of a customer's gateways
LISTENERS = 16  # share the names of so many servers among them
MEMORY_KIB = 96 << 10  # half of the 192 MB that a gateway may have: what lies above is priced on long days
HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
PATIENT_LEFT = "20.000"  # seconds: time enough for a burst to pile up
PATIENT_CLASSES = [
    one | {"on-time-ns": 20_000_000_000, "hard-limit-ns": 20_000_000_000} for one in SETTINGS["classes"]
]
LONG_BODY = b"a" * 60_000
LONG_OK = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LONG_BODY), LONG_BODY)


def entries(peers: list[Peer], first: int = 0) -> list[dict[str, Any]]:
    """The entries of as many servers as may be listed, with names as long as discovery writes them."""
    addresses = cycle(peer.address for peer in peers)
    return [
        entry(f"s-{first + number:08x}", address) for number, address in enumerate(islice(addresses, COUNT))
    ]


def fleet_settings(me: int) -> dict[str, Any]:
    """Settings of one gateway of a thousand."""
    return SETTINGS | {"peers-total": COUNT, "me": me}


@pytest.mark.parametrize("me", [0, COUNT - 1])
@pytest.mark.parametrize(
    ("spread", "first"), [(COUNT, 0), (COUNT, COUNT - 1), (3, COUNT - 2), (1, COUNT - 1)]
)
def test_a_customer_may_use_all_of_a_thousand_gateways_counted_round(
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
def test_a_set_beyond_a_thousand_gateways_is_refused_as_malformed(spread: int, first: int) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        client = await Client.to(gateway(server.address, settings=fleet_settings(0)))
        assert (await client.send(build_request(X_Metering=f"units=2,spread={spread},first={first}")))[
            0
        ] == 400
        assert not server.requests

    run(scenario())


def test_the_adapter_takes_a_thousand_gateways_and_servers() -> None:
    rows = [f"ROW phase=1 block=0 zone=a hw=k server=s{number} size=1" for number in range(COUNT)]
    whole = "\n".join([f"BACKENDS_CHANGED index=1 mode=4 records={COUNT} extra=1", *rows])
    start = START.replace(ROWS, whole).replace("me=0 peers-total=2", f"me={COUNT - 1} peers-total={COUNT}")
    start = start.replace("has-counter=true", "has-counter=false")
    code, lines = play(batch(f"{start}\n{REQUEST.replace('n-entries=2', f'n-entries={COUNT}')}"))
    assert code == 0
    assert any(re.match(r"ASSIGN op-id=9 server=s\d+ ", line) for line in lines)


def in_one_chunk(message: bytes) -> list[bytes]:
    """A message as discovery writes it: one chunk, one write."""
    return [b"%x\r\n%b\r\n" % (len(message), message)]


def in_pieces(message: bytes) -> list[bytes]:
    """The same in chunks that end anywhere, and writes that end anywhere in these."""
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
    """A message as the protocol page shows it."""
    return json.dumps(message).replace('{"name"', '\n  {"name"')


FORMS: dict[str, Callable[[dict[str, Any]], str]] = {
    "one line": json.dumps,
    "an entry a line": an_entry_a_line,
    "indented": partial(json.dumps, indent=2),
    "indented wide": partial(json.dumps, indent=8),
}


async def telling(text: str, pieces: bool) -> Peer:
    """A discovery that tells of one change and then stays silent."""
    told = text.encode() + b"\n"

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        peer.requests.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
        writer.write(HEAD)
        for piece in in_pieces(told) if pieces else in_one_chunk(told):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        await reader.read()

    return await Peer(script).start()


@pytest.mark.parametrize("snapshot", [True, False], ids=["snapshot", "delta"])
@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS.keys())
@pytest.mark.parametrize("pieces", [False, True], ids=["at once", "in pieces"])
def test_a_list_of_a_thousand_servers_is_heard_and_served_from(
    snapshot: bool,
    form: Callable[[dict[str, Any]], str],
    pieces: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_S", 1e6)  # nothing more is told

    async def scenario() -> None:
        peers = [await answering_server(OK) for _ in range(LISTENERS)]
        servers = entries(peers)
        agent = await telling(form(listing(*servers, index=2, snapshot=snapshot)), pieces)
        made = gateway(discovery=f"{agent.address[0]}:{agent.address[1]}")
        await wait_until(lambda: len(list(made.backends.servers())) == COUNT)
        assert [one.name for one in made.backends.servers()] == [one["name"] for one in servers]
        assert agent.requests == [b"/catalog/members?follow=1&since=1"]
        assert not any(peer.connections for peer in peers)
        assert (await (await Client.to(made)).send(build_request()))[0] == 200
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
        peer, told = await start_watched_discovery(
            [piece for message in texts for piece in in_one_chunk(message)]
        )
        await wait_until(lambda: len(told) == 2)
        assert [(change.full, len(change.endpoints)) for change in told] == [
            (True, COUNT),
            (False, 2 * COUNT),
        ]
        assert peer.connections == 1
        made = gateway()
        for change in told:
            made.runtime.update_servers(change)
        assert {one.name for one in made.backends.servers()} == {one["name"] for one in new}
        assert (await (await Client.to(made)).send(build_request()))[0] == 200

    run(scenario())


@contextmanager
def many_descriptors() -> Iterator[None]:
    """This process holds both ends of all connections but the gateway's: as many as it is allowed."""
    former = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (former[1], former[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, former)


def peak_kib(process: Process) -> int:
    """The most memory that a process has held."""
    found = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{process.pid}/status").read_text())
    assert found is not None
    return int(found[1])


class Burst:
    """Clients that all ask at once; each comes again until it has an answer."""

    def __init__(self, process: Process, clients: int) -> None:
        self.process = process
        self.statuses: list[int] = []
        self.most_descriptors = 0  # of the gateway
        self._tasks = [asyncio.ensure_future(self._ask()) for _ in range(clients)]

    async def _ask(self) -> None:
        while True:
            client = await Client.at(self.process.address)
            try:
                status, _, body = await client.send(build_request(left=PATIENT_LEFT))
            except (ConnectionError, asyncio.IncompleteReadError):
                continue  # shut unread, to make room
            finally:
                client.writer.close()
            assert status != 200 or body == LONG_BODY
            self.statuses.append(status)
            return

    async def over(self) -> None:
        """Wait for all answers, and watch the gateway's descriptors meanwhile."""
        while not all(task.done() for task in self._tasks):
            self.most_descriptors = max(self.most_descriptors, self.process.descriptors())
            await asyncio.sleep(0.002)
        await asyncio.gather(*self._tasks)


async def slow() -> Peer:
    """A server that takes its time, so that many requests are out at once, and gives long answers."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        while True:
            peer.requests.append(await read_message(reader))
            await asyncio.sleep(0.5)
            writer.write(LONG_OK)

    return await Peer(script).start()


async def repeating(servers: list[dict[str, Any]], times: int) -> Peer:
    """A discovery that tells the whole list and a change of all its entries again and again."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD)
        for index in range(2, 2 + times):
            message = listing(*servers, index=index, snapshot=index % 2 == 0)
            writer.write(in_one_chunk(json.dumps(message).encode() + b"\n")[0])
            await writer.drain()
        peer.requests.append(b"told")
        while True:
            await asyncio.sleep(1.0)
            writer.write(b"1\r\n\n\r\n")

    return await Peer(script).start()


@pytest.mark.parametrize("sockets", [256, 1024])
def test_a_thousand_servers_and_a_burst_stay_within_descriptors_and_memory(
    sockets: int, tmp_path: Path
) -> None:
    # The kernel holds the process to its limit: whatever goes beyond it fails and is logged.
    async def scenario() -> None:
        peers = [await slow() for _ in range(LISTENERS)]
        servers = entries(peers)
        agent = await repeating(servers, 20)
        config = raw_config(
            discovery=f"{agent.address[0]}:{agent.address[1]}",
            known=listing(*servers),
            limits={"sockets": sockets},
            settings=fleet_settings(COUNT - 1) | {"classes": PATIENT_CLASSES},
        )
        with Process(tmp_path, config) as process:
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
            await process.listening()
            assert (await (await Client.at(process.address)).send(HEALTH))[0] == 200
            await wait_until(lambda: agent.requests == [b"told"])
            assert process.descriptors() < RESERVED_SOCKETS
            assert not any(peer.connections for peer in peers)
            silent = [await Client.at(process.address) for _ in range(sockets)]
            await wait_until(lambda: process.descriptors() > sockets // 3)  # the table of clients is full
            burst = Burst(process, sockets // 2 + 100)  # more than that table holds
            await burst.over()
            connections = sum(peer.connections for peer in peers)
            assert 0 < connections <= sum(len(peer.requests) for peer in peers)
            assert burst.most_descriptors <= sockets
            # Which of them are refused is load shedding's matter.
            assert 200 in burst.statuses
            assert set(burst.statuses) <= {200, 429, 502, 503}
            assert len(silent) == sockets
            assert peak_kib(process) < MEMORY_KIB
            assert "Too many open files" not in process.log()
            assert "skipping a malformed entry" not in process.log()

    with many_descriptors():
        run(scenario())


@pytest.mark.parametrize("sockets", [256, 1024])
def test_attempts_at_a_thousand_servers_keep_to_the_servers_part_of_the_descriptors(sockets: int) -> None:
    # The module is passed over here: it never has so much out at once.
    async def scenario() -> None:
        peers = [await answering_server(OK) for _ in range(LISTENERS)]
        servers = entries(peers)
        made = gateway(known=listing(*servers), limits={"sockets": sockets})
        assert made.frontend.clients.budget + made.backends._max_connections + RESERVED_SOCKETS <= sockets
        backends, budget = made.backends, made.backends._max_connections
        ended: list[interface.Status] = []

        def end(attempt: Attempt, status: interface.Status, answer: Answer | None) -> None:
            ended.append(status)

        def attempt_at(server: dict[str, Any]) -> None:
            backends.start(
                Attempt(server["name"], TEST_TIMEOUT_S, lambda left: build_request(), lambda: True, end)
            )

        for server in servers:  # all at once: there is room for some
            attempt_at(server)
        await wait_until(lambda: len(ended) == COUNT)
        assert ended.count(interface.Status.UNUSED) == COUNT - budget
        assert ended.count(interface.Status.DELIVERED) == budget
        ended.clear()
        for server in reversed(servers):  # in turn: what rests makes room
            attempt_at(server)
            assert len(backends._open) <= budget
            await wait_until(lambda: len(ended) == 1)
            assert ended.pop() is interface.Status.DELIVERED
        assert sum(peer.connections for peer in peers) <= budget + COUNT

    with many_descriptors():
        run(scenario())
