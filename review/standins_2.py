"""Stand-ins and helpers of the cases 6 to 10: discovery, the counter, track servers, clients and gateways.

They follow the operators' protocol page.  Every address is on 127.0.0.1 with a port that the kernel chooses.
Times in a record are seconds since the case began.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START = time.monotonic()
MS = 1_000_000
SECOND = 1000 * MS


class CannotRun(Exception):
    """The case could not be played; the text says why."""


def now() -> float:
    """Seconds since the case began."""
    return time.monotonic() - START


class Record:
    """The file ``record.txt`` of a case: a line for each thing sent, answered, run or told."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def __call__(self, text: str, at: float | None = None) -> None:
        """Write a line with its time."""
        self._file.write(f"{now() if at is None else at:9.4f} {text}\n")

    def close(self) -> None:
        """Write what is left."""
        self._file.close()


def free_port() -> int:
    """A port of the loopback address that nothing uses now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def request_class(name: str, effect: str, aim_ms: int, deadline_ms: int, **changes: Any) -> dict[str, Any]:
    """One class of the settings; ``effect`` is safe, keyed or unsafe."""
    words = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
    return {
        "name": name, "effect": words[effect], "dedup-scope": "cell" if effect == "keyed" else "all",
        "on-time-ns": aim_ms * MS, "hard-limit-ns": deadline_ms * MS, "window-ns": 4 * SECOND,
        "worth": 2.0, "late-value": 0.2, "stream": False,
    } | changes  # fmt: skip


def plan(name: str, rate: float, burst: float, ceiling: float = 0.0) -> dict[str, Any]:
    """One plan of the settings; ``ceiling`` is a multiple of the quota, with the brief's slack of a tenth."""
    return {
        "name": name, "units-per-s": rate, "most-at-once": burst, "price": 1.0, "overrun-cost": 1.2,
        "excess-worth": 0.0, "max-out": 0, "ceiling-rate": ceiling * rate, "ceiling-burst": ceiling * burst,
        "cap-slack": max(0.1 * ceiling * burst, 1.0) if ceiling else 0.0,
    }  # fmt: skip


CLASSES = [
    request_class("position-read", "safe", 800, 2500),
    request_class("event-log", "keyed", 800, 2000, worth=3.0),
    request_class("custody-handoff", "unsafe", 500, 1200, worth=5.0, **{"late-value": 0.0}),
]
PLANS = [plan("basic", 0.8, 3.2), plan("standard", 3.6, 16.0), plan("fleet", 14.0, 24.0, 2.0)]


