"""A client that writes far ahead and closes: its close is hidden behind what it could not send yet."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest

from gingerworks.gateway.config import Address
from tests.loopback import (
    NOT_RUN,
    OK,
    Peer,
    Process,
    Reader,
    Writer,
    build_request,
    raw_config,
    read_message,
    run,
)

CLIENTS = 8
# An attempt that begins later than this after the close breaks the rule: 0.1 s, and 0.05 s as for each limit.
MAX_AFTER_CLOSE_S = 0.15
RELEASED_AFTER_S = 0.17  # after the last close, the servers turn the first requests away
WRITE_PAUSE_S = 0.03  # between two writes of a client
OBSERVED_S = 2.0


def write_ahead_and_close(address: Address, writes: list[bytes], segment: int | None) -> float:
    """Write, in segments of this size or as the system likes, and close; returns when that was."""
    sock = socket.create_connection(address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for data in writes:
        for start in range(0, len(data), segment or len(data)):
            sock.sendall(data[start : start + (segment or len(data))])
        time.sleep(WRITE_PAUSE_S)
    sock.close()
    return time.monotonic()


def requests_of(kind: str, size: int) -> bytes:
    """As many requests as fit into this many bytes."""
    one = build_request(kind, left="4.000")
    return b"".join(build_request(kind, left="4.000") for _ in range(size // len(one)))


# Guards against requests that are sent on although their client has closed (incident of 2026-12-05).
@pytest.mark.parametrize("segment", [None, 100], ids=["large_segments", "small_segments"])
@pytest.mark.parametrize(
    "writes_kb",
    [(4,), (40,), (66, 30), (74, 14), (60, 40), (40, 60), (70, 300), (1000,), (4, 4, 4)],
    ids=lambda sizes: "_".join(map(str, sizes)) + "_KiB",
)
def test_no_attempt_begins_for_a_client_that_wrote_ahead_and_closed(
    tmp_path: Path, writes_kb: tuple[int, ...], segment: int | None
) -> None:
    async def scenario() -> None:
        release, attempts_at = asyncio.Event(), list[float]()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            while True:
                await read_message(reader)
                attempts_at.append(time.monotonic())
                held = not release.is_set()
                await release.wait()
                writer.write(NOT_RUN if held else OK)

        servers = [await Peer(script).start() for _ in range(3)]
        with Process(tmp_path, raw_config(*(server.address for server in servers))) as process:
            await process.listening()
            loop = asyncio.get_running_loop()
            writes = [[requests_of("look", size * 1024) for size in writes_kb] for _ in range(CLIENTS)]
            writing = [
                loop.run_in_executor(None, write_ahead_and_close, process.address, writes[number], segment)
                for number in range(CLIENTS)
            ]
            closed_at = max(await asyncio.gather(*writing))
            await asyncio.sleep(closed_at + RELEASED_AFTER_S - time.monotonic())
            release.set()
            await asyncio.sleep(OBSERVED_S)
            assert attempts_at or sum(writes_kb) > 100  # beyond that all may be refused
            late = [at - closed_at for at in attempts_at if at - closed_at > MAX_AFTER_CLOSE_S]
            assert not late, f"{len(late)} attempts, up to {max(late):.3f} s after the last close"

    run(scenario())
