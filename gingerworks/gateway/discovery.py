"""Watches discovery for the list of servers and its changes.

Discovery holds the answer to one HTTP request open and sends the list, or the changes of it, as a stream of
JSON objects; an empty line every 2 s shows that the stream is alive.  ``Watch`` keeps such a request open as
long as the gateway runs, and passes each version of the list on as a ``Change``.  How soon it tries again
after a failure depends on how far the request had come, see ``WatchState``.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import random
from collections.abc import Callable
from enum import Enum

import httptools

from gingerworks.gateway.config import Address
from gingerworks.gateway.server_list import MAX_LINE_BYTES, Change, JsonObjectReader, change_from
from gingerworks.gateway.system_errors import RESOURCE_SHORTAGE, describe_error

# A gateway must know each change of the list at most this long after it: the operators count any later use of
# the old list as the gateway's fault, whatever failed before.  So the waits below must fit into this time, at
# any number of gateways: either the silence of an open watch, the delay before it is reopened, a connection
# and the first line; or the delay after a refusal, a connection and the first line.
CHANGE_DEADLINE_S = 6.0
# An open watch on which nothing comes for this long is taken for broken: discovery sends an empty line every
# 2 s, so at least one is missing by then.
SILENCE_TIMEOUT_S = 2.9
# The longest wait from the request to the first line of the answer: an overloaded discovery takes about 2 s
# to refuse a request.
ANSWER_TIMEOUT_S = 2.3
# While the first line of an answer is incomplete, the gateway waits at least this long after the last bytes
# received.  It need not be longer, as the discovery agent writes that line in one go.
LINE_STALL_TIMEOUT_S = 0.5
# After a read has timed out, one more read with this time-out follows: an event loop that was delayed runs
# its timers before it reads data that had arrived in time.
FINAL_READ_S = 0.02
CONNECT_TIMEOUT_S = 0.5  # short, as the discovery agent runs on this machine
# This is the mean delay before a watch is opened again, unless it was refused.  It is short because the
# gateway is expected to know what the agent knows, and a draining server may have a grace period of only
# 0.25 s.
REOPEN_DELAY_S = 0.05
LOOP_DELAY_S = 0.1  # a busy event loop is assumed to add at most this delay
# After a refusal, the next request is delayed by at most this, to keep to ``CHANGE_DEADLINE_S``.
MAX_REFUSED_DELAY_S = CHANGE_DEADLINE_S - CONNECT_TIMEOUT_S - ANSWER_TIMEOUT_S - LOOP_DELAY_S
# The upper bound of the first delay after a refusal grows by this much with each gateway of the fleet.  It
# is each request's share of discovery's time, so all gateways together send about one request in it.
REFUSED_DELAY_PER_GATEWAY_S = 0.1
MIN_REFUSED_DELAY_BOUND_S = 0.4  # the upper bound of the first delay after a refusal is at least this
log = logging.getLogger(__name__)
pause = asyncio.sleep  # a name in this module, so that tests can replace it


class WatchState(Enum):
    """How far a request has come; decides how soon the next one follows its end."""

    CONNECTING = (
        "discovery is not reachable: trying again soon loads no one, and it may be back at any moment"
    )
    LOCAL_SHORTAGE = (
        "this host is short of a resource: discovery is not overloaded, and the shortage may soon be over"
    )
    AWAITING_ANSWER = "refused, or ended without an answer: discovery is overloaded, and needs fewer requests"
    TIMED_OUT = (
        "nothing was received in time: the agent runs, and what it learns next must be known here soon"
    )
    FOLLOWING = "served: the list must stay as recent as the agent's"


class Watch:
    """Watches the list as long as the gateway runs."""

    def __init__(
        self, address: Address, index: int, seed: int, on_change: Callable[[Change], None], gateways: int = 1
    ) -> None:
        """Watch from version ``index``, which is already known; ``on_change`` gets every later change.

        ``gateways`` is the size of the fleet, over which requests are spread after a refusal.
        """
        self._address = address
        self._index = index
        self._on_change = on_change
        self._rng = random.Random(seed)
        self._first_refused_delay_s = max(
            MIN_REFUSED_DELAY_BOUND_S, min(REFUSED_DELAY_PER_GATEWAY_S * gateways, MAX_REFUSED_DELAY_S)
        )
        self._buffer = b""
        self._objects = JsonObjectReader()
        self._state = WatchState.CONNECTING
        self._response_ended = self._line_received = False
        # The last logged reason why a request ended; empty once discovery has answered.
        self._logged_reason = ""
        self.first_attempt_done = asyncio.Event()  # the first line was processed, or the first request ended

    async def run(self) -> None:
        """Keep a request open, the first one at once, and never return.

        The gateway must know each change within ``CHANGE_DEADLINE_S``, whatever became of earlier requests.
        """
        bound = self._first_refused_delay_s
        while True:
            reason, self._state = "the stream ended", WatchState.CONNECTING
            try:
                await self._open_and_read()
            except OSError as error:
                reason = describe_error(error.errno) if error.errno else str(error) or type(error).__name__
                if error.errno in RESOURCE_SHORTAGE:
                    self._state = WatchState.LOCAL_SHORTAGE
            except (ValueError, httptools.HttpParserError) as error:
                reason = str(error) or type(error).__name__
            except Exception:
                # An unexpected error must not end the watch unnoticed; it goes on with the whole list.
                log.exception("discovery: unexpected error in the watch")
                reason, self._index = "an unexpected error", 0
            self.first_attempt_done.set()
            if reason != self._logged_reason:  # log each failure once, however often it repeats
                self._logged_reason = reason
                log.info("discovery: reopening the watch: %s", reason)
            if self._state is WatchState.AWAITING_ANSWER:
                # Gateways that were refused together could keep discovery overloaded for good: they share its
                # capacity, and it also works on requests that were given up.  A delay of at least half the
                # bound lets it finish those; delays from 0 up never did.
                delay, bound = bound * (0.5 + 0.5 * self._rng.random()), min(MAX_REFUSED_DELAY_S, 2 * bound)
            else:
                delay, bound = REOPEN_DELAY_S * (0.5 + self._rng.random()), self._first_refused_delay_s
            await pause(delay)

    async def _open_and_read(self) -> None:
        (host, port), time = self._address, asyncio.get_running_loop().time
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            self._state = WatchState.AWAITING_ANSWER
            target = f"/catalog/members?follow=1&since={self._index}"
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            self._buffer, self._objects, self._response_ended, self._line_received = (
                b"",
                JsonObjectReader(),
                False,
                False,
            )
            parser = httptools.HttpResponseParser(self)
            requested_at_s = time()
            while not self._response_ended:
                data = await self._read(reader, self._read_timeout_s(time() - requested_at_s))
                if not data:
                    return
                parser.feed_data(data)
                if parser.get_status_code() not in (0, 200):
                    raise ValueError(f"status {parser.get_status_code()}")
                if self._state is WatchState.AWAITING_ANSWER and parser.get_status_code() == 200:
                    self._state, self._logged_reason = WatchState.FOLLOWING, ""
                    log.info("discovery: watching from version %d", self._index)
                self._process_lines()
        finally:
            writer.close()

    def _read_timeout_s(self, waited_s: float) -> float:
        """How long to wait for further bytes, ``waited_s`` after the request was sent."""
        if self._line_received:
            return SILENCE_TIMEOUT_S
        stall_timeout_s = LINE_STALL_TIMEOUT_S if self._state is WatchState.FOLLOWING else 0.0
        return max(stall_timeout_s, ANSWER_TIMEOUT_S - waited_s)

    async def _read(self, reader: asyncio.StreamReader, timeout_s: float) -> bytes:
        """Read what comes within the time-out; raises ``TimeoutError`` if discovery stays silent."""
        for seconds in (timeout_s, FINAL_READ_S):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    return await reader.read(65536)
        self._state = WatchState.TIMED_OUT
        raise TimeoutError("nothing was received in time")

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a part of the stream."""
        self._buffer += body

    def on_message_complete(self) -> None:
        """Called by the parser at the end of the stream."""
        self._response_ended = True

    def _process_lines(self) -> None:
        *lines, self._buffer = self._buffer.split(b"\n")
        if len(self._buffer) > MAX_LINE_BYTES:
            raise ValueError("a line is too long")
        for line in lines:
            try:
                self._process_line(line)
            except (ValueError, RecursionError) as error:
                self._index = 0  # a change may have been missed: request the whole list
                raise ValueError(f"invalid line: {error}") from None

    def _process_line(self, line: bytes) -> None:
        if line.strip():
            text = self._objects.add_line(line)
            if text is None:
                return
            change = change_from(json.loads(text))
            if not change.full and change.index < self._index:
                # The version that is known here may be wrong and far too high, and would then rule out all
                # later changes.
                raise ValueError("the change is older than the list")
            self._index = change.index
            self._on_change(change)
        elif self._objects.is_incomplete():
            raise ValueError("a JSON object is incomplete")
        self._line_received = True
        self.first_attempt_done.set()
