"""Stand-ins of discovery, the counter, track servers and clients, and gateways started by the deploy file.

They follow PROTOCOL-sprucedeal.md and use Python's standard library alone.  The stand-ins run in the process
of a case's script; each gateway is a process of its own, started with the command ``run`` of the deploy file.
Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
RULE_BROKEN, RULE_HELD, COULD_NOT_RUN = 1, 0, 2
MAX_RUN_S = 110.0
SECOND = 1_000_000_000
MS = 1_000_000

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter

SAFE_CLASSES = ("position-read", "lookup")
KEYED_CLASSES = ("event-log", "proof")
# The settings of a small deployment, with the figures of the example in WIRE-sprucedeal.md.
SETTINGS: dict[str, Any] = {
    "me": 0,
    "peers-total": 2,
    "locality": "tacoma-dc",
    "zones": ["tacoma-dc"],
    "tick-ns": 4 * MS,
    "stage": 0,
    "tiers": ["track-fleet"],
    "discovery": "pushed",
    "kind-of-service": "gate",
    "weight-source": "none",
    "shapes": ["std-2c", "slow-3c"],
    "client-habits": {"marks-retry": True},
    "classes": [
        {
            "name": "position-read", "effect": "read_like", "dedup-scope": "all", "stream": False,
            "on-time-ns": 800 * MS, "hard-limit-ns": 2500 * MS, "window-ns": 5 * SECOND,
            "worth": 2.0, "late-value": 0.2,
        },
        {
            "name": "event-log", "effect": "idempotency_key", "dedup-scope": "cell", "stream": False,
            "on-time-ns": 800 * MS, "hard-limit-ns": 2 * SECOND, "window-ns": 4 * SECOND,
            "worth": 3.0, "late-value": 0.2,
        },
        {
            "name": "custody-handoff", "effect": "non_idempotent", "dedup-scope": "all", "stream": False,
            "on-time-ns": 500 * MS, "hard-limit-ns": 1200 * MS, "window-ns": 5 * SECOND,
            "worth": 5.0, "late-value": 0.0,
        },
    ],
    "limits": {
        "attempts-cap": 6, "conn-idle-ns": 30 * SECOND, "connect-timeout-ns": 250 * MS,
        "cpu-us-per-request": 0.0, "cpu-us-per-s": 484098, "max-open": 24204,
        "max-retry-after-ns": 2 * SECOND, "may-cancel": True, "may-tell": False, "probes": True,
        "retry-after": True, "second-copies": False, "streams-per-conn": 100,
    },
    "rules": {
        "answer-slack-ns": 16 * MS, "ask-every-ns": 10 * SECOND, "cold-ns": 18 * SECOND,
        "drain-grace-ns": 250 * MS, "fall-ns": 3 * SECOND, "overload-factor": 2.0, "start-capacity": 0.2,
    },
    "specifics": {
        "cost-after": False, "count-fee": 0.005, "count-wait-ns": 50 * MS, "has-counter": True,
        "mail-per-s": 0.0, "max-units": 1, "metering-ns": 0,
    },
    "stats": {"names": ["latency_ms", "queue", "qps"], "source": "probe"},
    "prices": {"cross-zone": 0.0, "late-fail": 0.03, "probe": 0.01, "waste": 0.05},
    "tariffs": [
        {"name": "basic", "units-per-s": 0.77, "most-at-once": 3.0, "price": 0.88, "overrun-cost": 1.2},
        {"name": "standard", "units-per-s": 2.9, "most-at-once": 15.0, "price": 1.1, "overrun-cost": 0.5},
        {"name": "fleet", "units-per-s": 16.0, "most-at-once": 25.0, "price": 1.8, "overrun-cost": 1.2,
         "ceiling-rate": 30.0, "ceiling-burst": 43.0, "cap-slack": 4.0},
    ],
}  # fmt: skip


def settings(**sections: Any) -> dict[str, Any]:
    """The settings, with some sections replaced, or updated if they are objects."""
    result = copy.deepcopy(SETTINGS)
    for name, value in sections.items():
        key = name.replace("_", "-")
        if isinstance(value, dict):
            result[key] |= value
        else:
            result[key] = value
    return result


class Record:
    """The file record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()


def entry(
    name: str, address: tuple[str, int], status: str = "Ready", group: int = 0, since_ms: int = 0
) -> dict[str, Any]:
    """One track server as discovery lists it."""
    return {
        "name": name, "address": f"{address[0]}:{address[1]}", "zone": "tacoma-dc", "type": "std-2c",
        "group": group, "status": status, "weight": 1.0, "since_ms": since_ms,
    }  # fmt: skip


async def listen(
    serve: Callable[[Reader, Writer], Awaitable[None]],
) -> tuple[asyncio.Server, tuple[str, int]]:
    """Listen on a free loopback port; an error of a connection ends that connection."""

    async def guarded(reader: Reader, writer: Writer) -> None:
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # the run is over
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    server = await asyncio.start_server(guarded, HOST, 0, limit=1 << 20)
    return server, server.sockets[0].getsockname()[:2]


