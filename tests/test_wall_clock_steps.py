"""Steps of the wall clock before a gateway starts or while it runs: they must not change any duration."""

from __future__ import annotations

import ast
import asyncio
import json
import os
import signal
import time
from functools import cache
from pathlib import Path
from typing import Any

import pytest

from gingerworks import interface
from gingerworks.gateway import clock
from gingerworks.gateway.__main__ import Gateway
from gingerworks.gateway.config import Address
from gingerworks.gateway.server_list import Change, Endpoint
from gingerworks.gateway.server_starts import ServerStarts
from tests.loopback import (
    OK,
    SETTINGS,
    Client,
    Peer,
    Process,
    Reader,
    Writer,
    build_request,
    closed_port,
    entry,
    gateway,
    listing,
    raw_config,
    read_message,
    run,
    wait_until,
)

HOUR_S = 3600
STEPS_S = [3, -3, HOUR_S, -HOUR_S]
PACKAGE = Path(clock.__file__).parent.parent
COLD_NS: int = SETTINGS["rules"]["cold-ns"]
START_CAPACITY: float = SETTINGS["rules"]["start-capacity"]
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
AT_ONCE = 12  # requests that are sent together
# At most this many of them go to a cold server: slow start saves up one for it, and time passes.
MAX_SENT_TO_COLD = 2
COLD_IN_PROCESS_NS = 10 * clock.NS_PER_S


@cache
def unused_address(name: str) -> Address:
    """An address of this server alone, at which nothing listens."""
    return ("127.0.0.1", closed_port())


def absent_entry(name: str, status: str = "Ready", since_ms: int = 0) -> dict[str, Any]:
    """A server with an address of its own, at which nothing listens."""
    return entry(name, unused_address(name), status, since_ms)


def settings_with(**rules: Any) -> dict[str, Any]:
    return SETTINGS | {"rules": SETTINGS["rules"] | rules}


def unix_ms() -> int:
    """The time of discovery's clock, which is never stepped."""
    return time.time_ns() // clock.NS_PER_MS


class Discovery:
    """A discovery that sends the full list when a watch begins, and later each change that a test makes."""

    def __init__(self, *first: dict[str, Any]) -> None:
        self.index = 1
        self.first = listing(*first, index=self.index)
        self.peer = Peer(self._script)

    async def start(self) -> Discovery:
        await self.peer.start()
        return self

    @property
    def address_text(self) -> str:
        return f"{self.peer.address[0]}:{self.peer.address[1]}"

    async def _script(self, peer: Peer, reader: Reader, writer: Writer) -> None:
        peer.requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(HEAD)
        self._write(writer, json.dumps(self.first))
        while True:  # an empty line each second, as long as nothing changes
            await asyncio.sleep(1.0)
            self._write(writer, "")

    def send_change(self, *entries: dict[str, Any], full: bool = False) -> None:
        """Send a change of the list, or the full list again, on the open watch."""
        self.index += 1
        self._write(self.peer.writers[-1], json.dumps(listing(*entries, index=self.index, snapshot=full)))

    @staticmethod
    def _write(writer: Writer, text: str) -> None:
        line = text.encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))


def capacity_share(gw: Gateway, name: str, now: int) -> float:
    servers = gw.runtime._policy.servers
    share: float = servers.capacity_share_at(servers.backends[name], now)
    return share


def lists_server(gw: Gateway, name: str) -> bool:
    return name in gw.runtime._policy.servers.backends


def max_capacity_share_at_age(age_ns: int) -> float:
    """The greatest share that the rules allow at this age; start times are stated in whole milliseconds."""
    return START_CAPACITY + (1 - START_CAPACITY) * (age_ns + clock.NS_PER_MS) / COLD_NS


def step_before_start(monkeypatch: pytest.MonkeyPatch, step_s: int) -> None:
    """Set the clock as in a process that starts after its machine's wall clock was stepped."""
    monkeypatch.setattr(clock, "_OFFSET", clock._OFFSET + step_s * clock.NS_PER_S)


