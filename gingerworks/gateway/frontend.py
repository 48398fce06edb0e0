"""The client side of the gateway: the listening socket, the client connections and the graceful shutdown.

``Frontend`` accepts connections, up to a budget, and owns them: each ``ClientConnection`` reads and answers
HTTP, and calls back here with its requests and its changes of state.  Requests are validated and passed to
the runtime, which sends each final answer to the connection.  With the budget used up, or out of descriptors,
it closes connections that matter least (``ClientTable.make_room``) and leaves new connections in the listen
backlog meanwhile.  On SIGTERM it goes on accepting for a while, answers every request that arrives, and sets
``finished`` once no connection is left or the time until SIGKILL has run out (see ``shutdown.py``).
"""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from gingerworks import interface
from gingerworks.gateway import clock
from gingerworks.gateway.answer_memory import UnsentAnswers
from gingerworks.gateway.client import ClientConnection
from gingerworks.gateway.client_table import ClientTable
from gingerworks.gateway.config import Address
from gingerworks.gateway.diagnostics import Diagnostics
from gingerworks.gateway.held_input import HeldInput
from gingerworks.gateway.memory_budget import MemoryBudget
from gingerworks.gateway.recent_ids import RecentIds
from gingerworks.gateway.requests import Message, RequestRejected, RequestValidator
from gingerworks.gateway.runtime import Runtime
from gingerworks.gateway.shutdown import GracefulShutdown, ShutdownPhase
from gingerworks.gateway.system_errors import CONNECTION_NOT_ACCEPTED, RESOURCE_SHORTAGE, describe_error

HEALTH_PATH = b"/_health"  # the gateway answers a GET of this path itself
BACKLOG = 4096  # the most connections that the kernel queues before they are accepted
READ_BUFFER_BYTES = 16 * 1024  # the most that one read takes from one client
ACCEPTS_PER_TURN = 64  # the most connections accepted in one turn of the event loop
ACCEPT_PAUSE_S = 0.02  # how long accepting pauses when there is no room, or after an error
CONNECTIONS_PER_TURN = 16  # so many connections go on with their input in one turn of the event loop
TIMEOUT_CHECK_INTERVAL_S = 0.2  # how often the timeouts of all clients are checked
# During a shutdown, clients have this long to complete a request that they have begun.
INCOMPLETE_REQUEST_WAIT_S = 0.5

log = logging.getLogger(__name__)


