"""Discovery answers each call after 3 s: is a keyed request repeated in another pod, and so applied twice?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s

ANSWER_DELAY_S = 3.0  # how long discovery takes to answer a call, in the trouble
TOLD_S = 6.0 + 0.25 + 0.05  # STANDING: told by then; the settings' grace, and PROTOCOL's 50 ms
RESET_SHARE = 0.2  # STANDING: connections are reset under requests that have begun
KEYS_KEPT_S = 4.0  # BRIEF: "the track servers of one pod drop a repeat for 4 s"
BEGIN_S, END_S = 7.0, 17.0  # requests are sent so long after the gateway's start
EVENT = s.CLASSES[1]


class Pods:
    """What the servers of each pod have applied: for each key, the pod, the server and the time."""

    def __init__(self, record: s.Record) -> None:
        self.record = record
        self.applied: dict[str, list[tuple[int, str, float]]] = {}

    def run(self, server: s.TrackServer, key: str) -> None:
        """Apply a request, unless the pod has applied its key lately."""
        times = self.applied.setdefault(key, [])
        if any(pod == server.group and s.now() - at < KEYS_KEPT_S for pod, _, at in times):
            self.record(f"server {server.name}, pod {server.group}: dropped the repeat of key {key}")
            return
        times.append((server.group, server.name, s.now()))
        self.record(f"server {server.name}, pod {server.group}: applied key {key}")


class Server(s.TrackServer):
    """A server of a pod; some connections are reset once a request has been applied."""

    def __init__(self, name: str, group: int, pods: Pods, resets: bool) -> None:
        super().__init__(name, 0.05, group)
        self.pods, self.resets = pods, resets

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Apply each request and answer it, or lose the answer."""
        while True:
            _, fields, _ = await s.read_message(reader)
            self.pods.run(self, fields["idempotency-key"])
            await asyncio.sleep(self.work_s)
            if self.resets and random.random() < RESET_SHARE:
                self.pods.record(f"server {self.name}: the connection is reset before the answer")
                writer.transport.abort()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")


async def case(folder: Path, record: s.Record) -> int:
    """Start a gateway whose known list has a server that another pod's has replaced at its address."""
    pods = Pods(record)
    kept = [Server("s-1", 0, pods, True), Server("s-2", 0, pods, True), Server("s-3", 1, pods, True)]
    new = Server("s-9", 1, pods, False)
    for server in (*kept, new):
        await server.listen()
    gone = new.entry() | {"name": "s-0", "group": 0}  # it listened there before
    discovery = s.Discovery(60, [server.entry() for server in (*kept, new)], record)
    discovery.delay_s = ANSWER_DELAY_S if s.TROUBLE else 0.0
    counter = s.Counter()
    await discovery.listen()
    await counter.listen()
    known = {"index": 41, "snapshot": True, "endpoints": [gone, *(server.entry() for server in kept)]}
    config = {"discovery": discovery.address, "counter": counter.address, "known": known}
    gateway = s.Gateway(folder, 0, config | {"settings": s.settings(0, 2)})
    started = s.now()
    record("s-0 of pod 0 is gone, s-9 of pod 1 listens at its address; the gateway starts with the old list")
    asked: list[asyncio.Future[int]] = []
    try:
        await gateway.start()
        client = s.Client(gateway, record)
        await asyncio.sleep(started + BEGIN_S - s.now())
        while s.now() - started < END_S:
            number, request = s.client_request(EVENT, 0x1000 + len(asked) % 40, "standard", 2, 2.0)
            asked.append(asyncio.ensure_future(client.ask(number, request, "event-log", 3.0)))
            await asyncio.sleep(0.025)
        answers = await asyncio.gather(*asked)
        client.close()
    finally:
        await gateway.end()
    twice = {
        key: times
        for key, times in pods.applied.items()
        if len(times) > 1 and times[1][2] > started + TOLD_S and times[1][2] - times[0][2] < KEYS_KEPT_S
    }
    for key, times in twice.items():
        record(f"key {key} was applied twice: {times}")
    print(f"{len(answers)} event-logs, {answers.count(200)} served; {len(twice)} applied in two pods")
    if answers.count(200) < len(answers) / 3:
        raise s.CannotRun("the gateway served less than a third")
    return s.BROKEN if twice else s.HELD


if __name__ == "__main__":
    sys.exit(s.play(Path(__file__).resolve().parent, case))
