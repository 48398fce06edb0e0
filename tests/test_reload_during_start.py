"""A SIGHUP during the start does not end the gateway, which follows what the file says by then."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import sys
import tomllib
from pathlib import Path
from subprocess import Popen

from tests.loopback import Peer, entry, raw_config, run, wait_until
from tests.test_gateway_reload import address_text, start_discovery

ROOT = Path(__file__).parent.parent
STARTS_WITH_SIGHUP = "import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\n"


def start_deployed(config: Path, **environment: str) -> Popen[bytes]:
    """A gateway process, run by the deploy file's command."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    command = command.replace(".venv/bin/python", sys.executable)
    environment = {**os.environ, "NODE_CONFIG": str(config), **environment}
    return Popen(["/bin/sh", "-c", command], env=environment, cwd=ROOT)


async def opened_by_reader(fifo: Path) -> int:
    """The writing end of a named pipe, once a reader has opened it."""
    while True:
        try:
            return os.open(fifo, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as fault:
            if fault.errno != errno.ENXIO:
                raise
            await asyncio.sleep(0.002)


async def start_serving_discovery() -> Peer:
    return await start_discovery(entry("a", ("127.0.0.1", 1)), index=3)


def test_a_sighup_while_the_file_is_first_read_is_followed_once_the_gateway_runs(tmp_path: Path) -> None:
    # SIGHUP was ignored until its handler was set: the gateway kept using the former discovery.
    async def scenario() -> None:
        new, file, replacement = (
            await start_serving_discovery(),
            tmp_path / "config.json",
            tmp_path / "new.json",
        )
        replacement.write_text(json.dumps(raw_config(discovery=address_text(new))))
        os.mkfifo(file)  # a pipe: reading blocks until the test writes
        process = start_deployed(file)
        try:
            reading = await opened_by_reader(file)
            replacement.replace(file)
            process.send_signal(signal.SIGHUP)
            os.write(reading, json.dumps(raw_config()).encode())
            os.close(reading)
            await wait_until(lambda: bool(new.requests))
            assert new.requests[0] == b"/catalog/members?follow=1&since=0"
        finally:
            process.kill()
            process.wait()

    run(scenario())


def test_a_sighup_while_the_interpreter_starts_does_not_end_the_gateway(tmp_path: Path) -> None:
    # Importing the modules takes most of a start.  A SIGHUP then ended the process, as nothing ignored it.
    async def scenario() -> None:
        agent, file = await start_serving_discovery(), tmp_path / "config.json"
        file.write_text(json.dumps(raw_config(discovery=address_text(agent))))
        (tmp_path / "sitecustomize.py").write_text(STARTS_WITH_SIGHUP)
        process = start_deployed(file, PYTHONPATH=str(tmp_path))
        try:
            await wait_until(lambda: bool(agent.requests) or process.poll() is not None)
            assert process.poll() is None
        finally:
            process.kill()
            process.wait()

    run(scenario())
