"""What the log tells of requests and connections that ended, and of memory."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from gingerworks.gateway.config import ConfigError, config_from
from gingerworks.gateway.diagnostics import EXAMPLES_PER_PERIOD, Diagnostics, Event, resident_memory_bytes
from tests.loopback import Client, Process, build_request, raw_config, run


def test_the_log_names_the_reason_and_the_id_of_a_refused_and_of_a_rejected_request(tmp_path: Path) -> None:
    async def scenario() -> str:
        with Process(tmp_path, raw_config(limits={"sockets": 256, "memory_mb": 64})) as process:
            await process.listening()
            for request in (build_request(X_Correlation_Id="abc1"), build_request(X_Contract="none")):
                client = await Client.at(process.address)
                status, _, _ = await client.send(request)
                assert status in (400, 429)
            process.terminate()
            assert process.wait() == 0
            return process.log()

    log = run(scenario())
    assert "request refused: no server can take it; id abc1, look" in log
    assert "request rejected: 400 X-Contract: unknown; id b'" in log
    assert "request refused (no server can take it) x1" in log
    assert " of 64 MB, clients " in log
    assert "shutdown: begun; clients " in log
    assert "the shutdown is complete" in log


def test_a_flood_of_events_is_counted_and_only_some_are_logged(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        diagnostics = Diagnostics(asyncio.get_running_loop(), None, lambda: {"clients": 3})
        diagnostics.start()
        for number in range(1000):
            diagnostics.record(Event.REQUEST_REFUSED, "no reason given", f"id {number}")
        diagnostics.stop()

    with caplog.at_level("INFO"):
        run(scenario())
    assert sum("; id " in line for line in caplog.messages) == EXAMPLES_PER_PERIOD
    assert "clients 3, request refused (no reason given) x1000" in caplog.messages[-1]


def test_the_memory_in_use_is_that_of_this_process() -> None:
    before = resident_memory_bytes()
    held = bytearray(b"x") * (32 << 20)
    assert 30 << 20 < resident_memory_bytes() - before < 40 << 20
    del held


@pytest.mark.parametrize("memory_mb", ["64", 0, -1, True, [], 1 << 40])
def test_a_memory_limit_that_is_no_size_is_refused_by_name(memory_mb: object) -> None:
    with pytest.raises(ConfigError, match=r"limits\.memory_mb"):
        config_from(raw_config(limits={"memory_mb": memory_mb}))