class Discovery:
    """The discovery agent: the whole list, watches, and an empty line every 2 s."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.gone: dict[str, dict[str, Any]] = {}
        self._watches: list[asyncio.Queue[None]] = []
        self.up = asyncio.Event()  # while it is not set, the agent is silent
        self.up.set()
        self.address = (HOST, 0)

    async def start(self) -> Discovery:
        """Listen."""
        self.server, self.address = await listen(self._serve)
        return self

    def set(self, *entries: dict[str, Any]) -> None:
        """Add or change entries; one with the status Gone leaves the list."""
        self.index += 1
        for item in entries:
            self.changed_at[item["name"]] = self.index
            if item["status"] == "Gone":
                self.entries.pop(item["name"], None)
                self.gone[item["name"]] = item
            else:
                self.gone.pop(item["name"], None)
                self.entries[item["name"]] = item
        self.record(
            f"discovery: version {self.index}: " + ", ".join(f"{e['name']} {e['status']}" for e in entries)
        )
        for queue in self._watches:
            queue.put_nowait(None)

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def _since(self, index: int) -> dict[str, Any]:
        if not 0 < index <= self.index:
            return self.whole()
        known = {**self.entries, **self.gone}
        changed = [known[name] for name, at in self.changed_at.items() if at > index]
        return {"index": self.index, "snapshot": False, "endpoints": changed}

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        while True:
            target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            await self.up.wait()
            if "follow=1" not in target:
                body = json.dumps(self.whole()).encode() + b"\n"
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                continue
            index = int(target.partition("since=")[2].partition("&")[0] or 0)
            queue: asyncio.Queue[None] = asyncio.Queue()
            self._watches.append(queue)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            try:
                while True:
                    await self.up.wait()
                    change = self._since(index)
                    line = json.dumps(change).encode() if change["endpoints"] or change["snapshot"] else b""
                    index = self.index
                    writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))
                    await writer.drain()
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(queue.get(), 2.0)
            finally:
                self._watches.remove(queue)


class Counter:
    """The counter: named numbers with a life, and answers in the order of the calls."""

    def __init__(self, delay_s: float = 0.001) -> None:
        self.delay_s = delay_s
        self._totals: dict[str, tuple[float, float]] = {}
        self.address = (HOST, 0)

    async def start(self) -> Counter:
        """Listen."""
        self.server, self.address = await listen(self._serve)
        return self

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        while words := (await reader.readline()).split():
            if words == [b"ping"]:
                writer.write(b"pong\r\n")
                continue
            await asyncio.sleep(self.delay_s)
            name, now = words[1].decode(), time.monotonic()
            total, ends_at = self._totals.get(name, (0.0, 0.0))
            if ends_at <= now:
                total, ends_at = 0.0, now + min(60_000, int(words[3])) / 1000
            total += float(words[2])
            self._totals[name] = total, ends_at
            writer.write(f"ok {total:.7g}\r\n".encode())


@dataclass
class Received:
    """One request as a track server received it."""

    head: bytes
    body: bytes

    def header(self, name: str) -> str:
        """A header's value, or nothing."""
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.strip().lower() == name.lower().encode():
                return value.strip().decode()
        return ""

    @property
    def id(self) -> str:
        """The correlation id."""
        return self.header("X-Correlation-Id")


