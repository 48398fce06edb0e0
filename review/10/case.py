"""A gateway dies, a server begins to drain, discovery goes down, the gateway is back: does it send there?"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s

DOWN_S = 8.0  # STANDING, herd+mass: "discovery is down for 8 s"
BACK_AFTER_S = 2.0  # BRIEF: gateways "come back after 1 to 7.7 s"
GRACE_S = 0.25 + 0.05  # the drain's grace of the settings, and what PROTOCOL adds to every time limit
END_S = 12.0


class Agent(s.Discovery):
    """Discovery's agent, which says nothing while discovery is down and goes on when it returns."""

    silent_until = 0.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer as soon as discovery is up."""
        self.delay_s = max(0.0, self.silent_until - s.now())
        await super().serve(reader, writer)


async def case(folder: Path, record: s.Record) -> int:
    """Play one kill of a gateway, with a drain and an outage of discovery before it is back."""
    servers = [s.TrackServer(f"s-{n}", 0.1) for n in range(3)]
    draining, sent = servers[0], []

    def on_request(server: s.TrackServer, first: str, fields: dict[str, str]) -> None:
        record(f"server {server.name}: got {fields['x-correlation-id']}: {first}")
        if server is draining:
            sent.append(s.now())

    for server in servers:
        server.on_request = on_request
        await server.listen()
    discovery, counter = Agent(41, [server.entry() for server in servers], record), s.Counter()
    await discovery.listen()
    await counter.listen()
    addresses = {"discovery": discovery.address, "counter": counter.address}
    gateway = s.Gateway(folder, 0, addresses | {"known": discovery.listing(), "settings": s.settings(0, 2)})
    try:
        await gateway.start()
        await asyncio.sleep(1.0)
        gateway.signal(signal.SIGKILL)
        killed = s.now()
        record("the gateway is killed")
        await asyncio.sleep(0.5)
        discovery.change(
            [server.entry("Terminating" if server is draining else "Ready") for server in servers]
        )
        record(f"{draining.name} begins to drain; discovery's agent has it")
        await asyncio.sleep(0.5)
        if s.TROUBLE:
            discovery.silent_until = s.now() + DOWN_S
            record(f"discovery is down for {DOWN_S} s: its agent is silent")
        await asyncio.sleep(killed + BACK_AFTER_S - s.now())
        await gateway.start()
        ready = s.now()
        record("the gateway is ready again")
        client, asked = s.Client(gateway, record), []
        while s.now() - ready < END_S:
            kind = s.CLASSES[len(asked) % len(s.CLASSES)]
            number, request = s.client_request(kind, 0x1000 + len(asked) % 40, "standard", 2, 1.2)
            asked.append(asyncio.ensure_future(client.ask(number, request, kind["name"], 2.0)))
            await asyncio.sleep(0.025)
        answers = await asyncio.gather(*asked)
        client.close()
    finally:
        await gateway.end()
    late = [at for at in sent if at > ready + GRACE_S]
    text = f"{len(answers)} requests, {answers.count(200)} served; {draining.name} got {len(late)} too late"
    record(text)
    print(text)
    if answers.count(200) < len(answers) / 5:
        raise s.CannotRun("the gateway served hardly any")
    return s.BROKEN if late else s.HELD


if __name__ == "__main__":
    sys.exit(s.play(Path(__file__).resolve().parent, case))
