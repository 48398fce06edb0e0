"""A gateway stays under the least memory limit of any deployment, whatever its clients and servers send.

The limit is 32 MB with 1,024 descriptors, in the settings as in the operators' report.  The gateway is a
process of its own, and its peak of resident memory is compared with that limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import re
import socket
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import pytest

from gingerworks.gateway.client import ClientConnection
from gingerworks.gateway.config import Address
from tests.loopback import (
    BODY,
    OK,
    SETTINGS,
    Client,
    Peer,
    Process,
    Reader,
    Writer,
    answering_server,
    build_request,
    entry,
    gateway,
    listing,
    raw_config,
    read_message,
    run,
    silent_server,
    wait_until,
)

MEMORY_MB = 32
DESCRIPTORS = 1024
LIMITS = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
CROWD = 700  # bad clients at once
CONNECTS_PER_PAUSE = 25
OBSERVED_S = 3.0  # how long the crowd stays
REPEATED_S = 18.0  # how long crowds come one after another
BODY_BYTES = 64 * 1024
REQUEST_TIME_S = 2.0  # the time that a usual client gives the gateway for its answer
ANSWER_SLACK_S = 0.5  # so much later an answer still counts as given
NO_ANSWER = 0
HEAD_FIELDS = 3000  # of four bytes each: all of them fit into a head of 16 KiB

Send = Callable[[Writer], Awaitable[None]]


@contextlib.contextmanager
def limited_process(folder: Path, *servers: Address, **changes: object) -> Iterator[Process]:
    with Process(folder, raw_config(*servers, limits=LIMITS, **changes)) as process:
        process.limit_descriptors(DESCRIPTORS)
        yield process


def assert_within_limit(process: Process) -> None:
    """The process runs, and never had more memory than its limit."""
    assert process.exit_code() is None, process.log()[-500:]
    peak_mb = process.peak_memory_bytes() / (1 << 20)
    assert peak_mb <= MEMORY_MB, f"{peak_mb:.1f} MB of {MEMORY_MB}; {process.log()[-500:]}"


def assert_refused_for_load_only(process: Process, refused: int) -> None:
    """End the process; its log tells that the decisions refused so many requests, for load, and no others.

    A burst may be refused in part: the decisions judge by the answer times, which a busy machine lengthens.
    """
    process.terminate()
    assert process.wait() == 0
    reasons = re.findall(r"request (?:refused|rejected|failed) \((.*?)\) x(\d+)", process.log())
    assert {reason for reason, _ in reasons} <= {"the servers are overloaded"}
    assert sum(int(count) for _, count in reasons) == refused


def request_with_fields(number: int, field: bytes = b"a:\r\n") -> bytes:
    """A head with many short fields, without the empty line at its end."""
    return build_request().removesuffix(b"\r\n") + number * field


async def write_whole_head_of_fields(writer: Writer) -> None:
    writer.write(request_with_fields(HEAD_FIELDS) + b"\r\n")


async def write_open_head_of_fields(writer: Writer) -> None:
    writer.write(request_with_fields(HEAD_FIELDS))


async def write_half_body(writer: Writer) -> None:
    writer.write(build_request("post", body=BODY_BYTES * b"x")[:-16])


async def write_half_chunks(writer: Writer) -> None:
    head = build_request("post", Content_Length=None, Transfer_Encoding="chunked")
    writer.write(head + b"1000\r\n%b\r\n" % (0x1000 * b"x") * 14)


async def write_one_endless_field(writer: Writer) -> None:
    writer.write(build_request().removesuffix(b"\r\n") + b"a: " + 15 * 1024 * b"x")


async def write_tiny_requests_ahead(writer: Writer) -> None:
    writer.write(build_request() + 3000 * b"GET / HTTP/1.1\r\n\r\n")


async def write_bodies_ahead(writer: Writer) -> None:
    writer.write(b"".join(build_request("post", body=BODY_BYTES * b"x") for _ in range(4)))


async def write_heads_of_fields_ahead(writer: Writer) -> None:
    writer.write(b"".join(request_with_fields(1200) + b"\r\n" for _ in range(4)))


async def write_slowly(writer: Writer) -> None:
    request = build_request("post", body=BODY_BYTES * b"x")
    for start in range(0, len(request), 1500):
        writer.write(request[start : start + 1500])
        await asyncio.sleep(0.1)


KINDS = [
    write_whole_head_of_fields,
    write_open_head_of_fields,
    write_half_body,
    write_half_chunks,
    write_one_endless_field,
    write_tiny_requests_ahead,
    write_bodies_ahead,
    write_heads_of_fields_ahead,
    write_slowly,
]


class Crowd:
    """Bad clients that connect at once, each of which sends its own kind of trouble and stays."""

    def __init__(self) -> None:
        self.tasks: list[asyncio.Task[None]] = []

    async def join(self, address: Address, size: int, *kinds: Send) -> None:
        for number in range(size):
            self.tasks.append(asyncio.create_task(self._client(address, kinds[number % len(kinds)])))
            if number % CONNECTS_PER_PAUSE == 0:
                await asyncio.sleep(0.005)

    async def _client(self, address: Address, send: Send) -> None:
        # Where the gateway has closed the connection, a write fails; uvloop then raises a RuntimeError.
        with contextlib.suppress(OSError, RuntimeError):
            _, writer = await asyncio.open_connection(*address)
            try:
                await send(writer)
                await asyncio.sleep(OBSERVED_S)
            finally:
                writer.transport.abort()

    async def leave(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class UsualClient:
    """A client that asks again and again on one connection.

    Where the gateway closes that between two requests, and the close crosses a request, the client sends the
    request once more on a new connection.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.client: Client | None = None

    async def ask(self) -> int:
        """The status of one answer, or ``NO_ANSWER`` if none comes in time."""
        try:
            async with asyncio.timeout(REQUEST_TIME_S + ANSWER_SLACK_S):
                try:
                    return await self._send_once()
                except (ConnectionError, asyncio.IncompleteReadError):
                    self.leave()
                    return await self._send_once()
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            self.leave()
            return NO_ANSWER

    async def _send_once(self) -> int:
        if self.client is None:
            self.client = await Client.at(self.address)
        request = build_request("post", left=f"{REQUEST_TIME_S:.3f}", body=2000 * b"y")
        status, head, _ = await self.client.send(request)
        if b"connection: close" in head.lower():
            self.leave()
        return status

    def leave(self) -> None:
        """Close the connection."""
        if self.client is not None:
            self.client.writer.transport.abort()
            self.client = None


