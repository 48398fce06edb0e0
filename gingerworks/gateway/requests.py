"""Requests of clients: their framing and size limits, their validation, and the head to forward to a server.

``Message`` collects one HTTP request while it is parsed.  ``RequestValidator`` translates it into a request
for the policy, after checking it against the settings.  A request that fails a check raises
``RequestRejected`` with the HTTP status for the client.
"""

from __future__ import annotations

import re

from gingerworks import interface
from gingerworks.gateway import clock, number_parsing

MAX_HEAD_BYTES = 16 * 1024  # a request with a larger head is rejected
MAX_BODY_BYTES = 64 * 1024  # a request with a larger body is rejected
MESSAGE_OVERHEAD_BYTES = 1000  # memory that a request takes beside its bytes
CUSTOMER_ID_LIMIT = 1 << 33  # customers' ids are below this
MAX_TIME_LEFT_S = 3600.0  # a longer time in X-Time-Left counts as this one
HTTP_VERSIONS = ("1.1", "1.0")  # requests of other versions are rejected

# Header fields of a request that are not sent on to a server: the gateway sets them itself, or they concern
# the client's connection only.
REQUEST_HEADERS_NOT_FORWARDED = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
        b"upgrade", b"expect", b"content-length", b"x-time-left",
    )
)  # fmt: skip
# Header fields that a request may have only once: with two of them, the gateway and the server might each
# use a different one.
SINGLE_VALUED_HEADERS = frozenset(
    (
        b"host", b"content-length", b"transfer-encoding", b"expect", b"x-correlation-id", b"x-service-class",
        b"x-contract", b"x-time-left", b"x-metering", b"x-repeat",
    )
)  # fmt: skip
_ID = re.compile(rb"[!-~]{1,128}")
_TARGET = re.compile(rb"[!-~]+")
_CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")


class RequestRejected(Exception):
    """A request that is not valid or not acceptable now: the HTTP status and the text for the client."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Message:
    """One HTTP request, filled in by the parser's callbacks.

    Only the fields that the gateway itself needs are kept one by one.  The others are kept as the bytes to
    forward, as a head of many short fields would take many times its size otherwise.
    """

    __slots__ = (
        "_body",
        "_forwarded_fields",
        "arrived_at_ns",
        "fields",
        "head_bytes",
        "keep_alive",
        "method",
        "target",
    )

    def __init__(self) -> None:
        self.target = b""
        self.method = b""
        self.fields: dict[bytes, bytes] = {}  # the single-valued fields, by their names in lower case
        self.head_bytes = 0
        self.keep_alive = True
        self.arrived_at_ns = 0  # the earliest time at which the request's last byte can have come
        self._forwarded_fields = bytearray()
        self._body = bytearray()

    @property
    def body(self) -> bytes:
        """The body as received so far."""
        return bytes(self._body)

    @property
    def body_bytes(self) -> int:
        """The size of the body as received so far."""
        return len(self._body)

    @property
    def held_bytes(self) -> int:
        """The memory that this request takes, about."""
        return MESSAGE_OVERHEAD_BYTES + self.head_bytes + len(self._body)

    def add_field(self, name: bytes, value: bytes) -> None:
        """Add a field of the head; rejects the request if the head is too large or a field is doubled."""
        self.count_head_bytes(len(name) + len(value) + 4)
        lower_name = name.lower()
        if lower_name in SINGLE_VALUED_HEADERS:
            if lower_name in self.fields:
                raise RequestRejected(400, "a header that must not be doubled")
            self.fields[lower_name] = value
        if lower_name not in REQUEST_HEADERS_NOT_FORWARDED:
            self._forwarded_fields += b"%b: %b\r\n" % (name, value)

    def add_body(self, part: bytes) -> None:
        """Add a part of the body; rejects the request if the body is too large."""
        if len(self._body) + len(part) > MAX_BODY_BYTES:
            raise RequestRejected(413, "the body is too large")
        self._body += part

    def count_head_bytes(self, size: int) -> None:
        """Count bytes of the head; rejects the request if they are too many."""
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            raise RequestRejected(431, "the head is too large")

    def check_framing(self, version: str) -> None:
        """Reject a head that leaves the end of the body unclear, or announces too large a body.

        An unclear end allows request smuggling: a second request hidden in the body.  A body that is too
        large is rejected before it is received.
        """
        if version not in HTTP_VERSIONS:
            raise RequestRejected(400, "not HTTP/1")
        length, coding = self.fields.get(b"content-length"), self.fields.get(b"transfer-encoding")
        if coding is not None and (length is not None or coding.lower() != b"chunked"):
            raise RequestRejected(400, "Transfer-Encoding: with a length, or not chunked")
        if length is not None and (
            (body_bytes := number_parsing.parse_whole(length)) is None or body_bytes > MAX_BODY_BYTES
        ):
            raise RequestRejected(413, "the body is too large")

    @property
    def correlation_id(self) -> bytes:
        """The value of ``X-Correlation-Id``, or nothing if there is none."""
        return self.fields.get(b"x-correlation-id", b"")

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for an interim answer before it sends the body."""
        return self.fields.get(b"expect", b"").lower() == b"100-continue"

    def has_body(self) -> bool:
        """Whether the head announces a body."""
        return self.fields.get(b"content-length", b"0") != b"0" or b"transfer-encoding" in self.fields

    def forwarded_head(self) -> bytes:
        """The head for the server, without the time left and the empty line, which each attempt adds."""
        head = b"%b %b HTTP/1.1\r\n" % (self.method, self.target) + self._forwarded_fields
        if self._body or self.method == b"POST":
            head += b"Content-Length: %d\r\n" % len(self._body)
        return head


