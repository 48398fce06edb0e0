"""Rereading the configuration on SIGHUP: which changes are followed, what is closed, and what stays."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from gingerworks import interface
from gingerworks.gateway.counter import CounterClient
from tests.loopback import (
    OK,
    Client,
    Peer,
    Reader,
    Writer,
    answering_server,
    build_request,
    entry,
    gateway,
    listing,
    raw_config,
    run,
    wait_until,
)
from tests.test_gateway_discovery import HEAD, line


async def start_discovery(*entries: dict[str, Any], index: int) -> Peer:
    """A discovery that sends this list and records an empty request when the connection ends."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        peer.requests.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
        writer.write(HEAD + line(listing(*entries, index=index)))
        await reader.read()
        peer.requests.append(b"")

    return await Peer(script).start()


def address_text(peer: Peer) -> str:
    return f"{peer.address[0]}:{peer.address[1]}"


def test_the_new_discovery_is_followed_and_the_old_watch_ends(tmp_path: Path) -> None:
    async def scenario() -> None:
        one, two = await answering_server(OK), await answering_server(OK)
        old = await start_discovery(entry("a", one.address), index=900)
        new = await start_discovery(entry("b", two.address), index=3)
        gw = gateway(discovery=address_text(old))
        await wait_until(lambda: [s.name for s in gw.backends.servers()] == ["a"])
        file = tmp_path / "config.json"
        file.write_text(json.dumps(raw_config(discovery=address_text(new))))
        # The variable is as old as the process: the file must win.
        gw.reload({"NODE_CONFIG": str(file), "NODE_DISCOVERY": address_text(old)})
        await wait_until(lambda: [s.name for s in gw.backends.servers()] == ["b"])
        assert new.requests == [b"/catalog/members?follow=1&since=0"]
        await wait_until(lambda: old.requests[1:] == [b""])
        assert (await (await Client.to(gw)).send(build_request()))[0] == 200
        assert len(two.requests) == 1

    run(scenario())


