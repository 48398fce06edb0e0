"""One client connection: reads HTTP/1 requests within size limits and writes one answer to each.

Requests are handled one at a time, in the order in which they came.  While more than ``MAX_READ_AHEAD``
further ones wait, reading pauses, so that a client that pipelines many requests cannot fill the memory.  A
request that is not valid, or that breaks a limit, is rejected with an error status; after that nothing more
is read, and the connection closes once all requests that were read have their answers.  ``check_timeouts``
closes connections that are silent, stop within a request, or do not read their answer.
"""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections import deque
from typing import cast

import httptools

from gingerworks.gateway import clock, number_parsing
from gingerworks.gateway.arrival_times import ArrivalTracker
from gingerworks.gateway.backend import Answer
from gingerworks.gateway.connection_owner import ConnectionOwner
from gingerworks.gateway.diagnostics import Event
from gingerworks.gateway.requests import MAX_BODY_BYTES, MAX_HEAD_BYTES, Message, RequestRejected
from gingerworks.gateway.system_errors import RETRYABLE_ERRORS

# One request with its framing may have at most this size: in a body of one-byte chunks, each byte comes with
# about six bytes of framing.
MAX_MESSAGE_BYTES = MAX_HEAD_BYTES + 8 * MAX_BODY_BYTES
MAX_READ_AHEAD = 1  # reading pauses when more requests than this wait behind the one in flight
# A request must arrive whole within this time: from the accept for the first request of a connection, and
# from its first byte for any further one.
REQUEST_TIMEOUT_NS = 2 * clock.NS_PER_S
IDLE_TIMEOUT_NS = 3 * clock.NS_PER_S  # a connection is closed after this long between two requests
ANSWER_READ_TIMEOUT_NS = 2 * clock.NS_PER_S  # a client that takes longer to read its answer is cut off
# With this many unread bytes or more, a client's disconnect may be hidden behind them.  While reading is
# paused, the kernel's receive buffer may fill up, and a FIN behind it stays unseen.  The buffer holds
# 65,000 to 130,000 bytes by default, and fewer if they come in small segments.
HIDDEN_DISCONNECT_BYTES = 60 * 1024
# Once the client had a request rejected, its disconnect may be hidden behind this many unread bytes or more:
# nothing more is read from its connection then.
HIDDEN_DISCONNECT_REJECTED_BYTES = 8 * 1024
# After a rejection the connection stays half open for this long, so that a client that is still sending can
# read why its request was rejected.
LINGER_S = 0.3
MAX_LOGGED_ID_BYTES = 128  # of a longer correlation id, only so much is logged
RETRY_AFTER_OVERLOAD = b"Retry-After: 0.100\r\n"  # the header field sent when a request is rejected with 503

REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
    408: b"Request Timeout", 409: b"Conflict", 413: b"Content Too Large", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 502: b"Bad Gateway", 503: b"Service Unavailable",
}  # fmt: skip

