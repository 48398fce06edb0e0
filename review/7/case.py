"""A firm of plan fleet asks far beyond its quota in spells: do all gateways together keep its ceiling?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s

GATEWAYS = 4  # BRIEF: a firm's requests come in through 2 to 4 of the gateways
RATE, BURST, CEILING = 18.0, 36.0, 1.6  # BRIEF: 11 to 18 a second, 1 to 2.4 s of it at once, 1.6 to 2.6 times
COUNTER_WAIT_S = 0.02  # a crowded counter; the settings give a call up after 50 ms
FIRMS = 5
# BRIEF: some firms ask up to 7.6 times their quota for 1.2 to 4.7 s now and then.
SPELL_RATE, SPELL_S = 7.0 * RATE, 4.0
REST_S = 2.6
SECOND_SPELL_REQUESTS = 144  # 8 s of the quota, 6.7 times it over 1.2 s; they come at the spell's begin
READ = s.CLASSES[0]


class Ceiling:
    """The second store of one firm, as WIRE's rule 5 and PROTOCOL's sentence on it define it."""

    def __init__(self) -> None:
        self.plan = s.plan("fleet", RATE, BURST, CEILING)
        self.level, self.at = self.plan["ceiling-burst"], 0.0
        self.lowest = self.level
        self.allowed = -(self.plan["cap-slack"] + 0.15 * self.plan["ceiling-rate"])

    def take(self) -> None:
        """Take the unit of a try whose first attempt has reached a server whole."""
        refill = self.plan["ceiling-rate"] * (s.now() - self.at)
        self.level, self.at = min(self.plan["ceiling-burst"], self.level + refill) - 1.0, s.now()
        self.lowest = min(self.lowest, self.level)


async def spells(firm: int, clients: list[s.Client], ceiling: Ceiling, record: s.Record) -> list[int]:
    """One firm: a few requests, a long spell beyond the quota, a rest, and a second spell."""
    asked: list[asyncio.Future[int]] = []

    def ask(client: s.Client) -> None:
        number, request = s.client_request(READ, firm, "fleet", GATEWAYS, 2.5)
        asked.append(asyncio.ensure_future(client.ask(number, request, f"firm {firm:x}", 3.5)))

    async def ask_evenly(rate: float, seconds: float) -> None:
        until = s.now() + seconds
        while s.now() < until:
            ask(random.choice(clients))
            await asyncio.sleep(1 / rate)

    await ask_evenly(0.5 * RATE, 2.0)
    if not s.TROUBLE:
        await ask_evenly(0.8 * RATE, SPELL_S + REST_S)
        return list(await asyncio.gather(*asked))
    record(f"firm {firm:x}: asks {SPELL_RATE:.0f} a second for {SPELL_S} s")
    await ask_evenly(SPELL_RATE, SPELL_S)
    record(f"firm {firm:x}: rests; its ceiling's store was at {ceiling.lowest:.1f} at the lowest")
    await asyncio.sleep(REST_S - 0.5)
    await asyncio.gather(*(client.open(SECOND_SPELL_REQUESTS // GATEWAYS) for client in clients))
    await asyncio.sleep(0.5)
    record(f"firm {firm:x}: asks {SECOND_SPELL_REQUESTS} times")
    for _ in range(SECOND_SPELL_REQUESTS // GATEWAYS):
        for client in clients:
            ask(client)
    return list(await asyncio.gather(*asked))


async def case(folder: Path, record: s.Record) -> int:
    """Start four gateways, and let one firm after the other ask for more than its quota."""
    ceilings = {0xF0 + number: Ceiling() for number in range(FIRMS)}
    reached: set[str] = set()

    def on_request(server: s.TrackServer, first: str, fields: dict[str, str]) -> None:
        number = fields["x-correlation-id"]
        if number not in reached:
            reached.add(number)
            firm = int(first.split()[1].rpartition("/")[2], 16)
            ceilings[firm].take()
            record(f"server {server.name}: got {number}, store of {firm:x} now {ceilings[firm].level:.2f}")

    servers = [s.TrackServer(f"s-{number}", 0.03) for number in range(6)]
    for server in servers:
        server.on_request = on_request
        await server.listen()
    discovery = s.Discovery(1, [server.entry() for server in servers], record)
    counter = s.Counter(COUNTER_WAIT_S)
    await discovery.listen()
    await counter.listen()
    plans = [*s.PLANS[:2], s.plan("fleet", RATE, BURST, CEILING)]
    config = {"discovery": discovery.address, "counter": counter.address, "known": discovery.listing()}
    gateways = [
        s.Gateway(folder, me, config | {"settings": s.settings(me, GATEWAYS, tariffs=plans)})
        for me in range(GATEWAYS)
    ]
    answers: list[int] = []
    try:
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        clients = [s.Client(gateway, record) for gateway in gateways]
        await asyncio.sleep(3.0)
        for firm, ceiling in ceilings.items():
            answers += await spells(firm, clients, ceiling, record)
        for client in clients:
            client.close()
    finally:
        for gateway in gateways:
            await gateway.end()
    for firm, one in ceilings.items():
        print(f"firm {firm:x}: the ceiling's store fell to {one.lowest:.1f}, {one.allowed:.1f} is allowed")
        record(f"firm {firm:x}: the ceiling's store fell to {one.lowest:.1f}, {one.allowed:.1f} is allowed")
    print(f"{len(answers)} requests, {answers.count(200)} served, {answers.count(429)} refused")
    if answers.count(200) < 20:
        raise s.CannotRun("hardly any request was served")
    return s.BROKEN if any(one.lowest < one.allowed for one in ceilings.values()) else s.HELD


if __name__ == "__main__":
    sys.exit(s.play(Path(__file__).resolve().parent, case))