@pytest.mark.parametrize("content", [None, "{", "[]", '{"settings": {}}', "[" * 100_000])
def test_a_wrong_file_changes_nothing(
    content: str | None, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        old = await start_discovery(entry("a", server.address), index=9)
        gw = gateway(discovery=address_text(old))
        await wait_until(lambda: [s.name for s in gw.backends.servers()] == ["a"])
        file = tmp_path / "config.json"
        if content is not None:
            file.write_text(content)
        gw.reload({"NODE_CONFIG": str(file)})
        assert "keeping the former one" in caplog.text
        assert (await (await Client.to(gw)).send(build_request()))[0] == 200
        assert len(old.requests) == 1

    run(scenario())


def test_reloads_in_a_row_end_with_the_last_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        peers = [await start_discovery(index=number) for number in range(4)]
        gw = gateway(discovery=address_text(peers[0]))
        file = tmp_path / "config.json"
        for peer in peers:
            file.write_text(json.dumps(raw_config(discovery=address_text(peer), counter=address_text(peer))))
            gw.reload({"NODE_CONFIG": str(file)})
        assert gw.runtime.counter is not None
        assert gw.runtime.counter._address == peers[3].address
        await wait_until(lambda: len(peers[3].requests) > 0)
        await wait_until(lambda: all(peer.requests[1:2] in ([], [b""]) for peer in peers[:3]))
        watches = [task for task in asyncio.all_tasks() if "Watch.run" in str(task.get_coro())]
        assert len(watches) == 1

    run(scenario())


def test_a_reload_while_a_watch_is_opening_follows_the_new_discovery(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            peer.requests.append(await reader.readuntil(b"\r\n\r\n"))
            await reader.read()  # never answers: the watch is not open yet
            peer.requests.append(b"")

        server, old = await answering_server(OK), await Peer(script).start()
        gw = gateway(discovery=address_text(old))
        await wait_until(lambda: len(old.requests) == 1)
        new = await start_discovery(entry("b", server.address), index=2)
        file = tmp_path / "config.json"
        file.write_text(json.dumps(raw_config(discovery=address_text(new))))
        gw.reload({"NODE_CONFIG": str(file)})
        await wait_until(lambda: [s.name for s in gw.backends.servers()] == ["b"])
        await wait_until(lambda: old.requests[1:] == [b""])
        assert (await (await Client.to(gw)).send(build_request()))[0] == 200

    run(scenario())


@pytest.mark.parametrize("when", ["before", "during", "after"])
def test_a_reload_around_a_shutdown_neither_stops_nor_undoes_it(when: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        old = await start_discovery(entry("a", server.address), index=2)
        new = await start_discovery(entry("a", server.address), index=2)
        gw = gateway(discovery=address_text(old))
        address = gw.frontend.address
        client = await Client.to(gw)
        assert (await client.send(build_request()))[0] == 200
        file = tmp_path / "config.json"
        file.write_text(json.dumps(raw_config(discovery=address_text(new))))
        if when == "before":
            gw.reload({"NODE_CONFIG": str(file)})
        held = await Client.to(gw)
        held.writer.write(build_request()[:-2])
        await wait_until(lambda: any(c.receiving for c in gw.frontend.clients.open))
        gw.frontend.begin_shutdown()
        if when == "during":
            gw.reload({"NODE_CONFIG": str(file)})
        assert (await held.send(b"\r\n"))[0] == 200
        await gw.wait_and_close()
        if when == "after":
            gw.reload({"NODE_CONFIG": str(file)})
        assert await client.reader.read() == b""
        with pytest.raises(ConnectionError):
            await asyncio.open_connection(*address)

    run(scenario())


def test_calls_in_flight_on_a_replaced_counter_get_their_answers() -> None:
    async def scenario() -> None:
        answer = asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            peer.requests.append(await reader.readline())
            await answer.wait()
            writer.write(b"ok 7\r\n")
            peer.requests.append(await reader.read())

        peer = await Peer(script).start()
        results: list[interface.Counted] = []
        client = CounterClient(asyncio.get_running_loop(), peer.address, 20_000_000_000, 7, results.append)
        client.call(interface.Count(1, 2.0, 60_000_000_000))
        await wait_until(lambda: len(peer.requests) == 1)
        client.retire()
        assert results == []
        answer.set()
        await wait_until(lambda: len(results) == 1)
        assert (results[0].status, results[0].total) == (interface.Status.DELIVERED, 7.0)
        await wait_until(lambda: peer.requests[1:] == [b""])  # and then the connection is closed

    run(scenario())


def test_the_command_survives_sighup_and_still_ends_on_sigterm(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(raw_config()))
    process = subprocess.Popen(
        [sys.executable, "-m", "gingerworks.gateway"],
        env={**os.environ, "NODE_CONFIG": str(file)},
        cwd=Path(__file__).parent.parent,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert process.stderr is not None
    assert any("listening on 127.0.0.1:" in text for text in process.stderr)
    for _ in range(2):
        process.send_signal(signal.SIGHUP)
        assert any("reread: " in text for text in process.stderr)
    file.write_text("{")
    process.send_signal(signal.SIGHUP)
    assert any("keeping the former one" in text for text in process.stderr)
    process.send_signal(signal.SIGHUP)
    process.terminate()
    assert process.wait(timeout=30) == 0
    process.stderr.close()


def test_no_client_is_accepted_before_discovery_has_sent_the_current_list() -> None:
    # Restarted gateways sent requests to servers that had begun to drain while the gateways were down.
    async def scenario() -> None:
        old, new = await answering_server(OK), await answering_server(OK)
        may_send_list = asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            peer.requests.append(await reader.readuntil(b"\r\n\r\n"))
            await may_send_list.wait()
            draining = entry("s0", old.address, "Terminating")
            writer.write(HEAD + line(listing(draining, entry("s1", new.address), index=9)))
            await reader.read()

        peer = await Peer(script).start()
        gw = gateway(old.address, discovery=address_text(peer))
        client = await Client.to(gw)
        client.writer.write(build_request())
        await wait_until(lambda: len(peer.requests) == 1)
        await asyncio.sleep(0.05)
        assert not old.requests
        may_send_list.set()
        assert (await client.answer())[0] == 200
        assert (len(old.requests), len(new.requests)) == (0, 1)

    run(scenario())


def test_a_silent_discovery_does_not_keep_a_gateway_from_serving(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gingerworks.gateway.__main__.FIRST_LIST_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            await reader.read()

        peer, server = await Peer(script).start(), await answering_server(OK)
        gw = gateway(server.address, discovery=address_text(peer))
        assert (await (await Client.to(gw)).send(build_request()))[0] == 200

    run(scenario())