async def start_following_gateway(discovery: Discovery, known: dict[str, Any]) -> Gateway:
    """A gateway that has received the first list, which contains this server."""
    gw = gateway(discovery=discovery.address_text, known=listing(known, index=0))
    await wait_until(lambda: gw.frontend.address[1] != 0 and len(discovery.peer.requests) == 1)
    discovery.send_change(absent_entry("first"))
    await wait_until(lambda: lists_server(gw, "first"))
    return gw


@pytest.mark.parametrize("step_s", [0, *STEPS_S])
def test_a_server_seen_to_start_is_cold_from_then_on_whatever_the_wall_clock_says(
    monkeypatch: pytest.MonkeyPatch, step_s: int
) -> None:
    step_before_start(monkeypatch, step_s)

    async def scenario() -> None:
        discovery = await Discovery(absent_entry("old")).start()
        gw = await start_following_gateway(discovery, absent_entry("old"))
        before = clock.now()
        discovery.send_change(absent_entry("new", since_ms=unix_ms()))
        await wait_until(lambda: lists_server(gw, "new"))
        after = clock.now()
        assert START_CAPACITY <= capacity_share(gw, "new", after) <= max_capacity_share_at_age(after - before)
        halfway = after + COLD_NS // 2
        assert capacity_share(gw, "new", halfway) <= max_capacity_share_at_age(halfway - before)
        assert capacity_share(gw, "new", halfway) >= max_capacity_share_at_age(
            COLD_NS // 2 - 2 * clock.NS_PER_MS
        )
        assert capacity_share(gw, "new", after + COLD_NS) == 1.0  # no longer than the rules require
        assert capacity_share(gw, "old", after) == 1.0

    run(scenario())


@pytest.mark.parametrize("step_s", [0, *STEPS_S])
@pytest.mark.parametrize("full", [False, True], ids=["a change", "a full list"])
def test_a_server_that_starts_again_under_its_name_is_cold_from_then_on(
    monkeypatch: pytest.MonkeyPatch, step_s: int, full: bool
) -> None:
    step_before_start(monkeypatch, step_s)

    async def scenario() -> None:
        since = unix_ms() - 10 * HOUR_S * 1000
        discovery = await Discovery(absent_entry("again", since_ms=since)).start()
        gw = await start_following_gateway(discovery, absent_entry("again", since_ms=since))
        assert capacity_share(gw, "again", clock.now()) == 1.0
        before = clock.now()
        restarted = absent_entry("again", since_ms=unix_ms())
        discovery.send_change(restarted, absent_entry("marker"), full=full)
        await wait_until(lambda: lists_server(gw, "marker"))
        after = clock.now()
        assert (
            START_CAPACITY <= capacity_share(gw, "again", after) <= max_capacity_share_at_age(after - before)
        )
        assert capacity_share(gw, "again", after + COLD_NS) == 1.0

    run(scenario())


