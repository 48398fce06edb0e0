"""The clients' side: the listening socket, what their connections ask for, and the graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from gingerworks import interface
from gingerworks.gateway import clock
from gingerworks.gateway.client import ClientConnection
from gingerworks.gateway.client_table import ClientTable
from gingerworks.gateway.config import Address
from gingerworks.gateway.requests import Message, RequestRejected, RequestValidator
from gingerworks.gateway.runtime import Runtime
from gingerworks.gateway.shutdown import GracefulShutdown, ShutdownPhase
from gingerworks.gateway.system_errors import CONNECTION_NOT_ACCEPTED, RESOURCE_SHORTAGE, describe_error

HEALTH_PATH = b"/_health"
BACKLOG = 4096
READ_BUFFER_BYTES = 16 * 1024  # at a time, from one client
MAX_HELD_BODY_BYTES = 8 << 20  # of all requests that are read or held
ACCEPTS_PER_TURN = 64
ACCEPT_PAUSE_S = 0.02
TIMEOUT_CHECK_INTERVAL_S = 0.2  # between looks for clients that have been silent for too long
INCOMPLETE_REQUEST_WAIT_S = 0.5  # at shutdown: for clients to finish a request that they have begun to send

log = logging.getLogger(__name__)


class Frontend:
    """The listening socket and the clients' connections."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, runtime: Runtime, settings: interface.Settings, budget: int
    ) -> None:
        """At most ``budget`` connections are open at once; further ones wait until one has ended."""
        self.loop = loop
        self.runtime = runtime
        self.finished = asyncio.Event()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))  # shared: what is in it is parsed at once
        self._validator = RequestValidator(settings)
        self._held_body_bytes = 0
        self.clients = ClientTable(budget)
        self._timeout_check: asyncio.TimerHandle | None = None
        self._attaching: set[asyncio.Task[Any]] = set()
        self._listener: socket.socket | None = None
        self._listener_watched = False
        self.backlog_empty_at_ns = clock.now()
        self._last_accept_errno = (
            0  # the errno that the operator was told of last; none since one was accepted
        )
        self._shutdown = GracefulShutdown(settings.classes)
        self._reject_incomplete_timer: asyncio.TimerHandle | None = None

    def listen(self, address: Address) -> None:
        """Listen on this address only; who connects stays in the backlog until ``accept``."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
        self._listener = listener

    def start_accepting(self) -> None:
        """Begin to take in who connects."""
        self._watch_listener()

    @property
    def address(self) -> Address:
        """Where it listens."""
        assert self._listener is not None
        host, port = self._listener.getsockname()[:2]
        return host, port

    def _watch_listener(self) -> None:
        if self._listener is not None and not self._listener_watched:
            try:
                self.loop.add_reader(self._listener.fileno(), self._listener_readable)
            except OSError as fault:
                # Guards against a loop that is short for a moment never hearing of newcomers again.
                self._log_accept_error(fault.errno or 0)
                self.loop.call_later(ACCEPT_PAUSE_S, self._watch_listener)
                return
            self._listener_watched = True

    def _unwatch_listener(self) -> None:
        if self._listener is not None and self._listener_watched:
            self._listener_watched = False
            self.loop.remove_reader(self._listener.fileno())

    def _listener_readable(self) -> None:
        began = clock.now()
        if self._accept_batch():
            self.backlog_empty_at_ns = began

    def _accept_batch(self) -> bool:
        """Take in who waits, so many at once; whether nobody waits any more."""
        for _ in range(ACCEPTS_PER_TURN):
            if self._listener is None:
                return True
            if self.clients.full:
                return self._wait_for_room()
            try:
                sock, _peer = self._listener.accept()
            except BlockingIOError:
                return True
            except OSError as fault:
                if fault.errno in CONNECTION_NOT_ACCEPTED:
                    continue  # that connection is gone; others may wait behind it
                return self._accept_failed(fault.errno or 0)
            self._last_accept_errno = 0
            self._add_client(sock)
        return False

    def _accept_failed(self, code: int) -> bool:
        """Who waits stays in the backlog meanwhile; whether nobody does.

        Only a shortage is met by making room: any other fault of the listener is no client's.
        """
        self._log_accept_error(code)
        if code in RESOURCE_SHORTAGE:
            self.clients.make_room()
        self._pause_accepting()
        # accept(2) takes a descriptor before it looks whether anybody waits: the error does not tell.
        return not self._backlog_has_connections()

    def _log_accept_error(self, code: int) -> None:
        """One line for each trouble, however many times it is met."""
        if code != self._last_accept_errno:
            self._last_accept_errno = code
            log.warning("accept: %s", describe_error(code))

    def _backlog_has_connections(self) -> bool:
        assert self._listener is not None
        backlog = select.poll()
        backlog.register(self._listener, select.POLLIN)
        try:
            return bool(backlog.poll(0))
        except OSError:
            return True  # not known

    def _add_client(self, sock: socket.socket) -> None:
        _prepare(sock)
        client = ClientConnection(self, sock)
        self.clients.add(client)
        self._shutdown.connection_accepted(client.state_since_ns)
        if self._timeout_check is None:
            self._timeout_check = self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        self._attach(client, self.loop.connect_accepted_socket(lambda: client, sock))

    def _attach(self, client: ClientConnection, opening: Coroutine[Any, Any, Any]) -> None:
        task = self.loop.create_task(opening)
        self._attaching.add(task)

        def done(task: asyncio.Task[Any]) -> None:
            self._attaching.discard(task)
            if not task.cancelled() and task.exception() is not None:
                log.info("a connection ended at once: %s", task.exception())
                client.socket.close()
                self.connection_closed(client)

        task.add_done_callback(done)

    def _wait_for_room(self) -> bool:
        """Who waits stays in the backlog meanwhile; never nobody."""
        self.clients.make_room()
        self._pause_accepting()
        return False

    def _pause_accepting(self) -> None:
        self._unwatch_listener()  # until one has ended, or there may be one to close
        self.loop.call_later(ACCEPT_PAUSE_S, self._watch_listener)

    def _check_timeouts(self) -> None:
        self._timeout_check, now = None, clock.now()
        for client in list(self.clients.open):
            client.check_timeouts(now)
        if self.clients.open:
            self._timeout_check = self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    def request_started(self, client: ClientConnection) -> None:
        """A request is being handled there."""
        self.clients.request_started(client)

    def connection_idle(self, client: ClientConnection) -> None:
        """Nothing is held there."""
        self.clients.idle[client] = None

    def connection_closing(self, client: ClientConnection) -> None:
        """It was told the last that it will be told."""
        self.clients.closing[client] = None

    def connection_closed(self, client: ClientConnection) -> None:
        """The connection is no more."""
        self.clients.remove(client)
        if self.shutting_down:
            self._check_drained()
        if not self.clients.full:
            self._watch_listener()

    def submit_request(self, client: ClientConnection, message: Message) -> int | None:
        """Check a request and hand it over; none: it asked for our health."""
        if message.target == HEALTH_PATH:
            if message.method != b"GET":
                raise RequestRejected(405, "GET only")
            return None
        request = self._validator.validate(message)
        return self.runtime.submit(
            client, request, message.forwarded_head(), message.body, message.arrived_at_ns
        )

    def request_cancelled(self, number: int) -> None:
        """The client of a request that is not answered yet has gone."""
        self.runtime.cancel_request(number)

    def reserve_body_bytes(self, size: int) -> bool:
        """Count bytes of bodies that are held; false where that would be too many."""
        if size > 0 and self._held_body_bytes + size > MAX_HELD_BODY_BYTES:
            return False
        self._held_body_bytes += size
        return True

    @property
    def shutting_down(self) -> bool:
        """Whether the graceful shutdown has begun."""
        return self._shutdown.started

    def begin_shutdown(self) -> None:
        """Begin the graceful shutdown: take what still comes, answer all in time, then set ``finished``."""
        if self._shutdown.started:
            return
        now = clock.now()
        schedule = self._shutdown.start(now)
        self.runtime.begin_shutdown(schedule.answers_due_ns)
        self._watch_listener()  # whoever waits for a start that is not over has no later one to wait for
        self.clients.close_idle()
        self._call_after_ns(self._shutdown.accept_remaining_ns(now), self._close_listener)
        self._call_after_ns(schedule.answers_due_ns - now, self._answers_due)
        self._call_after_ns(schedule.exit_due_ns - now, self._finish)

    def _call_after_ns(self, delay_ns: int, callback: Callable[[], None]) -> None:
        self.loop.call_later(delay_ns / clock.NS_PER_S, callback)

    def _close_listener(self) -> None:
        """Close the listener once new connections have ceased and nobody waits in the backlog."""
        if self._listener is None:
            return
        wait_ns = self._shutdown.accept_remaining_ns(clock.now())
        if wait_ns:
            self._call_after_ns(wait_ns + clock.NS_PER_MS, self._close_listener)
            return
        if not self._accept_batch():
            # Guards against resetting those in the backlog that one turn, or a full table, does not take in.
            self.loop.call_later(ACCEPT_PAUSE_S, self._close_listener)
            return
        self._stop_listening()
        self._check_drained()

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._unwatch_listener()
            self._listener.close()
            self._listener = None
            self._shutdown.listener_closed()

    def connection_attached(self) -> None:
        """A connection that was accepted can be read now."""
        if self.shutting_down:
            self._check_drained()

    def keeps_reading(self) -> bool:
        """While ending: whether what a connection still holds is waited for."""
        return self._shutdown.keeps_reading(clock.now())

    def _check_drained(self) -> None:
        """Once the listener is closed: end as soon as nobody is left, and wait for nobody in vain."""
        if self._listener is not None:
            return
        self.clients.close_idle()
        if not self.clients.open:
            self._finish()
        elif self._reject_incomplete_timer is None and self.clients.no_request_pending():
            self._reject_incomplete_timer = self.loop.call_later(
                INCOMPLETE_REQUEST_WAIT_S, self._reject_incomplete
            )

    def _reject_incomplete(self) -> None:
        """Guards against a client that never ends its request; what it sends on meanwhile finds an answer."""
        self._reject_incomplete_timer = None
        self.clients.reject_incomplete()
        self._check_drained()

    def _answers_due(self) -> None:
        """Every request has its answer by now; what comes until the exit is refused as it is read."""
        if self._shutdown.phase is ShutdownPhase.FINISHED:
            return
        self._shutdown.answers_due()
        self.clients.reject_incomplete()
        self.clients.close_idle()
        self.loop.call_later(ACCEPT_PAUSE_S, self._answers_due)

    def _finish(self) -> None:
        self._stop_listening()
        self._shutdown.finish()
        self.finished.set()


def _prepare(sock: socket.socket) -> None:
    """Set an accepted socket's options, where the system lets us.

    Guards against losing a request that may lie in the socket already: its answer needs neither option.  The
    loop sets the first one itself as it attaches the connection; without the second a small answer may wait
    for the client's acknowledgement of the one before.
    """
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as fault:
        log.info("a client's socket: %s", describe_error(fault.errno or 0))
