"""Connections to servers and the attempts on them: every ending becomes one outcome, nothing is resent."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Callable, Iterable

import httptools

from gingerworks import interface
from gingerworks.gateway import clock, number_parsing
from gingerworks.gateway.dial import Dial, DialError, DialFailure
from gingerworks.gateway.discovery import Change, Endpoint
from gingerworks.gateway.read_retry import retry_read_later
from gingerworks.gateway.staleness import AT_ONCE_NS, Staleness
from gingerworks.gateway.system_errors import (
    DESCRIPTOR_SHORTAGE,
    RESOURCE_SHORTAGE,
    RETRYABLE,
    describe_error,
)

IDLE_SHARE = 0.4  # of the time after which a server closes an idle connection at the latest
BODY_BYTES = 64 * 1024
ANSWER_BYTES = BODY_BYTES + 16 * 1024  # with the head and the framing
STALL_S = 0.25  # for the rest of an answer that has begun: servers write an answer in one go
INTERIM_MOST = 16  # answers 1xx ahead of the final one
SETTLE_NS = 20 * clock.NS_PER_MS  # before its next request: a second answer may come some milliseconds late
REPORT_BYTES = 1024
PROTOCOL, VERSIONS = b"HTTP/", ("1.1", "1.0")
PASSED_ON = (b"content-type", b"content-encoding")  # a client needs them to read the body
FRAMING = (b"content-length", b"transfer-encoding")  # an answer with neither ends with its connection

log = logging.getLogger(__name__)


class Attempt:
    """One attempt of a request; ``ended`` is told its status once, unless it is abandoned."""

    def __init__(
        self,
        server: str,
        seconds: float,
        render: Callable[[int], bytes],
        wanted: Callable[[], bool],
        ended: Callable[[Attempt, interface.Status, Answer | None], None],
    ) -> None:
        """``render`` gives the request for the nanoseconds left; ``wanted`` whether it may still go out."""
        self.server = server
        self.render = render
        self.may_start = wanted
        self.on_end = ended
        self.started_at_ns = clock.now()
        self.expires_at_ns = self.started_at_ns + int(seconds * clock.NS_PER_S)
        self.timer: asyncio.TimerHandle | None = None
        self.connection: Connection | None = None


class Unreadable(Exception):
    """An answer that cannot be what a server means; the text says why."""


class Answer:
    """A server's answer, filled in by the parser."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.billed: float | None = None
        self.report: tuple[tuple[str, float], ...] = ()
        self.unprocessed = False

    def attempt_status(self) -> interface.Status:
        """What it says of the attempt: only a marked refusal proves that it never ran."""
        if self.status == 200:
            return interface.Status.DELIVERED
        if self.status in (503, 504) and self.unprocessed:
            return interface.Status.SHED
        return interface.Status.ERROR


