"""Wall clocks that are stepped before a gateway starts or while it runs: spans of time stay what they are."""

from __future__ import annotations

import ast
import asyncio
import json
import os
import signal
import time
from pathlib import Path
from typing import Any

import pytest

from gingerworks import interface
from gingerworks.gateway import clock
from gingerworks.gateway.__main__ import Gateway
from gingerworks.gateway.discovery import Change, Endpoint
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
AT_ONCE = 12  # requests
SAVED_UP = 2  # of these at the most go to a cold server: its counter saves up one, and time passes meanwhile
COLD_IN_PROCESS_NS = 10 * clock.NS_PER_S
NOBODY = ("127.0.0.1", closed_port())


def settings_with(**rules: Any) -> dict[str, Any]:
    return SETTINGS | {"rules": SETTINGS["rules"] | rules}


def unix_ms() -> int:
    """The time of discovery's clock, which is never stepped."""
    return time.time_ns() // clock.NS_PER_MS


class Discovery:
    """Follows one script: the whole list as a watch begins, and each change as it is told."""

    def __init__(self, *first: dict[str, Any]) -> None:
        self.index = 1
        self.first = listing(*first, index=self.index)
        self.peer = Peer(self._script)

    async def start(self) -> Discovery:
        await self.peer.start()
        return self

    @property
    def place(self) -> str:
        return f"{self.peer.address[0]}:{self.peer.address[1]}"

    async def _script(self, peer: Peer, reader: Reader, writer: Writer) -> None:
        peer.requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(HEAD)
        self._write(writer, json.dumps(self.first))
        while True:  # empty lines, as long as nothing changes
            await asyncio.sleep(1.0)
            self._write(writer, "")

    def tell(self, *entries: dict[str, Any], whole: bool = False) -> None:
        """A change of the list, or the whole list anew, on the open watch."""
        self.index += 1
        self._write(self.peer.writers[-1], json.dumps(listing(*entries, index=self.index, snapshot=whole)))

    @staticmethod
    def _write(writer: Writer, text: str) -> None:
        line = text.encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))


def warmth(made: Gateway, name: str, now: int) -> float:
    servers = made.runtime._policy.servers
    share: float = servers.capacity_share_at(servers.backends[name], now)
    return share


def knows(made: Gateway, name: str) -> bool:
    return name in made.runtime._policy.servers.backends


def warmth_after(age_ns: int) -> float:
    """By the slowest way to get warm that the rules allow; start times are told in whole milliseconds."""
    return START_CAPACITY + (1 - START_CAPACITY) * (age_ns + clock.NS_PER_MS) / COLD_NS


def step_before_start(monkeypatch: pytest.MonkeyPatch, step_s: int) -> None:
    """What a process finds that starts after its machine's wall clock was stepped."""
    monkeypatch.setattr(clock, "_OFFSET", clock._OFFSET + step_s * clock.NS_PER_S)


async def followed(discovery: Discovery, known: dict[str, Any]) -> Gateway:
    """A gateway that has heard the first list, which holds this server."""
    made = gateway(discovery=discovery.place, known=listing(known, index=0))
    await wait_until(lambda: made.frontend.address[1] != 0 and len(discovery.peer.requests) == 1)
    discovery.tell(entry("first", NOBODY))
    await wait_until(lambda: knows(made, "first"))
    return made


