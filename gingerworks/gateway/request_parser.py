"""Parses a client's input into requests, within limits of size.

The parser is fed slices of the input and returns what each of them completes: requests, or at last a
rejection, after which it parses nothing more.
"""

from __future__ import annotations

import httptools

from gingerworks.gateway import number_parsing
from gingerworks.gateway.read_ahead import Slice
from gingerworks.gateway.requests import MAX_BODY_BYTES, MAX_HEAD_BYTES, Message, RequestRejected

# One request with its framing may have at most this size: in a body of one-byte chunks, each byte comes with
# about six bytes of framing.
MAX_MESSAGE_BYTES = MAX_HEAD_BYTES + 8 * MAX_BODY_BYTES


class RequestParser:
    """The target of the HTTP parser's callbacks."""

    def __init__(self) -> None:
        # The HTTP parser refers back to this object, so both are freed at once only after ``stop``.
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._message = Message()
        self._completed: list[Message | RequestRejected] = []
        self._earliest_ns = 0  # the earliest time at which the slice being parsed can have come
        self._begun_in_slice = 0
        # Bytes of the incomplete request, except those of slices that also held a part of another request.
        self._incomplete_bytes = 0
        self._receiving_head = False
        self.receiving = False  # a request has begun and is incomplete
        self.expects_continue = False  # in the latest slice, a head came whose client waits to send the body

    @property
    def stopped(self) -> bool:
        """Whether nothing more is parsed: the end of a request is unknown, or nothing may follow it."""
        return self._parser is None

    @property
    def began_request(self) -> bool:
        """Whether a request began in the latest slice."""
        return self._begun_in_slice > 0

    @property
    def held_bytes(self) -> int:
        """The memory that the incomplete request takes, about; 0 if there is none."""
        if not self.receiving or self.stopped:
            return 0
        return max(self._message.held_bytes, self._incomplete_bytes if self._receiving_head else 0)

    def stop(self) -> None:
        """Parse nothing more, and let go of an incomplete request."""
        self._parser = None  # it may hold a large part of a field
        self._message = Message()

    def feed(self, part: Slice) -> list[Message | RequestRejected]:
        """Parse a slice; returns the requests that it completes, and the rejection of what can't be one."""
        assert self._parser is not None
        begins_of_one_request = (
            0 if self.receiving else 1
        )  # as many begin if the slice holds parts of one only
        self._begun_in_slice, self.expects_continue = 0, False
        self._earliest_ns, self._completed = part.earliest_ns, []
        try:
            self._parser.feed_data(part.data)
        except httptools.HttpParserCallbackError as error:
            self._reject(_rejection_for(error))
        except httptools.HttpParserError:
            self._reject(RequestRejected(400, "malformed"))
        except httptools.HttpParserUpgrade:
            # The parser stops at an Upgrade header; the request itself is whole and is answered in HTTP/1.
            self._message.keep_alive = False
            self.stop()
        if not self.receiving and self._completed and part.last_byte_ns is not None:
            self._set_last_arrival(part.last_byte_ns)
        if self.receiving and self._begun_in_slice == begins_of_one_request:
            self._limit_incomplete(len(part.data))
        completed, self._completed = self._completed, []
        if not self.receiving:
            self._message = Message()  # the caller has the completed one
        return completed

    def _set_last_arrival(self, last_byte_ns: int) -> None:
        """The last byte received is the last one of the last request."""
        last = self._completed[-1]
        if isinstance(last, Message):
            last.arrived_at_ns = last_byte_ns

    def _limit_incomplete(self, size: int) -> None:
        """Limit an endless field or chunk size, which the parser buffers without calling back."""
        self._incomplete_bytes += size
        if self._incomplete_bytes > (MAX_HEAD_BYTES if self._receiving_head else MAX_MESSAGE_BYTES):
            self._reject(RequestRejected(431, "the request is too large"))

    def _reject(self, rejection: RequestRejected) -> None:
        if not self.stopped:
            self._completed.append(rejection)
            self.stop()

    def on_message_begin(self) -> None:
        """Called by the parser at the start of a request."""
        self._message = Message()
        self.receiving = self._receiving_head = True
        self._begun_in_slice += 1
        self._incomplete_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Called by the parser with a part of the request target."""
        self._message.count_head_bytes(len(url))
        self._message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with one header field."""
        self._message.add_field(name, value.rstrip(number_parsing.OPTIONAL_WHITESPACE))

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of the head: checks the framing and answers ``Expect``."""
        assert self._parser is not None
        self._receiving_head = False
        self._message.method = self._parser.get_method()
        self._message.check_framing(self._parser.get_http_version())
        if self._parser.should_upgrade() and self._message.has_body():
            # The parser leaves the body to the new protocol, so the request would be forwarded without it.
            raise RequestRejected(400, "Upgrade on a request with a body: send it without")
        self.expects_continue = self.expects_continue or self._message.expects_continue

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a part of the body, without chunk framing."""
        self._message.add_body(body)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a request."""
        assert self._parser is not None
        self.receiving = False
        self._message.keep_alive = self._parser.should_keep_alive()
        self._message.arrived_at_ns = self._earliest_ns
        self._completed.append(self._message)


def _rejection_for(error: httptools.HttpParserCallbackError) -> RequestRejected:
    """The rejection that a callback has raised, without the traceback, which would keep what it refers to."""
    cause = error.__context__
    if isinstance(cause, RequestRejected):
        return RequestRejected(cause.status, str(cause))
    return RequestRejected(400, "malformed")
