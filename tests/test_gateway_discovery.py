"""Discovery and configuration: the watch over loopback sockets, and what is malformed."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from gingerworks import interface
from gingerworks.gateway import clock, discovery
from gingerworks.gateway.config import ConfigError, config_from
from gingerworks.gateway.discovery import Change, Watch, change_from
from tests.loopback import (
    OK,
    Client,
    Peer,
    Reader,
    Writer,
    answering_server,
    build_request,
    closed_port,
    entry,
    gateway,
    listing,
    raw_config,
    run,
    wait_until,
)

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def line(message: dict[str, Any]) -> bytes:
    """One line of a watch, as two chunks: they need not end where lines do."""
    text = json.dumps(message).encode() + b"\n"
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (text[:9], text[9:]))


async def watching(*connections: list[bytes]) -> tuple[Peer, list[Change]]:
    """A discovery that says these things, a list a connection, and hangs up after all but the last."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        number = peer.connections
        peer.requests.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
        writer.write(HEAD + b"".join(connections[number - 1]))
        if number == len(connections):
            await reader.read()

    peer = await Peer(script).start()
    told: list[Change] = []
    peer.task = asyncio.ensure_future(Watch(peer.address, 5, 7, told.append).run())
    return peer, told


def test_a_watch_that_ends_is_reopened_where_it_was() -> None:
    async def scenario() -> None:
        first = [line(listing(entry("a", ("127.0.0.1", 1)), index=6)), b"1\r\n\n\r\n"]
        second = [line(listing(entry("a", ("127.0.0.1", 1), "Gone"), index=7, snapshot=False))]
        peer, told = await watching(first, second)
        await wait_until(lambda: len(told) == 2)
        assert peer.requests == [b"/catalog/members?follow=1&since=5", b"/catalog/members?follow=1&since=6"]
        assert [(c.index, c.full) for c in told] == [(6, True), (7, False)]
        assert told[1].endpoints[0].server.phase is interface.Phase.GONE

    run(scenario())


@pytest.mark.parametrize(
    "junk", [b"{nonsense}", b"[]", b'{"index":"x","endpoints":[]}', b"\xff\xfe", b"[" * 9000]
)
def test_after_junk_the_whole_list_is_asked_for(junk: bytes) -> None:
    async def scenario() -> None:
        bad = [b"%x\r\n%b\n\r\n" % (len(junk) + 1, junk)]
        peer, told = await watching(bad, [line(listing(index=9))])
        await wait_until(lambda: len(told) == 1)
        assert peer.requests[1] == b"/catalog/members?follow=1&since=0"

    run(scenario())


def test_a_version_that_was_far_too_high_does_not_shut_out_what_comes_later() -> None:
    async def scenario() -> None:
        first = [line(listing(index=1 << 50)), line(listing(index=8, snapshot=False))]
        peer, told = await watching(first, [line(listing(entry("a", ("127.0.0.1", 1)), index=9))])
        await wait_until(lambda: len(told) == 2)
        assert peer.requests[1] == b"/catalog/members?follow=1&since=0"
        assert told[1].endpoints[0].server.name == "a"

    run(scenario())


def test_a_fault_in_what_follows_a_change_does_not_end_the_watch() -> None:
    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            writer.write(HEAD + line(listing(index=7)))
            await reader.read()

        peer = await Peer(script).start()
        told: list[Change] = []

        def hears(change: Change) -> None:
            told.append(change)
            if len(told) == 1:
                raise KeyError("made up")

        task = asyncio.ensure_future(Watch(peer.address, 5, 7, hears).run())
        await wait_until(lambda: len(told) == 2)
        task.cancel()

    run(scenario())


