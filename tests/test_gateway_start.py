"""The start: ready soon on a small share of a core, whatever discovery does, and if many start at once."""

from __future__ import annotations

import asyncio
import gc
import importlib.util
import os
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path

import pytest

from gingerworks.gateway import __main__ as command
from gingerworks.gateway import discovery
from gingerworks.gateway.config import Address, config_from
from tests.loopback import Client, Peer, Process, Reader, Writer, closed_port, gateway, raw_config, run

ROOT = Path(__file__).parent.parent
HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
READY_S = 10.0  # for a restarted gateway to answer
CORE_SHARE = 1 / 20  # the share of a core that it has
# The processor time that a start may use: it spends the rest of that time on its only wait.
PROCESSOR_S = (READY_S - command.FIRST_LIST_TIMEOUT_S) * CORE_SHARE


def address_text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


async def not_running() -> str:
    """A discovery that does not run: connections to it are refused."""
    return f"127.0.0.1:{closed_port()}"


async def refusing() -> str:
    """A discovery that refuses every request."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")

    return address_text((await Peer(script).start()).address)


async def silent() -> str:
    """A discovery that accepts every connection and never answers."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        await reader.read()

    return address_text((await Peer(script).start()).address)


@contextmanager
def unreachable() -> Iterator[str]:
    """A discovery to which no connection is established: the backlog of its listener is full."""
    with ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        for _ in range(4):  # the kernel accepts one or two more than the backlog says
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        yield address_text(listener.getsockname())


async def address_of(behaviour: str, stack: ExitStack) -> str:
    if behaviour == "unreachable":
        return stack.enter_context(unreachable())
    return await {"not_running": not_running, "refusing": refusing, "silent": silent}[behaviour]()


async def is_healthy(client: Client) -> bool:
    return (await client.send(HEALTH))[0] == 200


BEHAVIOURS = ["not_running", "refusing", "silent", "unreachable"]


@pytest.mark.parametrize("behaviour", BEHAVIOURS)
def test_a_start_waits_for_nothing_but_discoverys_first_answer(
    behaviour: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # No time-out may end a wait, except the one for the first answer, where that answer never comes.
    answers = behaviour in ("not_running", "refusing")
    monkeypatch.setattr(command, "FIRST_LIST_TIMEOUT_S", 1e6 if answers else 0.02)
    monkeypatch.setattr(discovery, "CONNECT_TIMEOUT_S", 1e6)
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_S", 1e6)
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_S", 1e6)
    monkeypatch.setattr(discovery, "pause", lambda seconds: asyncio.sleep(1e6))

    async def scenario() -> None:
        with ExitStack() as stack:
            gw = gateway(discovery=await address_of(behaviour, stack), counter=f"127.0.0.1:{closed_port()}")
            assert await is_healthy(await Client.to(gw))

    run(scenario())


def test_garbage_is_collected_while_the_start_waits_for_discovery(monkeypatch: pytest.MonkeyPatch) -> None:
    # The collection took about a tenth of the processor time of a start, and once ran before the request to
    # discovery instead of while waiting for its answer.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        order: list[str] = []

        def collect() -> None:
            with suppress(BlockingIOError):
                listener.accept()[0].close()
                order.append("asked")
            order.append("collected")

        def freeze() -> None:
            os.kill(os.getpid(), signal.SIGTERM)

        monkeypatch.setattr(gc, "collect", collect)
        monkeypatch.setattr(gc, "freeze", freeze)
        run(command.serve(config_from(raw_config(discovery=address_text(listener.getsockname())))))
        assert order == ["asked", "collected"]


# The next test covers a silent discovery.
@pytest.mark.parametrize("behaviour", ["not_running", "refusing", "unreachable"])
def test_a_start_takes_so_little_processor_time_that_a_twentieth_of_a_core_is_enough(
    behaviour: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        with ExitStack() as stack:
            config = raw_config(discovery=await address_of(behaviour, stack))
            process = stack.enter_context(Process(tmp_path, config))
            await process.listening()
            assert await is_healthy(await Client.at(process.address))
            assert process.processor_s() < PROCESSOR_S

    run(scenario())


def test_gateways_that_were_killed_restart_together_at_their_addresses(tmp_path: Path) -> None:
    async def scenario() -> None:
        with ExitStack() as stack:
            configs = [raw_config(name=f"n{number}") for number in range(4)]
            former = [stack.enter_context(Process(tmp_path, config)) for config in configs]
            clients = []
            for process in former:
                await process.listening()
                clients.append(client := await Client.at(process.address))
                assert await is_healthy(client)
            for process in former:
                process.kill()  # with connections open: the kernel still holds these addresses
            addresses = [address_text(process.address) for process in former]
            silent_discovery = await silent()
            restarted = [
                stack.enter_context(
                    Process(tmp_path, config | {"discovery": silent_discovery}, NODE_LISTEN=listen)
                )
                for config, listen in zip(configs, addresses, strict=True)
            ]
            for process, listen in zip(restarted, addresses, strict=True):
                await process.listening()
                assert address_text(process.address) == listen
            waiting = [await Client.at(process.address) for process in restarted]
            assert all(await asyncio.gather(*map(is_healthy, waiting)))
            assert max(process.processor_s() for process in restarted) < PROCESSOR_S
            assert len(clients) == len(former)

    run(scenario())


def test_the_build_compiles_all_modules_in_advance(tmp_path: Path) -> None:
    # The file system is read-only where gateways run, so no start can leave compiled files for the next one.
    sources = [path.relative_to(ROOT) for path in (ROOT / "gingerworks").rglob("*.py")]
    for source in sources:
        (tmp_path / source).parent.mkdir(parents=True, exist_ok=True)
        (tmp_path / source).write_bytes((ROOT / source).read_bytes())
    binaries = tmp_path / ".venv" / "bin"
    binaries.mkdir(parents=True)
    (binaries / "python").symlink_to(sys.executable)
    (tmp_path / ".venv" / "installed").touch()
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, check=True, env=os.environ)
    for source in sources:
        assert Path(importlib.util.cache_from_source(str(tmp_path / source))).exists()
