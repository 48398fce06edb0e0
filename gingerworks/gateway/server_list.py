"""Reads the list of servers and its changes from JSON, as discovery and the configuration bring them."""

from __future__ import annotations

import ipaddress
import logging
import math
import re
from dataclasses import dataclass

from gingerworks import interface
from gingerworks.gateway import clock
from gingerworks.gateway.config import Address, address_from

MAX_LINE_BYTES = 1 << 20  # enough for thousands of servers in one line
MAX_SERVERS = 4096  # a list with more entries is rejected
MAX_LIST_VERSION = 1 << 53  # a list's version (``index``) must be below this: JSON numbers are exact up to it

PHASES = {
    "Ready": interface.Phase.READY,
    "Terminating": interface.Phase.DRAINING,
    "Gone": interface.Phase.GONE,
}

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A server as the policy knows it, and the address at which it listens."""

    server: interface.Server
    address: Address

    @property
    def process_identity(self) -> tuple[Address, int]:
        """Identifies the process behind an entry: a restart or a move to another address makes a new one."""
        return self.address, self.server.started_ns


@dataclass(frozen=True, slots=True)
class Change:
    """A version of the list: all entries (``full``), or those that changed."""

    index: int  # the version of the list
    full: bool
    endpoints: tuple[Endpoint, ...]


def change_from(raw: object) -> Change:
    """Read one message; skips malformed entries and raises ``ValueError`` if the message is malformed."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        raise ValueError("not a list of endpoints")
    index = raw.get("index")
    if not isinstance(index, int) or isinstance(index, bool) or not 0 <= index < MAX_LIST_VERSION:
        raise ValueError("index is not a whole number")
    if len(raw["endpoints"]) > MAX_SERVERS:
        raise ValueError("too many endpoints")
    endpoints = []
    for entry in raw["endpoints"]:
        try:
            endpoints.append(_endpoint(entry))
        except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
            log.warning("discovery: skipping a malformed entry: %.120s", error)
    return Change(index, raw.get("snapshot") is True, tuple(endpoints))


def known_server_count(raw: object) -> int:
    """How many entries a message has, before it is read."""
    endpoints = raw.get("endpoints") if isinstance(raw, dict) else None
    return len(endpoints) if isinstance(endpoints, list) else 0


def _endpoint(entry: dict[str, object]) -> Endpoint:
    name, since, weight = entry["name"], entry.get("since_ms", 0), entry.get("weight", 1.0)
    group, phase = entry.get("group", 0), PHASES[str(entry["status"])]
    if not isinstance(name, str) or not name:
        raise ValueError("name is missing or not a text")
    if not isinstance(since, (int, float)) or not 0 <= since < 1e15:
        raise ValueError(f"{name}: since_ms is not a time")
    if not isinstance(weight, (int, float)) or not math.isfinite(weight) or weight <= 0:
        weight = 1.0
    address = ("", 0) if phase is interface.Phase.GONE else address_from(entry["address"], name)
    if address[0]:
        ipaddress.ip_address(address[0])  # rejects host names: looking one up would block the event loop
    server = interface.Server(
        name=name,
        phase=phase,
        zone=str(entry.get("zone", "")),
        cell=group if isinstance(group, int) else 0,
        started_ns=clock.from_unix_ms(int(since)),
        size=float(weight),
    )
    return Endpoint(server, address)


class JsonObjectReader:
    """Splits the stream into JSON objects, each on one line or indented over several."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._size = self._depth = 0

    def add_line(self, line: bytes) -> bytes | None:
        """Add a line that is not empty; return the object that it completes, if any.

        Raises ``ValueError`` for lines that cannot belong to an object.  The objects that follow an
        incomplete one must not be taken for a part of it.  So a line that holds a whole list raises too if it
        comes within another object; and at an empty line, which comes within 2 s, the caller finds the
        incomplete object by ``is_incomplete``.
        """
        without_strings = _STRING.sub(b"", line)
        depth_change = (
            without_strings.count(b"{")
            + without_strings.count(b"[")
            - without_strings.count(b"}")
            - without_strings.count(b"]")
        )
        begins_object = line.lstrip().startswith(b"{")
        if (
            not begins_object
            if not self._lines
            else begins_object and depth_change == 0 and b'"endpoints"' in line
        ):
            raise ValueError("not a line of a JSON object")
        self._lines.append(line)
        self._size += len(line)
        self._depth += depth_change
        if self._size > MAX_LINE_BYTES:
            raise ValueError("a line is too long")
        if self._depth > 0:
            return None
        text = b"\n".join(self._lines)
        self._lines, self._size, self._depth = [], 0, 0
        return text

    def is_incomplete(self) -> bool:
        """Whether an object has begun and has not ended."""
        return bool(self._lines)
