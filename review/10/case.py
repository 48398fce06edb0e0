"""One server tells too small a length of its answers: does a client get 200 with a part of the answer?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s

SERVERS = 8  # STANDING, herd+mass: "one of eight track servers is bad"
END_S = 6.0


class Server(s.TrackServer):
    """A server that answers whole, or with a length that does not fit."""

    def __init__(self, name: str, is_bad: bool, made: dict[str, bytes], record: s.Record) -> None:
        super().__init__(name, 0.1)
        self.is_bad, self.made, self.record = is_bad, made, record

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request; a spoilt answer is of no further use, and the connection stays open."""
        while True:
            _, fields, _ = await s.read_message(reader)
            number = fields["x-correlation-id"]
            await asyncio.sleep(self.work_s)
            body = f'{{"id":"{number}","container":"CSQU3054383","seal":"ML-CA{number[-6:]}"}}'.encode()
            self.made[number] = body
            length = len(body) // 2 if self.is_bad else len(body)
            self.record(f"server {self.name}: {number}: body of {len(body)} bytes, told as {length}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (length, body))
            if self.is_bad:
                await reader.read()
                return


async def ask(gateway: s.Gateway, number: str, request: bytes, record: s.Record) -> tuple[int, bytes]:
    """Send a request on a new connection; returns the answer's status and body."""
    record(f"client: {number} sent: {request.partition(b' HTTP')[0].decode()}")
    status, body = await asyncio.wait_for(s.exchange(gateway.port, request), 4.0)
    record(f"client: {number} answered {status} {body!r}")
    return status, body


async def case(folder: Path, record: s.Record) -> int:
    """Start a gateway before eight servers, and compare each answer with the one made for its request."""
    made: dict[str, bytes] = {}
    servers = [Server(f"s-{n}", s.TROUBLE and n == 0, made, record) for n in range(SERVERS)]
    for server in servers:
        await server.listen()
    discovery, counter = s.Discovery(1, [server.entry() for server in servers], record), s.Counter()
    await discovery.listen()
    await counter.listen()
    config = {"discovery": discovery.address, "counter": counter.address, "known": discovery.listing()}
    gateway = s.Gateway(folder, 0, config | {"settings": s.settings(0, 2)})
    asked: dict[str, asyncio.Future[tuple[int, bytes]]] = {}
    try:
        await gateway.start()
        started = s.now()
        while s.now() - started < END_S:
            kind = s.CLASSES[len(asked) % len(s.CLASSES)]
            number, request = s.client_request(kind, 0x1000 + len(asked) % 40, "standard", 2, 1.2)
            asked[number] = asyncio.ensure_future(ask(gateway, number, request, record))
            await asyncio.sleep(0.012)
        answers = dict(zip(asked, await asyncio.gather(*asked.values()), strict=True))
    finally:
        await gateway.end()
    wrong = [one for one, (status, body) in answers.items() if status == 200 and body != made.get(one)]
    served = sum(status == 200 for status, _ in answers.values())
    print(f"{len(answers)} requests, {served} answered 200, {len(wrong)} of these not with the server's body")
    if served < len(answers) / 2:
        raise s.CannotRun("the gateway served less than half")
    return s.BROKEN if wrong else s.HELD


if __name__ == "__main__":
    sys.exit(s.play(Path(__file__).resolve().parent, case))