def settings(me: int, gateways: int, **changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, with figures from the ranges that the brief gives."""
    return {
        "me": me, "peers-total": gateways, "locality": "tacoma-dc", "zones": ["tacoma-dc"],
        "tick-ns": 4 * MS, "discovery": "pushed", "classes": CLASSES, "tariffs": PLANS,
        "limits": {
            "attempts-cap": 6, "may-cancel": True, "second-copies": False, "retry-after": True,
            "max-retry-after-ns": 2 * SECOND, "conn-idle-ns": 30 * SECOND, "connect-timeout-ns": 250 * MS,
            "probes": True, "max-open": 24000,
        },
        "rules": {
            "answer-slack-ns": 16 * MS, "drain-grace-ns": 250 * MS, "cold-ns": 18 * SECOND,
            "start-capacity": 0.2, "overload-factor": 2.0, "fall-ns": 3 * SECOND, "ask-every-ns": 10 * SECOND,
        },
        "specifics": {"has-counter": True, "count-wait-ns": 50 * MS, "count-fee": 0.005, "max-units": 1},
        "stats": {"names": ["latency_ms", "queue", "qps"], "source": "probe"},
        "client-habits": {"marks-retry": True},
    } | changes  # fmt: skip


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message with a length or none: its first line, its fields in lower case, its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields, await reader.readexactly(int(fields.get("content-length", "0")))


class Listener:
    """A stand-in that listens on a port of its own."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()


class TrackServer(Listener):
    """A track server that serves each request after its work; ``on_request`` is told of each first."""

    def __init__(self, name: str, work_s: float = 0.06, group: int = 0) -> None:
        super().__init__()
        self.name, self.work_s, self.group = name, work_s, group
        self.on_request: Callable[[TrackServer, str, dict[str, str]], None] = lambda *one: None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request of a connection with a body that names its id."""
        while True:
            first, fields, _ = await read_message(reader)
            self.on_request(self, first, fields)
            await asyncio.sleep(self.work_s)
            body = f'{{"id":"{fields.get("x-correlation-id", "")}","by":"{self.name}"}}'.encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def entry(self, status: str = "Ready") -> dict[str, Any]:
        """This server as discovery lists it."""
        return {
            "name": self.name, "address": self.address, "zone": "tacoma-dc", "type": "std-2c",
            "group": self.group, "status": status, "weight": 1.0, "since_ms": 0,
        }  # fmt: skip


class Discovery(Listener):
    """Discovery with the list as it is now; a call is answered ``delay_s`` after it came, and stays open."""

    def __init__(self, index: int, entries: list[dict[str, Any]], record: Record) -> None:
        super().__init__()
        self.index, self.entries, self.record = index, entries, record
        self.delay_s, self.indent = 0.0, None
        self._changed = asyncio.Event()

    def listing(self) -> dict[str, Any]:
        """The whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": self.entries}

    def change(self, entries: list[dict[str, Any]]) -> None:
        """Replace the list; open watches are told the whole of it."""
        self.index += 1
        self.entries = entries
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a watch: the whole list, then each change, and an empty line every 2 s."""
        first, _, _ = await read_message(reader)
        self.record(f"discovery: called: {first}")
        gone = asyncio.ensure_future(self._ended(reader))
        await asyncio.wait([gone], timeout=self.delay_s or 0.001)
        if gone.done():
            self.record("discovery: the caller has closed its connection before the answer")
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told = -1
        while not gone.done():
            changed = self._changed
            if told != self.index:
                told = self.index
                self._write_line(writer, json.dumps(self.listing(), indent=self.indent))
                self.record(f"discovery: told the list of version {told}")
            else:
                self._write_line(writer, "")
            waiting = asyncio.ensure_future(changed.wait())
            await asyncio.wait([gone, waiting], timeout=2.0, return_when=asyncio.FIRST_COMPLETED)
            waiting.cancel()

    @staticmethod
    async def _ended(reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError):
            await reader.read(1)

    @staticmethod
    def _write_line(writer: asyncio.StreamWriter, text: str) -> None:
        data = text.encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))


class Counter(Listener):
    """The counter: adds to named counts; each call has its turn, and its answer comes ``wait_s`` after it."""

    def __init__(self, wait_s: float = 0.001) -> None:
        super().__init__()
        self.wait_s = wait_s
        self.calls = 0
        self._counts: dict[bytes, tuple[float, float]] = {}  # the total, and when the name is forgotten

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take the calls of one connection; answers come in the calls' order."""
        answers: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        task = asyncio.ensure_future(self._answer(answers, writer))
        try:
            while line := await reader.readline():
                came = time.monotonic()
                # Half of the time is the way there and the wait in line, half the way back.
                answers.put_nowait((came + self.wait_s / 2, line))
        finally:
            task.cancel()

    async def _answer(
        self, answers: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            turn, line = await answers.get()
            await asyncio.sleep(max(0.0, turn - time.monotonic()))
            answer = self.handle(line.split())
            loop.call_later(self.wait_s / 2, self._write, writer, answer)

    @staticmethod
    def _write(writer: asyncio.StreamWriter, answer: bytes) -> None:
        if not writer.is_closing():
            writer.write(answer)

    def handle(self, words: list[bytes]) -> bytes:
        """Carry out one call, and return its answer."""
        if words == [b"ping"]:
            return b"pong\r\n"
        if len(words) != 4 or words[0] != b"bump":
            return b"error\r\n"
        self.calls += 1
        name, amount, life_s = words[1], float(words[2]), min(60_000, int(words[3])) / 1000
        total, until = self._counts.get(name, (0.0, 0.0))
        if until <= time.monotonic():
            total, until = 0.0, time.monotonic() + life_s
        self._counts[name] = total + amount, until
        return b"ok %.7g\r\n" % (total + amount)


class Gateway:
    """One gateway, started by the deploy file's command ``run``."""

    def __init__(self, folder: Path, number: int, config: dict[str, Any]) -> None:
        self.name, self.port = f"n{number}", free_port()
        self.file = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self.config = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        } | config  # fmt: skip
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until its health check answers 200."""
        self.file.write_text(json.dumps(self.config), encoding="utf-8")
        temporary = tempfile.mkdtemp(dir=self.file.parent)
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        self.config["seed"] = f"{random.getrandbits(64):016x}"
        environment = os.environ | {
            "NODE_NAME": self.name, "NODE_LISTEN": self.config["listen"], "TMPDIR": temporary,
            "NODE_DISCOVERY": self.config["discovery"], "NODE_CONFIG": str(self.file),
        }  # fmt: skip
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                start_new_session=True,
            )  # fmt: skip
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended: {self.log.read_text(errors='replace')[-500:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(5):
                    status, _ = await exchange(self.port, b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                if status == 200:
                    return
            await asyncio.sleep(0.01)
        raise CannotRun(f"{self.name} is not ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that the command started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """End the process at once."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


async def exchange(port: int, request: bytes) -> tuple[int, bytes]:
    """Send one request on a new connection; returns the status and the body of its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request)
        first, _, body = await read_message(reader)
        return int(first.split()[1]), body
    finally:
        writer.close()


_ids = itertools.count(random.getrandbits(48) << 12)


def client_request(
    kind: dict[str, Any], firm: int, contract: str, spread: int, left_s: float, **fields: str
) -> tuple[str, bytes]:
    """A client's request of this class; returns its id and its bytes."""
    number = f"{next(_ids):016x}"
    safe = kind["effect"] == "read_like"
    method, body = ("GET", b"") if safe else ("POST", b'{"container":"CSQU3054383"}')
    lines = [
        f"{method} /{kind['name']}/{firm:016x} HTTP/1.1", "Host: service.internal",
        f"X-Correlation-Id: {number}", f"X-Service-Class: {kind['name']}", f"X-Contract: {contract}",
        f"X-Time-Left: {left_s:.3f}", f"X-Metering: units=1,spread={spread},first=0",
    ]  # fmt: skip
    if kind["effect"] == "idempotency_key":
        lines.append(f"Idempotency-Key: {random.getrandbits(128):032x}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    if not safe:
        lines.append(f"Content-Length: {len(body)}")
    return number, "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Client:
    """Sends requests to one gateway on kept connections, one at a time on each, and records each answer."""

    def __init__(self, gateway: Gateway, record: Record) -> None:
        self.gateway, self.record = gateway, record
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, number: str, request: bytes, what: str, wait_s: float) -> int:
        """Send a request; returns the answer's status, 0 if the connection ended or none came in time."""
        status, times = 0, 0
        self.record(f"client: {what} {number} to {self.gateway.name}")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while times < 2 and not status:
                    times += 1
                    kept = bool(self._idle)
                    try:
                        status = await self._send(request)
                    except (OSError, asyncio.IncompleteReadError):
                        if not kept:
                            break
        self.record(f"client: {number} answered {status or 'nothing'}")
        return status

    async def _send(self, request: bytes) -> int:
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.gateway.port)
        try:
            writer.write(request)
            first, fields, _ = await read_message(reader)
        except BaseException:
            writer.close()
            raise
        if fields.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))
        return int(first.split()[1])

    def close(self) -> None:
        """Close the connections that rest."""
        while self._idle:
            self._idle.pop()[1].close()

    async def open(self, count: int) -> None:
        """Open so many connections before they are needed, and use each once for the health check."""
        self.close()
        await asyncio.gather(
            *(self._send(b"GET /_health HTTP/1.1\r\nHost: service.internal\r\n\r\n") for _ in range(count))
        )


def play(folder: Path, case: Callable[[Path, Record], Awaitable[int]], limit_s: float = 110.0) -> int:
    """Play a case and return the exit code; ``case`` ends all processes that it started."""

    async def bounded(temporary: Path) -> int:
        async with asyncio.timeout(limit_s):
            return await case(temporary, record)

    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        return asyncio.run(bounded(temporary))
    except Exception as error:
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        return COULD_NOT_RUN
    finally:
        record.close()
        shutil.rmtree(temporary, ignore_errors=True)