async def statuses_of_usual_client(address: Address, until: float) -> list[int]:
    """The answers to a client that asks again and again."""
    client, statuses = UsualClient(address), []
    while time.monotonic() < until:
        statuses.append(await client.ask())
        await asyncio.sleep(0.05)
    client.leave()
    return statuses


# Guards against memory that grows with what clients send, beyond the limit (incident of 2026-12-05).
@pytest.mark.parametrize(
    "kinds",
    [*((kind,) for kind in KINDS), tuple(KINDS)],
    ids=[*(kind.__name__ for kind in KINDS), "all_at_once"],
)
def test_hundreds_of_bad_clients_do_not_pass_the_memory_limit(
    tmp_path: Path, kinds: tuple[Send, ...]
) -> None:
    async def scenario() -> None:
        hanging, well = await silent_server(), await answering_server(OK)
        with limited_process(tmp_path, hanging.address, well.address) as process:
            await process.listening()
            until = time.monotonic() + OBSERVED_S
            usual = [asyncio.create_task(statuses_of_usual_client(process.address, until)) for _ in range(5)]
            await asyncio.sleep(0.2)
            crowd = Crowd()
            await crowd.join(process.address, CROWD, *kinds)
            statuses = [status for answers in await asyncio.gather(*usual) for status in answers]
            await crowd.leave()
            assert_within_limit(process)
        # Every request has its final answer; what hangs is failed, and what there is no room for is refused.
        assert len(statuses) >= 5
        assert set(statuses) <= {200, 429, 502, 503}
        assert 200 in statuses

    run(scenario())


# Guards against closed connections that pile up while bad clients come and go (incident of 2026-12-05).
def test_bad_clients_that_come_again_and_again_do_not_pass_the_memory_limit(tmp_path: Path) -> None:
    async def scenario() -> None:
        hanging, well = await silent_server(), await answering_server(OK)
        with limited_process(tmp_path, hanging.address, well.address) as process:
            await process.listening()
            until = time.monotonic() + REPEATED_S
            usual = [asyncio.create_task(statuses_of_usual_client(process.address, until)) for _ in range(5)]
            while time.monotonic() < until:
                crowd = Crowd()
                await crowd.join(process.address, CROWD, *KINDS)
                await asyncio.sleep(1.5)
                await crowd.leave()
            statuses = [status for answers in await asyncio.gather(*usual) for status in answers]
            assert_within_limit(process)
        assert set(statuses) <= {200, 429, 502, 503}
        assert 200 in statuses

    run(scenario())


