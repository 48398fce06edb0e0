"""The list of servers: what a start knows of it, and the watch that follows its changes."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import json
import logging
import math
import random
import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import httptools

from gingerworks import interface
from gingerworks.gateway import clock
from gingerworks.gateway.config import Address, address_from
from gingerworks.gateway.system_errors import RESOURCE_SHORTAGE, describe_error

# Seconds.  From any change on, all that may come before the list is heard has to fit in TOLD_S, at any number
# of gateways: either the former watch's silence, a pause, a connection and a first line, or a refusal's pause
# instead of the first two (the operators' figure: a change counts as told then, whatever call failed before).
TOLD_S = 6.0
SILENCE_S = 2.9  # on an open watch: an empty line comes every 2 s, one has failed to come by then
ANSWER_S = 2.3  # for a call's first line: a crowded discovery turns a call away after some 2 s
STALL_S = 0.5  # ... or since its last bytes, where that line has begun: the agent writes it in one go
LOOK_S = 0.02  # a last look after a wait is over: a busy loop sees its timers before what has come
CONNECT_S = 0.5  # for a connection: the agent is on this machine
REOPEN_PAUSE_S = 0.05  # where nobody was crowded: what the agent has may count as told, a drain has 0.25 s
SPARE_S = 0.1  # for a busy loop
REFUSED_PAUSE_S = TOLD_S - CONNECT_S - ANSWER_S - SPARE_S  # at the most, after a refusal
CALL_S = 0.1  # of discovery's time, for one call: at first all gateways together ask once in this
FIRST_PAUSE_S = 0.4  # the bound of the first such pause at the least, however few the gateways
LINE_BYTES = 1 << 20  # thousands of servers in one line; more is no list
SERVERS_MOST = 4096
INDEX_MOST = 1 << 53  # what JSON holds exactly

PHASES = {
    "Ready": interface.Phase.READY,
    "Terminating": interface.Phase.DRAINING,
    "Gone": interface.Phase.GONE,
}

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

log = logging.getLogger(__name__)
pause = asyncio.sleep


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A server as the module knows it, and where it listens."""

    server: interface.Server
    address: Address


@dataclass(frozen=True, slots=True)
class Change:
    """A version of the list: the whole of it, or the entries that changed."""

    index: int
    full: bool
    endpoints: tuple[Endpoint, ...]


def change_from(raw: object) -> Change:
    """Read one message; a malformed entry is left out, a malformed message raises ``ValueError``."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        raise ValueError("not a list of endpoints")
    index = raw.get("index")
    if not isinstance(index, int) or isinstance(index, bool) or not 0 <= index < INDEX_MOST:
        raise ValueError("index is not a whole number")
    if len(raw["endpoints"]) > SERVERS_MOST:
        raise ValueError("too many endpoints")
    endpoints = []
    for entry in raw["endpoints"]:
        try:
            endpoints.append(_endpoint(entry))
        except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as fault:
            log.warning("discovery: entry left out: %.120s", fault)
    return Change(index, raw.get("snapshot") is True, tuple(endpoints))


def _endpoint(entry: dict[str, object]) -> Endpoint:
    name, since, weight = entry["name"], entry.get("since_ms", 0), entry.get("weight", 1.0)
    group, phase = entry.get("group", 0), PHASES[str(entry["status"])]
    if not isinstance(name, str) or not name:
        raise ValueError("name is no text")
    if not isinstance(since, (int, float)) or not 0 <= since < 1e15:
        raise ValueError(f"{name}: since_ms is no time")
    if not isinstance(weight, (int, float)) or not math.isfinite(weight) or weight <= 0:
        weight = 1.0
    address = ("", 0) if phase is interface.Phase.GONE else address_from(entry["address"], name)
    if address[0]:
        ipaddress.ip_address(address[0])  # guards against a look-up of a name, which would stop the loop
    server = interface.Server(
        name=name,
        phase=phase,
        zone=str(entry.get("zone", "")),
        cell=group if isinstance(group, int) else 0,
        started_ns=clock.from_unix_ms(int(since)),
        size=float(weight),
    )
    return Endpoint(server, address)


class Objects:
    """Cuts the stream into its JSON objects, each on a line of its own or indented over several."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._size = self._depth = 0

    def add(self, line: bytes) -> bytes | None:
        """Take in a line that is not empty; the object that it ends, or none.  Junk: ``ValueError``.

        Guards against an object that broke off swallowing all that follows it: no object holds a list of its
        own kind on one line, and the empty lines that come within 2 s are told by ``broken_off``.
        """
        bare = _STRING.sub(b"", line)
        turn = bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
        first = line.lstrip().startswith(b"{")
        if not first if not self._lines else first and turn == 0 and b'"endpoints"' in line:
            raise ValueError("a line that cannot be read")
        self._lines.append(line)
        self._size += len(line)
        self._depth += turn
        if self._size > LINE_BYTES:
            raise ValueError("a line is too long")
        if self._depth > 0:
            return None
        whole = b"\n".join(self._lines)
        self._lines, self._size, self._depth = [], 0, 0
        return whole

    def broken_off(self) -> bool:
        """Whether an object has begun and has not ended."""
        return bool(self._lines)