class RequestValidator:
    """Validates requests against the settings."""

    def __init__(self, settings: interface.Settings) -> None:
        self._classes = {request_class.name.encode(): request_class for request_class in settings.classes}
        self._plans = {plan.name.encode(): plan.name for plan in settings.plans}
        self._gateways = settings.gateways
        self._max_units = settings.max_units

    def validate(self, message: Message) -> interface.Request:
        """Translate a message into a request; raises ``RequestRejected`` if it is not valid."""
        request = self._to_request(message)
        if not _ID.fullmatch(message.correlation_id):
            raise RequestRejected(400, "X-Correlation-Id: missing or bad")
        return request

    def _to_request(self, message: Message) -> interface.Request:
        headers = message.fields
        request_class = self._classes.get(headers.get(b"x-service-class", b""))
        path = message.target.partition(b"?")[0].split(b"/")
        if not _TARGET.fullmatch(message.target):
            raise RequestRejected(400, "the target has characters that it must not have")
        if len(path) != 3 or path[0] or path[1] not in self._classes:
            raise RequestRejected(404, "no such path")
        if request_class is None or request_class.name.encode() != path[1]:
            raise RequestRejected(400, "X-Service-Class: not the path's")
        safe = request_class.effect is interface.Effect.SAFE
        if message.method != (b"GET" if safe else b"POST"):
            raise RequestRejected(405, "not this class's method")
        if safe and message.body_bytes:
            raise RequestRejected(400, "a body where there is none")
        plan = self._plans.get(headers.get(b"x-contract", b""))
        if plan is None:
            raise RequestRejected(400, "X-Contract: unknown")
        if not _CUSTOMER.fullmatch(path[2]) or int(path[2], 16) >= CUSTOMER_ID_LIMIT:
            raise RequestRejected(400, "the customer is not 16 hex digits below 2^33")
        time_left = number_parsing.parse_decimal(headers.get(b"x-time-left", b""))
        if not time_left:
            raise RequestRejected(400, "X-Time-Left: missing or bad")
        units, spread = self._parse_metering(headers.get(b"x-metering", b""))
        return interface.Request(
            id=0,
            class_name=request_class.name,
            plan=plan,
            customer=path[2].decode().lower(),
            entries=spread,
            ttl_ns=int(min(time_left, MAX_TIME_LEFT_S) * clock.NS_PER_S),
            units=units,
            is_retry=headers.get(b"x-repeat") == b"1",
        )

    def _parse_metering(self, value: bytes) -> tuple[float, int]:
        parts = [part.strip().partition(b"=")[::2] for part in value.split(b",")]
        pairs = dict(parts)
        units = number_parsing.parse_decimal(pairs.get(b"units", b""))
        if len(pairs) < len(parts) or not units or units > self._max_units:
            raise RequestRejected(400, "X-Metering: units")
        spread, first = (number_parsing.parse_whole(pairs.get(name, b"")) for name in (b"spread", b"first"))
        if spread is None or first is None or not 1 <= spread <= self._gateways or first >= self._gateways:
            raise RequestRejected(400, "X-Metering: no set of gateways")
        return units, spread
