"""Discovery and configuration: the watch over loopback sockets, malformed lists and wrong settings."""

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
from gingerworks.gateway.discovery import Watch
from gingerworks.gateway.server_list import Change, change_from
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
    """One line of a watch in two chunks: chunks need not end where lines do."""
    text = json.dumps(message).encode() + b"\n"
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (text[:9], text[9:]))


async def start_watched_discovery(*connections: list[bytes]) -> tuple[Peer, list[Change]]:
    """A watch of a discovery that sends each of these to one connection and closes all but the last.

    Returns discovery and the changes that the watch reports.
    """

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        number = peer.connections
        peer.requests.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
        writer.write(HEAD + b"".join(connections[number - 1]))
        if number == len(connections):
            await reader.read()

    peer = await Peer(script).start()
    changes: list[Change] = []
    peer.task = asyncio.ensure_future(Watch(peer.address, 5, 7, changes.append).run())
    return peer, changes


def test_a_watch_that_ends_is_reopened_from_the_known_version() -> None:
    async def scenario() -> None:
        first = [line(listing(entry("a", ("127.0.0.1", 1)), index=6)), b"1\r\n\n\r\n"]
        second = [line(listing(entry("a", ("127.0.0.1", 1), "Gone"), index=7, snapshot=False))]
        peer, changes = await start_watched_discovery(first, second)
        await wait_until(lambda: len(changes) == 2)
        assert peer.requests == [b"/catalog/members?follow=1&since=5", b"/catalog/members?follow=1&since=6"]
        assert [(c.index, c.full) for c in changes] == [(6, True), (7, False)]
        assert changes[1].endpoints[0].server.phase is interface.Phase.GONE

    run(scenario())


@pytest.mark.parametrize(
    "junk", [b"{nonsense}", b"[]", b'{"index":"x","endpoints":[]}', b"\xff\xfe", b"[" * 9000]
)
def test_after_an_invalid_line_the_whole_list_is_requested(junk: bytes) -> None:
    async def scenario() -> None:
        bad = [b"%x\r\n%b\n\r\n" % (len(junk) + 1, junk)]
        peer, changes = await start_watched_discovery(bad, [line(listing(index=9))])
        await wait_until(lambda: len(changes) == 1)
        assert peer.requests[1] == b"/catalog/members?follow=1&since=0"

    run(scenario())


def test_a_version_that_was_far_too_high_does_not_rule_out_later_changes() -> None:
    async def scenario() -> None:
        first = [line(listing(index=1 << 50)), line(listing(index=8, snapshot=False))]
        peer, changes = await start_watched_discovery(
            first, [line(listing(entry("a", ("127.0.0.1", 1)), index=9))]
        )
        await wait_until(lambda: len(changes) == 2)
        assert peer.requests[1] == b"/catalog/members?follow=1&since=0"
        assert changes[1].endpoints[0].server.name == "a"

    run(scenario())


def test_an_error_in_the_handling_of_a_change_does_not_end_the_watch() -> None:
    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            writer.write(HEAD + line(listing(index=7)))
            await reader.read()

        peer = await Peer(script).start()
        changes: list[Change] = []

        def on_change(change: Change) -> None:
            changes.append(change)
            if len(changes) == 1:
                raise KeyError("raised by the test")

        task = asyncio.ensure_future(Watch(peer.address, 5, 7, on_change).run())
        await wait_until(lambda: len(changes) == 2)
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
        good | {"weight": 10**400},  # too large for a float: the watch failed on it again and again
        good | {"status": "Odd"},
        good | {"address": "nowhere"},
        good | {"since_ms": "x"},
    ]
    change = change_from({"index": 1, "snapshot": True, "endpoints": [*bad, good | {"weight": "x"}]})
    assert [e.server.name for e in change.endpoints] == ["a"]
    assert change.endpoints[0].server.size == 1.0