class State(Enum):
    """How far a watch has come; what its end then means."""

    DIALLING = "nobody is there: that costs nobody, and it is there again at any moment"
    SHORT = "this host was short of something: no sign of a crowd, and over at any moment"
    ASKED = "turned away, or ended in vain: a crowd, which goes only if fewer come"
    SILENT = "nothing has come: the agent is there and learns nothing, what it learns next counts as told"
    FOLLOWING = "served: what the agent has goes on counting as told"


class Watch:
    """Follows the list for as long as the gateway runs."""

    def __init__(
        self, address: Address, index: int, seed: int, told: Callable[[Change], None], gateways: int = 1
    ) -> None:
        """``index`` is the version already known; ``told`` gets every later change."""
        self._address = address
        self._index = index
        self._told = told
        self._rng = random.Random(seed)
        self._first_pause_s = max(FIRST_PAUSE_S, min(CALL_S * gateways, REFUSED_PAUSE_S))
        self._buffer = b""
        self._objects = Objects()
        self._state = State.DIALLING
        self._ended = self._answered = False
        self._why = ""  # there is no watch, as the operator was told last; none since one was opened
        self.settled = asyncio.Event()  # the first answer has been taken in, or the first call has failed

    async def run(self) -> None:
        """Keep a watch open, from the first moment on.

        Guards against a list that is not heard while it changes: what discovery has counts as told in time,
        whatever became of the calls before.
        """
        most = self._first_pause_s
        while True:
            why, self._state = "it ended", State.DIALLING
            try:
                await self._follow()
            except OSError as fault:
                why = describe_error(fault.errno) if fault.errno else str(fault) or type(fault).__name__
                if fault.errno in RESOURCE_SHORTAGE:
                    self._state = State.SHORT
            except (ValueError, httptools.HttpParserError) as fault:
                why = str(fault) or type(fault).__name__
            except Exception:
                # Guards against a fault that nobody thought of ending the watch for good, in silence.
                log.exception("discovery: the watch failed")
                why, self._index = "a fault", 0
            self.settled.set()
            if why != self._why:  # one line for each trouble, however long it lasts
                self._why = why
                log.info("discovery: watch to be reopened: %s", why)
            if self._state is State.ASKED:
                # Guards against a fleet that was turned away together jamming discovery for good: it has one
                # capacity for all, and works on calls that nobody waits for any more.  A pause of half the
                # bound at the least lets that work drain, which pauses from 0 up never did.
                delay, most = most * (0.5 + 0.5 * self._rng.random()), min(REFUSED_PAUSE_S, 2 * most)
            else:
                delay, most = REOPEN_PAUSE_S * (0.5 + self._rng.random()), self._first_pause_s
            await pause(delay)

    async def _follow(self) -> None:
        (host, port), time = self._address, asyncio.get_running_loop().time
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            self._state = State.ASKED
            target = f"/catalog/members?follow=1&since={self._index}"
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            self._buffer, self._objects, self._ended, self._answered = b"", Objects(), False, False
            parser = httptools.HttpResponseParser(self)
            asked_at = time()
            while not self._ended:
                data = await self._read(reader, self._patience_s(time() - asked_at))
                if not data:
                    return
                parser.feed_data(data)
                if parser.get_status_code() not in (0, 200):
                    raise ValueError(f"status {parser.get_status_code()}")
                if self._state is State.ASKED and parser.get_status_code() == 200:
                    self._state, self._why = State.FOLLOWING, ""
                    log.info("discovery: watching from version %d", self._index)
                self._take_lines()
        finally:
            writer.close()

    def _patience_s(self, waited_s: float) -> float:
        """Seconds to wait for further bytes, so many after the call was made."""
        if self._answered:
            return SILENCE_S
        begun = STALL_S if self._state is State.FOLLOWING else 0.0
        return max(begun, ANSWER_S - waited_s)

    async def _read(self, reader: asyncio.StreamReader, patience_s: float) -> bytes:
        """Guards against a discovery that falls silent with the connection open."""
        for seconds in (patience_s, LOOK_S):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    return await reader.read(65536)
        self._state = State.SILENT
        raise TimeoutError("it fell silent")

    def on_body(self, body: bytes) -> None:
        """Parser's callback: a part of the stream."""
        self._buffer += body

    def on_message_complete(self) -> None:
        """Parser's callback: the stream has ended."""
        self._ended = True

    def _take_lines(self) -> None:
        *lines, self._buffer = self._buffer.split(b"\n")
        if len(self._buffer) > LINE_BYTES:
            raise ValueError("a line is too long")
        for line in lines:
            try:
                self._take_line(line)
            except (ValueError, RecursionError) as fault:
                self._index = 0  # something is missed now: ask for the whole list
                raise ValueError(f"a line that cannot be read: {fault}") from None

    def _take_line(self, line: bytes) -> None:
        if line.strip():
            text = self._objects.add(line)
            if text is None:
                return
            change = change_from(json.loads(text))
            if not change.full and change.index < self._index:
                # Guards against a version that was far too high shutting out all later changes.
                raise ValueError("a change older than the list")
            self._index = change.index
            self._told(change)
        elif self._objects.broken_off():
            raise ValueError("it broke off")
        self._answered = True
        self.settled.set()
