"""One connection of a client: it is read within bounds, answered once a request, and given up in time."""

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
from gingerworks.gateway.requests import MAX_BODY_BYTES, MAX_HEAD_BYTES, Message, RequestRejected
from gingerworks.gateway.system_errors import RETRYABLE

MAX_MESSAGE_BYTES = MAX_HEAD_BYTES + 8 * MAX_BODY_BYTES  # small chunks frame every byte with six more
MAX_READ_AHEAD = 1  # requests read ahead on one connection; one that sends more is not read meanwhile
REQUEST_TIMEOUT_NS = (
    2 * clock.NS_PER_S
)  # for the first request since the connection came, a further one since it began
IDLE_TIMEOUT_NS = 3 * clock.NS_PER_S  # between requests
ANSWER_READ_TIMEOUT_NS = 2 * clock.NS_PER_S  # for a client to take its answer
# Unread on a connection that is not read, from which on its end may be hidden: the system takes in only so
# much, and a close lies behind it.  That is 65,000 to 130,000 bytes by default, and less of small segments.
HIDDEN_CLOSE_BYTES = 60 * 1024
HIDDEN_CLOSE_REJECTED_BYTES = 8 * 1024  # ... where none of it will be read
LINGER_S = 0.3  # for a client to read why it was refused while it still sends
RETRY_AFTER_OVERLOAD = b"Retry-After: 0.100\r\n"  # with a refusal for want of room

REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
    408: b"Request Timeout", 409: b"Conflict", 413: b"Content Too Large", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 502: b"Bad Gateway", 503: b"Service Unavailable",
}  # fmt: skip

