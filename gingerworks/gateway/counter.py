"""The client of the shared counter: pipelines calls on one connection.

Each call is one line, ``bump NAME AMOUNT LIFETIME_MS``.  The counter answers in the order of the calls, by
``ok TOTAL``, ``busy`` or ``error``, so an answer belongs to the oldest call without one.  A call that has
timed out keeps its place in that order until its answer has come.

The connection is opened when a call needs it, and again, after a growing delay, if it is lost or cannot be
opened.  The result of each call says whether its amount was added, was not added, or may have been added.
"""

from __future__ import annotations

import asyncio
import logging
import random
import socket
from collections import deque
from collections.abc import Callable

from gingerworks import interface
from gingerworks.gateway import clock, number_parsing
from gingerworks.gateway.config import Address
from gingerworks.gateway.dial import Dial, DialError, DialFailure
from gingerworks.gateway.read_retry import retry_read_later
from gingerworks.gateway.system_errors import (
    RESOURCE_SHORTAGE,
    RETRYABLE_ERRORS,
    SHORTAGE_RETRY_DELAY_S,
    describe_error,
)

# A connection that was idle for longer than this is replaced before a call: the counter may be closing it.
MAX_IDLE_NS = 3 * clock.NS_PER_S
# If calls are in flight and no answer at all comes for this many times the time-out of one call, the counter
# is taken for unreachable, and the connection is closed.
SILENT_AFTER_WAITS = 2.0
CONNECT_TIMEOUT_S = 0.25  # an attempt to connect to the counter fails after this long
# The mean delay before connecting again after a failure; it doubles with each failure in a row, from the
# minimum to the maximum.  Each delay is spread at random around its mean.
MIN_RECONNECT_DELAY_NS = 50 * clock.NS_PER_MS
MAX_RECONNECT_DELAY_NS = clock.NS_PER_S
MAX_CALLS_IN_FLIGHT = 4096  # calls beyond this number are rejected without being sent
MAX_LINE_BYTES = 256  # the longest answer line that is accepted
MAX_LIFETIME_MS = 60_000  # the longest lifetime that a call may request for the count that it creates

log = logging.getLogger(__name__)


