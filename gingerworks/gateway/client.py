"""One client connection: reads HTTP/1 requests within size limits and writes one answer to each.

Requests are handled one at a time, in the order in which they came.  What a client sends ahead of its turn
stays unparsed (``ReadAhead``), and reading pauses meanwhile, so that a client that pipelines many requests
cannot fill the memory.  In one turn of the event loop, a connection parses and handles only so much, so that
it cannot hold up the others.  A request that is not valid, or that breaks a limit, is rejected with an error
status; after that nothing more is read, and the connection closes once all requests that were read have their
answers.  ``check_timeouts`` closes connections that are silent, stop within a request, or do not read their
answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
import socket
from collections import deque
from typing import cast

from gingerworks.gateway import clock
from gingerworks.gateway.answer_parser import Answer
from gingerworks.gateway.arrival_times import ArrivalTracker
from gingerworks.gateway.connection_owner import ConnectionOwner
from gingerworks.gateway.diagnostics import Event
from gingerworks.gateway.read_ahead import ReadAhead
from gingerworks.gateway.request_parser import RequestParser
from gingerworks.gateway.requests import Message, RequestRejected
from gingerworks.gateway.system_errors import RETRYABLE_ERRORS

# In one turn of the event loop, a connection handles so many requests and slices of its input together.
MAX_STEPS_PER_TURN = 8
# To find out whether a client has disconnected, its input is read ahead until so much of it is held.
MAX_READ_AHEAD_BYTES = 128 * 1024
MAX_DISCARDED_BYTES = 64 * 1024  # the most that one such check reads from a client that was rejected
SCARCE_READ_BYTES = 1024  # the most that one read takes while memory for input is scarce
# A request must arrive whole within this time: from the accept for the first request of a connection, and
# from its first byte for any further one.
REQUEST_TIMEOUT_NS = 2 * clock.NS_PER_S
IDLE_TIMEOUT_NS = 3 * clock.NS_PER_S  # a connection is closed after this long between two requests
ANSWER_READ_TIMEOUT_NS = 2 * clock.NS_PER_S  # a client that takes longer to read its answer is cut off
# After a rejection the connection stays half open for this long, so that a client that is still sending can
# read why its request was rejected.
LINGER_S = 0.3
LONG_ANSWER_BYTES = 4096  # an answer of this size is written at once, so that the rest of it is known
MAX_LOGGED_ID_BYTES = 128  # of a longer correlation id, only so much is logged
RETRY_AFTER_OVERLOAD = b"Retry-After: 0.100\r\n"  # the header field sent when a request is rejected with 503

REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
    408: b"Request Timeout", 409: b"Conflict", 413: b"Content Too Large", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 502: b"Bad Gateway", 503: b"Service Unavailable",
}  # fmt: skip

log = logging.getLogger(__name__)


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection, the protocol of its transport."""

    def __init__(self, owner: ConnectionOwner[ClientConnection], sock: socket.socket) -> None:
        self.owner = owner
        self.socket = sock
        self.transport: asyncio.Transport | None = None
        self.read_buffer = owner.read_buffer  # the buffer of the current read
        self.read_ahead = ReadAhead()  # read and not yet parsed
        self.parser = RequestParser()
        self.pending: deque[Message | RequestRejected] = deque()  # parsed and not yet handled, in order
        self.processing_scheduled = False  # a later turn of the event loop goes on with the input
        self.request_id: int | None = None  # the id of the request in flight
        self.state_since_ns = clock.now()  # start of the current wait, for the timeouts and for eviction
        self.arrivals = ArrivalTracker(sock, owner.backlog_empty_at_ns)
        self.has_requested = False  # a first request was handled or rejected
        self.closing = False  # the last answer was written: no further request is handled
        self.reading_stopped = False  # for good: whatever the client still sends is ignored
        self.keep_alive = True
        self.reading_paused = False
        self.write_blocked = False  # the client is slow to read the answers that were written
        self.counted_input_bytes = 0  # input counted against the limit on all clients together
        self.in_flight_bytes = 0  # the part of it that belongs to the request in flight

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the transport once the connection can be read and written."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport doesn't derive from it
        self.owner.transport_attached()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the transport after the close: cancels the request in flight and drops pending ones."""
        self.transport = None
        self._drop_input()
        self.pending.clear()
        if self.request_id is not None:
            self.owner.request_cancelled(self.request_id)
            self.request_id = None
        self.in_flight_bytes = 0
        self._count_input()
        self.owner.connection_closed(self)

    def pause_writing(self) -> None:
        """Called by the transport when its write buffer is full: begins no further request meanwhile.

        Otherwise answers would pile up for a client that does not read them.
        """
        self.write_blocked = True

    def resume_writing(self) -> None:
        """Called by the transport once the client has read enough of its answers."""
        self.write_blocked = False
        self._process_input()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Called by the transport before a read; the buffer is small, to bound what is read ahead."""
        self.arrivals.begin_read()
        buffer = self.owner.read_buffer
        self.read_buffer = buffer[:SCARCE_READ_BYTES] if self.owner.held_input.is_scarce else buffer
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the transport after a read of ``nbytes``: parses them and handles what is complete."""
        if self.reading_stopped:
            return
        self._add_read(nbytes)
        if not self.processing_scheduled:
            self._process_input()
        self._count_input()
        self._pause_or_resume()

    def _add_read(self, size: int) -> None:
        """Keep the bytes of one read, which took all that was unread if it did not fill its buffer."""
        emptied = size < len(self.read_buffer)
        self.read_ahead.add(bytes(self.read_buffer[:size]), self.arrivals.end_read(emptied), emptied)

    def continue_processing(self) -> None:
        """Go on with the input, in the turn of the event loop that ``process_later`` asked for."""
        self.processing_scheduled = False
        self._process_input()

    def _process_input(self) -> None:
        """Handle requests and parse input, as far as one turn of the event loop allows."""
        for _ in range(MAX_STEPS_PER_TURN):
            if not self._process_step():
                break
        else:
            self._schedule_processing()
        self._count_input()
        self._pause_or_resume()

    def _schedule_processing(self) -> None:
        if not self.processing_scheduled and self.transport is not None:
            self.processing_scheduled = True
            self.owner.process_later(self)

    def _process_step(self) -> bool:
        """Handle one request or parse one slice; returns whether anything was done."""
        if self.transport is None or self.request_id is not None or self.write_blocked:
            return False
        if self.closing or self.transport.is_closing():
            return False
        if self.pending:
            if self.has_abandoned_request():
                self.transport.abort()
                return False
            self._handle(self.pending.popleft())
            return True
        if self.read_ahead:
            self._parse_slice()
            return True
        if self.reading_stopped and self.has_requested:
            self._begin_close()  # what follows the last answer was read, and is incomplete
        return False

    def _parse_slice(self) -> None:
        """Pass the next slice of the input to the parser, and queue what that completes."""
        self.pending.extend(self.parser.feed(self.read_ahead.take_slice()))
        if self.parser.expects_continue and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self.parser.began_request and self.has_requested:
            # Its timeout starts here; that of the connection's first request started at the accept.
            self.state_since_ns = clock.now()
        if self.parser.stopped:
            self._drop_input()
            self._stop_reading()

    @property
    def receiving(self) -> bool:
        """Whether a request has begun and is incomplete."""
        return self.parser.receiving

    def _pause_or_resume(self) -> None:
        """Read on, unless a request is in flight and more was read already, or nothing more is to be read."""
        if self.transport is None:
            return
        pause = self.reading_stopped or bool(self.read_ahead)
        if self.request_id is not None and self.owner.held_input.is_scarce:
            pause = True
        if pause and not self.reading_paused:
            self.reading_paused = True
            self.arrivals.pause()
            self.transport.pause_reading()
        elif self.reading_paused and not pause:
            self.reading_paused = False
            checked_at_ns = clock.now()
            self.arrivals.resume(checked_at_ns, emptied=not self._has_unread_in_kernel())
            self.transport.resume_reading()

    def _reject(self, rejection: RequestRejected) -> None:
        """Queue an error answer behind the pending requests, and read nothing more from the client."""
        if self.parser.stopped:
            return
        self.pending.append(rejection)
        self._drop_input()
        self._stop_reading()

    def _drop_input(self) -> None:
        """Parse nothing more: the rest of the input has no meaning."""
        self.parser.stop()
        self.read_ahead.clear()

    def _stop_reading(self) -> None:
        # A rejected client may go on sending; reading it would only cost time.
        self.reading_stopped = True
        self._pause_or_resume()

    def reject_for_memory(self) -> None:
        """Reject the incomplete request, which frees its memory."""
        self._reject(RequestRejected(503, "too much is held already"))
        self._count_input()
        self._schedule_processing()

    def _count_input(self) -> None:
        """Count what is held for this client now against the limit on all clients together."""
        pending_bytes = sum(one.held_bytes for one in self.pending if isinstance(one, Message))
        held_bytes = (
            self.in_flight_bytes + pending_bytes + self.read_ahead.held_bytes + self.parser.held_bytes
        )
        # Rejecting an incomplete request would drop what was read behind it, so that must be parsed first.
        may_reject = self.request_id is None and not self.read_ahead
        incomplete_bytes = self.parser.held_bytes if may_reject else 0
        change, self.counted_input_bytes = held_bytes - self.counted_input_bytes, held_bytes
        self.owner.held_input.change(self, change, incomplete_bytes)

    def _handle(self, message: Message | RequestRejected) -> None:
        """Pass a request on, or answer it at once if it is rejected."""
        self.has_requested = True
        self.owner.request_started(self)
        if isinstance(message, RequestRejected):
            return self._answer_rejection(message, b"")
        try:
            self.keep_alive = message.keep_alive
            self.request_id = self.owner.submit_request(self, message)
        except RequestRejected as rejection:
            return self._answer_rejection(rejection, message.correlation_id)
        except Exception:
            # An unexpected error fails this request only; the connection goes on.
            log.exception("unexpected error while submitting a request; answering 502")
            return self._write_answer(502, b"failed")
        if self.request_id is None:
            return self._write_answer(200, b"ok")
        self.in_flight_bytes = message.held_bytes
        return None

    def _answer_rejection(self, rejection: RequestRejected, correlation_id: bytes) -> None:
        """Answer a rejected request, and read nothing more.

        A client that repeats a bad request has to reconnect each time.  The requests that were read behind
        this one are answered first.
        """
        self._stop_reading()
        self.keep_alive = self.has_requests_ahead
        identity = f"id {correlation_id[:MAX_LOGGED_ID_BYTES]!r}" if correlation_id else ""
        self.owner.diagnostics.record(Event.REQUEST_REJECTED, f"{rejection.status} {rejection}", identity)
        headers = RETRY_AFTER_OVERLOAD if rejection.status == 503 else b""
        self._write_answer(rejection.status, str(rejection).encode(), headers)

    def send_answer(self, answer: Answer) -> None:
        """Final answer served: forward a server's answer."""
        self._finish_request(200, answer.body, b"".join(b"%b: %b\r\n" % header for header in answer.headers))

    def send_refusal(self, retry_after_ns: int, was_attempted: bool) -> None:
        """Final answer refused: 503 if an attempt was made on a server (``was_attempted``), else 429."""
        head = b"Retry-After: %.3f\r\n" % (retry_after_ns / clock.NS_PER_S)
        self._finish_request(503 if was_attempted else 429, b"refused", head)

    def send_failure(self) -> None:
        """Final answer failed."""
        self._finish_request(502, b"failed")

    def _finish_request(self, status: int, body: bytes, headers: bytes = b"") -> None:
        """Write the final answer of the request in flight; the next request begins in a later turn."""
        self.request_id = None
        self.in_flight_bytes = 0
        self._write_answer(status, body, headers)
        if self.has_requests_ahead or self.reading_paused:
            self._schedule_processing()
        else:
            self._count_input()

    def _write_answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        """Write an answer, and close the connection after it unless further requests may follow."""
        self.state_since_ns = clock.now()
        if self.transport is None:
            return
        is_last = self.reading_stopped and not self.has_requests_ahead  # none will be read
        keep_open = (
            self.keep_alive and not is_last and not (self.owner.shutting_down and self._is_last_answer())
        )
        self._write(
            b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b\r\n%b"
            % (
                status,
                REASON_PHRASES[status],
                len(body),
                headers,
                b"" if keep_open else b"Connection: close\r\n",
                body,
            )
        )
        if not keep_open:
            self._begin_close()
        elif not self.has_requests_ahead:
            self.owner.connection_idle(self)

    def _write(self, data: bytes) -> None:
        """Write an answer; what the kernel does not accept of a long one counts against the limit of all."""
        assert self.transport is not None
        if len(data) >= LONG_ANSWER_BYTES and not self.unsent_bytes:
            # The transport would write it at the end of this turn only, as those of all other clients.
            with contextlib.suppress(OSError):  # the transport will find the same error, or room again
                data = data[self.socket.send(data) :]
        if data:
            self.transport.write(data)
        if self.unsent_bytes >= LONG_ANSWER_BYTES:
            self.owner.unsent_answers.add(self)

    def close_unread(self, reason: str) -> None:
        """Close the connection, although its client has not read all of its answers."""
        if self.transport is not None:
            self.owner.diagnostics.record(Event.CLIENT_CLOSED_UNREAD, reason)
            self.transport.abort()

    def _begin_close(self) -> None:
        """Close the connection after what was written."""
        assert self.transport is not None
        self.closing = True
        self.owner.connection_closing(self)
        if self.reading_stopped:
            # Closing with unread data makes the kernel send a reset, which can destroy the answer on its way.
            # So only the write side is closed now.
            self.transport.write_eof()
            self.owner.loop.call_later(LINGER_S, self._end_linger)
        else:
            self.transport.close()  # the transport sends what was written before it closes

    def _end_linger(self) -> None:
        """Close the connection, unless the answer is still unsent: then ``check_timeouts`` closes it."""
        if self.transport is not None and not self.has_unsent_output():
            self.transport.abort()

    def _is_last_answer(self) -> bool:
        """Whether no further request has arrived or begun to, so that this answer may end the connection.

        Asked during the shutdown.  A client that pipelines may have several requests here, and each that has
        arrived is owed an answer.
        """
        return not (
            self.has_requests_ahead
            or self.receiving
            or (self.owner.reads_further_requests() and self.has_unread_input())
        )

    def has_abandoned_request(self) -> bool:
        """Whether the client has disconnected while a request of its is in flight or next to be handled.

        While reading is paused the transport doesn't report a disconnect, and the request would be sent to a
        server though nobody waits for its answer.
        """
        next_is_request = bool(self.pending) and isinstance(self.pending[0], Message)
        ahead = self.reading_paused and (next_is_request or bool(self.read_ahead))
        return (self.request_id is not None or ahead) and self.has_disconnected()

    def has_disconnected(self) -> bool:
        """Whether the client has closed its connection or its write side, even if that was not read yet."""
        if self.transport is None or self.transport.is_closing():
            return True
        if self.reading_paused:
            self._read_ahead_or_discard()
        poller = select.poll()
        poller.register(self.socket, select.POLLRDHUP)
        try:
            return bool(poller.poll(0))
        except OSError:
            return False  # unknown for the moment; a client that may still be there is owed an answer

    def disconnect_may_be_hidden(self) -> bool:
        """Whether unread input may hide that the client has closed its connection.

        While reading is paused, the kernel's receive buffer may have no room for all that the client has
        sent, and the close behind that stays unseen.  ``has_disconnected`` has read as much as it may.
        """
        return self.reading_paused and self._has_unread_in_kernel()

    def _read_ahead_or_discard(self) -> None:
        """Read what the client has sent during a pause, as far as there is room for it.

        Of a rejected client, which is owed nothing for it, the input is dropped.
        """
        discarded_bytes = 0
        while discarded_bytes < MAX_DISCARDED_BYTES and self._may_read_ahead():
            buffer = self.get_buffer(-1)
            try:
                size = self.socket.recv_into(buffer)
            except OSError:
                break
            if self.reading_stopped:
                discarded_bytes += size
            else:
                self._add_read(size)
                self.arrivals.pause()
            if size < len(buffer):
                break
        self._count_input()

    def _may_read_ahead(self) -> bool:
        if self.reading_stopped:
            return True
        return self.read_ahead.held_bytes < MAX_READ_AHEAD_BYTES and not self.owner.held_input.is_scarce

    def check_timeouts(self, now_ns: int) -> None:
        """Close or reject a client that is silent, stops within a request, or does not read its answer.

        Also notices a client that has disconnected while reading is paused.
        """
        transport, waited_ns = self.transport, now_ns - self.state_since_ns
        if transport is not None and self.has_abandoned_request():
            transport.abort()
        if transport is None or self.request_id is not None:
            return
        if self.closing or transport.is_closing() or self.has_unsent_output():
            if waited_ns >= ANSWER_READ_TIMEOUT_NS:
                self.close_unread("it does not read")
        elif self.receiving:
            if waited_ns >= REQUEST_TIMEOUT_NS:
                self._reject(RequestRejected(408, "the request did not come whole"))
                self._process_input()
        elif (
            waited_ns >= (IDLE_TIMEOUT_NS if self.has_requested else REQUEST_TIMEOUT_NS)
            and not self.has_unread_input()
        ):
            self.owner.diagnostics.record(Event.CLIENT_TIMED_OUT, "it sends no request")
            transport.close()

    def reject_incomplete(self) -> None:
        """Reject an incomplete request during the shutdown, as the rest of it would come too late.

        A client with unread input is spared: that may be the rest of its request, and is read in the event
        loop's next turn.
        """
        if self.receiving and self.request_id is None and not self.closing and not self.has_unread_input():
            self._reject(RequestRejected(503, "shutting down: send it to another gateway"))
            self._process_input()

    def has_unsent_output(self) -> bool:
        """Whether a part of an answer is still in the transport's write buffer."""
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """The bytes of answers that are still in the transport's write buffer."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def is_idle(self) -> bool:
        """Whether the connection is between requests and all answers are sent.

        With an answer unsent the connection is not idle: an abort would cut that answer off, and a close
        would wait for the client to read it and free no room until then.
        """
        return self.has_no_request() and not self.has_unsent_output()

    def has_no_request(self) -> bool:
        """Whether no request is being received or pending; one may be in flight."""
        return not self.receiving and not self.has_requests_ahead

    @property
    def has_requests_ahead(self) -> bool:
        """Whether input was read that is not handled yet."""
        return bool(self.pending) or bool(self.read_ahead)

    def has_unread_input(self) -> bool:
        """Whether input is unread or not parsed yet, or may be."""
        return bool(self.read_ahead) or self._has_unread_in_kernel()

    def _has_unread_in_kernel(self) -> bool:
        """Whether the system holds input that was not read, or may hold some.

        After a retryable error some may be unread, and closing the connection could drop a request.  Any
        other error means that the connection is broken and nobody waits for an answer.
        """
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except BlockingIOError:
            return False
        except OSError as error:
            return error.errno in RETRYABLE_ERRORS
