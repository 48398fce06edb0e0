"""Connections to the servers, and the attempts that run on them.

``Backends`` knows the server list, keeps idle HTTP connections to each server for reuse and limits how many
connections are open.  ``Attempt`` is one try of a request on one server; a ``Connection`` carries one attempt
at a time.  Each attempt ends with exactly one status, which says whether the request may have run on the
server.  Nothing is sent twice here: whether to retry is decided elsewhere.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Iterable

from gingerworks import interface
from gingerworks.gateway import clock
from gingerworks.gateway.answer_memory import READ_BYTES, ReceivedAnswers
from gingerworks.gateway.answer_parser import Answer, AnswerParser, InvalidAnswer
from gingerworks.gateway.dial import Dial, DialError, DialFailure
from gingerworks.gateway.idle_limit import IMMEDIATE_RESET_NS, IdleLimitEstimator
from gingerworks.gateway.read_retry import retry_read, retry_read_later
from gingerworks.gateway.server_list import Change, Endpoint
from gingerworks.gateway.system_errors import (
    DESCRIPTOR_SHORTAGE,
    RESOURCE_SHORTAGE,
    RETRYABLE_ERRORS,
    describe_error,
)

# Servers close idle connections after a configured time at the latest.  The gateway closes them after this
# share of it.
IDLE_TIMEOUT_SHARE = 0.4
# An answer that has begun must be complete within this time: servers write an answer in one go.
ANSWER_STALL_S = 0.25
PEEK_BYTES = 64  # enough to tell a second answer from the rest of a body
DEFAULT_RECEIVED_BYTES = 16 << 20  # the memory for answers that are being received, if no limit is given
# A server may send a stray second answer some milliseconds after the first one.  A connection is reused only
# after this time, so that such an answer is seen and not taken for the answer to the next request.
MIN_IDLE_BEFORE_REUSE_NS = 20 * clock.NS_PER_MS

log = logging.getLogger(__name__)


class Attempt:
    """One attempt to run a request on one server; ``on_end`` is called once, unless it is abandoned."""

    def __init__(
        self,
        server: str,
        timeout_s: float,
        render: Callable[[int], bytes],
        may_start: Callable[[], bool],
        on_end: Callable[[Attempt, interface.Status, Answer | None], None],
    ) -> None:
        """Prepare an attempt.

        ``render`` returns the bytes to send, for the given number of nanoseconds left; ``may_start`` is asked
        before they are sent.
        """
        self.server = server
        self.render = render
        self.may_start = may_start
        self.on_end = on_end
        self.started_at_ns = clock.now()
        self.expires_at_ns = self.started_at_ns + int(timeout_s * clock.NS_PER_S)
        self.timer: asyncio.TimerHandle | None = None
        self.connection: Connection | None = None


class Connection:
    """One connection to a server; it carries one attempt at a time."""

    def __init__(self, backends: Backends, endpoint: Endpoint, attempt: Attempt) -> None:
        self.backends = backends
        self.endpoint = endpoint
        self.attempt: Attempt | None = attempt
        self.socket: socket.socket | None = None
        self.idle_since_ns = 0
        self.idle_duration_ns: int | None = None  # the idle time before this attempt; None for the first one
        self.unsent = b""  # the rest of the request, which the kernel has not accepted yet
        self.watching_writable = False
        self.parser: AnswerParser | None = None  # set while an attempt awaits its answer
        self.stall_timer: asyncio.TimerHandle | None = None
        self.dial: Dial | None = Dial(
            backends.loop,
            endpoint.address,
            backends.connect_timeout_s,
            self.on_connected,
            self.on_connect_failed,
        )  # raises DialError if it fails at once

    def on_connected(self, sock: socket.socket) -> None:
        """Send the request on the new connection, if the attempt may still start."""
        self.dial = None
        self.socket = sock
        assert self.attempt is not None
        try:
            self.backends.loop.add_reader(sock.fileno(), self.on_readable)
        except OSError as error:
            return self.backends.end_attempt(self, self.backends.send_failure_status(error))
        if not self.attempt.may_start():
            return self.backends.end_attempt(self, interface.Status.UNUSED)
        # While this was connecting, the server may have been drained, removed or restarted.  A busy event
        # loop may also notice a new connection later than the connect time-out allows.  A keyed request must
        # not be sent then: its repeat is safe only within the servers' deduplication window, and the policy
        # allows for no more than the connect time-out when it checks that.
        late = clock.now() - self.attempt.started_at_ns > self.backends.connect_timeout_s * clock.NS_PER_S
        if late or not self.backends.accepts_work(self.endpoint):
            return self.backends.end_attempt(self, interface.Status.DIAL_FAILED)
        return self.send_request()

    def on_connect_failed(self, error: DialError) -> None:
        """End the attempt, as the connection could not be established."""
        self.dial = None
        self.backends.end_attempt(
            self, self.backends.connect_failure_status(self.endpoint.server.name, error)
        )

    def send_request(self) -> None:
        """Begin to send the attempt's request."""
        attempt = self.attempt
        assert attempt is not None
        self.parser = self.backends.new_parser()
        self.unsent = attempt.render(attempt.expires_at_ns - clock.now())
        return self.on_writable()

    def on_writable(self) -> None:
        """Write as much of the request as the kernel accepts; a server may run it once all is written."""
        assert self.socket is not None
        try:
            self.unsent = self.unsent[self.socket.send(self.unsent) :]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            # A failed send(2) accepts no byte, so the request is incomplete at the server and never ran.
            # After a resource shortage, waiting for the socket to be writable would be a busy loop, as it
            # is writable all the time.
            return self.backends.end_attempt(self, self.backends.send_failure_status(error))
        if bool(self.unsent) != self.watching_writable:
            self.watching_writable = bool(self.unsent)
            if self.watching_writable:
                self.backends.loop.add_writer(self.socket.fileno(), self.on_writable)
            else:
                self.backends.loop.remove_writer(self.socket.fileno())
        return None

    def on_readable(self) -> None:
        """Read a part of the answer, or the end of the connection."""
        assert self.socket is not None
        if self.attempt is not None and not self.backends.received_answers.may_read(self):
            self.backends.loop.remove_reader(self.socket.fileno())
            return None
        try:
            data = self.socket.recv(READ_BYTES)
        except OSError as error:
            if error.errno in RESOURCE_SHORTAGE:
                return self._read_again_later()
            if error.errno in RETRYABLE_ERRORS:
                return None  # the connection still works; its data stays in the kernel
            return self._on_closed(ended=False)
        return self._on_data(data)

    def _on_data(self, data: bytes) -> None:
        """Parse a part of the answer; no data stands for the end of the connection."""
        if self.attempt is None:
            return self.backends.close_connection(self)  # closed by the server while idle, or a stray answer
        if not data:
            return self._on_closed(ended=True)
        if self.unsent:
            # Data that comes before the request is fully written belongs to an earlier request.  This one is
            # incomplete at the server and never ran.
            return self.backends.end_attempt(self, interface.Status.DIAL_FAILED)
        self.backends.received_answers.add(self, len(data))
        assert self.parser is not None
        try:
            self.parser.feed(data)
            if self.parser.complete:
                self.parser.feed(self._unread_bytes())
        except InvalidAnswer as error:
            return self._reject_answer(str(error))
        if self.parser.complete:
            return self._end_answered()
        if self.parser.begun and self.stall_timer is None:
            # The server may stop in the middle of an answer and leave the connection open.
            self.stall_timer = self.backends.loop.call_later(
                ANSWER_STALL_S, self._reject_answer, "the rest of the answer did not come"
            )
        return None

    def _unread_bytes(self) -> bytes:
        """The first bytes that have come and have not been read; empty if there are none."""
        assert self.socket is not None
        try:
            return self.socket.recv(PEEK_BYTES, socket.MSG_PEEK)
        except OSError:
            return b""

    def drop_answer(self) -> None:
        """Let go of the answer and of its parser."""
        if self.parser is not None:
            self.parser.stop()
            self.parser = None

    def resume_reading(self) -> None:
        """Watch the socket again, now that there is memory for the answer."""
        sock = self.socket
        if sock is not None:
            retry_read(self.backends.loop, sock, self.on_readable, lambda: self.socket is sock)

    def _read_again_later(self) -> None:
        sock = self.socket
        assert sock is not None
        retry_read_later(self.backends.loop, sock, self.on_readable, lambda: self.socket is sock)

    def _on_closed(self, ended: bool) -> None:
        """The connection is closed; an end, unlike a reset, completes an answer without framing."""
        if self.attempt is None:
            return self.backends.close_connection(self)
        if ended and self.parser is not None:
            self.parser.end_of_connection()
        if self.parser is not None and self.parser.complete:
            return self._end_answered()
        return self.backends.end_attempt(
            self, interface.Status.DIAL_FAILED if self.unsent else interface.Status.DROPPED
        )

    def _end_answered(self) -> None:
        """End the attempt, as its answer is complete."""
        assert self.parser is not None
        answer, keep_alive = self.parser.answer, self.parser.keep_alive
        self.backends.end_attempt(self, answer.attempt_status(), answer, keep_alive)

    def _reject_answer(self, why: str) -> None:
        log.info("server %s: answer rejected: %s", self.endpoint.server.name, why)
        self.backends.end_attempt(self, interface.Status.ERROR)


