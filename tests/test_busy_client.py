"""One client that sends at full speed on one connection does not hold up the other clients."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import statistics
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from gingerworks.gateway.config import Address
from tests.loopback import OK, Client, Process, answering_server, build_request, raw_config, run

FLOOD_S = 2.5
REQUEST_TIME_S = 0.6  # the least that the first tries of the deployments' clients have
MAX_HOLD_UP_S = 0.15  # a gateway may be held up for so long, says the operators' standing test

_numbers = itertools.count(1)


def health_checks() -> bytes:
    return 200 * b"GET /_health HTTP/1.1\r\n\r\n"


def unsound_requests() -> bytes:
    return 200 * b"GET / HTTP/1.1\r\n\r\n"


def empty_lines() -> bytes:
    return 8000 * b"\r\n"


def body_in_chunks_of_one_byte() -> bytes:
    head = build_request("post", Content_Length=None, Transfer_Encoding="chunked")
    return head + 60_000 * b"1\r\nx\r\n" + b"0\r\n\r\n"


def new_names() -> bytes:
    requests = (build_request(X_Correlation_Id=f"busy{next(_numbers):x}") for _ in range(100))
    return b"".join(one.replace(b"00000000b4d65521", b"%016x" % next(_numbers)) for one in requests)


def expectations() -> bytes:
    head = build_request("post", Content_Length=None, Transfer_Encoding="chunked", Expect="100-continue")
    return 100 * (head + b"0\r\n\r\n")


def heads_of_fields() -> bytes:
    return 4 * (build_request().removesuffix(b"\r\n") + 3000 * b"a:\r\n" + b"\r\n")


async def flood(address: Address, batch: Callable[[], bytes], until: float, reads: bool) -> None:
    """Send batches as fast as the gateway takes them, and connect again where it closes."""
    while time.monotonic() < until:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*address)
            reading = asyncio.create_task(_discard(reader)) if reads else None
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    while not writer.is_closing():
                        writer.write(batch())
                        await writer.drain()
                        await asyncio.sleep(0)
            finally:
                if reading is not None:
                    reading.cancel()
                writer.transport.abort()


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(1 << 16):
            pass


async def ask(address: Address) -> tuple[int, float]:
    """The status of one request on a new connection, and how long its answer took."""
    started_at = time.monotonic()
    client = await Client.at(address)
    status, _, _ = await client.send(build_request(left=f"{REQUEST_TIME_S:.3f}"))
    client.writer.transport.abort()
    return status, time.monotonic() - started_at


# Guards against one connection that uses up turns of the event loop (incident of 2026-12-05).
@pytest.mark.parametrize("reads", [True, False], ids=["reads_answers", "reads_nothing"])
@pytest.mark.parametrize(
    "batch",
    [
        health_checks,
        unsound_requests,
        empty_lines,
        body_in_chunks_of_one_byte,
        new_names,
        expectations,
        heads_of_fields,
    ],
)
def test_a_client_at_full_speed_does_not_hold_up_others(
    tmp_path: Path, batch: Callable[[], bytes], reads: bool
) -> None:
    async def scenario() -> list[tuple[int, float]]:
        servers = [await answering_server(OK) for _ in range(3)]
        with Process(tmp_path, raw_config(*(server.address for server in servers))) as process:
            await process.listening()
            assert (await ask(process.address))[0] == 200  # it accepts clients by now
            until = time.monotonic() + FLOOD_S
            busy = asyncio.create_task(flood(process.address, batch, until, reads))
            asked = []
            while time.monotonic() < until:
                asked.append(asyncio.create_task(ask(process.address)))
                await asyncio.sleep(0.05)
            answers = await asyncio.gather(*asked)
            await busy
            return answers

    answers = run(scenario())
    assert {status for status, _ in answers} <= {200, 429}
    assert sum(status == 200 for status, _ in answers) > len(answers) // 2
    assert max(took_s for _, took_s in answers) <= REQUEST_TIME_S
    assert statistics.median(took_s for _, took_s in answers) <= MAX_HOLD_UP_S


# Guards against reads and answers of one connection without a bound in one turn (incident of 2026-12-05).
@pytest.mark.parametrize("reads", [True, False], ids=["reads_answers", "reads_nothing"])
def test_the_answers_to_requests_written_at_once_keep_their_order(tmp_path: Path, reads: bool) -> None:
    async def scenario() -> None:
        server = await answering_server(OK)
        with Process(tmp_path, raw_config(server.address)) as process:
            await process.listening()
            client = await Client.at(process.address)
            statuses = []
            for _ in range(40):
                client.writer.write(50 * b"GET /_health HTTP/1.1\r\n\r\n" + build_request())
                if reads:
                    statuses += [(await client.answer())[0] for _ in range(51)]
            if not reads:
                statuses = [(await client.answer())[0] for _ in range(40 * 51)]
            assert statuses == 40 * (51 * [200])
            client.writer.transport.abort()

    run(scenario())