@pytest.mark.parametrize("step_s", [0, *STEPS_S])
def test_a_server_seen_to_start_is_cold_from_then_on_whatever_the_wall_clock_says(
    monkeypatch: pytest.MonkeyPatch, step_s: int
) -> None:
    step_before_start(monkeypatch, step_s)

    async def scenario() -> None:
        discovery = await Discovery(entry("old", NOBODY)).start()
        made = await followed(discovery, entry("old", NOBODY))
        before = clock.now()
        discovery.tell(entry("new", NOBODY, since_ms=unix_ms()))
        await wait_until(lambda: knows(made, "new"))
        after = clock.now()
        assert START_CAPACITY <= warmth(made, "new", after) <= warmth_after(after - before)
        halfway = after + COLD_NS // 2
        assert warmth(made, "new", halfway) <= warmth_after(halfway - before)
        assert warmth(made, "new", halfway) >= warmth_after(COLD_NS // 2 - 2 * clock.NS_PER_MS)
        assert warmth(made, "new", after + COLD_NS) == 1.0  # no longer than the rules want
        assert warmth(made, "old", after) == 1.0

    run(scenario())


@pytest.mark.parametrize("step_s", [0, *STEPS_S])
@pytest.mark.parametrize("whole", [False, True], ids=["a change", "a whole list"])
def test_a_server_that_starts_again_under_its_name_is_cold_from_then_on(
    monkeypatch: pytest.MonkeyPatch, step_s: int, whole: bool
) -> None:
    step_before_start(monkeypatch, step_s)

    async def scenario() -> None:
        since = unix_ms() - 10 * HOUR_S * 1000
        discovery = await Discovery(entry("again", NOBODY, since_ms=since)).start()
        made = await followed(discovery, entry("again", NOBODY, since_ms=since))
        assert warmth(made, "again", clock.now()) == 1.0
        before = clock.now()
        restarted = entry("again", NOBODY, since_ms=unix_ms())
        discovery.tell(restarted, entry("marker", NOBODY), whole=whole)
        await wait_until(lambda: knows(made, "marker"))
        after = clock.now()
        assert START_CAPACITY <= warmth(made, "again", after) <= warmth_after(after - before)
        assert warmth(made, "again", after + COLD_NS) == 1.0

    run(scenario())


def test_a_start_that_the_first_list_puts_in_the_future_is_taken_for_one_just_now(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    step_before_start(monkeypatch, -HOUR_S)

    async def scenario() -> None:
        warm, cold = unix_ms() - 30 * 60 * 1000, unix_ms()
        first = [entry("warm", NOBODY, since_ms=warm), entry("cold", NOBODY, since_ms=cold)]
        made = await followed(await Discovery(*first).start(), first[0])
        now = clock.now()
        for name in ("warm", "cold"):
            assert START_CAPACITY <= warmth(made, name, now) < 1.0
            assert warmth(made, name, now + COLD_NS) == 1.0

    run(scenario())


JUMPS_MS = {"to long ago": None, "back by an hour": -HOUR_S * 1000, "ahead by an hour": HOUR_S * 1000}


@pytest.mark.parametrize("jump_ms", JUMPS_MS.values(), ids=JUMPS_MS)
def test_a_start_time_that_jumps_between_two_lists_makes_no_cold_server_warm(jump_ms: int | None) -> None:
    async def scenario() -> None:
        discovery = await Discovery(entry("old", NOBODY)).start()
        made = await followed(discovery, entry("old", NOBODY))
        before, since = clock.now(), unix_ms()
        discovery.tell(entry("new", NOBODY, since_ms=since))
        await wait_until(lambda: knows(made, "new"))
        jumped = 0 if jump_ms is None else since + jump_ms
        discovery.tell(entry("new", NOBODY, since_ms=jumped), entry("marker", NOBODY))
        await wait_until(lambda: knows(made, "marker"))
        after = clock.now()
        assert warmth(made, "new", after) <= warmth_after(after - before)
        assert warmth(made, "new", after + COLD_NS) == 1.0

    run(scenario())


def test_a_server_that_was_left_out_of_the_list_for_a_while_is_not_new() -> None:
    async def scenario() -> None:
        since = unix_ms() - HOUR_S * 1000
        back, stays = entry("back", NOBODY, since_ms=since), entry("stays", NOBODY, since_ms=since)
        discovery = await Discovery(back, stays).start()
        made = await followed(discovery, back)
        discovery.tell(entry("back", NOBODY, "Gone"))
        discovery.tell(entry("marker", NOBODY), whole=True)
        await wait_until(lambda: not knows(made, "stays") and not knows(made, "back"))
        discovery.tell(back, stays)
        await wait_until(lambda: knows(made, "stays"))
        assert warmth(made, "back", clock.now()) == warmth(made, "stays", clock.now()) == 1.0

    run(scenario())


def test_what_changed_before_the_first_answer_is_not_taken_for_new() -> None:
    """The list known before the start is older than the start; this machine's clock is all there is."""

    async def scenario() -> None:
        since = unix_ms() - HOUR_S * 1000
        discovery = await Discovery(entry("old", NOBODY), entry("since", NOBODY, since_ms=since)).start()
        made = await followed(discovery, entry("old", NOBODY))
        assert warmth(made, "since", clock.now()) == 1.0

    run(scenario())


class HoldingServer:
    """A server that answers after its work until it is told to hold what comes."""

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


async def reach(client: Client, server: HoldingServer) -> None:
    """Ask until a server has got a request: whatever made it the one to choose has been heard by then."""
    before = server.received
    while server.received == before:
        assert (await client.send(build_request()))[0] in (200, 503)


async def sent_at_once_to(new: HoldingServer, old: HoldingServer, process: Process) -> int:
    """Of so many requests at once, while nothing is answered: how many go to this one of two servers."""
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
        # The old one is the slower: a new one that passes for warm is sure to get its half.
        old, new, marker = HoldingServer(work_s=0.02), HoldingServer(), HoldingServer()
        for server in (old, new, marker):
            await server.peer.start()
        discovery = await Discovery(entry("old", old.peer.address)).start()
        config = raw_config(
            old.peer.address,
            discovery=discovery.place,
            known=listing(entry("old", old.peer.address)),
            settings=settings_with(**{"cold-ns": COLD_IN_PROCESS_NS}),
        )
        with Process(tmp_path, config, "tests.stepped_gateway", **steps) as process:
            await process.listening()
            client = await Client.at(process.address)
            await reach(client, old)
            if running:
                os.kill(process.pid, signal.SIGUSR1)
                await wait_until(lambda: "stepped by" in process.log())
            discovery.tell(entry("new", new.peer.address, since_ms=unix_ms()))
            discovery.tell(
                entry("old", old.peer.address, "Terminating"), entry("marker", marker.peer.address)
            )
            await reach(client, marker)
            discovery.tell(entry("old", old.peer.address), entry("marker", marker.peer.address, "Gone"))
            await reach(client, old)
            assert await sent_at_once_to(new, old, process) <= SAVED_UP

    run(scenario())


def imported_names(source: Path) -> set[str]:
    """Names of the modules that a module imports, and of what it takes from them."""
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


async def counting(peer: Peer, reader: Reader, writer: Writer) -> None:
    """A shared counter on which each call makes a total of one."""
    while line := await reader.readline():
        peer.requests.append(line)
        writer.write(b"ok 1\r\n" if line.startswith(b"bump") else b"pong\r\n")


async def sharing(discovery: Discovery, counter: Peer, server: HoldingServer) -> Gateway:
    """A gateway that shares quotas by a counter and has heard the first list."""
    made = gateway(
        discovery=discovery.place,
        known=listing(entry("s", server.peer.address)),
        counter=f"{counter.address[0]}:{counter.address[1]}",
        settings=SETTINGS | {"specifics": SETTINGS["specifics"] | {"has-counter": True}},
    )
    client = await Client.to(made)
    assert (await client.send(build_request()))[0] == 200  # it takes in clients once it has the first list
    return made


async def calls_for(made: Gateway, counter: Peer, customer: int) -> int:
    """Calls of the counter that the first request of a customer causes: the even share does not cover it."""
    before = len(counter.requests)
    heavy = build_request(X_Contract="small", X_Metering="units=6,spread=3,first=1")
    heavy = heavy.replace(b"00000000b4d65521", b"%016x" % customer)
    status, _, _ = await (await Client.to(made)).send(heavy)
    assert status in (200, 429)
    return sum(line.startswith(b"bump") for line in counter.requests[before:])


@pytest.mark.parametrize("step_s", [0, HOUR_S, -HOUR_S])
def test_a_clock_that_two_lists_of_starts_disprove_names_no_shared_counts(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, step_s: int
) -> None:
    step_before_start(monkeypatch, step_s)

    async def scenario() -> None:
        counter, server = await Peer(counting).start(), HoldingServer()
        await server.peer.start()
        discovery = await Discovery(entry("s", server.peer.address)).start()
        made = await sharing(discovery, counter, server)
        counts = [await calls_for(made, counter, 1) > 0]
        for number in (1, 2):
            discovery.tell(entry(f"new{number}", NOBODY, "Terminating", unix_ms()))
            await wait_until(lambda name=f"new{number}": knows(made, name))  # type: ignore[misc]
            counts.append(await calls_for(made, counter, 1 + number) > 0)
        assert counts == [True, True, step_s == 0]
        # A start whose time fits, as after the servers' clocks were set, not this machine's: shared again.
        discovery.tell(entry("new3", NOBODY, "Terminating", clock.now() // clock.NS_PER_MS))
        await wait_until(lambda: knows(made, "new3"))
        assert await calls_for(made, counter, 4) > 0

    run(scenario())
    errors = [record.getMessage() for record in caplog.records if record.levelname == "ERROR"]
    errors = [text for text in errors if "clock" in text]
    assert len(errors) == (step_s != 0)
    for text in errors:
        assert ("ahead of" if step_s > 0 else "behind") in text
        assert "restart this gateway" in text


def test_servers_that_are_listed_long_after_their_start_disprove_no_clock() -> None:
    # They may load for minutes first, or discovery was away: two such lists cut a fleet off the counter.
    starts = ServerStarts()
    for index, name in enumerate("abc"):
        server = interface.Server(
            name, interface.Phase.READY, started_ns=clock.now() - 10 * 60 * clock.NS_PER_S
        )
        starts.correct_start_times(Change(index, index == 0, (Endpoint(server, NOBODY),)), cached=False)
    assert starts.clock_check.is_plausible


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_step_in_a_running_process_reaches_nothing(monkeypatch: pytest.MonkeyPatch, step_s: int) -> None:
    """Slow start, the names of counts, deadlines and the ids seen of late run on as if nothing had been."""
    true_time_ns, true_time = time.time_ns, time.time

    async def scenario() -> None:
        counter, server = await Peer(counting).start(), HoldingServer()
        await server.peer.start()
        discovery = await Discovery(entry("s", server.peer.address)).start()
        made = gateway(
            discovery=discovery.place,
            known=listing(entry("s", server.peer.address)),
            counter=f"{counter.address[0]}:{counter.address[1]}",
            settings=SETTINGS | {"specifics": SETTINGS["specifics"] | {"has-counter": True}},
        )
        client, spent = await Client.to(made), build_request(X_Contract="small")
        assert (await client.send(spent))[0] == 200
        (customer,) = made.runtime._policy.quotas.customers.values()
        discovery.tell(entry("new", NOBODY, since_ms=unix_ms()))
        await wait_until(lambda: knows(made, "new"))
        since = time.monotonic_ns()
        before = clock.now()
        warm_before = warmth(made, "new", before)

        monkeypatch.setattr(time, "time_ns", lambda: true_time_ns() + step_s * clock.NS_PER_S)
        monkeypatch.setattr(time, "time", lambda: true_time() + step_s)

        after = clock.now()
        passed_ns = time.monotonic_ns() - since
        assert before <= after <= before + passed_ns
        assert warm_before <= warmth(made, "new", after) <= warm_before + passed_ns / COLD_NS
        near = {customer.count_name(at) for at in (before, before + passed_ns)}  # a name may just have ended
        assert customer.count_name(after) in near
        assert (await client.send(spent))[0] == 409  # an id seen of late
        server.holds = True
        status, head, _ = await (await Client.to(made)).send(build_request("post", left="0.300"))
        # The attempt may have run: it has failed, in its time.  Nor is its time over before it has passed.
        assert status not in (200, 429, 503), head
        assert 0.2 * clock.NS_PER_S <= clock.now() - after < 20 * clock.NS_PER_S

    run(scenario())
