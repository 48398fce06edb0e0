"""A seeded soak of one gateway process with the least memory limit, among clients and servers of all kinds.

Usual clients ask and keep their connections; others leave, come again with the same id, write far ahead, send
half requests or flood; servers hang, turn away, reset, send long answers and state wrong lengths.  Discovery
takes up to some seconds to tell that a server drains.  Then SIGTERM comes, once or in series, clients go on
with the connections that stay open, and SIGKILL comes as early as the operators' pages allow.  ``run_seed``
returns what broke a rule.  By hand, with the first seed and their number:

    .venv/bin/python -m tests.incident_soak 1 50
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
import tempfile
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from gingerworks.gateway.config import Address
from tests.loopback import (
    BODY,
    MAY_HAVE_RUN,
    NOT_RUN,
    OK,
    SETTINGS,
    Client,
    Peer,
    Process,
    Reader,
    Writer,
    build_request,
    entry,
    listing,
    raw_config,
    read_message,
)
from tests.test_busy_client import flood, health_checks, new_names, unsound_requests
from tests.test_memory_limit import DESCRIPTORS, KINDS, LIMITS, MEMORY_MB, Crowd

SERVERS = 4
USUAL_CLIENTS = 12
LEAVING_CLIENTS = 8
QUIET_S = 1.2  # from the start until the troubles begin
TROUBLE_S = 3.0  # from then on until SIGTERM
MAX_COUNTED_DEADLINE_S = 3.0  # SIGKILL comes after the longest deadline, counted as this much at most,
KILL_DELAY_S = 0.7  # and so much more
NEW_CONNECTIONS_S = 0.4  # so long after SIGTERM, new connections come
ANSWER_SLACK_S = 0.55  # so long after its time, an answer is not lost yet
ATTEMPT_SLACK_S = 0.15  # an attempt may begin so long after its client's close
CROSSING_S = 0.05  # a request written so shortly before the gateway's end crosses it
TOLD_S = 6.0  # so long after the start, a drain counts as told if discovery has not told it before,
DRAIN_GRACE_NS = 250_000_000
DRAIN_SLACK_S = DRAIN_GRACE_NS / 1e9 + 0.05  # and so much later nothing is sent: the protocol adds 50 ms
HEARTBEAT_S = 2.0  # discovery sends an empty line so often
LONG_BODY = 60_000 * b"z"
LONG_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LONG_BODY), LONG_BODY)
TOO_SHORT = OK.replace(b"Content-Length: %d" % len(BODY), b"Content-Length: %d" % (len(BODY) // 2))
HANG, RESET = b"hang", b"reset"
HANG_S = 5.0
SEEDS_AT_ONCE = 3


@dataclass
class Journal:
    """What clients and servers saw, in seconds of the monotonic clock."""

    attempts: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    may_have_run: dict[str, int] = field(default_factory=lambda: defaultdict(int))  # attempts, by id
    closed_at: dict[str, float] = field(default_factory=dict)
    once_only: set[str] = field(default_factory=set)  # ids of which one attempt at the most may run
    at_draining: list[float] = field(default_factory=list)  # attempts at the draining server
    statuses: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    failures: list[str] = field(default_factory=list)


class Soak:
    """One run with one seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.journal = Journal()
        self.deadline_s = self.rng.choice([0.6, 1.0, 2.0, 4.0])
        self.has_crowd = seed % 2 == 0
        self.discovery_delay_s = self.rng.choice([0.0, 1.0, 2.5, 3.0])
        self.started_at = 0.0
        self.told_at: float | None = None  # when discovery has told of the drain
        self.draining: Peer | None = None
        self.ended_at: float | None = None
        self.terminated_at: float | None = None
        self.next_id = 0

    def new_id(self) -> str:
        """An id that no other request has."""
        self.next_id += 1
        return f"{self.seed:x}-{self.next_id:x}"

    async def run(self, folder: Path) -> list[str]:
        """Run all, and return what broke a rule."""
        servers = [await Peer(self.serve).start() for _ in range(SERVERS)]
        self.draining = servers[-1]
        discovery = await Peer(self.discover).start()
        config = raw_config(
            *(server.address for server in servers),
            limits=LIMITS,
            settings=self.settings(),
            discovery=f"{discovery.address[0]}:{discovery.address[1]}",
        )
        self.server_list = listing(
            *config["known"]["endpoints"][:-1],
            entry(f"s{SERVERS - 1}", self.draining.address, "Terminating"),
            index=2,
        )
        self.started_at = time.monotonic()
        with Process(folder, config) as process:
            process.limit_descriptors(DESCRIPTORS)
            await process.listening()
            # The operators' front sends clients once the health check is answered.
            await (await Client.at(process.address)).send(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
            tasks = [asyncio.create_task(self.usual_client(process.address)) for _ in range(USUAL_CLIENTS)]
            tasks += [
                asyncio.create_task(self.leaving_client(process.address)) for _ in range(LEAVING_CLIENTS)
            ]
            await asyncio.sleep(QUIET_S)
            crowd = await self.begin_trouble(process.address)
            await asyncio.sleep(TROUBLE_S)
            await self.end_gateway(process)
            self.check_process(process)
            for task in [*tasks, *crowd.tasks]:
                task.cancel()
            for outcome in await asyncio.gather(*tasks, *crowd.tasks, return_exceptions=True):
                if isinstance(outcome, Exception):
                    self.journal.failures.append(f"the soak itself failed: {outcome!r}")
        self.check_attempts()
        self.check_drain()
        return self.journal.failures

    def settings(self) -> dict[str, Any]:
        """Settings with this run's deadline."""
        deadline_ns = int(self.deadline_s * 1e9)
        times = {"hard-limit-ns": deadline_ns, "on-time-ns": deadline_ns // 2}
        limits = SETTINGS["limits"] | {"connect-timeout-ns": 300_000_000}
        rules = SETTINGS["rules"] | {"drain-grace-ns": DRAIN_GRACE_NS}
        classes = [kind | times for kind in SETTINGS["classes"]]
        return SETTINGS | {"classes": classes, "limits": limits, "rules": rules}

    async def discover(self, peer: Peer, reader: Reader, writer: Writer) -> None:
        """Discovery: it answers each call after this run's time, and then sends empty lines."""
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(self.discovery_delay_s)
        if writer.is_closing():
            return
        text = json.dumps(self.server_list).encode() + b"\n"
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%b\r\n" % (len(text), text))
        self.told_at = self.told_at or time.monotonic()
        ended = asyncio.ensure_future(read_to_end(reader))
        while not (await asyncio.wait([ended], timeout=HEARTBEAT_S))[0]:
            writer.write(b"1\r\n\n\r\n")

    async def serve(self, peer: Peer, reader: Reader, writer: Writer) -> None:
        """A server that answers in many ways."""
        while True:
            message = await read_message(reader)
            head = message.partition(b"\r\n\r\n")[0].lower()
            request_id = head.partition(b"x-correlation-id: ")[2].partition(b"\r\n")[0].decode()
            self.journal.attempts[request_id].append(time.monotonic())
            if peer is self.draining:
                self.journal.at_draining.append(time.monotonic())
            await asyncio.sleep(self.rng.uniform(0.002, 0.04))
            answers = [OK, LONG_ANSWER, NOT_RUN, MAY_HAVE_RUN, HANG, RESET, TOO_SHORT]
            answer = self.rng.choices(answers, [72, 8, 6, 2, 4, 4, 4])[0]
            self.journal.may_have_run[request_id] += answer is not NOT_RUN
            if answer is RESET:
                return
            if answer is HANG:
                await asyncio.sleep(HANG_S)
            writer.write(answer)

    async def begin_trouble(self, address: Address) -> Crowd:
        """Start the bad clients of this seed."""
        crowd = Crowd()
        if self.has_crowd:
            kinds = self.rng.sample(KINDS, 3)
            crowd.tasks.append(asyncio.create_task(crowd.join(address, self.rng.randint(300, 700), *kinds)))
        batch = self.rng.choice([health_checks, unsound_requests, new_names])
        until, reads = time.monotonic() + TROUBLE_S, self.rng.random() < 0.5
        crowd.tasks.append(asyncio.create_task(flood(address, batch, until, reads)))
        return crowd

    async def end_gateway(self, process: Process) -> None:
        """Send SIGTERM, perhaps several times, and SIGKILL at its earliest time."""
        self.terminated_at = time.monotonic()
        killed_at = self.terminated_at + min(self.deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S
        further_at = sorted(
            self.terminated_at + self.rng.uniform(0.02, 0.6) for _ in range(self.rng.randrange(3))
        )
        process.terminate()
        while time.monotonic() < killed_at and process.exit_code() is None:
            self.check_memory(process)
            if further_at and time.monotonic() >= further_at[0]:
                further_at.pop(0)
                process.terminate()
            await asyncio.sleep(0.005)
        self.ended_at = time.monotonic()
        if process.exit_code() is None:
            process.kill()
        await asyncio.sleep(0.1)  # the clients see the end of their connections

    def check_memory(self, process: Process) -> None:
        """Note the peak of memory if it is beyond the limit."""
        with contextlib.suppress(OSError, AssertionError):  # the process may end meanwhile
            peak_mb = process.peak_memory_bytes() / (1 << 20)
            if peak_mb > MEMORY_MB and not any("MB" in one for one in self.journal.failures):
                self.journal.failures.append(f"memory: {peak_mb:.1f} MB of {MEMORY_MB}")

    def check_process(self, process: Process) -> None:
        """Check that the process ended as it was told, without an error in its log."""
        if process.exit_code() not in (0, -9):
            self.journal.failures.append(f"the process ended with {process.exit_code()}")
        if "Traceback" in process.log():
            self.journal.failures.append(
                "an exception in the log: " + process.log().partition("Traceback")[2]
            )

    async def usual_client(self, address: Address) -> None:
        """Ask again and again on one connection, as long as the gateway lives."""
        client: Client | None = None
        while self.ended_at is None:
            is_new = client is None
            if is_new and not self.new_connections_come():
                return
            try:
                client = client or await Client.at(address)
            except OSError:
                return  # the gateway does not listen any more
            if not await self.ask(client, is_new):
                client.writer.transport.abort()
                client = None
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    async def ask(self, client: Client, is_new: bool) -> bool:
        """Send one request and judge its answer; returns whether the connection stays open."""
        request_id, kind = self.new_id(), self.rng.choice(["look", "post"])
        left_s = self.deadline_s * self.rng.uniform(0.5, 1.0)
        body = self.rng.randint(0, 3000) * b"b" if kind == "post" else b""
        if kind == "post":
            self.journal.once_only.add(request_id)
        client.writer.write(build_request(kind, f"{left_s:.3f}", body, X_Correlation_Id=request_id))
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(left_s + ANSWER_SLACK_S):
                status, head, got = await client.answer()
        except TimeoutError:
            self.journal.failures.append(f"{request_id}: no answer in time, {self.phase(sent_at)}")
            return False
        except (ConnectionError, asyncio.IncompleteReadError):
            self.judge_closed(request_id, sent_at, is_new)
            return False
        self.journal.statuses[status] += 1
        if status not in (200, 429, 502, 503) or (status == 200 and got not in (LONG_BODY, OK[-len(got) :])):
            self.journal.failures.append(f"{request_id}: answered {status}, {self.phase(sent_at)}")
        return b"connection: close" not in head.lower()

    def judge_closed(self, request_id: str, sent_at: float, is_new: bool) -> None:
        """Judge a request whose connection ended without an answer."""
        crossed = self.ended_at is not None and self.ended_at - sent_at < CROSSING_S
        shut_unread = not self.journal.attempts[request_id] and (not is_new or self.has_crowd)
        if not crossed and not shut_unread:
            connection = "a new" if is_new else "an old"
            self.journal.failures.append(
                f"{request_id}: {connection} connection closed without an answer, {self.phase(sent_at)}, "
                f"{len(self.journal.attempts[request_id])} attempts"
            )

    def new_connections_come(self) -> bool:
        """Whether clients still connect: they do so for a short time after SIGTERM."""
        return self.terminated_at is None or time.monotonic() - self.terminated_at < NEW_CONNECTIONS_S

    def phase(self, at: float) -> str:
        """When something happened, for the report."""
        if self.terminated_at is None or at < self.terminated_at:
            return "ahead of SIGTERM"
        return f"{at - self.terminated_at:.3f} s after SIGTERM"

    async def leaving_client(self, address: Address) -> None:
        """Send requests, leave early, and sometimes come again with the same id."""
        while self.new_connections_come():
            ids = [self.new_id() for _ in range(self.rng.choice([1, 1, 1, 30, 300]))]
            requests = [build_request("post", f"{self.deadline_s:.3f}", X_Correlation_Id=one) for one in ids]
            self.journal.once_only.update(ids)
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*address)
                writer.write(b"".join(requests))
                await asyncio.sleep(self.rng.uniform(0.0, 0.1))
                writer.transport.abort() if self.rng.random() < 0.5 else writer.close()
                self.journal.closed_at.update(dict.fromkeys(ids, time.monotonic()))
            await asyncio.sleep(self.rng.choice([0.0, 0.3, 1.5]))
            if len(ids) == 1 and self.rng.random() < 0.7:
                self.journal.closed_at.pop(ids[0], None)
                await self.come_again(address, requests[0])

    async def come_again(self, address: Address, request: bytes) -> None:
        """Send a request once more that was sent before."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            client = await Client.at(address)
            async with asyncio.timeout(1.0):
                await client.send(request)
            client.writer.transport.abort()

    def check_attempts(self) -> None:
        """Check that no id ran twice, and that no attempt began for a client that had left."""
        for request_id in self.journal.once_only:
            if (count := self.journal.may_have_run[request_id]) > 1:
                self.journal.failures.append(f"{request_id}: {count} attempts may have run")
        for request_id, times in self.journal.attempts.items():
            closed_at = self.journal.closed_at.get(request_id)
            if closed_at is not None and max(times) - closed_at > ATTEMPT_SLACK_S:
                late_s = max(times) - closed_at
                self.journal.failures.append(f"{request_id}: an attempt {late_s:.3f} s after the close")

    def check_drain(self) -> None:
        """Check that nothing was sent to the draining server once it counted as told."""
        latest_told_at = self.started_at + TOLD_S
        told_at = min(self.told_at or latest_told_at, latest_told_at)
        if late := [at - told_at for at in self.journal.at_draining if at - told_at > DRAIN_SLACK_S]:
            self.journal.failures.append(
                f"{len(late)} attempts at the draining server, the last {late[-1]:.3f} s after it was told"
            )


async def read_to_end(reader: Reader) -> None:
    """Read until the connection ends, in whatever way."""
    with contextlib.suppress(ConnectionError):
        await reader.read()


async def run_seed(seed: int) -> tuple[list[str], dict[int, int]]:
    """Run one seed; returns what broke a rule, and how many answers of each status usual clients got."""
    soak = Soak(seed)
    with tempfile.TemporaryDirectory() as folder:
        failures = await soak.run(Path(folder))
    return failures, dict(soak.journal.statuses)


async def main(first: int, count: int) -> int:
    """Run seeds, some at once; returns how many broke a rule."""
    failed, waiting = 0, list(range(first, first + count))

    async def worker() -> None:
        nonlocal failed
        while waiting:
            seed = waiting.pop(0)
            failures, statuses = await run_seed(seed)
            failed += bool(failures)
            print(f"seed {seed}: {statuses}; {failures[:5] if failures else 'kept all rules'}", flush=True)

    await asyncio.gather(*(worker() for _ in range(SEEDS_AT_ONCE)))
    print(f"{count} seeds, {failed} failed")
    return failed


if __name__ == "__main__":
    sys.exit(bool(uvloop.run(main(int(sys.argv[1]), int(sys.argv[2])))))