def test_start_times_are_on_the_gateways_clock() -> None:
    since = int(time.time() * 1000) - 5000
    server = change_from(listing(entry("a", ("127.0.0.1", 1), since_ms=since))).endpoints[0].server
    assert abs(clock.now() - server.started_ns - 5 * clock.NS_PER_S) < clock.NS_PER_S
    assert change_from(listing(entry("a", ("127.0.0.1", 1)))).endpoints[0].server.started_ns == 0


def test_a_server_that_replaces_another_gets_the_requests() -> None:
    async def scenario() -> None:
        old, new = await answering_server(OK), await answering_server(OK)

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            writer.write(HEAD + line(listing(entry("s9", new.address), index=8)))
            await reader.read()

        peer = await Peer(script).start()
        gw = gateway(old.address, discovery=f"{peer.address[0]}:{peer.address[1]}")
        await wait_until(lambda: [s.name for s in gw.backends.servers()] == ["s9"])
        assert (await (await Client.to(gw)).send(build_request()))[0] == 200
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
    """A configuration with one setting changed; numbers in the path are list indices."""
    raw = json.loads(json.dumps(raw_config()))
    *parents, last = path.split(".")
    inner: Any = raw["settings"]
    for parent in parents:
        inner = inner[int(parent) if parent.isdigit() else parent]
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
def test_the_command_reports_a_wrong_configuration_and_exits(content: str | None, tmp_path: Path) -> None:
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


def delays_of(seed: int, gateways: int, status: bytes, count: int) -> list[float]:
    """The delays of one watch all of whose requests get this answer."""
    delays: list[float] = []

    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(status)

        async def pause(seconds: float) -> None:
            delays.append(seconds)
            if len(delays) == count:
                raise asyncio.CancelledError

        peer = await Peer(script).start()
        watch = Watch(peer.address, 5, seed, lambda change: None, gateways)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery, "pause", pause)
            with pytest.raises(asyncio.CancelledError):
                await watch.run()

    run(scenario())
    return delays


REFUSAL = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


def test_the_delay_after_refusals_grows_up_to_its_limit() -> None:
    # After refusals, the watch was reopened without a growing delay: 40 gateways sent five requests a second
    # each, and got nothing.  The delays are limited by the time within which a change must be known.
    for gateways, first in ((1, 0.4), (40, discovery.MAX_REFUSED_DELAY_S)):
        delays = [delays_of(seed, gateways, REFUSAL, 6) for seed in range(20)]
        for number, each in enumerate(zip(*delays, strict=True)):
            bound = min(first * 2**number, discovery.MAX_REFUSED_DELAY_S)
            assert 0.5 * bound <= min(each)
            assert max(each) <= bound


def test_the_requests_of_a_large_fleet_are_spread_after_refusals() -> None:
    # No part of the time in which all gateways return gets many more requests than its share.
    least = 0.5 * discovery.MAX_REFUSED_DELAY_S
    firsts = [delays_of(seed, 200, REFUSAL, 1)[0] for seed in range(100)]
    fifths = [sum(n <= 5 * (first / least - 1) < n + 1 for first in firsts) for n in range(5)]
    assert sum(fifths) == 100
    assert min(fifths) >= 8
    assert max(fifths) <= 35


def test_a_gateway_of_a_large_fleet_requests_the_list_without_delay_at_its_start() -> None:
    # With a random delay of up to 20 s before the first request, in a fleet of 200, requests were sent to
    # servers after their drain's grace period, 1,556 times in one day.
    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            writer.write(HEAD + line(listing(index=6)))
            await reader.read()

        async def pause(seconds: float) -> None:
            raise AssertionError(f"waits {seconds} s before the first request")

        peer = await Peer(script).start()
        changes: list[Change] = []
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery, "pause", pause)
            task = asyncio.ensure_future(Watch(peer.address, 5, 7, changes.append, 200).run())
            await wait_until(lambda: bool(changes) or task.done())
        assert [change.index for change in changes] == [6]
        task.cancel()

    run(scenario())


