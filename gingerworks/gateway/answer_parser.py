"""Parses what a server sends in answer to one request: interim answers (1xx) and then the final answer.

Where the final answer states the length of its body, the parser finds what follows it.  A second answer may
follow.  Anything else could be the rest of the body, if the stated length is too small, so the answer is
invalid.  The end of a chunked body is marked, so what follows one is not a part of it.
"""

from __future__ import annotations

import json
import re

import httptools

from gingerworks import interface
from gingerworks.gateway import number_parsing

MAX_BODY_BYTES = 64 * 1024  # an answer with a larger body is rejected
MAX_ANSWER_BYTES = MAX_BODY_BYTES + 16 * 1024  # an answer with its head and framing may have this size
MAX_INTERIM_ANSWERS = 16  # a server may send this many answers with a 1xx status before the final answer
MAX_LOAD_REPORT_BYTES = 1024  # longer values of X-Backend-Load are ignored
HTTP_PREFIX, HTTP_VERSIONS = b"HTTP/", ("1.1", "1.0")
ANSWER_HEADERS_FOR_CLIENT = (b"content-type", b"content-encoding")  # the client needs these to read the body
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")  # without these, the close ends an answer

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}[ \r]")


class InvalidAnswer(Exception):
    """A server's answer violates the protocol or a limit of this module; the text says how."""