log = logging.getLogger(__name__)


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a client; one request at a time is held."""

    def __init__(self, owner: ConnectionOwner[ClientConnection], sock: socket.socket) -> None:
        self.owner = owner
        self.socket = sock
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.message = Message()
        self.pending: deque[Message | RequestRejected] = deque()
        self.request_id: int | None = None  # of the request that is held
        self.state_since_ns = clock.now()  # what is waited for now
        self.arrivals = ArrivalTracker(sock, owner.backlog_empty_at_ns)
        self.has_requested = False  # a whole request has come
        self.closing = False  # the last answer was written: nothing further is read or asked
        self.reading_stopped = False  # nothing further is read
        self.keep_alive = True
        self.reading_paused = False  # not read for now
        self.write_blocked = False  # answers that were written wait for the client to read
        self.receiving = self.receiving_head = False  # a message that is not whole yet, and its head
        self.messages_begun = self.incomplete_bytes = (
            0  # messages begun with the last data; bytes of an unfinished one
        )
        self.held_body_bytes = 0  # bytes of bodies that were read here
        self.arrived_at_ns = 0  # when the data that is being parsed came, at the earliest

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Transport's callback."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has no such base
        self.owner.connection_attached()

    def connection_lost(self, exc: Exception | None) -> None:
        """Transport's callback: whoever waited here has gone."""
        self.transport = None
        self.pending.clear()
        if self.request_id is not None:
            self.owner.request_cancelled(self.request_id)
            self.request_id = None
        self._release_held_body()
        self.owner.connection_closed(self)

    def pause_writing(self) -> None:
        """Transport's callback.  Guards against piling up answers that the client does not read."""
        self.write_blocked = True

    def resume_writing(self) -> None:
        """Transport's callback."""
        self.write_blocked = False
        self._handle_next()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Transport's callback.  Little is read at a time, so that many who write ahead pile up little."""
        self.arrivals.begin_read()
        return self.owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Transport's callback."""
        if self.reading_stopped:
            return
        fresh, self.messages_begun = not self.receiving, 0
        emptied = nbytes < len(self.owner.read_buffer)
        arrival = self.arrivals.end_read(emptied)
        self.arrived_at_ns, waiting = arrival.earliest_ns, len(self.pending)
        try:
            self.parser.feed_data(self.owner.read_buffer[:nbytes])
        except httptools.HttpParserCallbackError as fault:
            cause = fault.__context__
            self._reject(cause if isinstance(cause, RequestRejected) else RequestRejected(400, "malformed"))
        except httptools.HttpParserError:
            self._reject(RequestRejected(400, "malformed"))
        except httptools.HttpParserUpgrade:
            # Guards against losing a whole request for its wish to change protocols: answer in this one.
            self.reading_stopped = True
            self.message.keep_alive = False
        if (
            emptied
            and not self.receiving
            and len(self.pending) > waiting
            and self.pending[-1] is self.message
        ):
            self.message.arrived_at_ns = arrival.latest_ns  # its last byte is the last that has come
        # Guards against a head or a frame without end: the parser keeps it and tells only of whole fields.
        if self.receiving and self.messages_begun == fresh:
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
        began_at = clock.now()
        self.arrivals.resume(began_at, emptied=not self.has_unread_input())
        self.transport.resume_reading()

    def _reject(self, refusal: RequestRejected) -> None:
        if self.reading_stopped:
            return
        self.pending.append(refusal)
        self._stop_reading()

    def _stop_reading(self) -> None:
        self.reading_stopped = True
        if not self.reading_paused and self.transport is not None:
            # Guards against spending time on all that a refused client goes on to send.
            self._pause()

    def on_message_begin(self) -> None:
        """Parser's callback."""
        self.message = Message()
        self.receiving = self.receiving_head = True
        self.messages_begun += 1
        self.incomplete_bytes = 0
        if self.has_requested and self.request_id is None:
            self.state_since_ns = clock.now()

    def on_url(self, url: bytes) -> None:
        """Parser's callback."""
        self.message.count_head_bytes(len(url))
        self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser's callback."""
        self.message.count_head_bytes(len(name) + len(value) + 4)
        self.message.headers.append((name, value.rstrip(number_parsing.OPTIONAL_WHITESPACE)))

    def on_headers_complete(self) -> None:
        """Parser's callback."""
        self.receiving_head = False
        self.message.method = self.parser.get_method()
        self.message.check_framing(self.parser.get_http_version())
        if self.parser.should_upgrade() and self.message.has_body():
            # Guards against sending it on without its body, which the parser takes for another protocol.
            raise RequestRejected(400, "Upgrade on a request with a body: send it without")
        for name, value in self.message.headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue" and self.transport is not None:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Parser's callback."""
        if len(self.message.body) + len(body) > MAX_BODY_BYTES:
            raise RequestRejected(413, "the body is too large")
        if not self.owner.reserve_body_bytes(len(body)):
            raise RequestRejected(503, "too much is held already")
        self.held_body_bytes += len(body)
        self.message.body += body

    def on_message_complete(self) -> None:
        """Parser's callback."""
        self.receiving = False
        self.message.keep_alive = self.parser.should_keep_alive()
        self.message.arrived_at_ns = self.arrived_at_ns
        self.pending.append(self.message)

    def _handle_next(self) -> None:
        """Begin with the next request that was read, once the one before has its answer."""
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
            except RequestRejected as refusal:
                # Guards against a client that sends the same again and again: it has to connect again, once
                # the requests that were read behind this one have their answers.
                self._stop_reading()
                self.keep_alive = bool(self.pending)
                self._write_answer(
                    refusal.status,
                    str(refusal).encode(),
                    RETRY_AFTER_OVERLOAD if refusal.status == 503 else b"",
                )
                continue
            except Exception:
                # Guards against a fault in one request ending more than that request.
                log.exception("a request failed")
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

    def send_answer(self, answer: Answer) -> None:
        """Pass on a server's answer."""
        self._finish_request(200, answer.body, b"".join(b"%b: %b\r\n" % header for header in answer.headers))

    def send_refusal(self, retry_after_ns: int, sent_on: bool) -> None:
        """Refuse: 503 where the servers could not, 429 where nothing was sent on."""
        head = b"Retry-After: %.3f\r\n" % (retry_after_ns / clock.NS_PER_S)
        self._finish_request(503 if sent_on else 429, b"refused", head)

    def send_failure(self) -> None:
        """Fail."""
        self._finish_request(502, b"failed")

    def _finish_request(self, status: int, body: bytes, headers: bytes = b"") -> None:
        self.request_id = None
        self._write_answer(status, body, headers)
        if self.pending:
            self.owner.loop.call_soon(self._handle_next)

    def _write_answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        self.state_since_ns = clock.now()
        if not self.pending and not self.receiving:
            self._release_held_body()
        if self.transport is None:
            return
        last = self.reading_stopped and not self.pending  # of what was read, and nothing further is
        keep = self.keep_alive and not last and not (self.owner.shutting_down and self._is_last_answer())
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b\r\n%b"
            % (
                status,
                REASON_PHRASES[status],
                len(body),
                headers,
                b"" if keep else b"Connection: close\r\n",
                body,
            )
        )
        if keep:
            if not self.pending:
                self.owner.connection_idle(self)
            return
        self.closing = True
        self.owner.connection_closing(self)
        if self.reading_stopped:
            # Guards against a reset that overtakes the answer, as a close with data unread brings.
            self.transport.write_eof()
            self.owner.loop.call_later(LINGER_S, self._end_linger)
        else:
            self.transport.close()  # what was written is sent first

    def _end_linger(self) -> None:
        """Close the connection, unless the answer is still unsent: then ``check_timeouts`` closes it."""
        if self.transport is not None and not self.has_unsent_output():
            self.transport.abort()

    def _is_last_answer(self) -> bool:
        """While ending: whether this answer is the last, as no further request has come, or begun to.

        Guards against dropping a request that was taken, as a client that writes ahead has several here.
        """
        return not (
            self.pending or self.receiving or (self.owner.keeps_reading() and self.has_unread_input())
        )

    def has_abandoned_request(self) -> bool:
        """Whether the client has gone while a request of its waits that is held, or that it wrote ahead.

        Guards against sending on what nobody waits for: a connection that is not read tells of no end.
        """
        ahead = self.reading_paused and bool(self.pending) and isinstance(self.pending[0], Message)
        return (self.request_id is not None or ahead) and self.has_disconnected()

    def has_disconnected(self) -> bool:
        """Whether the client has closed its connection, or its side of it, be it read or not."""
        if self.transport is None or self.transport.is_closing():
            return True
        ends = select.poll()
        ends.register(self.socket, select.POLLRDHUP)
        try:
            return bool(ends.poll(0))
        except OSError:
            return False  # not known for now: whoever has not gone is owed an answer

    def disconnect_may_be_hidden(self) -> bool:
        """Whether the client may have closed its connection, unseen for what it sent ahead."""
        if not self.reading_paused:
            return False
        enough = HIDDEN_CLOSE_REJECTED_BYTES if self.reading_stopped else HIDDEN_CLOSE_BYTES
        try:
            return len(self.socket.recv(enough, socket.MSG_PEEK)) == enough
        except OSError:
            return False

    def _release_held_body(self) -> None:
        self.owner.reserve_body_bytes(-self.held_body_bytes)
        self.held_body_bytes = 0

    def check_timeouts(self, now: int) -> None:
        """Guards against clients that connect and say nothing, stop half way, or never read or ask again."""
        transport, waited = self.transport, now - self.state_since_ns
        if transport is not None and self.has_abandoned_request():
            transport.abort()
        if transport is None or self.request_id is not None:
            return
        if self.closing or transport.is_closing() or self.has_unsent_output():
            if waited >= ANSWER_READ_TIMEOUT_NS:
                transport.abort()
        elif self.receiving:
            if waited >= REQUEST_TIMEOUT_NS:
                self._reject(RequestRejected(408, "the request did not come whole"))
                self._handle_next()
        elif (
            waited >= (IDLE_TIMEOUT_NS if self.has_requested else REQUEST_TIMEOUT_NS)
            and not self.has_unread_input()
        ):
            transport.close()

    def reject_incomplete(self) -> None:
        """Refuse a request that has not come whole, as its rest would come too late.

        Guards against refusing one whose rest has come: it is read in the loop's next turn.
        """
        if self.receiving and self.request_id is None and not self.closing and not self.has_unread_input():
            self._reject(RequestRejected(503, "shutting down: send it to another gateway"))
            self._handle_next()

    def has_unsent_output(self) -> bool:
        """Whether a part of an answer waits for the client to read."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def is_idle(self) -> bool:
        """Whether it is between requests.

        Guards against closing on an answer that is still to be read, which the close would wait for.
        """
        return self.has_no_request() and not self.has_unsent_output()

    def has_no_request(self) -> bool:
        """Whether no request is being read here, or was read and waits for its turn."""
        return not self.receiving and not self.pending

    def has_unread_input(self) -> bool:
        """Whether something has come that was not read yet, or may have come.

        Guards against closing on a request while the system cannot tell for a moment.  Any other error has
        ended the connection, so that nobody waits there.
        """
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except BlockingIOError:
            return False
        except OSError as fault:
            return fault.errno in RETRYABLE
