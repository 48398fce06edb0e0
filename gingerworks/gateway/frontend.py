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
from gingerworks.gateway.requests import Checks, Message, Refusal
from gingerworks.gateway.runtime import Runtime
from gingerworks.gateway.shutdown import GracefulShutdown, ShutdownPhase
from gingerworks.gateway.system_errors import CONNECTION_NOT_ACCEPTED, RESOURCE_SHORTAGE, describe_error

HEALTH = b"/_health"
BACKLOG = 4096
READ_BYTES = 16 * 1024  # at a time, from one client
BODIES_BYTES = 8 << 20  # of all requests that are read or held
ACCEPT_AT_ONCE = 64
ACCEPT_PAUSE_S = 0.02
CHECK_S = 0.2  # between looks for clients that have been silent for too long
UNFINISHED_S = 0.5  # at shutdown: for clients to finish a request that they have begun to send

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
        self.buffer = memoryview(bytearray(READ_BYTES))  # shared: what is in it is parsed at once
        self._checks = Checks(settings)
        self._stored = 0
        self.clients = ClientTable(budget)
        self._check: asyncio.TimerHandle | None = None
        self._accepting: set[asyncio.Task[Any]] = set()
        self._listener: socket.socket | None = None
        self._reading = False
        self.backlog_empty_at = clock.now()
        self._accept_fault = 0  # the errno that the operator was told of last; none since one was accepted
        self._shutdown = GracefulShutdown(settings.classes)
        self._refuse_unfinished: asyncio.TimerHandle | None = None

    def listen(self, address: Address) -> None:
        """Listen on this address only; who connects stays in the backlog until ``accept``."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
        self._listener = listener

    def accept(self) -> None:
        """Begin to take in who connects."""
        self._resume()

    @property
    def address(self) -> Address:
        """Where it listens."""
        assert self._listener is not None
        host, port = self._listener.getsockname()[:2]
        return host, port

    def _resume(self) -> None:
        if self._listener is not None and not self._reading:
            try:
                self.loop.add_reader(self._listener.fileno(), self._acceptable)
            except OSError as fault:
                # Guards against a loop that is short for a moment never hearing of newcomers again.
                self._tell_accept_fault(fault.errno or 0)
                self.loop.call_later(ACCEPT_PAUSE_S, self._resume)
                return
            self._reading = True

    def _pause(self) -> None:
        if self._listener is not None and self._reading:
            self._reading = False
            self.loop.remove_reader(self._listener.fileno())

    def _acceptable(self) -> None:
        began = clock.now()
        if self._accept():
            self.backlog_empty_at = began

    def _accept(self) -> bool:
        """Take in who waits, so many at once; whether nobody waits any more."""
        for _ in range(ACCEPT_AT_ONCE):
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
                return self._cannot_accept(fault.errno or 0)
            self._accept_fault = 0
            self._begin(sock)
        return False

    def _cannot_accept(self, code: int) -> bool:
        """Who waits stays in the backlog meanwhile; whether nobody does.

        Only a shortage is met by making room: any other fault of the listener is no client's.
        """
        self._tell_accept_fault(code)
        if code in RESOURCE_SHORTAGE:
            self.clients.make_room()
        self._pause_accepting()
        # accept(2) takes a descriptor before it looks whether anybody waits: the error does not tell.
        return not self._somebody_waits()

    def _tell_accept_fault(self, code: int) -> None:
        """One line for each trouble, however many times it is met."""
        if code != self._accept_fault:
            self._accept_fault = code
            log.warning("accept: %s", describe_error(code))

    def _somebody_waits(self) -> bool:
        assert self._listener is not None
        backlog = select.poll()
        backlog.register(self._listener, select.POLLIN)
        try:
            return bool(backlog.poll(0))
        except OSError:
            return True  # not known

    def _begin(self, sock: socket.socket) -> None:
        _prepare(sock)
        client = ClientConnection(self, sock)
        self.clients.add(client)
        self._shutdown.accepted(client.since)
        if self._check is None:
            self._check = self.loop.call_later(CHECK_S, self._check_times)
        self._start(client, self.loop.connect_accepted_socket(lambda: client, sock))

    def _start(self, client: ClientConnection, opening: Coroutine[Any, Any, Any]) -> None:
        task = self.loop.create_task(opening)
        self._accepting.add(task)

        def done(task: asyncio.Task[Any]) -> None:
            self._accepting.discard(task)
            if not task.cancelled() and task.exception() is not None:
                log.info("a connection ended at once: %s", task.exception())
                client.socket.close()
                self.forget(client)

        task.add_done_callback(done)

    def _wait_for_room(self) -> bool:
        """Who waits stays in the backlog meanwhile; never nobody."""
        self.clients.make_room()
        self._pause_accepting()
        return False

    def _pause_accepting(self) -> None:
        self._pause()  # until one has ended, or there may be one to close
        self.loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _check_times(self) -> None:
        self._check, now = None, clock.now()
        for client in list(self.clients.open):
            client.check_time(now)
        if self.clients.open:
            self._check = self.loop.call_later(CHECK_S, self._check_times)

    def busy(self, client: ClientConnection) -> None:
        """A request is being handled there."""
        self.clients.busy(client)

    def rest(self, client: ClientConnection) -> None:
        """Nothing is held there."""
        self.clients.idle[client] = None

    def leave(self, client: ClientConnection) -> None:
        """It was told the last that it will be told."""
        self.clients.leaving[client] = None

    def forget(self, client: ClientConnection) -> None:
        """The connection is no more."""
        self.clients.forget(client)
        if self.ending:
            self._check_end()
        if not self.clients.full:
            self._resume()

    def take(self, client: ClientConnection, message: Message) -> int | None:
        """Check a request and hand it over; none: it asked for our health."""
        if message.target == HEALTH:
            if message.method != b"GET":
                raise Refusal(405, "GET only")
            return None
        request = self._checks.request(message)
        return self.runtime.submit(client, request, message.head(), message.body, message.arrived_at)

    def cancelled(self, number: int) -> None:
        """The client of a request that is not answered yet has gone."""
        self.runtime.cancel_request(number)

    def store(self, size: int) -> bool:
        """Count bytes of bodies that are held; false where that would be too many."""
        if size > 0 and self._stored + size > BODIES_BYTES:
            return False
        self._stored += size
        return True

    @property
    def ending(self) -> bool:
        """Whether the graceful shutdown has begun."""
        return self._shutdown.started

    def end(self) -> None:
        """Begin the graceful shutdown: take what still comes, answer all in time, then set ``finished``."""
        if self._shutdown.started:
            return
        now = clock.now()
        schedule = self._shutdown.start(now)
        self.runtime.begin_shutdown(schedule.answers_due_ns)
        self._resume()  # whoever waits for a start that is not over has no later one to wait for
        self.clients.close_idle()
        self._after(self._shutdown.accepts_for_ns(now), self._close_listener)
        self._after(schedule.answers_due_ns - now, self._answers_due)
        self._after(schedule.exit_due_ns - now, self._finish)

    def _after(self, delay_ns: int, callback: Callable[[], None]) -> None:
        self.loop.call_later(delay_ns / clock.NS_PER_S, callback)

    def _close_listener(self) -> None:
        """Close the listener once new connections have ceased and nobody waits in the backlog."""
        if self._listener is None:
            return
        wait_ns = self._shutdown.accepts_for_ns(clock.now())
        if wait_ns:
            self._after(wait_ns + clock.NS_PER_MS, self._close_listener)
            return
        if not self._accept():
            # Guards against resetting those in the backlog that one turn, or a full table, does not take in.
            self.loop.call_later(ACCEPT_PAUSE_S, self._close_listener)
            return
        self._stop_listening()
        self._check_end()

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._pause()
            self._listener.close()
            self._listener = None
            self._shutdown.listener_closed()

    def attached(self) -> None:
        """A connection that was accepted can be read now."""
        if self.ending:
            self._check_end()

    def reads_on(self) -> bool:
        """While ending: whether what a connection still holds is waited for."""
        return self._shutdown.reads_on(clock.now())

    def _check_end(self) -> None:
        """Once the listener is closed: end as soon as nobody is left, and wait for nobody in vain."""
        if self._listener is not None:
            return
        self.clients.close_idle()
        if not self.clients.open:
            self._finish()
        elif self._refuse_unfinished is None and self.clients.serves_none():
            self._refuse_unfinished = self.loop.call_later(UNFINISHED_S, self._refuse_half_read)

    def _refuse_half_read(self) -> None:
        """Guards against a client that never ends its request; what it sends on meanwhile finds an answer."""
        self._refuse_unfinished = None
        self.clients.refuse_unfinished()
        self._check_end()

    def _answers_due(self) -> None:
        """Every request has its answer by now; what comes until the exit is refused as it is read."""
        if self._shutdown.phase is ShutdownPhase.FINISHED:
            return
        self._shutdown.answers_due()
        self.clients.refuse_unfinished()
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
