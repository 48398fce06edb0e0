"""The command: runs one gateway until SIGTERM or SIGINT and rereads its configuration on SIGHUP.

``Gateway`` puts the parts together: connections to servers, the policy with its runtime, the frontend for
clients, and the watch of discovery.  It serves from the server list in its configuration if discovery does
not answer soon.  Exit codes: 0 after a shutdown by signal, 1 if the gateway cannot run (``cannot run:``), 2
if its configuration is missing or wrong (``configuration:``).
"""

from __future__ import annotations

import asyncio
import contextlib
import faulthandler
import gc
import logging
import os
import signal
import sys
from collections.abc import Mapping

import uvloop

from gingerworks import interface
from gingerworks.gateway.backend import Backends
from gingerworks.gateway.config import Address, Config, ConfigError, load
from gingerworks.gateway.diagnostics import Diagnostics, resident_memory_bytes
from gingerworks.gateway.discovery import Watch
from gingerworks.gateway.frontend import Frontend
from gingerworks.gateway.memory_budget import MemoryBudget
from gingerworks.gateway.recent_ids import RecentIds
from gingerworks.gateway.runtime import Runtime
from gingerworks.gateway.server_list import Change, change_from, known_server_count

# This many sockets are set aside for the standard streams, the event loop, the listener, discovery and the
# counter, with some to spare.
RESERVED_SOCKETS = 48
CLIENT_SOCKET_SHARE = 0.55  # clients get this share of the sockets not reserved, servers the rest
# A gateway that starts waits at most this long for discovery's first answer, and for nothing else: the
# time-out to connect to discovery, and as long again.
FIRST_LIST_TIMEOUT_S = 1.0

log = logging.getLogger("gateway")


class Gateway:
    """The parts of one gateway, put together."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config) -> None:
        self._loop = loop
        self._config = config
        client_sockets = int((config.sockets - RESERVED_SOCKETS) * CLIENT_SOCKET_SHARE)
        server_sockets = config.sockets - RESERVED_SOCKETS - client_sockets
        self.diagnostics = Diagnostics(loop, config.memory_limit_bytes, self._gauges)
        self.memory = MemoryBudget.within(
            config.memory_limit_bytes, resident_memory_bytes(), known_server_count(config.known)
        )
        self.backends = Backends(
            loop, config.settings, config.idle_timeout_ns, server_sockets, self.memory.received_bytes
        )
        longest_deadline_ns = max(kind.deadline_ns for kind in config.settings.classes)
        self.recent_ids = RecentIds(longest_deadline_ns, self.memory.remembered_ids)
        self.runtime = Runtime(
            loop, config, self.backends, self.memory.customers, self.recent_ids, self.diagnostics
        )
        self.frontend = Frontend(
            loop,
            self.runtime,
            config.settings,
            min(client_sockets, self.memory.client_connections),
            self.memory,
            self.recent_ids,
            self.diagnostics,
        )
        self._watch_task: asyncio.Task[None] | None = None
        self._accept_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to watch discovery, then to serve; neither discovery nor the counter has to be reachable."""
        index = 0
        try:
            known = change_from(self._config.known)
            self.runtime.update_servers(Change(known.index, True, known.endpoints), cached=True)
            index = known.index
        except ValueError as error:
            log.warning("known: %s; using the server list from discovery only", error)
        watch = self._start_watch(self._config.discovery, index)
        self.frontend.listen(self._config.listen)
        self._accept_task = self._loop.create_task(self._accept_after_first_list(watch))
        log.info("%s: listening on %s:%d", self._config.name, *self.frontend.address)
        self.diagnostics.start()

    def _gauges(self) -> dict[str, int]:
        return self.frontend.gauges() | self.runtime.gauges() | self.backends.gauges()

    async def _accept_after_first_list(self, watch: Watch) -> None:
        """Accept clients once discovery has answered or failed, or its time is over.

        A server that is ready in the old list may be draining by now.  The gateway is expected to know what
        discovery knows from the start on, and a start on a small share of a core takes longer than the grace
        period of a draining server.
        """
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(watch.first_attempt_done.wait(), FIRST_LIST_TIMEOUT_S)
        self.frontend.start_accepting()

    def _start_watch(self, discovery: Address, index: int) -> Watch:
        if self._watch_task is not None:
            self._watch_task.cancel()  # the task closes its connection as it ends
        gateways = self._config.settings.gateways
        watch = Watch(discovery, index, self._config.seed, self.runtime.update_servers, gateways)
        self._watch_task = self._loop.create_task(watch.run())
        return watch

    def reload(self, environment: Mapping[str, str]) -> None:
        """Switch to the discovery and the counter that the file names now; other changes need a restart.

        If the file is unreadable or wrong, the former configuration stays in force.
        """
        try:
            config = load(environment, is_reload=True)
        except (ConfigError, interface.SettingsError) as error:
            log.error("configuration: %s; keeping the former one", error)
            return
        former, self._config = self._config, config
        log.info("configuration reread: discovery %s:%d, counter %s", *config.discovery, config.counter)
        if config.discovery != former.discovery:
            # Another discovery numbers the versions of its list differently: request the whole list.
            self._start_watch(config.discovery, 0)
        if config.counter != former.counter:
            self.runtime.use_counter(config.counter)

    async def wait_and_close(self) -> None:
        """Wait for the end of the shutdown that ``frontend.begin_shutdown`` starts, then close everything."""
        await self.frontend.finished.wait()
        for task in (self._watch_task, self._accept_task):
            if task is not None:
                task.cancel()
        self.backends.close()
        self.runtime.close()
        self.diagnostics.stop()
        log.info("%s: the shutdown is complete", self._config.name)


async def serve(config: Config) -> None:
    """Serve until a signal has shut the gateway down."""
    loop = asyncio.get_running_loop()
    gateway = Gateway(loop, config)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, gateway.frontend.begin_shutdown)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload, os.environ)
    gateway.start()
    # A SIGHUP that came since the start of ``main`` is handled now.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    await asyncio.sleep(0)  # the watch begins its first call
    loop.call_soon(_freeze_startup_objects)  # takes no extra time, as discovery is waited for
    await gateway.wait_and_close()


def _freeze_startup_objects() -> None:
    """Exempt the objects made so far from garbage collection: they stay as long as the process."""
    gc.collect()
    gc.freeze()


def main() -> int:
    """Run one gateway."""
    # A SIGHUP that comes while the file is read must not be lost: it stays pending until it has a handler.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    faulthandler.enable()  # a crash in native code leaves a traceback in the log
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        config = load(os.environ)
    except (ConfigError, interface.SettingsError) as error:
        print(f"configuration: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"cannot run: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