async def read_message(reader: Reader) -> Received:
    """Read one HTTP message whose length its head tells."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = Received(head, b"").header("Content-Length")
    return Received(head, await reader.readexactly(int(length)) if length else b"")


class TrackServer:
    """A track server: ``answer`` runs a request and answers; returning False ends the connection."""

    def __init__(
        self, name: str, record: Record, answer: Callable[[TrackServer, Received, Writer], Awaitable[bool]]
    ) -> None:
        self.name = name
        self.record = record
        self.answer = answer
        self.runs: list[str] = []
        self.address = (HOST, 0)

    async def start(self) -> TrackServer:
        """Listen."""
        self.server, self.address = await listen(self._serve)
        return self

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        while True:
            request = await read_message(reader)
            self.record(f"{self.name}: received {request.id}, time left {request.header('X-Time-Left')}")
            if not await self.answer(self, request, writer):
                return


def ok(body: bytes, *headers: bytes) -> bytes:
    """A whole 200 answer."""
    lines = b"".join(b"%b\r\n" % header for header in headers)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (len(body), lines, body)


class Gateway:
    """A gateway in a process of its own, started by the deploy file's ``run``."""

    def __init__(self, name: str, folder: Path, config: dict[str, Any], root: Path = ROOT) -> None:
        self.name, self.folder, self.config, self._root = name, folder, config, root
        self.address = (HOST, int(config["listen"].rpartition(":")[2]))
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> Path:
        """Replace the configuration file."""
        path = self.folder / f"{self.name}.json"
        path.with_suffix(".new").write_text(json.dumps(self.config))
        path.with_suffix(".new").replace(path)
        return path

    def start(self) -> None:
        """Start the process."""
        command = tomllib.loads((self._root / "deploy/balancer.toml").read_text())["run"]
        temporary = self.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ, "NODE_NAME": self.name, "NODE_LISTEN": self.config["listen"],
            "NODE_DISCOVERY": self.config["discovery"], "NODE_CONFIG": str(self.write_config()),
            "TMPDIR": str(temporary),
        }  # fmt: skip
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=self._root, env=environment, stdout=log, stderr=log
            )

    async def ready(self, timeout_s: float = 30.0) -> None:
        """Wait until the health check succeeds, as the front does."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            assert self.process is not None
            if self.process.poll() is not None:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(2.0):
                    reader, writer = await asyncio.open_connection(*self.address)
                    writer.write(
                        b"GET /_health HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n"
                    )
                    answer = await reader.read(12)
                    writer.close()
                    if answer == b"HTTP/1.1 200":
                        return
            await asyncio.sleep(0.05)
        raise CouldNotRun(
            f"{self.name} was not ready: " + (self.folder / f"{self.name}.log").read_text()[-2000:]
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object started."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process, if it still runs, and reap it."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


def host_port(address: tuple[str, int]) -> str:
    """An address as the configuration states it."""
    return f"{address[0]}:{address[1]}"


class CouldNotRun(Exception):
    """The case could not run here."""


def free_port() -> int:
    """A port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Deployment:
    """Discovery, the counter and the gateways of one run, in a temporary folder."""

    def __init__(self, record: Record, trouble: bool) -> None:
        self.record, self.trouble = record, trouble
        self.folder = Path(tempfile.mkdtemp(prefix="sprucedeal-review-"))
        self.discovery = Discovery(record)
        self.counter = Counter()
        self.gateways: list[Gateway] = []

    async def start_peers(self) -> None:
        """Start discovery and the counter."""
        await self.discovery.start()
        await self.counter.start()

    def add_gateway(self, settings: dict[str, Any], limits: dict[str, Any] | None = None) -> Gateway:
        """Start one more gateway, with the list as it is now."""
        number = len(self.gateways)
        config = {
            "name": f"n{number}",
            "listen": f"{HOST}:{free_port()}",
            "discovery": host_port(self.discovery.address),
            "counter": host_port(self.counter.address),
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | (limits or {}),
            "known": self.discovery.whole(),
            "settings": settings | {"me": number},
        }
        gateway = Gateway(f"n{number}", self.folder, config)
        self.gateways.append(gateway)
        gateway.start()
        self.record(f"{gateway.name}: started")
        return gateway

    def close(self) -> None:
        """End all gateways, keep the end of their logs in the record, and remove the folder."""
        for gateway in self.gateways:
            code = gateway.process.poll() if gateway.process else None
            gateway.end()
            log = gateway.folder / f"{gateway.name}.log"
            text = log.read_text(errors="replace") if log.exists() else ""
            self.record(
                f"{gateway.name}: exit code when the run ended: {code}; the end of its log:\n{text[-1500:]}"
            )
        shutil.rmtree(self.folder, ignore_errors=True)


_ids = iter(range(1, 1 << 30))


def new_id() -> str:
    """A correlation id that no other request of this run has."""
    return f"{os.getpid():08x}{next(_ids):08x}"


def request_bytes(
    kind: str,
    request_id: str,
    left_s: float,
    customer: int,
    plan: str = "standard",
    body: bytes = b"",
    spread: int = 1,
    first: int = 0,
    extra: str = "",
) -> bytes:
    """A client's request as in PROTOCOL-sprucedeal.md; ``extra`` holds further header lines."""
    method = "GET" if kind in SAFE_CLASSES else "POST"
    lines = [
        f"{method} /{kind}/{customer:016x} HTTP/1.1",
        "Host: service.internal",
        f"X-Correlation-Id: {request_id}",
        f"X-Service-Class: {kind}",
        f"X-Contract: {plan}",
        f"X-Time-Left: {left_s:.3f}",
        f"X-Metering: units=1,spread={spread},first={first}",
    ]
    if kind in KEYED_CLASSES:
        lines.append(f"Idempotency-Key: {request_id:0>32}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n" + extra + "\r\n").encode() + body


def run_case(scenario: Callable[[Deployment], Awaitable[list[str]]], folder: Path) -> None:
    """Run a scenario and exit: 1 if it returns breaks of the rule, 0 if none, 2 if it could not run."""
    record = Record(folder)
    deployment = Deployment(record, os.environ.get("TROUBLE", "1") != "0")
    record(f"trouble: {deployment.trouble}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # the gateways are ended below

    async def bounded() -> list[str]:
        async with asyncio.timeout(MAX_RUN_S):
            await deployment.start_peers()
            return await scenario(deployment)

    code = COULD_NOT_RUN
    try:
        breaks = asyncio.run(bounded())
        code = RULE_BROKEN if breaks else RULE_HELD
        for text in breaks:
            record(f"RULE BROKEN: {text}")
    except BaseException:
        record("could not run:\n" + traceback.format_exc())
    finally:
        deployment.close()
    record(
        {RULE_BROKEN: "the rule was broken", RULE_HELD: "the rule held", COULD_NOT_RUN: "could not run"}[code]
    )
    print(
        {RULE_BROKEN: "the rule was broken", RULE_HELD: "the rule held", COULD_NOT_RUN: "could not run"}[code]
    )
    sys.exit(code)
