"""Watches discovery for the list of servers and its changes.

Discovery holds the answer to one HTTP request open and sends the list, or the changes of it, as a stream of
JSON objects; an empty line every 2 s shows that the stream is alive.  A ``DiscoveryCall`` is one such
request.  ``Watch`` keeps a call open as long as the gateway runs, and passes each version of the list on as a
``Change``.  How soon it makes the next call after a failure depends on how far the call had come, see
``CallState``.

A call that is not answered in time stays open while others are made beside it, and the first one that is
answered is the one that is followed.  So a slow discovery is heard as soon as it answers, and a call that is
never answered holds up nothing.
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
# A call is overdue if its first line has not come after this time: an overloaded discovery takes about 2 s to
# refuse a request.
ANSWER_TIMEOUT_S = 2.3
# A call whose first line is incomplete is overdue at the earliest so long after the last bytes received.  It
# need not be longer, as the discovery agent writes that line in one go.
LINE_STALL_TIMEOUT_S = 0.5
# So many calls are open at most.  The newer ones are kept for the time in which a change must be known; the
# oldest one stays for discoveries that are slower than that.
MAX_OPEN_CALLS = 4
MAX_UNANSWERED_S = 60.0  # the oldest call makes room for a newer one after this time
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
READ_BYTES = 64 * 1024  # the most that one read takes

log = logging.getLogger(__name__)
pause = asyncio.sleep  # a name in this module, so that tests can replace it


class CallState(Enum):
    """How far a call has come; decides how soon the next one is made."""

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


class DiscoveryCall:
    """One request for the list, and the stream of changes that answers it."""

    def __init__(self, watch: Watch, known_index: int) -> None:
        """Ask for what has changed since the version ``known_index``."""
        self._watch = watch
        self._known_index = known_index
        self._buffer = b""
        self._objects = JsonObjectReader()
        self._response_ended = False
        self._started_at_s = asyncio.get_running_loop().time()
        self.state = CallState.CONNECTING
        self.answered = False  # a line of the answer has been processed
        self.overdue = False  # no line has been processed, and none came in time

    def age_s(self) -> float:
        """Seconds since the call was begun."""
        return asyncio.get_running_loop().time() - self._started_at_s

    async def run(self) -> str:
        """Make the call and follow its answer; returns the reason of its end."""
        try:
            await self._open_and_read()
        except OSError as error:
            if error.errno in RESOURCE_SHORTAGE:
                self.state = CallState.LOCAL_SHORTAGE
            elif isinstance(error, TimeoutError):
                self.state = CallState.TIMED_OUT
            return describe_error(error.errno) if error.errno else str(error) or type(error).__name__
        except (ValueError, httptools.HttpParserError) as error:
            return str(error) or type(error).__name__
        except Exception:
            # An unexpected error must not end the watch unnoticed; it goes on with the whole list.
            log.exception("discovery: unexpected error in the watch")
            self._watch.distrust_list(self)
            return "an unexpected error"
        return "the stream ended"

    async def _open_and_read(self) -> None:
        host, port = self._watch.address
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            self.state = CallState.AWAITING_ANSWER
            target = f"/catalog/members?follow=1&since={self._known_index}"
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            await self._read_answer(reader)
        finally:
            writer.close()

    async def _read_answer(self, reader: asyncio.StreamReader) -> None:
        parser = httptools.HttpResponseParser(self)
        time = asyncio.get_running_loop().time
        requested_at_s = time()
        while not self._response_ended:
            data = await self._read(reader, self._read_timeout_s(time() - requested_at_s))
            if not data:
                return
            parser.feed_data(data)
            if parser.get_status_code() not in (0, 200):
                raise ValueError(f"status {parser.get_status_code()}")
            if self.state is CallState.AWAITING_ANSWER and parser.get_status_code() == 200:
                self.state = CallState.FOLLOWING
                self._watch.on_answer_begun(self._known_index, time() - requested_at_s)
            self._process_lines()

    def _read_timeout_s(self, waited_s: float) -> float | None:
        """How long to wait for further bytes, ``waited_s`` after the request was sent; None is no limit."""
        if self.answered:
            return SILENCE_TIMEOUT_S
        if self.overdue:
            return None
        stall_timeout_s = LINE_STALL_TIMEOUT_S if self.state is CallState.FOLLOWING else 0.0
        return max(stall_timeout_s, ANSWER_TIMEOUT_S - waited_s)

    async def _read(self, reader: asyncio.StreamReader, timeout_s: float | None) -> bytes:
        """Read what comes; raises ``TimeoutError`` if an answered call falls silent.

        A call that has not been answered becomes overdue instead, and is waited for without a limit.
        """
        if timeout_s is None:
            return await reader.read(READ_BYTES)
        for seconds in (timeout_s, FINAL_READ_S):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    return await reader.read(READ_BYTES)
        if self.answered:
            raise TimeoutError("nothing was received in time")
        self.overdue = True
        self._watch.on_overdue()
        return await reader.read(READ_BYTES)  # raises if the wait ended by a time-out of the connection

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
                self._watch.distrust_list(self)  # a change may have been missed
                raise ValueError(f"invalid line: {error}") from None

    def _process_line(self, line: bytes) -> None:
        if line.strip():
            text = self._objects.add_line(line)
            if text is None:
                return
            self._watch.apply(change_from(json.loads(text)))
        elif self._objects.is_incomplete():
            raise ValueError("a JSON object is incomplete")
        if not self.answered:
            self.answered = True
            self._watch.on_answered(self)


class Watch:
    """Watches the list as long as the gateway runs."""

    def __init__(
        self, address: Address, index: int, seed: int, on_change: Callable[[Change], None], gateways: int = 1
    ) -> None:
        """Watch from version ``index``, which is already known; ``on_change`` gets every later change.

        ``gateways`` is the size of the fleet, over which requests are spread after a refusal.
        """
        self.address = address
        self._index = index
        self._on_change = on_change
        self._rng = random.Random(seed)
        self._first_refused_delay_s = max(
            MIN_REFUSED_DELAY_BOUND_S, min(REFUSED_DELAY_PER_GATEWAY_S * gateways, MAX_REFUSED_DELAY_S)
        )
        self._refused_delay_bound_s = self._first_refused_delay_s
        # The open calls, the newest last; all others are overdue.  Once one is answered, it is the only one.
        self._calls: dict[DiscoveryCall, asyncio.Task[None]] = {}
        self._needs_call = asyncio.Event()
        self._next_call_delay_s = 0.0
        # The last logged reason why a call was made; empty once discovery has answered.
        self._logged_reason = ""
        self.first_attempt_done = asyncio.Event()  # a call was answered, or the first one ended or is overdue

    async def run(self) -> None:
        """Keep a call open, the first one at once, and never return.

        The gateway must know each change within ``CHANGE_DEADLINE_S``, whatever became of earlier calls.
        """
        try:
            while True:
                self._needs_call.clear()
                if not any(call.answered for call in self._calls):
                    self._open_call()
                await self._needs_call.wait()
                await pause(self._next_call_delay_s)
        finally:
            for task in self._calls.values():
                task.cancel()

    def _open_call(self) -> None:
        """Make a call, beside those that are overdue."""
        if len(self._calls) >= MAX_OPEN_CALLS:
            oldest, second, *_ = self._calls
            self._give_up(oldest if oldest.age_s() > MAX_UNANSWERED_S else second)
        call = DiscoveryCall(self, self._index)
        self._calls[call] = asyncio.get_running_loop().create_task(self._run_call(call))

    async def _run_call(self, call: DiscoveryCall) -> None:
        reason = await call.run()
        self.first_attempt_done.set()
        self._log_reason(reason)
        is_newest = next(reversed(self._calls)) is call
        del self._calls[call]
        if is_newest:
            self._request_call(call.state)

    def _give_up(self, call: DiscoveryCall) -> None:
        self._calls.pop(call).cancel()

    def _give_up_all_but(self, kept: DiscoveryCall) -> None:
        for call in [call for call in self._calls if call is not kept]:
            self._give_up(call)

    def _request_call(self, state: CallState) -> None:
        """Have another call made soon, after one that came to this state."""
        if state is CallState.AWAITING_ANSWER:
            # Gateways that were refused together could keep discovery overloaded for good: they share its
            # capacity, and it also works on requests that were given up.  A delay of at least half the bound
            # lets it finish those; delays from 0 up never did.
            bound_s = self._refused_delay_bound_s
            self._next_call_delay_s = bound_s * (0.5 + 0.5 * self._rng.random())
            self._refused_delay_bound_s = min(MAX_REFUSED_DELAY_S, 2 * bound_s)
        else:
            self._next_call_delay_s = REOPEN_DELAY_S * (0.5 + self._rng.random())
            self._refused_delay_bound_s = self._first_refused_delay_s
        self._needs_call.set()

    def _log_reason(self, reason: str) -> None:
        """Log why a call is made; each reason once, however often it repeats."""
        if reason != self._logged_reason:
            self._logged_reason = reason
            log.info("discovery: reopening the watch: %s", reason)

    def on_overdue(self) -> None:
        """The newest call is not answered in time: another one is made beside it."""
        self.first_attempt_done.set()
        self._log_reason(f"no answer in {ANSWER_TIMEOUT_S} s; the call stays open")
        self._request_call(CallState.TIMED_OUT)

    def on_answer_begun(self, known_index: int, waited_s: float) -> None:
        """Discovery has begun to answer a call."""
        self._logged_reason = ""
        log.info("discovery: watching from version %d, answered after %.2f s", known_index, waited_s)

    def on_answered(self, call: DiscoveryCall) -> None:
        """The first line of a call's answer has come: only this call is followed."""
        self._give_up_all_but(call)
        self.first_attempt_done.set()

    def apply(self, change: Change) -> None:
        """Pass a change on; raises ``ValueError`` if it is older than the list that is known."""
        if not change.full and change.index < self._index:
            # The version that is known here may be wrong and far too high, and would then rule out all later
            # changes.
            raise ValueError("the change is older than the list")
        self._index = change.index
        self._on_change(change)

    def distrust_list(self, call: DiscoveryCall) -> None:
        """The list may lack a change: the next call requests all of it.

        The other open calls are given up, as they request what changed since the version known so far.
        """
        self._index = 0
        self._give_up_all_but(call)