class Backends:
    """The server list, the attempts on servers, and the pools of idle connections to them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: interface.Settings,
        idle_timeout_ns: int,
        max_connections: int,
        max_received_bytes: int = DEFAULT_RECEIVED_BYTES,
    ) -> None:
        """Servers close idle connections after ``idle_timeout_ns`` at the latest.

        Answers that are being received take about ``max_received_bytes`` of memory at most.
        """
        self.received_answers = ReceivedAnswers(max_received_bytes)
        self.loop = loop
        self.connect_timeout_s = settings.limits.connect_timeout_ns / clock.NS_PER_S
        self._settings = settings
        self._max_idle_ns = int(IDLE_TIMEOUT_SHARE * idle_timeout_ns)
        self._max_connections = max_connections
        self._endpoints: dict[str, Endpoint] = {}
        self._idle: dict[str, list[Connection]] = {}
        self._open: set[Connection] = set()
        self._idle_timer: asyncio.TimerHandle | None = None
        self._idle_limit = IdleLimitEstimator()
        self._logged_shortage = ""  # the shortage logged last; empty again once a connection opens

    def update_servers(self, change: Change) -> None:
        """Apply a full list or a change of it, and close idle connections to processes that have ended."""
        if change.full:
            listed_names = {endpoint.server.name for endpoint in change.endpoints}
            for name in self._endpoints.keys() - listed_names:
                del self._endpoints[name]
                self.close_idle(name)
        for endpoint in change.endpoints:
            server = endpoint.server
            if server.phase is interface.Phase.GONE:
                self._endpoints.pop(server.name, None)
                self.close_idle(server.name)
                continue
            previous = self._endpoints.get(server.name)
            self._endpoints[server.name] = endpoint
            if previous is None or previous.process_identity != endpoint.process_identity:
                self.close_idle(server.name)

    def new_parser(self) -> AnswerParser:
        """A parser for the answer to one request."""
        return AnswerParser(self._settings)

    def gauges(self) -> dict[str, int]:
        """What is in use now, for the log."""
        return {"servers": len(self._endpoints), "server connections": len(self._open)}

    def servers(self) -> Iterable[interface.Server]:
        """The servers as discovery last listed them."""
        return [endpoint.server for endpoint in self._endpoints.values()]

    def accepts_work(self, endpoint: Endpoint) -> bool:
        """Whether this process is, as far as is known, still running and ready for new requests."""
        current = self._endpoints.get(endpoint.server.name)
        return (
            current is not None
            and current.server.phase is interface.Phase.READY
            and current.process_identity == endpoint.process_identity
        )

    def start(self, attempt: Attempt) -> None:
        """Start an attempt, on the most recently used idle connection or on a new one."""
        if not attempt.may_start():
            return attempt.on_end(attempt, interface.Status.UNUSED, None)
        endpoint = self._endpoints.get(attempt.server)
        if endpoint is None or endpoint.server.phase is not interface.Phase.READY:
            return attempt.on_end(attempt, interface.Status.DIAL_FAILED, None)
        try:
            connection = self._take_idle(attempt.server) or self._open_new(endpoint, attempt)
        except DialError as error:
            return attempt.on_end(attempt, self.connect_failure_status(attempt.server, error), None)
        attempt.connection, connection.attempt = connection, attempt
        time_left_s = (attempt.expires_at_ns - clock.now()) / clock.NS_PER_S
        attempt.timer = self.loop.call_later(max(0.0, time_left_s), self._on_timeout, attempt)
        if connection.socket is not None:
            connection.send_request()
        return None

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt by closing its connection."""
        if attempt.connection is not None:
            self.end_attempt(attempt.connection, interface.Status.CANCELLED)

    def abandon(self, attempt: Attempt) -> None:
        """Cancel an attempt without reporting its end."""
        attempt.on_end = _ignore
        self.cancel(attempt)

    def end_attempt(
        self,
        connection: Connection,
        status: interface.Status,
        answer: Answer | None = None,
        keep: bool = False,
    ) -> None:
        """End an attempt and report its status; ``keep`` tells whether its connection may be reused."""
        attempt, connection.attempt = connection.attempt, None
        assert attempt is not None
        self.received_answers.release(connection)
        connection.drop_answer()
        attempt.connection = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        if connection.stall_timer is not None:
            connection.stall_timer.cancel()
            connection.stall_timer = None
        if connection.idle_duration_ns is not None:
            immediate = clock.now() - attempt.started_at_ns < IMMEDIATE_RESET_NS
            self._idle_limit.record(
                connection.idle_duration_ns, status is interface.Status.DROPPED and immediate
            )
        if keep and self.accepts_work(connection.endpoint):
            self._keep_idle(connection)
        else:
            self.close_connection(connection)
        attempt.on_end(attempt, status, answer)

    def close_connection(self, connection: Connection) -> None:
        """Close a connection and forget it."""
        self.received_answers.release(connection)
        self._open.discard(connection)
        idle = self._idle.get(connection.endpoint.server.name, [])
        if connection in idle:
            idle.remove(connection)
        if connection.dial is not None:
            connection.dial.cancel()
            connection.dial = None
        if connection.stall_timer is not None:
            connection.stall_timer.cancel()
        if connection.socket is not None:
            self.loop.remove_reader(connection.socket.fileno())
            if connection.watching_writable:
                self.loop.remove_writer(connection.socket.fileno())
            connection.socket.close()
            connection.socket = None

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server, as they may be dead."""
        for connection in self._idle.pop(server, []):
            self.close_connection(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._open):
            self.close_connection(connection)
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def _on_timeout(self, attempt: Attempt) -> None:
        if attempt.connection is not None:
            never_ran = attempt.connection.socket is None or bool(attempt.connection.unsent)
            self.end_attempt(
                attempt.connection, interface.Status.DIAL_FAILED if never_ran else interface.Status.EXPIRED
            )
            self.close_idle(attempt.server)  # if the server's machine is down, these connections are dead too

    def _take_idle(self, server: str) -> Connection | None:
        now = clock.now()
        idle = self._idle.get(server, [])
        idle_limit_ns = min(self._max_idle_ns, self._idle_limit.idle_limit_ns() or self._max_idle_ns)
        # A stray second answer to the last request arrives within MIN_IDLE_BEFORE_REUSE_NS; the call of
        # recv() below finds it.
        for connection in [c for c in reversed(idle) if now - c.idle_since_ns >= MIN_IDLE_BEFORE_REUSE_NS]:
            idle.remove(connection)
            assert connection.socket is not None
            connection.idle_duration_ns = now - connection.idle_since_ns
            if connection.idle_duration_ns < idle_limit_ns:
                # The server may have closed or reset the connection, which the event loop has not seen yet.
                # An attempt sent on it would count as one that may have run.
                try:
                    connection.socket.recv(1, socket.MSG_PEEK)
                except BlockingIOError:
                    return connection
                except OSError:
                    pass
            self.close_connection(connection)
        return None

    def connect_failure_status(self, server: str, error: DialError) -> interface.Status:
        """The status of an attempt whose connection could not be established.

        A shortage on this host must not count against its servers: each of them would be avoided for seconds.
        """
        if error.failure is DialFailure.UNREACHABLE:
            log.info("server %s: cannot connect: %s", server, error)
            return interface.Status.DIAL_FAILED
        self._report_shortage(str(error), error.code)
        return interface.Status.UNUSED

    def send_failure_status(self, error: OSError) -> interface.Status:
        """The status of an attempt whose request could not be written completely, so that it never ran."""
        if error.errno not in RESOURCE_SHORTAGE:
            return interface.Status.DIAL_FAILED
        self._report_shortage(describe_error(error.errno), error.errno)
        return interface.Status.UNUSED

    def _report_shortage(self, text: str, code: int) -> None:
        """Log a shortage on this host once, and close an idle connection if that frees what is short.

        For any other shortage idle connections stay open, as new ones to their servers cannot be opened now.
        """
        if text != self._logged_shortage:
            self._logged_shortage = text
            log.warning("cannot connect to servers: %s", text)
        if code in DESCRIPTOR_SHORTAGE:
            self._close_longest_idle()

    def _open_new(self, endpoint: Endpoint, attempt: Attempt) -> Connection:
        if len(self._open) >= self._max_connections and not self._close_longest_idle():
            text = (
                f"all {self._max_connections} connections are in use; "
                "raise limits.sockets or run more gateways"
            )
            raise DialError(DialFailure.LOCAL, text)
        connection = Connection(self, endpoint, attempt)
        self._logged_shortage = ""
        self._open.add(connection)
        return connection

    def _keep_idle(self, connection: Connection) -> None:
        connection.idle_since_ns = clock.now()
        self._idle.setdefault(connection.endpoint.server.name, []).append(connection)
        if self._idle_timer is None:
            self._idle_timer = self.loop.call_later(
                self._max_idle_ns / clock.NS_PER_S, self._close_expired_idle
            )

    def _close_expired_idle(self) -> None:
        """Close connections that have been idle for too long, and reschedule while any is left."""
        self._idle_timer, now = None, clock.now()
        connections = [connection for idle in self._idle.values() for connection in idle]
        for connection in connections:
            if now - connection.idle_since_ns >= self._max_idle_ns:
                self.close_connection(connection)
        first_idle_since_ns = min(
            (c.idle_since_ns for c in connections if c.socket is not None), default=None
        )
        if first_idle_since_ns is not None:
            delay_ns = max(clock.NS_PER_MS, first_idle_since_ns + self._max_idle_ns - now)
            self._idle_timer = self.loop.call_later(delay_ns / clock.NS_PER_S, self._close_expired_idle)

    def _close_longest_idle(self) -> bool:
        longest_idle = min(
            (idle[0] for idle in self._idle.values() if idle), key=lambda c: c.idle_since_ns, default=None
        )
        if longest_idle is None:
            return False
        self.close_connection(longest_idle)
        return True


def _ignore(attempt: Attempt, status: interface.Status, answer: Answer | None) -> None:
    """Do nothing at the end of an abandoned attempt."""
