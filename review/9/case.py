"""A fleet of 3,200 servers with an indented list: does the gateway stop sending to servers that drain?"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s

SERVERS = 3200  # STANDING: "3,200 at most"
PROCESSES = 8  # the servers are spread over these, as a process may have few descriptors
INDENT = 8  # STANDING: "Lists may come indented"
DRAIN_EVERY = 4  # STANDING, calm+brink: "a quarter of the track servers begin to drain"
TOLD_S, GRACE_S = 6.0, 0.25 + 0.05  # as in case 6
QUIET_S, END_S = 4.0, 18.0
BATCH, PAUSE_S = 20, 0.5  # requests come in small batches, so that several servers are used


async def serve_some(first: int, count: int) -> None:
    """Be some of the servers: print the port of each, then each request; end with the standard input."""
    loop = asyncio.get_running_loop()

    def on_request(server: s.TrackServer, line: str, fields: dict[str, str]) -> None:
        print(f"got {server.name} {fields['x-correlation-id']} {time.monotonic()}", flush=True)

    for number in range(first, first + count):
        server = s.TrackServer(f"s-{number:08x}", 0.2)
        server.on_request = on_request
        await server.listen()
        print(f"port {server.name} {server.port}")
    print("listening", flush=True)
    await loop.run_in_executor(None, sys.stdin.buffer.read)


class Servers:
    """All servers, in processes of their own."""

    def __init__(self, record: s.Record) -> None:
        self.record = record
        self.addresses: dict[str, str] = {}
        self.arrivals: list[tuple[str, float]] = []  # the server's name, and seconds since the case began
        self._processes: list[asyncio.subprocess.Process] = []
        self._readers: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all processes, and wait until they listen."""
        count = SERVERS // PROCESSES
        for number in range(PROCESSES):
            process = await asyncio.create_subprocess_exec(
                sys.executable, __file__, "serve", str(number * count), str(count),
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
            )  # fmt: skip
            self._processes.append(process)
            listening = asyncio.Event()
            self._readers.append(asyncio.create_task(self._read(process, listening)))
            await asyncio.wait_for(listening.wait(), 20)

    async def _read(self, process: asyncio.subprocess.Process, listening: asyncio.Event) -> None:
        assert process.stdout is not None
        while line := (await process.stdout.readline()).decode().split():
            if line[0] == "port":
                self.addresses[line[1]] = f"127.0.0.1:{line[2]}"
            elif line[0] == "got":
                at = float(line[3]) - s.START
                self.arrivals.append((line[1], at))
                self.record(f"server {line[1]}: got {line[2]}", at)
            else:
                listening.set()

    async def end(self) -> None:
        """End all processes."""
        for process in self._processes:
            process.kill()
            await process.wait()

    def entries(self, draining: bool) -> list[dict[str, Any]]:
        """The list, with a quarter of the servers draining or not."""
        template = s.TrackServer("").entry()
        return [
            template
            | {"name": name, "address": address, "group": number // 6}
            | {"status": "Terminating" if draining and number % DRAIN_EVERY == 0 else "Ready"}
            for number, (name, address) in enumerate(self.addresses.items())
        ]


async def ask(gateway: s.Gateway, discovery: s.Discovery, servers: Servers, record: s.Record) -> list[int]:
    """Send requests, and let a quarter of the servers begin to drain; returns the answers' status."""
    client, started, drained = s.Client(gateway, record), s.now(), False
    asked: list[asyncio.Future[int]] = []
    while s.now() - started < END_S:
        if not drained and s.now() - started > QUIET_S:
            drained = True
            discovery.change(servers.entries(draining=True))
            record("a quarter of the servers begin to drain; discovery tells it on the open watches")
        for _ in range(BATCH):
            kind = s.CLASSES[len(asked) % len(s.CLASSES)]
            number, request = s.client_request(kind, 0x3000 + len(asked) % 60, "standard", 2, 1.2)
            asked.append(asyncio.ensure_future(client.ask(number, request, kind["name"], 2.0)))
        await asyncio.sleep(PAUSE_S)
    answers = list(await asyncio.gather(*asked))
    client.close()
    return answers


async def case(folder: Path, record: s.Record) -> int:
    """Start the fleet and one gateway, and count what draining servers get."""
    servers = Servers(record)
    counter = s.Counter()
    await counter.listen()
    gateway = None
    try:
        await servers.start()
        discovery = s.Discovery(41, servers.entries(draining=False), record)
        discovery.indent = INDENT if s.TROUBLE else None
        await discovery.listen()
        config = {"discovery": discovery.address, "counter": counter.address, "known": discovery.listing()}
        gateway = s.Gateway(folder, 0, config | {"settings": s.settings(0, 2)})
        await gateway.start()
        ready_at = s.now()
        answers = await ask(gateway, discovery, servers, record)
        await asyncio.sleep(0.5)
    finally:
        if gateway is not None:
            await gateway.end()
        await servers.end()
    drain = {entry["name"] for entry in discovery.entries if entry["status"] == "Terminating"}
    limit = ready_at + QUIET_S + 0.1 + TOLD_S + GRACE_S
    late = [at for name, at in servers.arrivals if name in drain and at > limit]
    text = (
        f"{len(answers)} requests, {answers.count(200)} served; {len(late)} went to draining servers too late"
    )
    record(text)
    print(text)
    if answers.count(200) < len(answers) / 5:
        raise s.CannotRun("the gateway served less than half")
    return s.BROKEN if late else s.HELD


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        asyncio.run(serve_some(int(sys.argv[2]), int(sys.argv[3])))
    else:
        sys.exit(s.play(Path(__file__).resolve().parent, case))