def test_a_silent_watch_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_S", 0.05)
    monkeypatch.setattr(discovery, "LINE_STALL_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            writer.write(HEAD)
            await reader.read()

        peer = await Peer(script).start()
        task = asyncio.ensure_future(Watch(peer.address, 5, 7, lambda change: None).run())
        await wait_until(lambda: peer.connections == 2)
        task.cancel()

    run(scenario())


def test_a_malformed_entry_is_left_out() -> None:
    good = entry("a", ("127.0.0.1", 1))
    bad: list[Any] = [
        7,
        {},
        good | {"name": ""},
        good | {"weight": 10**400},  # no float holds it: the watch failed on it again and again
        good | {"status": "Odd"},
        good | {"address": "nowhere"},
        good | {"since_ms": "x"},
    ]
    change = change_from({"index": 1, "snapshot": True, "endpoints": [*bad, good | {"weight": "x"}]})
    assert [e.server.name for e in change.endpoints] == ["a"]
    assert change.endpoints[0].server.size == 1.0


def test_start_times_are_on_the_modules_clock() -> None:
    since = int(time.time() * 1000) - 5000
    server = change_from(listing(entry("a", ("127.0.0.1", 1), since_ms=since))).endpoints[0].server
    assert abs(clock.now() - server.started_ns - 5 * clock.NS_PER_S) < clock.NS_PER_S
    assert change_from(listing(entry("a", ("127.0.0.1", 1)))).endpoints[0].server.started_ns == 0


def test_the_watch_tells_of_a_server_that_took_over() -> None:
    async def scenario() -> None:
        old, new = await answering_server(OK), await answering_server(OK)

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            writer.write(HEAD + line(listing(entry("s9", new.address), index=8)))
            await reader.read()

        peer = await Peer(script).start()
        made = gateway(old.address, discovery=f"{peer.address[0]}:{peer.address[1]}")
        await wait_until(lambda: [s.name for s in made.backends.servers()] == ["s9"])
        assert (await (await Client.to(made)).send(build_request()))[0] == 200
        assert len(new.requests) == 1

    run(scenario())


BAD: dict[str, dict[str, Any]] = {
    "settings": {"settings": None},
    "listen": {"listen": "nowhere"},
    "discovery": {"discovery": "127.0.0.1:port"},
    "limits.sockets": {"limits": {"sockets": "many"}},
    "seed": {"seed": "what"},
    "peers-total": {"settings": {"me": 0}},
}


@pytest.mark.parametrize("what", BAD)
def test_a_wrong_configuration_is_named(what: str) -> None:
    with pytest.raises((ConfigError, interface.SettingsError), match=what):
        config_from(raw_config() | BAD[what])


def changed_settings(path: str, value: object) -> dict[str, Any]:
    """A configuration with one setting changed; numbers in the path count in lists."""
    raw = json.loads(json.dumps(raw_config()))
    *ways, last = path.split(".")
    inner: Any = raw["settings"]
    for way in ways:
        inner = inner[int(way) if way.isdigit() else way]
    inner[int(last) if last.isdigit() else last] = value
    return dict(raw)


@pytest.mark.parametrize(("path", "value"), [
    ("peers-total", 0), ("me", 3), ("tick-ns", -1), ("classes", []), ("tariffs", []),
    ("classes.0.name", "post"), ("tariffs.0.name", ""), ("classes.1.dedup-scope", "everywhere"),
    ("classes.0.effect", 7), ("classes.0.on-time-ns", 0), ("classes.0.hard-limit-ns", 1),
    ("classes.0.worth", -1), ("classes.0.worth", None),
    ("tariffs.1.units-per-s", -2), ("tariffs.1.most-at-once", 0), ("tariffs.1.overrun-cost", -1),
    ("limits.attempts-cap", 0), ("limits.conn-idle-ns", 0), ("limits.connect-timeout-ns", -1),
    ("limits.max-retry-after-ns", -1), ("rules.start-capacity", 1.5), ("rules.cold-ns", -1),
    ("specifics.max-units", 0), ("specifics.max-units", "9" * 5000), ("tick-ns", [1, 2]),
])  # fmt: skip
def test_a_setting_out_of_range_is_named_as_the_file_names_it(path: str, value: object) -> None:
    with pytest.raises((ConfigError, interface.SettingsError)) as raised:
        config_from(changed_settings(path, value))
    text = str(raised.value)
    assert path.rpartition(".")[2] in text
    assert "\n" not in text
    assert len(text) < 160


def test_the_command_starts_and_ends_on_sigterm(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(raw_config()))
    command = [sys.executable, "-m", "gingerworks.gateway"]
    root = Path(__file__).parent.parent
    environment = {**os.environ, "NODE_CONFIG": str(file)}
    process = subprocess.Popen(command, env=environment, cwd=root, stderr=subprocess.PIPE, text=True)
    assert process.stderr is not None
    assert any("listening on 127.0.0.1:" in text for text in process.stderr)
    process.terminate()
    assert process.wait(timeout=30) == 0
    process.stderr.close()


@pytest.mark.parametrize("content", [None, "{", "[]", "{}"])
def test_the_command_says_what_is_wrong_and_exits(content: str | None, tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    if content is not None:
        file.write_text(content)
    done = subprocess.run(
        [sys.executable, "-m", "gingerworks.gateway"],
        env={**os.environ, "NODE_CONFIG": str(file)},
        cwd=Path(__file__).parent.parent,
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )
    assert done.returncode == 2
    assert done.stderr.startswith("configuration: ")
    assert done.stderr.count("\n") == 1


def pauses_of(seed: int, gateways: int, status: bytes, count: int) -> list[float]:
    """The pauses of one watch that is answered like this each time."""
    paused: list[float] = []

    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(status)

        async def pause(seconds: float) -> None:
            paused.append(seconds)
            if len(paused) == count:
                raise asyncio.CancelledError

        peer = await Peer(script).start()
        watch = Watch(peer.address, 5, seed, lambda change: None, gateways)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery, "pause", pause)
            with pytest.raises(asyncio.CancelledError):
                await watch.run()

    run(scenario())
    return paused


TURNED_AWAY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


def test_a_discovery_that_turns_watches_away_is_asked_less_and_less() -> None:
    # A refusal once counted as a sign of life: 40 gateways asked five times a second each, and got nothing.
    # The pauses grow no further than the time in which a change counts as told allows.
    for gateways, first in ((1, 0.4), (40, discovery.MAX_REFUSED_DELAY_S)):
        paused = [pauses_of(seed, gateways, TURNED_AWAY, 6) for seed in range(20)]
        for number, each in enumerate(zip(*paused, strict=True)):
            bound = min(first * 2**number, discovery.MAX_REFUSED_DELAY_S)
            assert 0.5 * bound <= min(each)
            assert max(each) <= bound


def test_a_large_fleet_comes_back_spread_out_after_being_refused() -> None:
    # No part of the time in which all come back gets many more than its share.
    least = 0.5 * discovery.MAX_REFUSED_DELAY_S
    firsts = [pauses_of(seed, 200, TURNED_AWAY, 1)[0] for seed in range(100)]
    fifths = [sum(n <= 5 * (first / least - 1) < n + 1 for first in firsts) for n in range(5)]
    assert sum(fifths) == 100
    assert min(fifths) >= 8
    assert max(fifths) <= 35


def test_a_gateway_of_a_large_fleet_asks_at_its_start_what_counts_as_told() -> None:
    # Waiting up to 20 s by chance, as one of 200, broke the rule on drains 1,556 times on one day.
    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            writer.write(HEAD + line(listing(index=6)))
            await reader.read()

        async def pause(seconds: float) -> None:
            raise AssertionError(f"waits {seconds} s before it asks")

        peer = await Peer(script).start()
        told: list[Change] = []
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery, "pause", pause)
            task = asyncio.ensure_future(Watch(peer.address, 5, 7, told.append, 200).run())
            await wait_until(lambda: bool(told) or task.done())
        assert [change.index for change in told] == [6]
        task.cancel()

    run(scenario())


