"""Sockets whose system calls fail as a test says: a chosen errno at the n-th call of a kind, short transfers.

``Faults`` takes the place of the module ``socket`` in the module under test, so that its sockets are these
while those of the scripted peers stay as they are.
"""

from __future__ import annotations

import errno
import os
import socket
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer


class Call(Enum):
    """A kind of system call."""

    SOCKET = "socket"
    SETSOCKOPT = "setsockopt"
    SETBLOCKING = "fcntl"
    CONNECT = "connect"
    ACCEPT = "accept"
    SEND = "send"
    RECV = "recv"
    GETSOCKOPT = "getsockopt"
    SO_ERROR = "getsockopt gives an error of the connection"


@dataclass(frozen=True, slots=True)
class Fault:
    """Calls of a kind that fail, from the ``first`` on (counted from 1)."""

    call: Call
    code: int
    first: int = 1
    times: int = 1

    def hits(self, number: int) -> bool:
        """Whether the call with this number fails."""
        return self.first <= number < self.first + self.times


class Faults:
    """Stands for the module ``socket``; what it does not change is that module's."""

    def __init__(self, *faults: Fault, most_sent: int = 1 << 20, most_received: int = 1 << 20) -> None:
        """One call sends or receives so many bytes at the most."""
        self.faults = faults
        self.most_sent = most_sent
        self.most_received = most_received
        self.counts: Counter[Call] = Counter()
        self.raised: Counter[Call] = Counter()
        self.sockets: list[FaultySocket] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(socket, name)

    def socket(self, *arguments: Any, **named: Any) -> FaultySocket:
        """A new socket."""
        self.check(Call.SOCKET)
        made = FaultySocket(self, *arguments, **named)
        self.sockets.append(made)
        return made

    def code(self, call: Call) -> int:
        """Count a call; the errno that it fails with, or 0."""
        self.counts[call] += 1
        for fault in self.faults:
            if fault.call is call and fault.hits(self.counts[call]):
                self.raised[call] += 1
                return fault.code
        return 0

    def check(self, call: Call) -> None:
        """Count a call, and fail it where that is due."""
        code = self.code(call)
        if code:
            raise OSError(code, os.strerror(code))

    def all_closed(self) -> bool:
        """Whether no socket that was made here is still open."""
        return all(made.fileno() == -1 for made in self.sockets)

    def failing(self, faults: Iterable[Fault]) -> None:
        """From now on these calls fail, counted from here."""
        self.faults = tuple(faults)
        self.counts.clear()


class FaultySocket(socket.socket):
    """A socket whose calls its ``Faults`` can fail or shorten."""

    def __init__(self, faults: Faults, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.faults = faults

    def setsockopt(self, *arguments: Any) -> None:
        self.faults.check(Call.SETSOCKOPT)
        super().setsockopt(*arguments)

    def setblocking(self, flag: bool) -> None:
        self.faults.check(Call.SETBLOCKING)
        super().setblocking(flag)

    def getsockopt(self, *arguments: Any) -> Any:
        self.faults.check(Call.GETSOCKOPT)
        if arguments[:2] == (socket.SOL_SOCKET, socket.SO_ERROR):
            return super().getsockopt(*arguments) or self.faults.code(Call.SO_ERROR)
        return super().getsockopt(*arguments)

    def connect_ex(self, address: Any) -> int:
        code = self.faults.code(Call.CONNECT)
        if code == errno.EINTR:
            super().connect_ex(address)  # goes on all the same, see connect(2)
        return code or super().connect_ex(address)

    def accept(self) -> tuple[socket.socket, Any]:
        self.faults.check(Call.ACCEPT)
        number, address = self._accept()  # type: ignore[attr-defined]
        accepted = FaultySocket(self.faults, self.family, self.type, self.proto, fileno=number)
        self.faults.sockets.append(accepted)
        return accepted, address

    def send(self, data: ReadableBuffer, flags: int = 0) -> int:
        self.faults.check(Call.SEND)
        return super().send(bytes(data)[: self.faults.most_sent], flags)

    def recv(self, size: int, flags: int = 0) -> bytes:
        self.faults.check(Call.RECV)
        return super().recv(min(size, self.faults.most_received), flags)