def test_a_watch_that_was_served_is_reopened_soon_however_large_the_fleet() -> None:
    # The gateway is expected to know what the agent knows, even without a watch: a delay of 0.5 to 1.5 s was
    # longer than the grace period of a draining server.
    ends = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    delays = delays_of(3, 200, ends, 20)
    assert all(0.0 < each <= 0.1 for each in delays)
    assert max(delays) - min(delays) > 0.02


def test_an_unreachable_agent_is_tried_again_without_long_delays(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # That loads no one, and the gateway is expected to know what the agent knows once it is back.
    delays: list[float] = []

    async def pause(seconds: float) -> None:
        delays.append(seconds)
        if len(delays) == 20:
            raise asyncio.CancelledError

    async def scenario() -> None:
        watch = Watch(("127.0.0.1", closed_port()), 5, 7, lambda change: None, 200)
        with pytest.raises(asyncio.CancelledError):
            await watch.run()

    monkeypatch.setattr(discovery, "pause", pause)
    run(scenario())
    assert max(delays) <= 0.1


@pytest.mark.parametrize(
    "sent", [b"", HEAD, HEAD + line(listing(index=6))], ids=["nothing", "a head", "a list"]
)
def test_after_silence_the_next_request_follows_soon(sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    # Silence was noticed after 5 s, and a change must be known after 6 s: no delay of 1.5 s fits in between.
    # After a request without an answer, the delay was once 2 to 6 s, then 4 to 12 s.
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_S", 0.05)
    monkeypatch.setattr(discovery, "LINE_STALL_TIMEOUT_S", 0.05)
    delays: list[float] = []

    async def pause(seconds: float) -> None:
        delays.append(seconds)

    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(sent)
            await reader.read()

        peer = await Peer(script).start()
        task = asyncio.ensure_future(Watch(peer.address, 5, 7, lambda change: None, 200).run())
        await wait_until(lambda: len(delays) == 4)
        task.cancel()

    monkeypatch.setattr(discovery, "pause", pause)
    run(scenario())
    assert max(delays) <= 0.1


def chunked(text: bytes) -> bytes:
    """The text in chunks of seven bytes, so that they end anywhere."""
    parts = [text[at : at + 7] for at in range(0, len(text), 7)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


@pytest.mark.parametrize("indent", [0, 1, 4])
@pytest.mark.parametrize("ending", ["\n", "\r\n"])
def test_a_list_may_be_indented_over_several_lines(indent: int, ending: str) -> None:
    async def scenario() -> None:
        odd = entry('a"{[', ("127.0.0.1", 1))  # brackets and quotes within a name
        lists = [listing(odd, index=6), listing(entry("b", ("127.0.0.1", 2)), index=7, snapshot=False)]
        text = "".join(json.dumps(one, indent=indent).replace("\n", ending) + ending for one in lists)
        plain = json.dumps(listing(index=8, snapshot=False)) + "\n"
        peer, changes = await start_watched_discovery([chunked((text + ending + plain).encode())])
        await wait_until(lambda: len(changes) == 3)
        assert [(change.index, change.full) for change in changes] == [(6, True), (7, False), (8, False)]
        assert changes[0].endpoints[0].server.name == 'a"{['
        assert peer.connections == 1

    run(scenario())


@pytest.mark.parametrize(
    "behind", [b"\n", json.dumps(listing(index=7)).encode() + b"\n"], ids=["empty", "a list"]
)
def test_an_incomplete_list_does_not_swallow_what_follows(behind: bytes) -> None:
    async def scenario() -> None:
        broken = json.dumps(listing(entry("a", ("127.0.0.1", 1)), index=6), indent=2).encode()[:60]
        peer, changes = await start_watched_discovery(
            [chunked(broken + b"\n" + behind)], [line(listing(index=9))]
        )
        await wait_until(lambda: len(changes) == 1)
        assert peer.requests[1] == b"/catalog/members?follow=1&since=0"
        assert changes[0].index == 9

    run(scenario())