log = logging.getLogger(__name__)


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection: both the transport's protocol and the target of the parser's callbacks."""

    def __init__(self, owner: ConnectionOwner[ClientConnection], sock: socket.socket) -> None:
        self.owner = owner
        self.socket = sock
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.message = Message()
        self.pending: deque[Message | RequestRejected] = deque()  # read and not yet handled, in order
        self.request_id: int | None = None  # the id of the request in flight
        self.state_since_ns = clock.now()  # start of the current wait, for the timeouts and for eviction
        self.arrivals = ArrivalTracker(sock, owner.backlog_empty_at_ns)
        self.has_requested = False  # a first request was handled or rejected
        self.closing = False  # the last answer was written: no further request is handled
        self.reading_stopped = False  # for good: whatever the client still sends is ignored
        self.keep_alive = True
        self.reading_paused = False
        self.write_blocked = False  # the client is slow to read the answers that were written
        self.receiving = self.receiving_head = False  # a request, or its head, has begun and is incomplete
        # ``messages_begun`` counts the requests begun in the latest read.  ``incomplete_bytes`` counts the
        # bytes received of an incomplete request, except those of reads that also held a part of another
        # request.
        self.messages_begun = self.incomplete_bytes = 0
        self.held_body_bytes = 0  # body bytes counted against the limit on all clients together
        self.arrived_at_ns = 0  # the earliest time at which the data being parsed can have come

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the transport once the connection can be read and written."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport doesn't derive from it
        self.owner.transport_attached()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the transport after the close: cancels the request in flight and drops pending ones."""
        self.transport = None
        self.pending.clear()
        if self.request_id is not None:
            self.owner.request_cancelled(self.request_id)
            self.request_id = None
        self._release_held_body()
        self.owner.connection_closed(self)

    def pause_writing(self) -> None:
        """Called by the transport when its write buffer is full: begins no further request meanwhile.

        Otherwise answers would pile up for a client that does not read them.
        """
        self.write_blocked = True

    def resume_writing(self) -> None:
        """Called by the transport once the client has read enough of its answers."""
        self.write_blocked = False
        self._handle_next()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Called by the transport before a read; the buffer is small, to bound what is read ahead."""
        self.arrivals.begin_read()
        return self.owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the transport after a read of ``nbytes``: parses them and handles what is complete."""
        if self.reading_stopped:
            return
        between_messages, self.messages_begun = not self.receiving, 0
        emptied = nbytes < len(self.owner.read_buffer)
        arrival = self.arrivals.end_read(emptied)
        self.arrived_at_ns, pending_before = arrival.earliest_ns, len(self.pending)
        try:
            self.parser.feed_data(self.owner.read_buffer[:nbytes])
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self._reject(cause if isinstance(cause, RequestRejected) else RequestRejected(400, "malformed"))
        except httptools.HttpParserError:
            self._reject(RequestRejected(400, "malformed"))
        except httptools.HttpParserUpgrade:
            # The parser stops at an Upgrade header; the request itself is whole and is answered in HTTP/1.
            self.reading_stopped = True
            self.message.keep_alive = False
        if (
            emptied
            and not self.receiving
            and len(self.pending) > pending_before
            and self.pending[-1] is self.message
        ):
            # The last byte received is the last one of this request.
            self.message.arrived_at_ns = arrival.latest_ns
        # The parser buffers an incomplete header field or chunk size without calling back, so its callbacks
        # can't bound the length of an endless field or chunk size.
        if self.receiving and self.messages_begun == between_messages:
            self.incomplete_bytes += nbytes
            if self.incomplete_bytes > (MAX_HEAD_BYTES if self.receiving_head else MAX_MESSAGE_BYTES):
                self._reject(RequestRejected(431, "the request is too large"))
        self._handle_next()
        if len(self.pending) > MAX_READ_AHEAD and not self.reading_paused and self.transport is not None:
            self._pause()

    def _pause(self) -> None:
        assert self.transport is not None
        self.reading_paused = True
        self.arrivals.pause()
        self.transport.pause_reading()

    def _resume(self) -> None:
        assert self.transport is not None
        self.reading_paused = False
        checked_at_ns = clock.now()
        self.arrivals.resume(checked_at_ns, emptied=not self.has_unread_input())
        self.transport.resume_reading()

    def _reject(self, rejection: RequestRejected) -> None:
        """Queue an error answer behind the pending requests, and read nothing more from the client."""
        if self.reading_stopped:
            return
        self.pending.append(rejection)
        self._stop_reading()

    def _stop_reading(self) -> None:
        self.reading_stopped = True
        if not self.reading_paused and self.transport is not None:
            # A rejected client may go on sending; reading it would only cost time.
            self._pause()

    def on_message_begin(self) -> None:
        """Called by the parser at the start of a request.

        Its timeout starts here, except for the first request, whose timeout started at the accept, and for
        one behind a request in flight, whose timeout starts with the answer to that one.
        """
        self.message = Message()
        self.receiving = self.receiving_head = True
        self.messages_begun += 1
        self.incomplete_bytes = 0
        if self.has_requested and self.request_id is None:
            self.state_since_ns = clock.now()

    def on_url(self, url: bytes) -> None:
        """Called by the parser with a part of the request target."""
        self.message.count_head_bytes(len(url))
        self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with one header field."""
        self.message.count_head_bytes(len(name) + len(value) + 4)
        self.message.headers.append((name, value.rstrip(number_parsing.OPTIONAL_WHITESPACE)))

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of the head: checks the framing and answers ``Expect``."""
        self.receiving_head = False
        self.message.method = self.parser.get_method()
        self.message.check_framing(self.parser.get_http_version())
        if self.parser.should_upgrade() and self.message.has_body():
            # The parser leaves the body to the new protocol, so the request would be forwarded without it.
            raise RequestRejected(400, "Upgrade on a request with a body: send it without")
        for name, value in self.message.headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue" and self.transport is not None:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a part of the body, without chunk framing."""
        if len(self.message.body) + len(body) > MAX_BODY_BYTES:
            raise RequestRejected(413, "the body is too large")
        if not self.owner.reserve_body_bytes(len(body)):
            raise RequestRejected(503, "too much is held already")
        self.held_body_bytes += len(body)
        self.message.body += body

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a request, which is queued for handling."""
        self.receiving = False
        self.message.keep_alive = self.parser.should_keep_alive()
        self.message.arrived_at_ns = self.arrived_at_ns
        self.pending.append(self.message)

    def _handle_next(self) -> None:
        """Handle pending requests until one is in flight, and resume reading if few are left."""
        while self.pending and self.request_id is None and self.transport is not None:
            if self.closing or self.transport.is_closing() or self.write_blocked:
                return
            if self.has_abandoned_request():
                self.transport.abort()
                return
            message = self.pending.popleft()
            self.has_requested = True
            self.owner.request_started(self)
            try:
                if isinstance(message, RequestRejected):
                    raise message
                self.keep_alive = message.keep_alive
                self.request_id = self.owner.submit_request(self, message)
            except RequestRejected as rejection:
                # A client that repeats a bad request has to reconnect each time.  The requests that were read
                # behind this one are answered first.
                self._stop_reading()
                self.keep_alive = bool(self.pending)
                self._record_rejection(message, rejection)
                self._write_answer(
                    rejection.status,
                    str(rejection).encode(),
                    RETRY_AFTER_OVERLOAD if rejection.status == 503 else b"",
                )
                continue
            except Exception:
                # An unexpected error fails this request only; the connection goes on.
                log.exception("unexpected error while submitting a request; answering 502")
                self._write_answer(502, b"failed")
                continue
            if self.request_id is None:
                self._write_answer(200, b"ok")
        if (
            self.reading_paused
            and not self.reading_stopped
            and len(self.pending) <= MAX_READ_AHEAD
            and self.transport is not None
        ):
            self._resume()

    def _record_rejection(self, message: Message | RequestRejected, rejection: RequestRejected) -> None:
        identity = ""
        if isinstance(message, Message):
            identity = f"id {message.correlation_id[:MAX_LOGGED_ID_BYTES]!r}"
        reason = f"{rejection.status} {rejection}"
        self.owner.diagnostics.record(Event.REQUEST_REJECTED, reason, identity)

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
        self._write_answer(status, body, headers)
        if self.pending:
            self.owner.loop.call_soon(self._handle_next)

    def _write_answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        """Write an answer, and close the connection after it unless further requests may follow."""
        self.state_since_ns = clock.now()
        if not self.pending and not self.receiving:
            self._release_held_body()
        if self.transport is None:
            return
        is_last = self.reading_stopped and not self.pending  # no request is pending and none will be read
        keep_open = (
            self.keep_alive and not is_last and not (self.owner.shutting_down and self._is_last_answer())
        )
        self.transport.write(
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
        if keep_open:
            if not self.pending:
                self.owner.connection_idle(self)
            return
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
            self.pending
            or self.receiving
            or (self.owner.reads_further_requests() and self.has_unread_input())
        )

    def has_abandoned_request(self) -> bool:
        """Whether the client has disconnected while a request of its is in flight or next to be handled.

        While reading is paused the transport doesn't report a disconnect, and the request would be sent to a
        server though nobody waits for its answer.
        """
        ahead = self.reading_paused and bool(self.pending) and isinstance(self.pending[0], Message)
        return (self.request_id is not None or ahead) and self.has_disconnected()

    def has_disconnected(self) -> bool:
        """Whether the client has closed its connection or its write side, even if that was not read yet."""
        if self.transport is None or self.transport.is_closing():
            return True
        poller = select.poll()
        poller.register(self.socket, select.POLLRDHUP)
        try:
            return bool(poller.poll(0))
        except OSError:
            return False  # unknown for the moment; a client that may still be there is owed an answer

    def disconnect_may_be_hidden(self) -> bool:
        """Whether so much input is unread that the kernel may not have received a close behind it."""
        if not self.reading_paused:
            return False
        threshold = HIDDEN_DISCONNECT_REJECTED_BYTES if self.reading_stopped else HIDDEN_DISCONNECT_BYTES
        try:
            return len(self.socket.recv(threshold, socket.MSG_PEEK)) == threshold
        except OSError:
            return False

    def _release_held_body(self) -> None:
        self.owner.reserve_body_bytes(-self.held_body_bytes)
        self.held_body_bytes = 0

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
                self.owner.diagnostics.record(Event.CLIENT_TIMED_OUT, "it does not read its answer")
                transport.abort()
        elif self.receiving:
            if waited_ns >= REQUEST_TIMEOUT_NS:
                self._reject(RequestRejected(408, "the request did not come whole"))
                self._handle_next()
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
            self._handle_next()

    def has_unsent_output(self) -> bool:
        """Whether a part of an answer is still in the transport's write buffer."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def is_idle(self) -> bool:
        """Whether the connection is between requests and all answers are sent.

        With an answer unsent the connection is not idle: an abort would cut that answer off, and a close
        would wait for the client to read it and free no room until then.
        """
        return self.has_no_request() and not self.has_unsent_output()

    def has_no_request(self) -> bool:
        """Whether no request is being received or pending; one may be in flight."""
        return not self.receiving and not self.pending

    def has_unread_input(self) -> bool:
        """Whether input is unread, or may be.

        After a retryable error some may be unread, and closing the connection could drop a request.  Any
        other error means that the connection is broken and nobody waits for an answer.
        """
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except BlockingIOError:
            return False
        except OSError as error:
            return error.errno in RETRYABLE_ERRORS