class Call:
    """One call; it keeps its place in the order of the answers after it has timed out."""

    __slots__ = ("action", "awaits_result", "line", "sent_bytes", "started_at_ns", "timer")

    def __init__(self, action: interface.Count, started_at_ns: int) -> None:
        self.action = action
        self.started_at_ns = started_at_ns  # when the policy made the call
        self.awaits_result = True  # the call's ``Counted`` event has not been reported yet
        lifetime_ms = min(MAX_LIFETIME_MS, max(1, action.ttl_ns // clock.NS_PER_MS))
        self.line = f"bump {action.name} {action.amount:.7f} {lifetime_ms}\r\n".encode()
        self.sent_bytes = 0  # bytes of the line that the kernel has accepted
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_fully_sent(self) -> bool:
        """Whether the counter may have received the whole line, and so may have added the amount."""
        return self.sent_bytes == len(self.line)


class CounterClient:
    """Carries out ``Count`` actions; every call gets exactly one ``Counted``, by ``on_result``."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        answer_timeout_ns: int,
        seed: int,
        on_result: Callable[[interface.Counted], None],
    ) -> None:
        """Calls time out after ``answer_timeout_ns``; the first call or ``connect`` opens the connection."""
        self._loop = loop
        self._address = address
        self._answer_timeout_s = answer_timeout_ns / clock.NS_PER_S
        self._on_result = on_result
        self._rng = random.Random(seed)
        self._socket: socket.socket | None = None
        self._dial: Dial | None = None
        self._calls: deque[Call] = deque()  # calls without an answer, in the order of their answers
        self._unsent: deque[Call] = deque()  # calls whose line is not fully sent yet
        self._input = b""
        self._last_used_at_ns = self._last_received_at_ns = 0
        self._reconnect_delay_ns = MIN_RECONNECT_DELAY_NS
        self._reconnect_at_ns = 0
        # Calls made before ``_reconnect_at_ns`` end with this status.
        self._status_until_reconnect = interface.Status.DIAL_FAILED
        self._logged_reason = ""  # the last logged reason why there is no connection
        self._flush_scheduled = self._awaits_writable = self._retired = self._has_received = False

    def connect(self) -> None:
        """Open the connection, unless it is open or being opened."""
        if self._socket is not None or self._dial is not None:
            return
        try:
            self._dial = Dial(
                self._loop, self._address, CONNECT_TIMEOUT_S, self._on_connected, self._on_connect_failed
            )
        except DialError as error:
            self._on_connect_failed(error)

    def call(self, action: interface.Count) -> None:
        """Make a call; the calls of one turn of the event loop are written together."""
        now = clock.now()
        call = Call(action, now)
        if self._socket is not None and not self._calls and now - self._last_used_at_ns > MAX_IDLE_NS:
            self._close()  # the counter may be closing the idle connection: the call would be lost in it
        if self._socket is None and self._dial is None:
            if now >= self._reconnect_at_ns:
                self.connect()
            if self._dial is None:
                return self._finish_call(call, self._status_until_reconnect)
        if len(self._calls) >= MAX_CALLS_IN_FLIGHT:
            return self._finish_call(call, interface.Status.SHED)
        call.timer = self._loop.call_later(self._answer_timeout_s, self._on_call_timeout, call)
        self._calls.append(call)
        self._unsent.append(call)
        if self._socket is not None and not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)
        return None

    def retire(self) -> None:
        """Close once all calls in flight have been answered or have timed out; no further calls are made."""
        self._retired = True
        self._close_if_retired_and_idle()

    def close(self) -> None:
        """Close the connection at once; calls in flight end when they time out."""
        self._close()

    def _close_if_retired_and_idle(self) -> None:
        # Each call is answered or times out, so the connection closes within the wait for a call.
        if self._retired and not any(call.awaits_result for call in self._calls):
            self._close()

    def _on_connected(self, sock: socket.socket) -> None:
        self._dial = None
        try:
            self._loop.add_reader(sock.fileno(), self._on_readable)
        except OSError as error:
            sock.close()
            return self._on_connect_failed(DialError.from_errno(DialFailure.LOCAL, error.errno or 0))
        self._socket = sock
        self._reconnect_delay_ns, self._logged_reason = MIN_RECONNECT_DELAY_NS, ""
        self._last_used_at_ns = clock.now()
        return self._flush()

    def _on_connect_failed(self, error: DialError) -> None:
        """Fail the waiting calls and delay the next attempt to connect.

        A failure of this host, such as a shortage of sockets, says nothing about the counter.  The delay does
        not grow with it then, and the calls end as never sent instead of as failed connections.
        """
        self._dial = None
        if str(error) != self._logged_reason:  # log each failure once, however often it repeats
            self._logged_reason = str(error)
            log.info("counter: cannot connect: %s", error)
        if error.failure is DialFailure.UNREACHABLE:
            return self._handle_connection_loss()
        self._delay_reconnect(MIN_RECONNECT_DELAY_NS, interface.Status.UNUSED)
        return self._close_and_finish_calls(interface.Status.UNUSED)

    def _flush(self) -> None:
        self._flush_scheduled = False
        if self._socket is None:
            return
        if not self._unsent:
            return self._set_awaits_writable(False)
        try:
            sent_bytes = self._socket.send(b"".join(call.line[call.sent_bytes :] for call in self._unsent))
        except (BlockingIOError, InterruptedError):
            sent_bytes = 0
        except OSError as error:
            if error.errno in RESOURCE_SHORTAGE:
                return self._retry_flush_later()
            log.info("counter: connection lost: %s", describe_error(error.errno or 0))
            return self._handle_connection_loss()
        self._last_used_at_ns = clock.now()
        self._count_sent_bytes(sent_bytes)
        return self._set_awaits_writable(bool(self._unsent))

    def _count_sent_bytes(self, size: int) -> None:
        """Note that the kernel has accepted this many of the unsent bytes."""
        while size:
            call = self._unsent[0]
            part = min(size, len(call.line) - call.sent_bytes)
            call.sent_bytes += part
            size -= part
            if call.is_fully_sent:
                self._unsent.popleft()

    def _retry_flush_later(self) -> None:
        """Write again after a pause, as this host has no buffer space for the data now.

        The socket counts as writable all the time, so waiting for that would call the writer again and again.
        The connection is kept: if it were closed, each call in flight might have been added or not.
        """
        self._set_awaits_writable(False)
        self._flush_scheduled = True
        self._loop.call_later(SHORTAGE_RETRY_DELAY_S, self._flush)

    def _set_awaits_writable(self, wanted: bool) -> None:
        if wanted == self._awaits_writable:
            return
        assert self._socket is not None
        self._awaits_writable = wanted
        if wanted:
            self._loop.add_writer(self._socket.fileno(), self._flush)
        else:
            self._loop.remove_writer(self._socket.fileno())

    def _on_readable(self) -> None:
        assert self._socket is not None
        try:
            data = self._socket.recv(65536)
        except OSError as error:
            if error.errno in RESOURCE_SHORTAGE:
                return self._retry_read_later()
            if error.errno in RETRYABLE_ERRORS:
                return None  # the connection is intact, and the data stays in the kernel
            data = b""
        if not data:
            return self._handle_connection_loss()
        self._last_used_at_ns = self._last_received_at_ns = clock.now()
        self._has_received = True
        *lines, self._input = (self._input + data).split(b"\n")
        for line in lines:
            if not self._handle_answer(line.strip()):
                log.warning("counter: invalid answer: %r", line[:80])
                return self._restart_after_bad_answer()
        if len(self._input) > MAX_LINE_BYTES:
            log.warning("counter: the answer line is too long")
            return self._restart_after_bad_answer()
        return self._close_if_retired_and_idle()

    def _retry_read_later(self) -> None:
        sock = self._socket
        assert sock is not None
        retry_read_later(self._loop, sock, self._on_readable, lambda: self._socket is sock)

    def _restart_after_bad_answer(self) -> None:
        """Replace the connection: which answer belongs to which call is unknown from here on.

        The counter has answered, so there is no delay.
        """
        self._handle_connection_loss()
        if not self._retired:
            self.connect()

    def _handle_answer(self, line: bytes) -> bool:
        """Take one line as the answer to the oldest call; false if it cannot be one."""
        if not self._calls or not self._calls[0].is_fully_sent:
            return False
        word, _, rest = line.partition(b" ")
        total = 0.0
        if word == b"ok":
            parsed = number_parsing.parse_signed(rest)
            if parsed is None:
                return False
            total, status = parsed, interface.Status.DELIVERED
        elif word in (b"busy", b"error") and not rest:
            status = interface.Status.SHED
        else:
            return False
        # A call that has timed out is still in the queue, so a late answer is not taken for the next call's.
        self._finish_call(self._calls.popleft(), status, total)
        return True

    def _on_call_timeout(self, call: Call) -> None:
        # A call that is reported as never added must not be sent, and added, later on.
        if not call.sent_bytes and call in self._unsent:
            self._unsent.remove(call)
            self._calls.remove(call)
        self._finish_call(call, interface.Status.EXPIRED if call.sent_bytes else interface.Status.DIAL_FAILED)
        # If the connection has gone silent, close it, or one call after the other would wait in vain.  If its
        # answers are only late, as from a busy counter, keep it: calls would be late on any connection.
        if self._socket is not None and self._calls and self._calls[0].is_fully_sent:
            silence_duration_ns = clock.now() - max(self._last_received_at_ns, self._calls[0].started_at_ns)
            if silence_duration_ns > SILENT_AFTER_WAITS * self._answer_timeout_s * clock.NS_PER_S:
                log.info("counter: no answers on the open connection; closing it")
                self._handle_connection_loss()
        self._close_if_retired_and_idle()

    def _finish_call(self, call: Call, status: interface.Status, total: float = 0.0) -> None:
        if not call.awaits_result:
            return
        call.awaits_result = False
        if call.timer is not None:
            call.timer.cancel()
        self._on_result(interface.Counted(call.action.name, status, total, clock.now() - call.started_at_ns))

    def _handle_connection_loss(self) -> None:
        """Close a connection that broke or could not be opened; a later call opens a new one."""
        # If it has brought answers, its end does not mean that the counter is unreachable: there is no delay.
        if not self._has_received:
            self._delay_reconnect(self._reconnect_delay_ns, interface.Status.DIAL_FAILED)
            self._reconnect_delay_ns = min(MAX_RECONNECT_DELAY_NS, 2 * self._reconnect_delay_ns)
        self._close_and_finish_calls(interface.Status.DIAL_FAILED)

    def _delay_reconnect(self, about_ns: int, status: interface.Status) -> None:
        """Connect again only after about this time; calls end with ``status`` until then."""
        self._reconnect_at_ns = clock.now() + int(about_ns * (0.5 + self._rng.random()))
        self._status_until_reconnect = status

    def _close_and_finish_calls(self, unsent_status: interface.Status) -> None:
        """Close the connection and end each call, with ``unsent_status`` if it was not fully sent."""
        calls = list(self._calls)
        self._close()
        for call in calls:
            self._finish_call(call, interface.Status.EXPIRED if call.is_fully_sent else unsent_status)

    def _close(self) -> None:
        if self._dial is not None:
            self._dial.cancel()
            self._dial = None
        if self._socket is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._loop.remove_writer(self._socket.fileno())
            self._socket.close()
            self._socket = None
        self._calls.clear()
        self._unsent.clear()
        self._input = b""
        self._awaits_writable = self._has_received = False
