"""Discovery answers each call after 3 s: does the gateway stop sending to a server that drains?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s

ANSWER_DELAY_S = 3.0  # how long discovery takes to answer a call, in the trouble
TOLD_S = 6.0  # STANDING: told at the latest so long after discovery had it and could be reached
GRACE_S = 0.25 + 0.05  # the drain's grace of the settings, and what PROTOCOL adds to every time limit
END_S = 20.0


async def case(folder: Path, record: s.Record) -> int:
    """Start a gateway whose known list is older than a drain, and send it requests for 20 s."""
    servers = [s.TrackServer(f"s-{n}", 0.1) for n in range(3)]
    draining, sent = servers[0], []
    for server in servers:
        await server.listen()

        def on_request(server: s.TrackServer, first: str, fields: dict[str, str]) -> None:
            record(f"server {server.name}: got {fields['x-correlation-id']}: {first}")
            if server is draining:
                sent.append(s.now())

        server.on_request = on_request
    known = {"index": 41, "snapshot": True, "endpoints": [server.entry() for server in servers]}
    entries = [server.entry("Terminating" if server is draining else "Ready") for server in servers]
    discovery, counter = s.Discovery(42, entries, record), s.Counter()
    discovery.delay_s = ANSWER_DELAY_S if s.TROUBLE else 0.0
    await discovery.listen()
    await counter.listen()
    gateway = s.Gateway(
        folder,
        0,
        {
            "discovery": discovery.address,
            "counter": counter.address,
            "known": known,
            "settings": s.settings(0, 2),
        },
    )
    started = s.now()
    record(f"discovery has told of the drain of {draining.name} whoever asked; the gateway starts")
    try:
        await gateway.start()
        record("the gateway is ready")
        client, asked = s.Client(gateway, record), []
        while s.now() - started < END_S:
            kind = s.CLASSES[len(asked) % len(s.CLASSES)]
            number, request = s.client_request(kind, 0x1000 + len(asked) % 40, "standard", 2, 1.2)
            asked.append(asyncio.ensure_future(client.ask(number, request, kind["name"], 2.0)))
            await asyncio.sleep(0.025)
        answers = await asyncio.gather(*asked)
        client.close()
    finally:
        await gateway.end()
    limit = started + TOLD_S + GRACE_S
    late = [at for at in sent if at > limit]
    served = sum(status == 200 for status in answers)
    record(f"{len(answers)} requests, {served} served; {draining.name} got {len(sent)}, {len(late)} too late")
    print(
        f"{draining.name} drains since before the start; {len(late)} of its {len(sent)} requests came more "
        f"than {TOLD_S + GRACE_S:.2f} s after the start, the last at {max(sent, default=0) - started:.1f} s"
    )
    if served < len(answers) / 2:
        raise s.CannotRun("the gateway served less than half")
    return s.BROKEN if late else s.HELD


if __name__ == "__main__":
    sys.exit(s.play(Path(__file__).resolve().parent, case))