class Frontend:
    """The listening socket and the client connections; see the module's description."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        runtime: Runtime,
        settings: interface.Settings,
        budget: int,
        memory: MemoryBudget,
        recent_ids: RecentIds,
        diagnostics: Diagnostics,
    ) -> None:
        """At most ``budget`` client connections are open at once; further ones wait in the backlog."""
        self.diagnostics = diagnostics
        self.loop = loop
        self.runtime = runtime
        self.finished = asyncio.Event()
        # Shared by all connections: each read is parsed before the next one.
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self._validator = RequestValidator(settings)
        self._recent_ids = recent_ids
        self.clients = ClientTable(budget, diagnostics)
        self.held_input = HeldInput(memory.input_bytes)
        self.unsent_answers = UnsentAnswers(memory.unsent_bytes)
        self._to_process: deque[ClientConnection] = deque()  # connections with input to go on with
        self._processing_scheduled = False
        self._timeout_check: asyncio.TimerHandle | None = None  # set while a connection is open
        self._attaching: set[asyncio.Task[Any]] = set()  # keeps these tasks from garbage collection
        self._listener: socket.socket | None = None
        self._listener_watched = False
        self.backlog_empty_at_ns = clock.now()  # data of a newly accepted connection came after this time
        self._last_accept_errno = 0  # the error logged last; 0 again after a successful accept
        self._shutdown = GracefulShutdown(settings.classes)
        self._reject_incomplete_timer: asyncio.TimerHandle | None = None

    def listen(self, address: Address) -> None:
        """Listen on this address; connections stay in the backlog until ``start_accepting``."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
        self._listener = listener

    def start_accepting(self) -> None:
        """Begin to accept connections."""
        self._watch_listener()

    @property
    def address(self) -> Address:
        """The address that the gateway listens on, with the port that the kernel chose for port 0."""
        assert self._listener is not None
        host, port = self._listener.getsockname()[:2]
        return host, port

    def _watch_listener(self) -> None:
        if self._listener is not None and not self._listener_watched:
            try:
                self.loop.add_reader(self._listener.fileno(), self._listener_readable)
            except OSError as error:
                # Most likely a passing shortage; without a retry nothing would ever be accepted again.
                self._log_accept_error(error.errno or 0)
                self.loop.call_later(ACCEPT_PAUSE_S, self._watch_listener)
                return
            self._listener_watched = True

    def _unwatch_listener(self) -> None:
        if self._listener is not None and self._listener_watched:
            self._listener_watched = False
            self.loop.remove_reader(self._listener.fileno())

    def _listener_readable(self) -> None:
        accept_began_at_ns = clock.now()
        if self._accept_batch():
            self.backlog_empty_at_ns = accept_began_at_ns

    def _accept_batch(self) -> bool:
        """Accept up to ``ACCEPTS_PER_TURN`` connections; returns whether the backlog is empty."""
        for _ in range(ACCEPTS_PER_TURN):
            if self._listener is None:
                return True
            if self.clients.full:
                return self._wait_for_room()
            try:
                sock, _peer = self._listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in CONNECTION_NOT_ACCEPTED:
                    continue  # only this connection has failed; others may wait in the backlog
                return self._accept_failed(error.errno or 0)
            self._last_accept_errno = 0
            self._add_client(sock)
        return False

    def _accept_failed(self, code: int) -> bool:
        """Pause accepting after an error of the listener; returns whether the backlog is empty.

        Clients are closed only for a shortage of descriptors or memory: closing them helps with no other
        error.
        """
        self._log_accept_error(code)
        if code in RESOURCE_SHORTAGE:
            self.clients.make_room()
        self._pause_accepting()
        # accept(2) allocates a descriptor before it looks at the backlog, so this error doesn't show whether
        # a connection waits there.
        return not self._backlog_has_connections()

    def _log_accept_error(self, code: int) -> None:
        """Log an error once, not with each retry."""
        if code != self._last_accept_errno:
            self._last_accept_errno = code
            log.warning("accept: %s", describe_error(code))

    def _backlog_has_connections(self) -> bool:
        assert self._listener is not None
        poller = select.poll()
        poller.register(self._listener, select.POLLIN)
        try:
            return bool(poller.poll(0))
        except OSError:
            return True  # unknown for the moment: assume that a connection waits

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
                log.info("could not attach an accepted connection to the event loop: %s", task.exception())
                client.socket.close()
                self.connection_closed(client)

        task.add_done_callback(done)

    def _wait_for_room(self) -> bool:
        """Make room and pause accepting; returns False, as the backlog may hold connections."""
        self.clients.make_room()
        self._pause_accepting()
        return False

    def _pause_accepting(self) -> None:
        self._unwatch_listener()  # until a connection closes or the pause is over
        self.loop.call_later(ACCEPT_PAUSE_S, self._watch_listener)

    def _check_timeouts(self) -> None:
        self._timeout_check, now = None, clock.now()
        for client in list(self.clients.open):
            client.check_timeouts(now)
        if self.clients.open:
            self._timeout_check = self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    def process_later(self, client: ClientConnection) -> None:
        """Go on with a connection's input in a later turn of the event loop, after those that wait."""
        self._to_process.append(client)
        self._schedule_processing()

    def _schedule_processing(self) -> None:
        if self._to_process and not self._processing_scheduled:
            self._processing_scheduled = True
            self.loop.call_soon(self._process_waiting)

    def _process_waiting(self) -> None:
        self._processing_scheduled = False
        try:
            for _ in range(min(CONNECTIONS_PER_TURN, len(self._to_process))):
                self._to_process.popleft().continue_processing()
        finally:
            self._schedule_processing()

    def request_started(self, client: ClientConnection) -> None:
        """A request is being handled on this connection."""
        self.clients.request_started(client)

    def connection_idle(self, client: ClientConnection) -> None:
        """All requests on this connection are answered; it stays open for the next one."""
        self.clients.idle[client] = None

    def connection_closing(self, client: ClientConnection) -> None:
        """The last answer on this connection was written."""
        self.clients.closing[client] = None

    def connection_closed(self, client: ClientConnection) -> None:
        """This connection has ended."""
        self.clients.remove(client)
        self.unsent_answers.remove(client)
        if self.shutting_down:
            self._check_drained()
        if not self.clients.full:
            self._watch_listener()

    def submit_request(self, client: ClientConnection, message: Message) -> int | None:
        """Validate a request and pass it to the runtime; returns its id, or None for a health check."""
        if message.target == HEALTH_PATH:
            if message.method != b"GET":
                raise RequestRejected(405, "GET only")
            return None
        request = self._validator.validate(message)
        self._recent_ids.begin(message.correlation_id)
        return self.runtime.submit(
            client,
            request,
            message.correlation_id,
            message.forwarded_head(),
            message.body,
            message.arrived_at_ns,
        )

    def request_cancelled(self, request_id: int) -> None:
        """The client of a request has disconnected before the answer."""
        self.runtime.cancel_request(request_id)

    def gauges(self) -> dict[str, int]:
        """What is in use now, for the log."""
        return {
            "clients": len(self.clients.open),
            "bytes of input": self.held_input.total_bytes,
            "ids": len(self._recent_ids),
        }

    @property
    def shutting_down(self) -> bool:
        """Whether the graceful shutdown has begun."""
        return self._shutdown.started

    def begin_shutdown(self) -> None:
        """Begin the graceful shutdown: accept and answer what still comes in time, then set ``finished``."""
        if self._shutdown.started:
            return
        now = clock.now()
        schedule = self._shutdown.start(now)
        log.info(
            "shutdown: begun; %s, exit in %.1f s at the latest",
            ", ".join(f"{name} {value}" for name, value in self.gauges().items()),
            (schedule.exit_due_ns - now) / clock.NS_PER_S,
        )
        self.runtime.begin_shutdown(schedule.answers_due_ns)
        # Accepting may still wait for the first server list; the backlog has to be served without it now.
        self._watch_listener()
        self.clients.close_idle()
        self._call_after_ns(self._shutdown.accept_remaining_ns(now), self._close_listener)
        self._call_after_ns(schedule.answers_due_ns - now, self._reject_after_answers_due)
        self._call_after_ns(schedule.exit_due_ns - now, self._finish)

    def _call_after_ns(self, delay_ns: int, callback: Callable[[], None]) -> None:
        self.loop.call_later(delay_ns / clock.NS_PER_S, callback)

    def _close_listener(self) -> None:
        """Close the listener once no new connections are expected and the backlog is empty."""
        if self._listener is None:
            return
        delay_ns = self._shutdown.accept_remaining_ns(clock.now())
        if delay_ns:
            self._call_after_ns(delay_ns + clock.NS_PER_MS, self._close_listener)
            return
        if not self._accept_batch():
            # The backlog still holds connections, as the table is full or one turn accepts only so many.
            # Closing the listener now would reset them.
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

    def transport_attached(self) -> None:
        """The event loop has given an accepted connection its transport, so it can be closed if idle."""
        if self.shutting_down:
            self._check_drained()

    def reads_further_requests(self) -> bool:
        """During shutdown: whether the gateway still reads further requests from open connections."""
        return self._shutdown.reads_further_requests(clock.now())

    def _check_drained(self) -> None:
        """Once the listener is closed, finish as soon as no connection is left.

        If only incomplete requests are left, they are rejected after a while.
        """
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
        """Reject requests that are still incomplete: their clients may never complete them."""
        self._reject_incomplete_timer = None
        self.clients.reject_incomplete()
        self._check_drained()

    def _reject_after_answers_due(self) -> None:
        """Reject what is incomplete and close idle connections, repeatedly, once all answers are due."""
        if self._shutdown.phase is ShutdownPhase.FINISHED:
            return
        self._shutdown.answers_due()
        self.clients.reject_incomplete()
        self.clients.close_idle()
        self.loop.call_later(ACCEPT_PAUSE_S, self._reject_after_answers_due)

    def _finish(self) -> None:
        self._stop_listening()
        self._shutdown.finish()
        self.finished.set()


def _prepare(sock: socket.socket) -> None:
    """Set an accepted socket's options; go on without them if that fails.

    A request that is in the socket already can be answered without these options.  The event loop makes the
    socket non-blocking itself as it attaches the connection.  Without TCP_NODELAY a small answer may wait
    for the client's acknowledgement of the one before.
    """
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        log.info("could not set the options of a client socket: %s", describe_error(error.errno or 0))
