"""Case 2: requests at a gateway that starts while discovery is down are answered too late or never."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from standins import (
    MS,
    SECOND,
    Deployment,
    Received,
    TrackServer,
    Writer,
    entry,
    new_id,
    ok,
    read_message,
    request_bytes,
    run_case,
    settings,
)

# BRIEF: a gateway that died comes back after 1 to 7.7 s; requests go on coming to it for 1.3 to 2.9 s.
BACK_S, NOTICE_S = 1.0, 2.9
INTERVAL_S = 0.01  # DAYS: a gateway gets up to 140 requests a second
# deploy/sites/tideline-press.toml: lookup has a deadline of 600 ms, a try is given up after 50 to 100% of it.
TIME_LEFT_S = 0.3
# STANDING: up to half a second after its time an answer only earns nothing; PROTOCOL: 50 ms more on sockets.
LATEST_S = 0.5 + 0.05
CUSTOMERS = 40


def tideline_settings() -> dict[str, Any]:
    """The settings of a small deployment like tideline-press, with a day's figures within its ranges."""

    def request_class(name: str, effect: str, scope: str, *figures: int) -> dict[str, Any]:
        aim_ms, deadline_ms, window_ms = figures
        return {
            "name": name, "effect": effect, "dedup-scope": scope, "stream": False, "on-time-ns": aim_ms * MS,
            "hard-limit-ns": deadline_ms * MS, "window-ns": window_ms * MS, "worth": 1.5, "late-value": 0.0,
        }  # fmt: skip

    def plan(name: str, rate: float, burst: float, ceiling: float) -> dict[str, Any]:
        return {
            "name": name, "units-per-s": rate, "most-at-once": burst, "price": 1.0, "overrun-cost": 1.0,
            "ceiling-rate": ceiling * rate, "ceiling-burst": ceiling * burst,
            "cap-slack": max(4.0, 0.15 * ceiling * burst) if ceiling else 0.0,
        }  # fmt: skip

    return settings(
        classes=[
            request_class("proof", "idempotency_key", "cell", 3000, 8000, 9000),
            request_class("lookup", "read_like", "all", 600, 600, 5000),
            request_class("charge", "non_idempotent", "all", 1000, 5000, 5000),
        ],
        tariffs=[plan("free", 1.3, 6.0, 0.0), plan("studio", 4.0, 20.0, 2.5), plan("house", 13.0, 32.0, 1.8)],
        limits={
            "attempts-cap": 4, "conn-idle-ns": 12 * SECOND, "connect-timeout-ns": 400 * MS, "probes": False,
            "max-retry-after-ns": 4 * SECOND, "second-copies": True,
        },
        rules={"drain-grace-ns": 700 * MS, "fall-ns": 2 * SECOND, "overload-factor": 3.0},
        specifics={"cost-after": True, "count-wait-ns": 60 * MS, "max-units": 4},
        stats={"source": "answers"},
    )  # fmt: skip


async def answer(server: TrackServer, request: Received, writer: Writer) -> bool:
    """Run a request: the mean work of a lookup is 30 to 60 ms."""
    await asyncio.sleep(0.04)
    server.runs.append(request.id)
    writer.write(ok(request.id.encode(), b"X-Settled: 1"))
    return True


async def client(deployment: Deployment, address: tuple[str, int], number: int) -> str:
    """Send one request on a new connection; returns what is wrong with its answer."""
    record, request_id = deployment.record, new_id()
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return ""  # the machine refuses connections: the gateway has not taken the request
    writer.write(request_bytes("lookup", request_id, TIME_LEFT_S, 0x500 + number % CUSTOMERS, plan="house"))
    sent_at = time.monotonic()
    record(f"sent {request_id}")
    wrong = ""
    try:
        async with asyncio.timeout(TIME_LEFT_S + LATEST_S):
            status = (await read_message(reader)).head.split()[1].decode()
        record(f"{request_id}: {status} after {time.monotonic() - sent_at:.3f} s")
    except TimeoutError:
        record(f"{request_id}: no answer after {TIME_LEFT_S + LATEST_S:.3f} s; the client leaves")
        wrong = f"{request_id}: no answer {LATEST_S:.2f} s after its time of {TIME_LEFT_S} s"
    except (OSError, asyncio.IncompleteReadError) as error:
        # A process that dies resets its connections: what it held is the client's to repeat.
        record(f"{request_id}: {error!r} after {time.monotonic() - sent_at:.3f} s")
    writer.close()
    return wrong


async def scenario(deployment: Deployment) -> list[str]:
    """Requests at a steady rate; with the trouble discovery is down as the gateway dies and comes back."""
    servers = [await TrackServer(f"s-{number}", deployment.record, answer).start() for number in range(8)]
    deployment.discovery.set(*(entry(server.name, server.address) for server in servers))
    gateway = deployment.add_gateway(tideline_settings())
    await gateway.ready()
    await asyncio.sleep(0.5)
    tasks, started_at, down_at, killed, back = [], time.monotonic(), 1.0, False, False
    while (now := time.monotonic() - started_at) < down_at + 0.3 + NOTICE_S:
        if deployment.trouble and now >= down_at and deployment.discovery.up.is_set():
            # STANDING, herd+mass: discovery is down for 8 s, which is beyond the end of this run.
            deployment.record("discovery goes down: its agent is silent")
            deployment.discovery.up.clear()
        if deployment.trouble and not killed and now >= down_at + 0.3:
            deployment.record("the gateway is killed")
            gateway.end()
            killed = True
        if killed and not back and now >= down_at + 0.3 + BACK_S:
            deployment.record("the gateway is started again")
            gateway.start()
            back = True
        tasks.append(asyncio.create_task(client(deployment, gateway.address, len(tasks))))
        await asyncio.sleep(INTERVAL_S)
    results = await asyncio.gather(*tasks)
    return [text for text in results if text]


if __name__ == "__main__":
    run_case(scenario, Path(__file__).parent)
