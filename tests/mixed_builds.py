"""Runs gateways of two builds beside each other, to show that they can serve in one fleet.

    .venv/bin/python -m tests.mixed_builds OTHER_CHECKOUT

Gateways with even numbers run from the other checkout, those with odd numbers from this one, each as its
deploy file says.  They share one counter, one discovery and one server, and get far more requests of three
customers than the quotas allow.  The script fails if a customer's use passes its ceiling, if the gateways use
different counts at the counter, if one takes no part in the agreement on the time, or if one does not exit
cleanly.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop

from gingerworks.gateway.config import Address
from gingerworks.policy.clock_sync import BEACON_NAME
from tests.loopback import (
    OK,
    SETTINGS,
    Client,
    Peer,
    Reader,
    Writer,
    build_request,
    entry,
    listing,
    raw_config,
    read_message,
    wait_until,
)
from tests.test_stepped_processes import SharedCounter

ROOT = Path(__file__).parent.parent
GATEWAYS = 4
FLOOD_S = 18.0
REQUEST_INTERVAL_S = 0.03
KEEPALIVE_S = 1.0  # between empty lines on a watch
CEILING_RATE, CEILING_BURST, CEILING_SLACK = 20.0, 30.0, 3.0
CAPPED_PLAN = {
    "name": "capped",
    "units-per-s": 12.0,
    "most-at-once": 18.0,
    "overrun-cost": 1.0,
    "ceiling-rate": CEILING_RATE,
    "ceiling-burst": CEILING_BURST,
    "cap-slack": CEILING_SLACK,
}
PLAN_OF_CUSTOMER = {"00000000b4d65521": "capped", "0000000000000b22": "capped", "0000000000000a11": "small"}
Script = Callable[[Peer, Reader, Writer], Awaitable[None]]


class RecordingCounter(SharedCounter):
    """A shared counter that also counts the beacons of each gateway."""

    def __init__(self) -> None:
        super().__init__()
        self.beacons: list[int] = []

    async def port(self) -> Address:
        """Open a port for one more gateway."""
        self.beacons.append(0)
        return await super().port()

    def _answer(self, words: list[bytes], called_names: list[int]) -> bytes:
        if words[0] != b"ping" and int(words[1]) == BEACON_NAME and float(words[2]) > 0:
            gateway = next(n for n, names in enumerate(self.named) if names is called_names)
            self.beacons[gateway] += 1
        return super()._answer(words, called_names)


def recording_server(sent_at: dict[str, list[float]]) -> Script:
    """A server that answers each request and records when each customer's requests came."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        while True:
            path = (await read_message(reader)).split()[1].decode()
            sent_at.setdefault(path.split("/")[2], []).append(time.monotonic())
            writer.write(OK)

    return script


def discovery_of(server: Peer) -> Script:
    """A discovery that sends the list once to each watch, then only empty lines."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps(listing(entry("s0", server.address), index=5)).encode() + b"\n"
        while True:
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            await asyncio.sleep(KEEPALIVE_S)
            line = b"\n"

    return script


class GatewayOfBuild:
    """One gateway process, run from a checkout as its deploy file says."""

    def __init__(self, checkout: Path, config: dict[str, Any], folder: Path) -> None:
        config_file, self._log = folder / f"{config['name']}.json", folder / f"{config['name']}.log"
        config_file.write_text(json.dumps(config))
        command = tomllib.loads((checkout / "deploy" / "balancer.toml").read_text())["run"]
        environment = {**os.environ, "NODE_CONFIG": str(config_file)}
        with self._log.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=checkout, env=environment, stderr=log
            )

    async def address(self) -> Address:
        """Wait until it listens; returns its address."""
        while not (found := re.search(r"listening on ([\d.]+):(\d+)", self._log.read_text())):
            assert self.process.poll() is None, self._log.read_text()
            await asyncio.sleep(0.01)
        return found[1], int(found[2])


async def flood(address: Address, customer: str, plan: str, until_s: float) -> None:
    """Send requests of one customer to one gateway, one after the other."""
    client = await Client.at(address)
    metering = f"units=1,spread={GATEWAYS},first=0"
    while time.monotonic() < until_s:
        request = build_request(X_Contract=plan, X_Metering=metering)
        await client.send(request.replace(b"00000000b4d65521", customer.encode()))
        await asyncio.sleep(REQUEST_INTERVAL_S)


def highest_use(sent_at: list[float]) -> float:
    """The most that requests of one unit have taken from a store that refills at the ceiling's rate."""
    used = highest = 0.0
    last = sent_at[0]
    for moment in sent_at:
        used = max(0.0, used - CEILING_RATE * (moment - last)) + 1.0
        last, highest = moment, max(highest, used)
    return highest