class Connection:
    """One connection to a server; it carries one attempt at a time."""

    def __init__(self, backends: Backends, endpoint: Endpoint, attempt: Attempt) -> None:
        self.backends = backends
        self.endpoint = endpoint
        self.attempt: Attempt | None = attempt
        self.socket: socket.socket | None = None
        self.idle_since_ns = 0
        self.idle_before_ns: int | None = None  # before the attempt, where it is not the first
        self.unsent = b""  # of the request, not yet handed to the kernel
        self.watching_writable = False
        self.answer = Answer()
        self.received_bytes = self.interim_answers = 0
        self.answer_started = self.answer_complete = self.keep_alive = self.has_framing = (
            self.ends_at_close
        ) = False
        self.stall_timer: asyncio.TimerHandle | None = None
        self.dial: Dial | None = Dial(
            backends.loop,
            endpoint.address,
            backends.connect_timeout_s,
            self.on_connected,
            self.on_connect_failed,
        )  # raises DialError where it fails at once

    def on_connected(self, sock: socket.socket) -> None:
        """It came up: the attempt begins, if it still may."""
        self.dial = None
        self.socket = sock
        assert self.attempt is not None
        try:
            self.backends.loop.add_reader(sock.fileno(), self.on_readable)
        except OSError as fault:
            return self.backends.end_attempt(self, self.backends.send_failure_status(fault))
        if not self.attempt.may_start():
            return self.backends.end_attempt(self, interface.Status.UNUSED)
        # Guards against new work for a server that drained, went or restarted while this was connecting, and
        # for one to which a busy loop saw it come up too late: a keyed request is allowed to come
        # within the time of a dial, which still lies in its window.
        late = clock.now() - self.attempt.started_at_ns > self.backends.connect_timeout_s * clock.NS_PER_S
        if late or not self.backends.accepts_work(self.endpoint):
            return self.backends.end_attempt(self, interface.Status.DIAL_FAILED)
        return self.send_request()

    def on_connect_failed(self, error: DialError) -> None:
        """It did not come up."""
        self.dial = None
        self.backends.end_attempt(
            self, self.backends.connect_failure_status(self.endpoint.server.name, error)
        )

    def send_request(self) -> None:
        """Send the attempt's request."""
        attempt = self.attempt
        assert attempt is not None
        self.parser = httptools.HttpResponseParser(self)
        self.answer, self.received_bytes, self.interim_answers = Answer(), 0, 0
        self.answer_started = self.answer_complete = self.ends_at_close = False
        self.unsent = attempt.render(attempt.expires_at_ns - clock.now())
        return self.on_writable()

    def on_writable(self) -> None:
        """Hand the request to the kernel; with its last byte it may run."""
        assert self.socket is not None
        try:
            self.unsent = self.unsent[self.socket.send(self.unsent) :]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as fault:
            # No byte of this call was taken, so the last one is not written: the request never ran (send(2)).
            # Where this host is short, waiting for the socket to be writable would spin: it is.
            return self.backends.end_attempt(self, self.backends.send_failure_status(fault))
        if bool(self.unsent) != self.watching_writable:
            self.watching_writable = bool(self.unsent)
            if self.watching_writable:
                self.backends.loop.add_writer(self.socket.fileno(), self.on_writable)
            else:
                self.backends.loop.remove_writer(self.socket.fileno())
        return None

    def on_readable(self) -> None:
        """Bytes of the answer, or the connection's end."""
        assert self.socket is not None
        try:
            data = self.socket.recv(65536)
        except OSError as fault:
            if fault.errno in RESOURCE_SHORTAGE:
                return self._read_again_later()
            if fault.errno in RETRYABLE:
                return None  # the connection lives, and what has come stays in the kernel
            data, self.ends_at_close = b"", False  # a reset is no end
        if self.attempt is None:
            return self.backends.close_connection(
                self
            )  # idle: closed by the server, or data nobody asked for
        if not data:
            return self._on_closed()
        if self.unsent:
            # Guards against what was left over on the connection being taken for this request's answer: it
            # came before the request was written whole, which therefore never ran.
            return self.backends.end_attempt(self, interface.Status.DIAL_FAILED)
        if not self.received_bytes and not data.startswith(PROTOCOL[: len(data)]):
            return self._reject_answer("not HTTP")  # the parser takes other protocols too
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as fault:
            self.keep_alive = False
            if not self.answer_complete:
                return self._reject_answer(str(fault.__context__ or fault))
        return self._end_if_complete()

    def _read_again_later(self) -> None:
        sock = self.socket
        assert sock is not None
        retry_read_later(self.backends.loop, sock, self.on_readable, lambda: self.socket is sock)

    def _on_closed(self) -> None:
        """The connection has ended: so has an answer that states no length, any other is cut."""
        if self.ends_at_close and not self.answer_complete:
            self.on_message_complete()
        if self.answer_complete:
            return self._end_if_complete()
        return self.backends.end_attempt(
            self, interface.Status.DIAL_FAILED if self.unsent else interface.Status.DROPPED
        )

    def _end_if_complete(self) -> None:
        """End the attempt if its answer has come whole, or never can."""
        if self.answer_complete:  # noise right behind a good answer does not cost it
            return self.backends.end_attempt(self, self.answer.attempt_status(), self.answer, self.keep_alive)
        if self.received_bytes > ANSWER_BYTES:
            return self._reject_answer("the answer is too long")
        if self.answer_started and self.stall_timer is None:
            # Guards against an answer that stops half way on a connection that stays open.
            self.stall_timer = self.backends.loop.call_later(
                STALL_S, self._reject_answer, "the answer stopped"
            )
        return None

    def _reject_answer(self, why: str) -> None:
        log.info("server %s: %s", self.endpoint.server.name, why)
        self.backends.end_attempt(self, interface.Status.ERROR)

    def on_message_begin(self) -> None:
        """Parser's callback."""
        if self.answer_complete:
            self.keep_alive = False  # more has come than belongs to the answer
            return
        self.answer_started, self.has_framing = True, False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser's callback."""
        # Guards, here and below, against bytes behind a whole answer altering it.
        if self.answer_complete:
            return
        name, value, answer = name.lower(), value.rstrip(number_parsing.OPTIONAL_WHITESPACE), self.answer
        self.has_framing = self.has_framing or name in FRAMING
        if name == b"content-length" and int(value) > BODY_BYTES:
            raise Unreadable(f"a body of {value.decode()} bytes")  # without waiting for it
        if name in PASSED_ON:
            answer.headers.append((name, value))
        elif name == b"x-unprocessed":
            answer.unprocessed = value == b"1"
        elif name == b"x-settled":
            answer.billed = self.backends.parse_units(value)
        elif name == b"x-backend-load":
            answer.report = self.backends.parse_report(value)

    def on_headers_complete(self) -> None:
        """Parser's callback."""
        if self.answer_complete:
            return
        if self.parser.get_http_version() not in VERSIONS:
            raise Unreadable("not HTTP/1")
        self.ends_at_close = not self.has_framing and self.parser.get_status_code() >= 200

    def on_body(self, body: bytes) -> None:
        """Parser's callback."""
        if not self.answer_complete:
            self.answer.body += body

    def on_message_complete(self) -> None:
        """Parser's callback; what comes before the final answer (1xx) is passed over."""
        if self.answer_complete:
            return
        self.answer_started = False
        self.answer.status = self.parser.get_status_code()
        if self.answer.status >= 200:
            self.answer_complete = True
            # Asked here only: after the callback the parser has forgotten the message and says no.
            self.keep_alive = self.parser.should_keep_alive()
        else:
            self.answer = Answer()
            self.interim_answers += 1
            if self.interim_answers > INTERIM_MOST:
                raise Unreadable("interim answers without end")