def test_a_watch_that_was_served_is_reopened_at_once_however_large_the_fleet() -> None:
    # What the agent has counts as told, watch or no watch: a pause of 0.5 to 1.5 s outlasted a drain's grace.
    ends = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    paused = pauses_of(3, 200, ends, 20)
    assert all(0.0 < each <= 0.1 for each in paused)
    assert max(paused) - min(paused) > 0.02


def test_an_agent_that_is_not_there_is_looked_for_without_long_pauses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Nobody is crowded by that, and what it has at its return counts as told at once.
    paused: list[float] = []

    async def pause(seconds: float) -> None:
        paused.append(seconds)
        if len(paused) == 20:
            raise asyncio.CancelledError

    async def scenario() -> None:
        watch = Watch(("127.0.0.1", closed_port()), 5, 7, lambda change: None, 200)
        with pytest.raises(asyncio.CancelledError):
            await watch.run()

    monkeypatch.setattr(discovery, "pause", pause)
    run(scenario())
    assert max(paused) <= 0.1


@pytest.mark.parametrize(
    "said", [b"", HEAD, HEAD + line(listing(index=6))], ids=["nothing", "a head", "a list"]
)
def test_after_silence_the_next_call_follows_at_once(said: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    # Silence is noticed after 5 s and what it hides counts as told after 6: no pause of 1.5 s fits between.
    # A call that was never answered once waited 2 to 6 s more, then 4 to 12.
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_S", 0.05)
    monkeypatch.setattr(discovery, "LINE_STALL_TIMEOUT_S", 0.05)
    paused: list[float] = []

    async def pause(seconds: float) -> None:
        paused.append(seconds)

    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(said)
            await reader.read()

        peer = await Peer(script).start()
        task = asyncio.ensure_future(Watch(peer.address, 5, 7, lambda change: None, 200).run())
        await wait_until(lambda: len(paused) == 4)
        task.cancel()

    monkeypatch.setattr(discovery, "pause", pause)
    run(scenario())
    assert max(paused) <= 0.1


def chunked(text: bytes) -> bytes:
    """As chunks of seven bytes: they end anywhere."""
    parts = [text[at : at + 7] for at in range(0, len(text), 7)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


@pytest.mark.parametrize("indent", [0, 1, 4])
@pytest.mark.parametrize("ending", ["\n", "\r\n"])
def test_a_list_may_be_indented_over_several_lines(indent: int, ending: str) -> None:
    async def scenario() -> None:
        odd = entry('a"{[', ("127.0.0.1", 1))  # brackets and quotes in a name belong to no object
        lists = [listing(odd, index=6), listing(entry("b", ("127.0.0.1", 2)), index=7, snapshot=False)]
        text = "".join(json.dumps(one, indent=indent).replace("\n", ending) + ending for one in lists)
        plain = json.dumps(listing(index=8, snapshot=False)) + "\n"
        peer, told = await watching([chunked((text + ending + plain).encode())])
        await wait_until(lambda: len(told) == 3)
        assert [(change.index, change.full) for change in told] == [(6, True), (7, False), (8, False)]
        assert told[0].endpoints[0].server.name == 'a"{['
        assert peer.connections == 1

    run(scenario())


@pytest.mark.parametrize(
    "behind", [b"\n", json.dumps(listing(index=7)).encode() + b"\n"], ids=["empty", "a list"]
)
def test_a_list_that_broke_off_swallows_nothing_that_follows(behind: bytes) -> None:
    async def scenario() -> None:
        broken = json.dumps(listing(entry("a", ("127.0.0.1", 1)), index=6), indent=2).encode()[:60]
        peer, told = await watching([chunked(broken + b"\n" + behind)], [line(listing(index=9))])
        await wait_until(lambda: len(told) == 1)
        assert peer.requests[1] == b"/catalog/members?follow=1&since=0"
        assert told[0].index == 9

    run(scenario())