async def run_fleet(checkouts: tuple[Path, Path], folder: Path) -> None:
    """Run the fleet under load, stop it, print what was seen and check it."""
    sent_at: dict[str, list[float]] = {}
    server = await Peer(recording_server(sent_at)).start()
    discovery = await Peer(discovery_of(server)).start()
    counter = RecordingCounter()
    settings = SETTINGS | {
        "tariffs": [*SETTINGS["tariffs"], CAPPED_PLAN],
        "specifics": SETTINGS["specifics"] | {"has-counter": True, "cost-after": False, "max-units": 2},
        "limits": SETTINGS["limits"] | {"second-copies": False},
    }
    gateways: list[GatewayOfBuild] = []
    try:
        for number in range(GATEWAYS):
            host, port = await counter.port()
            config = raw_config(
                server.address,
                name=f"n{number}",
                counter=f"{host}:{port}",
                discovery=f"{discovery.address[0]}:{discovery.address[1]}",
                settings=settings | {"me": number, "peers-total": GATEWAYS},
            )
            gateways.append(GatewayOfBuild(checkouts[number % 2], config, folder))
        addresses = [await gateway.address() for gateway in gateways]
        until_s = time.monotonic() + FLOOD_S
        floods = [flood(a, name, plan, until_s) for a in addresses for name, plan in PLAN_OF_CUSTOMER.items()]
        await asyncio.gather(*floods)
        for gateway in gateways:
            gateway.process.terminate()
        await wait_until(lambda: all(gateway.process.poll() is not None for gateway in gateways))
    finally:
        for gateway in gateways:
            gateway.process.kill()
    check(counter, sent_at, [gateway.process.returncode for gateway in gateways])


def check(counter: RecordingCounter, sent_at: dict[str, list[float]], exit_codes: list[int]) -> None:
    """Print what was seen, and fail where the two builds did not serve as one fleet."""
    names = [set(called) for called in counter.named]
    for number in range(GATEWAYS):
        counts = sorted(f"{name:x}" for name in names[number])
        print(
            f"n{number}: exit code {exit_codes[number]}, {counter.beacons[number]} beacons, counts {counts}"
        )
    for customer, plan in PLAN_OF_CUSTOMER.items():
        highest = f", at most {highest_use(sent_at[customer]):.1f} at once" if plan == "capped" else ""
        print(f"{customer} ({plan}): {len(sent_at[customer])} requests sent on{highest}")
    assert exit_codes == [0] * GATEWAYS
    assert all(counter.beacons)
    assert all(other == names[0] for other in names)
    for customer, plan in PLAN_OF_CUSTOMER.items():
        assert plan != "capped" or highest_use(sent_at[customer]) <= CEILING_BURST + CEILING_SLACK


def main() -> int:
    """Run the fleet with the checkout that the command line names."""
    if len(sys.argv) != 2:
        print("usage: python -m tests.mixed_builds OTHER_CHECKOUT", file=sys.stderr)
        return 2
    with tempfile.TemporaryDirectory() as folder:
        uvloop.run(run_fleet((Path(sys.argv[1]).resolve(), ROOT), Path(folder)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