class Answer:
    """A server's answer, filled in by the parser."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.billed_units: float | None = None  # the units that the server bills for the request
        self.load_report: tuple[tuple[str, float], ...] = ()  # the server's X-Backend-Load
        self.reported_unprocessed = False  # whether the server sent ``X-Unprocessed: 1``

    def attempt_status(self) -> interface.Status:
        """The status of the attempt: only a 503 or 504 with ``X-Unprocessed: 1`` proves that it never ran."""
        if self.status == 200:
            return interface.Status.DELIVERED
        if self.status in (503, 504) and self.reported_unprocessed:
            return interface.Status.SHED
        return interface.Status.ERROR


class AnswerParser:
    """Parses one final answer and the interim answers before it; a second answer does not change it."""

    def __init__(self, settings: interface.Settings) -> None:
        self._settings = settings
        # The HTTP parser refers back to this object, so both are freed at once only after ``stop``.
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._interim_answers = 0
        self.received_bytes = 0
        self._in_head = True
        self._framed = self._ends_at_close = False
        self._content_length: int | None = None  # as the answer's head states it
        self.answer = Answer()
        self.begun = False  # an answer has begun and is incomplete
        self.complete = False  # the final answer is complete
        self.keep_alive = False  # the server allows a further request on the connection

    def stop(self) -> None:
        """Parse nothing more, and let go of the answer."""
        self._parser, self.answer = None, Answer()

    def feed(self, data: bytes) -> None:
        """Parse a part of the answer, or what follows it.

        Raises ``InvalidAnswer`` if the data cannot belong to a valid answer, or follows one that may not be
        whole.
        """
        if not self.received_bytes and not data.startswith(HTTP_PREFIX[: len(data)]):
            raise InvalidAnswer("not HTTP")  # the HTTP parser also accepts other protocols
        self.received_bytes += len(data)
        try:
            following = self._parse(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.keep_alive = False
            if not self.complete:
                raise InvalidAnswer(str(error.__context__ or error)) from None
            return
        if following:
            self._check_following(following)
        if not self.complete and self.received_bytes > MAX_ANSWER_BYTES:
            raise InvalidAnswer("the answer is too long")

    def _parse(self, data: bytes) -> bytes:
        """Parse data up to the end of the answer; returns what follows it."""
        assert self._parser is not None
        view, position = memoryview(data), 0
        while position < len(data) and not self.complete:
            end = self._next_piece_end(data, position)
            self._parser.feed_data(view[position:end])
            position = end
        return data[position:]

    def _next_piece_end(self, data: bytes, position: int) -> int:
        """Where the piece that begins at this position ends: at the end of the answer at the latest.

        A head is parsed by lines, as only its fields tell where the answer ends.
        """
        if self._in_head:
            line_end = data.find(b"\n", position)
            return len(data) if line_end < 0 else line_end + 1
        if self._content_length is None:
            return len(data)
        return min(len(data), position + self._content_length - len(self.answer.body))

    def _check_following(self, following: bytes) -> None:
        """Check that what follows the complete answer is not the rest of its body."""
        self.keep_alive = False
        if self._content_length is not None and not _STATUS_LINE.match(following):
            raise InvalidAnswer(f"a body longer than the {self._content_length} bytes stated")

    def end_of_connection(self) -> None:
        """The server has ended the connection: that completes an answer without framing."""
        if self._ends_at_close and not self.complete:
            self.on_message_complete()

    def on_message_begin(self) -> None:
        """Parser's callback."""
        if self.complete:
            self.keep_alive = False  # further data follows the complete answer
            return
        self.begun = True
        self._framed, self._content_length = False, None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser's callback."""
        # In each callback of the parser, data that follows a complete answer must not change that answer.
        if self.complete:
            return
        name, value, answer = name.lower(), value.rstrip(number_parsing.OPTIONAL_WHITESPACE), self.answer
        self._framed = self._framed or name in FRAMING_HEADERS
        if name == b"content-length":
            self._content_length = int(value)
            if self._content_length > MAX_BODY_BYTES:
                # The answer is rejected before its body is read.
                raise InvalidAnswer(f"a body of {self._content_length} bytes is too long")
        if name in ANSWER_HEADERS_FOR_CLIENT:
            answer.headers.append((name, value))
        elif name == b"x-unprocessed":
            answer.reported_unprocessed = value == b"1"
        elif name == b"x-settled":
            answer.billed_units = parse_billed_units(value, self._settings.max_units)
        elif name == b"x-backend-load":
            answer.load_report = parse_load_report(value, self._settings.report_names)

    def on_headers_complete(self) -> None:
        """Parser's callback."""
        if self.complete:
            return
        assert self._parser is not None
        self._in_head = False
        if self._parser.get_http_version() not in HTTP_VERSIONS:
            raise InvalidAnswer("not HTTP/1.0 or HTTP/1.1")
        self._ends_at_close = not self._framed and self._parser.get_status_code() >= 200

    def on_body(self, body: bytes) -> None:
        """Parser's callback."""
        if not self.complete:
            self.answer.body += body

    def on_message_complete(self) -> None:
        """Parser's callback; interim answers (1xx) before the final one are ignored."""
        if self.complete:
            return
        assert self._parser is not None
        self.begun, self._in_head = False, True
        self.answer.status = self._parser.get_status_code()
        if self.answer.status >= 200:
            self.complete = True
            # The parser is asked here, as it resets its state after this callback and would return false.
            self.keep_alive = self._parser.should_keep_alive()
        else:
            self.answer = Answer()
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise InvalidAnswer("too many interim answers")


def parse_billed_units(value: bytes, max_units: float) -> float | None:
    """Read the units that a server bills for a request; None if the value is malformed or impossible."""
    units = number_parsing.parse_decimal(value)
    return units if units is not None and 0 < units <= max_units else None


def parse_load_report(value: bytes, names: tuple[str, ...]) -> tuple[tuple[str, float], ...]:
    """The fields of a load report that have these names; others and malformed values are ignored."""
    if len(value) > MAX_LOAD_REPORT_BYTES:
        return ()
    try:
        report = json.loads(value)
    except (ValueError, RecursionError):  # RecursionError: deeply nested JSON
        return ()
    if not isinstance(report, dict):
        return ()
    pairs = ((name, report.get(name)) for name in names)
    return tuple(
        (name, float(n))
        for name, n in pairs
        if isinstance(n, (int, float)) and not isinstance(n, bool) and 0 <= n < 1e9
    )