def test_a_start_that_the_first_list_puts_in_the_future_is_taken_for_one_just_now(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    step_before_start(monkeypatch, -HOUR_S)

    async def scenario() -> None:
        warm, cold = unix_ms() - 30 * 60 * 1000, unix_ms()
        first = [
            absent_entry("warm", since_ms=warm),
            absent_entry("cold", since_ms=cold),
        ]
        gw = await start_following_gateway(await Discovery(*first).start(), first[0])
        now = clock.now()
        for name in ("warm", "cold"):
            assert START_CAPACITY <= capacity_share(gw, name, now) < 1.0
            assert capacity_share(gw, name, now + COLD_NS) == 1.0

    run(scenario())


JUMPS_MS = {"to long ago": None, "back by an hour": -HOUR_S * 1000, "ahead by an hour": HOUR_S * 1000}


@pytest.mark.parametrize("jump_ms", JUMPS_MS.values(), ids=JUMPS_MS)
def test_a_start_time_that_jumps_between_lists_makes_no_cold_server_warm(jump_ms: int | None) -> None:
    async def scenario() -> None:
        discovery = await Discovery(absent_entry("old")).start()
        gw = await start_following_gateway(discovery, absent_entry("old"))
        before, since = clock.now(), unix_ms()
        discovery.send_change(absent_entry("new", since_ms=since))
        await wait_until(lambda: lists_server(gw, "new"))
        jumped = 0 if jump_ms is None else since + jump_ms
        discovery.send_change(absent_entry("new", since_ms=jumped), absent_entry("marker"))
        await wait_until(lambda: lists_server(gw, "marker"))
        after = clock.now()
        assert capacity_share(gw, "new", after) <= max_capacity_share_at_age(after - before)
        assert capacity_share(gw, "new", after + COLD_NS) == 1.0

    run(scenario())


def test_a_server_that_was_left_out_of_the_list_for_a_while_is_not_new() -> None:
    async def scenario() -> None:
        since = unix_ms() - HOUR_S * 1000
        back, stays = (
            absent_entry("back", since_ms=since),
            absent_entry("stays", since_ms=since),
        )
        discovery = await Discovery(back, stays).start()
        gw = await start_following_gateway(discovery, back)
        discovery.send_change(absent_entry("back", "Gone"))
        discovery.send_change(absent_entry("marker"), full=True)
        await wait_until(lambda: not lists_server(gw, "stays") and not lists_server(gw, "back"))
        discovery.send_change(back, stays)
        await wait_until(lambda: lists_server(gw, "stays"))
        assert capacity_share(gw, "back", clock.now()) == capacity_share(gw, "stays", clock.now()) == 1.0

    run(scenario())


def test_what_changed_before_the_first_answer_is_not_taken_for_new() -> None:
    """The configured list is older than the start, so only this machine's clock tells the server's age."""

    async def scenario() -> None:
        since = unix_ms() - HOUR_S * 1000
        discovery = await Discovery(absent_entry("old"), absent_entry("since", since_ms=since)).start()
        gw = await start_following_gateway(discovery, absent_entry("old"))
        assert capacity_share(gw, "since", clock.now()) == 1.0

    run(scenario())


class HoldingServer:
    """A server that answers after ``work_s``, or, once ``holds`` is set, not at all."""

    def __init__(self, work_s: float = 0.0) -> None:
        self.work_s = work_s
        self.holds = False
        self.peer = Peer(self._script)

    async def _script(self, peer: Peer, reader: Reader, writer: Writer) -> None:
        while True:
            peer.requests.append(await read_message(reader))
            if self.holds:
                await reader.read()
                return
            await asyncio.sleep(self.work_s)
            writer.write(OK)

    @property
    def received(self) -> int:
        return len(self.peer.requests)


async def send_until_reached(client: Client, server: HoldingServer) -> None:
    """Send requests until this server gets one: by then the gateway knows the list that leads to it."""
    before = server.received
    while server.received == before:
        assert (await client.send(build_request()))[0] in (200, 503)


async def requests_sent_to(new: HoldingServer, old: HoldingServer, process: Process) -> int:
    """Send requests together while nothing is answered; return how many go to the new one of two servers."""
    old.holds = new.holds = True
    before = new.received, new.received + old.received
    clients = [await Client.at(process.address) for _ in range(AT_ONCE)]
    for client in clients:
        client.writer.write(build_request(left="4.000"))
    await wait_until(lambda: new.received + old.received >= before[1] + AT_ONCE)
    return new.received - before[0]


@pytest.mark.parametrize("step_s", [0, *STEPS_S])
@pytest.mark.parametrize("running", [False, True], ids=["stepped before the start", "stepped while it runs"])
def test_a_process_whose_wall_clock_was_stepped_sends_a_cold_server_its_share(
    tmp_path: Path, step_s: int, running: bool
) -> None:
    steps = {"WALL_STEP_LATER" if running else "WALL_STEP_BEFORE": str(step_s)}

    async def scenario() -> None:
        # The old server is slower: a new one that is wrongly taken for warm gets at least half the requests.
        old, new, marker = HoldingServer(work_s=0.02), HoldingServer(), HoldingServer()
        for server in (old, new, marker):
            await server.peer.start()
        discovery = await Discovery(entry("old", old.peer.address)).start()
        config = raw_config(
            old.peer.address,
            discovery=discovery.address_text,
            known=listing(entry("old", old.peer.address)),
            settings=settings_with(**{"cold-ns": COLD_IN_PROCESS_NS}),
        )
        with Process(tmp_path, config, "tests.stepped_gateway", **steps) as process:
            await process.listening()
            client = await Client.at(process.address)
            await send_until_reached(client, old)
            if running:
                os.kill(process.pid, signal.SIGUSR1)
                await wait_until(lambda: "stepped by" in process.log())
            discovery.send_change(entry("new", new.peer.address, since_ms=unix_ms()))
            discovery.send_change(
                entry("old", old.peer.address, "Terminating"), entry("marker", marker.peer.address)
            )
            await send_until_reached(client, marker)
            discovery.send_change(
                entry("old", old.peer.address), entry("marker", marker.peer.address, "Gone")
            )
            await send_until_reached(client, old)
            assert await requests_sent_to(new, old, process) <= MAX_SENT_TO_COLD

    run(scenario())


def imported_names(source: Path) -> set[str]:
    """Names of the modules that a module imports."""
    names = set()
    for node in ast.walk(ast.parse(source.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(str(node.module))
    return names


def test_one_module_alone_reads_the_machines_clocks() -> None:
    readers = {
        source.relative_to(PACKAGE).as_posix()
        for source in PACKAGE.rglob("*.py")
        if imported_names(source) & {"time", "datetime", "email.utils"}
    }
    assert readers == {"gateway/clock.py"}


async def answer_one(peer: Peer, reader: Reader, writer: Writer) -> None:
    """A shared counter that answers each call with a total of one."""
    while line := await reader.readline():
        peer.requests.append(line)
        writer.write(b"ok 1\r\n" if line.startswith(b"bump") else b"pong\r\n")


async def start_quota_sharing_gateway(discovery: Discovery, counter: Peer, server: HoldingServer) -> Gateway:
    """A gateway that shares quotas by a counter and has received the first list."""
    gw = gateway(
        discovery=discovery.address_text,
        known=listing(entry("s", server.peer.address)),
        counter=f"{counter.address[0]}:{counter.address[1]}",
        settings=SETTINGS | {"specifics": SETTINGS["specifics"] | {"has-counter": True}},
    )
    client = await Client.to(gw)
    assert (await client.send(build_request()))[0] == 200  # it accepts clients once it has the first list
    return gw


async def counter_calls_for(gw: Gateway, counter: Peer, customer: int) -> int:
    """How many counter calls the first request of a customer causes: its even share does not cover it."""
    before = len(counter.requests)
    heavy = build_request(X_Contract="small", X_Metering="units=6,spread=3,first=1")
    heavy = heavy.replace(b"00000000b4d65521", b"%016x" % customer)
    status, _, _ = await (await Client.to(gw)).send(heavy)
    assert status in (200, 429)
    return sum(line.startswith(b"bump") for line in counter.requests[before:])


@pytest.mark.parametrize("step_s", [0, HOUR_S, -HOUR_S])
def test_no_shared_counts_are_used_with_a_clock_that_two_lists_of_starts_disprove(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, step_s: int
) -> None:
    step_before_start(monkeypatch, step_s)

    async def scenario() -> None:
        counter, server = await Peer(answer_one).start(), HoldingServer()
        await server.peer.start()
        discovery = await Discovery(entry("s", server.peer.address)).start()
        gw = await start_quota_sharing_gateway(discovery, counter, server)
        counts = [await counter_calls_for(gw, counter, 1) > 0]
        for number in (1, 2):
            discovery.send_change(absent_entry(f"new{number}", "Terminating", unix_ms()))
            await wait_until(lambda name=f"new{number}": lists_server(gw, name))  # type: ignore[misc]
            counts.append(await counter_calls_for(gw, counter, 1 + number) > 0)
        assert counts == [True, True, step_s == 0]
        # Quotas are shared again after a plausible start, as when the servers' clocks were set instead.
        discovery.send_change(absent_entry("new3", "Terminating", clock.now() // clock.NS_PER_MS))
        await wait_until(lambda: lists_server(gw, "new3"))
        assert await counter_calls_for(gw, counter, 4) > 0

    run(scenario())
    errors = [record.getMessage() for record in caplog.records if record.levelname == "ERROR"]
    errors = [text for text in errors if "clock" in text]
    assert len(errors) == (step_s != 0)
    for text in errors:
        assert ("ahead of" if step_s > 0 else "behind") in text
        assert "restart this gateway" in text


def test_servers_that_are_listed_long_after_their_start_disprove_no_clock() -> None:
    # Servers may load for minutes first, or discovery was down.  Two such lists once made all gateways stop
    # using the counter.
    starts = ServerStarts()
    for index, name in enumerate("abc"):
        server = interface.Server(
            name, interface.Phase.READY, started_ns=clock.now() - 10 * 60 * clock.NS_PER_S
        )
        starts.correct_start_times(
            Change(index, index == 0, (Endpoint(server, unused_address(server.name)),)), cached=False
        )
    assert starts.clock_check.is_plausible


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_step_while_the_process_runs_has_no_effect(monkeypatch: pytest.MonkeyPatch, step_s: int) -> None:
    """Slow start, names of counts, deadlines and remembered request ids are not affected."""
    true_time_ns, true_time = time.time_ns, time.time

    async def scenario() -> None:
        counter, server = await Peer(answer_one).start(), HoldingServer()
        await server.peer.start()
        discovery = await Discovery(entry("s", server.peer.address)).start()
        gw = gateway(
            discovery=discovery.address_text,
            known=listing(entry("s", server.peer.address)),
            counter=f"{counter.address[0]}:{counter.address[1]}",
            settings=SETTINGS | {"specifics": SETTINGS["specifics"] | {"has-counter": True}},
        )
        client, request = await Client.to(gw), build_request(X_Contract="small")
        assert (await client.send(request))[0] == 200
        (customer,) = gw.runtime._policy.quotas.customers.values()
        discovery.send_change(absent_entry("new", since_ms=unix_ms()))
        await wait_until(lambda: lists_server(gw, "new"))
        since = time.monotonic_ns()
        before = clock.now()
        warm_before = capacity_share(gw, "new", before)

        monkeypatch.setattr(time, "time_ns", lambda: true_time_ns() + step_s * clock.NS_PER_S)
        monkeypatch.setattr(time, "time", lambda: true_time() + step_s)

        after = clock.now()
        passed_ns = time.monotonic_ns() - since
        assert before <= after <= before + passed_ns
        assert warm_before <= capacity_share(gw, "new", after) <= warm_before + passed_ns / COLD_NS
        # The name may just have changed.
        near = {customer.count_name(at) for at in (before, before + passed_ns)}
        assert customer.count_name(after) in near
        assert (await client.send(request))[0] == 409  # the id of a recent request
        server.holds = True
        status, head, _ = await (await Client.to(gw)).send(build_request("post", left="0.300"))
        # The attempt may have run, so the request fails, and neither before nor long after its time is over.
        assert status not in (200, 429, 503), head
        assert 0.2 * clock.NS_PER_S <= clock.now() - after < 20 * clock.NS_PER_S

    run(scenario())