class Backends:
    """The servers' addresses and the pools of idle connections to them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: interface.Settings,
        idle_ns: int,
        budget: int,
    ) -> None:
        """At most ``budget`` connections are open at once."""
        self.loop = loop
        self.connect_timeout_s = settings.limits.connect_ns / clock.NS_PER_S
        self._settings = settings
        self._max_idle_ns = int(IDLE_SHARE * idle_ns)
        self._max_connections = budget
        self._endpoints: dict[str, Endpoint] = {}
        self._idle: dict[str, list[Connection]] = {}
        self._open: set[Connection] = set()
        self._idle_timer: asyncio.TimerHandle | None = None
        self._idle_limit = Staleness()
        self._logged_shortage = ""  # of which the operator was told last; none since a dial has begun

    def update_servers(self, change: Change) -> None:
        """Take in the list or a part of it; idle connections to processes that ended are dropped."""
        if change.full:
            listed = {endpoint.server.name for endpoint in change.endpoints}
            for name in self._endpoints.keys() - listed:
                del self._endpoints[name]
                self.close_idle(name)
        for endpoint in change.endpoints:
            server = endpoint.server
            if server.phase is interface.Phase.GONE:
                self._endpoints.pop(server.name, None)
                self.close_idle(server.name)
                continue
            before = self._endpoints.get(server.name)
            self._endpoints[server.name] = endpoint
            if before is None or _process(before) != _process(endpoint):
                self.close_idle(server.name)

    def servers(self) -> Iterable[interface.Server]:
        """The servers as last told."""
        return [endpoint.server for endpoint in self._endpoints.values()]

    def accepts_work(self, endpoint: Endpoint) -> bool:
        """Whether this process still runs and wants new work, as far as is known."""
        now = self._endpoints.get(endpoint.server.name)
        return (
            now is not None
            and now.server.phase is interface.Phase.READY
            and _process(now) == _process(endpoint)
        )

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt, on the most recently used idle connection or on a new one."""
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
        left = (attempt.expires_at_ns - clock.now()) / clock.NS_PER_S
        attempt.timer = self.loop.call_later(max(0.0, left), self._expired, attempt)
        if connection.socket is not None:
            connection.send_request()
        return None

    def cancel(self, attempt: Attempt) -> None:
        """Give up an attempt by closing its connection."""
        if attempt.connection is not None:
            self.end_attempt(attempt.connection, interface.Status.CANCELLED)

    def abandon(self, attempt: Attempt) -> None:
        """Give up an attempt whose end nobody wants to hear of."""
        attempt.on_end = _ignore
        self.cancel(attempt)

    def end_attempt(
        self,
        connection: Connection,
        status: interface.Status,
        answer: Answer | None = None,
        keep: bool = False,
    ) -> None:
        """An attempt has ended; its connection is kept only after a whole answer."""
        attempt, connection.attempt = connection.attempt, None
        assert attempt is not None
        attempt.connection = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        if connection.stall_timer is not None:
            connection.stall_timer.cancel()
            connection.stall_timer = None
        if connection.idle_before_ns is not None:
            at_once = clock.now() - attempt.started_at_ns < AT_ONCE_NS
            self._idle_limit.told(connection.idle_before_ns, status is interface.Status.DROPPED and at_once)
        if keep and self.accepts_work(connection.endpoint):
            self._keep_idle(connection)
        else:
            self.close_connection(connection)
        attempt.on_end(attempt, status, answer)

    def close_connection(self, connection: Connection) -> None:
        """Close a connection and forget it."""
        self._open.discard(connection)
        idle = self._idle.get(connection.endpoint.server.name, [])
        if connection in idle:
            idle.remove(connection)
        if connection.dial is not None:
            connection.dial.cancel()
        if connection.stall_timer is not None:
            connection.stall_timer.cancel()
        if connection.socket is not None:
            self.loop.remove_reader(connection.socket.fileno())
            if connection.watching_writable:
                self.loop.remove_writer(connection.socket.fileno())
            connection.socket.close()
            connection.socket = None

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server: they may lead to nobody."""
        for connection in self._idle.pop(server, []):
            self.close_connection(connection)

    def close(self) -> None:
        """Close all."""
        for connection in list(self._open):
            self.close_connection(connection)
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def parse_units(self, value: bytes) -> float | None:
        """True units as a server tells them; what cannot be true is no news."""
        units = number_parsing.parse_decimal(value)
        return units if units is not None and 0 < units <= self._settings.max_units else None

    def parse_report(self, value: bytes) -> tuple[tuple[str, float], ...]:
        """The fields of a load report that the settings name."""
        if len(value) > REPORT_BYTES:
            return ()
        try:
            report = json.loads(value)
        except (ValueError, RecursionError):  # the latter where it is nested deeply
            return ()
        if not isinstance(report, dict):
            return ()
        pairs = ((name, report.get(name)) for name in self._settings.report_names)
        return tuple(
            (name, float(n))
            for name, n in pairs
            if isinstance(n, (int, float)) and not isinstance(n, bool) and 0 <= n < 1e9
        )

    def _expired(self, attempt: Attempt) -> None:
        if attempt.connection is not None:
            never = attempt.connection.socket is None or bool(attempt.connection.unsent)
            self.end_attempt(
                attempt.connection, interface.Status.DIAL_FAILED if never else interface.Status.EXPIRED
            )
            self.close_idle(attempt.server)  # if the machine vanished, they are dead as well

    def _take_idle(self, server: str) -> Connection | None:
        now = clock.now()
        idle = self._idle.get(server, [])
        oldest = min(self._max_idle_ns, self._idle_limit.too_old_ns() or self._max_idle_ns)
        # Guards against a second copy right behind an answer being taken for the next request's: it has come
        # by the time that a connection has rested a little, and is seen below.
        for connection in [c for c in reversed(idle) if now - c.idle_since_ns >= SETTLE_NS]:
            idle.remove(connection)
            assert connection.socket is not None
            connection.idle_before_ns = now - connection.idle_since_ns
            if connection.idle_before_ns < oldest:
                # Guards against a close or reset that has come but was not read yet: the attempt would
                # count as one that may have run.
                try:
                    connection.socket.recv(1, socket.MSG_PEEK)
                except BlockingIOError:
                    return connection
                except OSError:
                    pass
            self.close_connection(connection)
        return None

    def connect_failure_status(self, server: str, error: DialError) -> interface.Status:
        """What an attempt came to whose connection did not come up.

        Guards against a shortage of this host being held against its servers, all of which would then be left
        out for seconds.
        """
        if error.failure is DialFailure.UNREACHABLE:
            log.info("server %s: no connection: %s", server, error)
            return interface.Status.DIAL_FAILED
        self._report_shortage(str(error), error.code)
        return interface.Status.UNUSED

    def send_failure_status(self, fault: OSError) -> interface.Status:
        """What an attempt came to whose request could not be written whole."""
        if fault.errno not in RESOURCE_SHORTAGE:
            return interface.Status.DIAL_FAILED
        self._report_shortage(describe_error(fault.errno), fault.errno)
        return interface.Status.UNUSED

    def _report_shortage(self, text: str, code: int) -> None:
        """This host is short of something: one line for each shortage, and room where a close makes some.

        An idle connection may be the only way left to its server, so none is closed that would free nothing.
        """
        if text != self._logged_shortage:
            self._logged_shortage = text
            log.warning("no connection to servers: %s", text)
        if code in DESCRIPTOR_SHORTAGE:
            self._close_oldest_idle()

    def _open_new(self, endpoint: Endpoint, attempt: Attempt) -> Connection:
        if len(self._open) >= self._max_connections and not self._close_oldest_idle():
            text = f"all {self._max_connections} are in use: raise limits.sockets, or run more gateways"
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
        """Close what has been idle for too long; comes again only while something is idle."""
        self._idle_timer, now = None, clock.now()
        resting = [connection for idle in self._idle.values() for connection in idle]
        for connection in resting:
            if now - connection.idle_since_ns >= self._max_idle_ns:
                self.close_connection(connection)
        oldest = min((c.idle_since_ns for c in resting if c.socket is not None), default=None)
        if oldest is not None:
            due = max(clock.NS_PER_MS, oldest + self._max_idle_ns - now)
            self._idle_timer = self.loop.call_later(due / clock.NS_PER_S, self._close_expired_idle)

    def _close_oldest_idle(self) -> bool:
        oldest = min(
            (idle[0] for idle in self._idle.values() if idle), key=lambda c: c.idle_since_ns, default=None
        )
        if oldest is None:
            return False
        self.close_connection(oldest)
        return True


def _process(endpoint: Endpoint) -> tuple[object, int]:
    return endpoint.address, endpoint.server.started_ns


def _ignore(attempt: Attempt, status: interface.Status, answer: Answer | None) -> None:
    """Nobody wants to hear of it."""