# Guards against bounds that leave out what the listed servers take (incident of 2026-12-05).
def test_bad_clients_beside_a_long_list_of_servers_do_not_pass_the_memory_limit(tmp_path: Path) -> None:
    async def scenario() -> None:
        well = await answering_server(OK)
        known = listing(*(entry(f"s-{number}", ("127.0.0.1", 1 + number)) for number in range(1500)))
        known["endpoints"].append(entry("s-well", well.address))
        with limited_process(tmp_path, known=known) as process:
            await process.listening()
            crowd = Crowd()
            await crowd.join(process.address, CROWD, *KINDS)
            await asyncio.sleep(OBSERVED_S)
            await crowd.leave()
            assert_within_limit(process)

    run(scenario())


# Guards against requests that are dropped behind one that there is no room for (incident of 2026-12-05).
def test_both_of_two_requests_written_at_once_are_answered_beside_half_requests(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        with limited_process(tmp_path, server.address) as process:
            await process.listening()
            clients = [await Client.at(process.address) for _ in range(20)]
            crowd = Crowd()
            await crowd.join(process.address, 300, write_half_body)
            await asyncio.sleep(0.3)
            for _ in range(5):
                for client in clients:
                    client.writer.write(b"".join(build_request("post", body=4000 * b"y") for _ in range(2)))
                answers = [await client.answer() for client in clients for _ in range(2)]
                assert {status for status, _, _ in answers} <= {200, 429}
            for client in clients:
                client.writer.transport.abort()
            await crowd.leave()
            assert_within_limit(process)

    run(scenario())


# Guards against memory that grows with answers that clients do not read (incident of 2026-12-05).
def test_answers_that_nobody_reads_do_not_pass_the_memory_limit(tmp_path: Path) -> None:
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (BODY_BYTES, BODY_BYTES * b"z")

    async def unread(address: Address) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        with sock, contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_connect(sock, address)
            await asyncio.get_running_loop().sock_sendall(sock, 20 * build_request())
            await asyncio.sleep(OBSERVED_S)

    async def scenario() -> None:
        server = await answering_server(answer)
        with limited_process(tmp_path, server.address) as process:
            await process.listening()
            await asyncio.gather(*(unread(process.address) for _ in range(400)))
            assert_within_limit(process)

    run(scenario())


# Guards against memory that grows with long answers that servers send at once (incident of 2026-12-05).
def test_long_answers_at_once_do_not_pass_the_memory_limit(tmp_path: Path) -> None:
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES

    async def scenario() -> None:
        release = asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            await read_message(reader)
            await release.wait()
            writer.write(head + (BODY_BYTES - 1) * b"z")  # the last byte stays out
            await reader.read()

        servers = [await Peer(script).start() for _ in range(4)]
        with limited_process(tmp_path, *(server.address for server in servers)) as process:
            await process.listening()
            clients = [await Client.at(process.address) for _ in range(350)]
            for client in clients:
                client.writer.write(build_request(left="3.000"))
            await asyncio.sleep(1.0)
            release.set()
            statuses = [(await client.answer())[0] for client in clients]
            for client in clients:
                client.writer.transport.abort()
            assert set(statuses) <= {429, 502, 503}
            assert_within_limit(process)

    run(scenario())


# Guards against a whole request that is dropped with the incomplete one ahead of it, or for a stale count.
@pytest.mark.parametrize("first_bytes", [3_000, 9_000, 13_000])
def test_no_request_that_was_read_whole_is_dropped_where_input_is_scarce(
    first_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    reject, dropped_bytes = ClientConnection.reject_for_memory, list[int]()

    def record_and_reject(connection: ClientConnection) -> None:
        dropped_bytes.append(connection.read_ahead.held_bytes)
        assert connection.receiving
        reject(connection)

    monkeypatch.setattr(ClientConnection, "reject_for_memory", record_and_reject)

    async def scenario() -> None:
        server = await answering_server(OK)
        gw = gateway(server.address)
        gw.frontend.held_input.limit_bytes = 6_000
        clients = [await Client.to(gw) for _ in range(8)]
        for _ in range(5):
            pairs = [
                build_request("post", body=first_bytes * b"y") + build_request("post", body=500 * b"y")
                for _ in clients
            ]
            for client, pair in zip(clients, pairs, strict=True):
                client.writer.write(pair)
            for number, client in enumerate(clients):
                statuses = [(await client.answer())[0]]
                if statuses[0] != 503:
                    statuses.append((await client.answer())[0])
                assert set(statuses) <= {200, 429, 503}
                if 503 in statuses:
                    assert await client.reader.read() == b""
                    clients[number] = await Client.to(gw)
        for client in clients:
            client.writer.transport.abort()
        await wait_until(lambda: not gw.frontend.clients.open)
        assert gw.frontend.held_input.total_bytes == 0
        assert not gw.frontend.held_input._incomplete_bytes
        assert set(dropped_bytes) <= {0}
        assert dropped_bytes or first_bytes < 6_000

    run(scenario())


# Guards against answers that are kept by the idle connections they came on (incident of 2026-12-05).
def test_long_answers_for_many_clients_are_served_whole_within_the_memory_limit(tmp_path: Path) -> None:
    body = BODY_BYTES * b"z"
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (BODY_BYTES, body)

    async def scenario() -> None:
        servers = [await answering_server(answer) for _ in range(4)]
        with limited_process(tmp_path, *(server.address for server in servers)) as process:
            await process.listening()
            clients = [await Client.at(process.address) for _ in range(250)]
            answers = []
            for _ in range(3):
                for client in clients:
                    client.writer.write(build_request(left="3.000"))
                answers += [await client.answer() for client in clients]
            served = [got for status, _, got in answers if status == 200]
            assert set(served) == {body}
            assert len(served) > len(answers) // 2
            for client in clients:
                client.writer.transport.abort()
            assert_within_limit(process)
            assert_refused_for_load_only(process, len(answers) - len(served))

    run(scenario())


# Guards against memory that grows with the number of names ever seen (incident of 2026-12-05).
@pytest.mark.parametrize("plan", ["free", "small"])
def test_ever_new_names_at_full_speed_do_not_pass_the_memory_limit(tmp_path: Path, plan: str) -> None:
    numbers = itertools.count(1)

    def new_name() -> bytes:
        request = build_request(left="3.000", X_Contract=plan, X_Correlation_Id=f"new{next(numbers):x}")
        return request.replace(b"00000000b4d65521", b"%016x" % next(numbers))

    async def flood(address: Address, until: float) -> None:
        reader, writer = await asyncio.open_connection(*address)
        reading = asyncio.create_task(read_to_end(reader))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(until - time.monotonic()):
                while True:
                    writer.write(b"".join(new_name() for _ in range(100)))
                    await writer.drain()
        reading.cancel()
        writer.transport.abort()

    async def scenario() -> None:
        async def count(peer: Peer, reader: Reader, writer: Writer) -> None:
            while line := await reader.readline():
                writer.write(b"ok %b\r\n" % line.split()[2])

        counter, servers = await Peer(count).start(), [await answering_server(OK) for _ in range(3)]
        settings = SETTINGS | {"specifics": SETTINGS["specifics"] | {"has-counter": True}}
        with limited_process(
            tmp_path,
            *(server.address for server in servers),
            settings=settings,
            counter=f"{counter.address[0]}:{counter.address[1]}",
        ) as process:
            await process.listening()
            until = time.monotonic() + 6.0
            usual = asyncio.create_task(statuses_of_usual_client(process.address, until))
            await flood(process.address, until)
            statuses = await usual
            assert_within_limit(process)
            assert len(statuses) > 20
            assert statuses.count(200) > len(statuses) // 2, statuses

    run(scenario())


async def read_to_end(reader: Reader) -> None:
    while await reader.read(1 << 16):
        pass


# Guards against a limit that leaves the usual traffic no room (incident of 2026-12-05).
def test_usual_clients_are_served_under_the_least_memory_limit(tmp_path: Path) -> None:
    async def scenario() -> None:
        servers = [await answering_server(OK) for _ in range(4)]
        with limited_process(tmp_path, *(server.address for server in servers)) as process:
            await process.listening()
            clients = [await Client.at(process.address) for _ in range(DESCRIPTORS // 3)]
            answers = []
            for _ in range(4):
                for client in clients:
                    client.writer.write(build_request("post", body=1000 * b"y"))
                answers += [await client.answer() for client in clients]
            served = [body for status, _, body in answers if status == 200]
            assert set(served) == {BODY}
            assert len(served) > len(answers) // 2
            for client in clients:
                client.writer.transport.abort()
            assert_within_limit(process)
            assert_refused_for_load_only(process, len(answers) - len(served))

    run(scenario())
