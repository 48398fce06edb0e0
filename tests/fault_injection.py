"""Injects faults into the sockets of a module under test.

``FaultySocketModule`` replaces the module ``socket`` there, while the sockets of the scripted peers stay
real.  A test chooses which system calls fail, from the n-th call of a kind on and with which errno, and may
limit how many bytes one call sends or receives.
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
    SO_ERROR = "getsockopt returns an error of the connection"


@dataclass(frozen=True, slots=True)
class Fault:
    """``times`` calls of a kind fail with errno ``code``, from the ``first`` one on (counted from 1)."""

    call: Call
    code: int
    first: int = 1
    times: int = 1

    def applies_to(self, number: int) -> bool:
        """Whether the call with this number fails."""
        return self.first <= number < self.first + self.times


class FaultySocketModule:
    """Replaces the module ``socket``; all other names are that module's."""

    def __init__(self, *faults: Fault, max_sent: int = 1 << 20, max_received: int = 1 << 20) -> None:
        """One call sends at most ``max_sent`` and receives at most ``max_received`` bytes."""
        self.faults = faults
        self.max_sent = max_sent
        self.max_received = max_received
        self.call_counts: Counter[Call] = Counter()
        self.fault_counts: Counter[Call] = Counter()
        self.sockets: list[FaultySocket] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(socket, name)

    def socket(self, *arguments: Any, **named: Any) -> FaultySocket:
        """A new socket."""
        self.raise_if_due(Call.SOCKET)
        made = FaultySocket(self, *arguments, **named)
        self.sockets.append(made)
        return made

    def next_errno(self, call: Call) -> int:
        """Count a call and return the errno with which it fails, or 0."""
        self.call_counts[call] += 1
        for fault in self.faults:
            if fault.call is call and fault.applies_to(self.call_counts[call]):
                self.fault_counts[call] += 1
                return fault.code
        return 0

    def raise_if_due(self, call: Call) -> None:
        """Count a call, and raise an error if it is to fail."""
        code = self.next_errno(call)
        if code:
            raise OSError(code, os.strerror(code))

    def all_closed(self) -> bool:
        """Whether all sockets created here are closed."""
        return all(made.fileno() == -1 for made in self.sockets)

    def replace_faults(self, faults: Iterable[Fault]) -> None:
        """Use these faults from now on, and count calls anew."""
        self.faults = tuple(faults)
        self.call_counts.clear()


class FaultySocket(socket.socket):
    """A socket whose calls its ``FaultySocketModule`` may fail or shorten."""

    def __init__(self, module: FaultySocketModule, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.module = module

    def setsockopt(self, *arguments: Any) -> None:
        self.module.raise_if_due(Call.SETSOCKOPT)
        super().setsockopt(*arguments)

    def setblocking(self, flag: bool) -> None:
        self.module.raise_if_due(Call.SETBLOCKING)
        super().setblocking(flag)

    def getsockopt(self, *arguments: Any) -> Any:
        self.module.raise_if_due(Call.GETSOCKOPT)
        if arguments[:2] == (socket.SOL_SOCKET, socket.SO_ERROR):
            return super().getsockopt(*arguments) or self.module.next_errno(Call.SO_ERROR)
        return super().getsockopt(*arguments)

    def connect_ex(self, address: Any) -> int:
        code = self.module.next_errno(Call.CONNECT)
        if code == errno.EINTR:
            super().connect_ex(address)  # continues in the background, see connect(2)
        return code or super().connect_ex(address)

    def accept(self) -> tuple[socket.socket, Any]:
        self.module.raise_if_due(Call.ACCEPT)
        number, address = self._accept()  # type: ignore[attr-defined]
        accepted = FaultySocket(self.module, self.family, self.type, self.proto, fileno=number)
        self.module.sockets.append(accepted)
        return accepted, address

    def send(self, data: ReadableBuffer, flags: int = 0) -> int:
        self.module.raise_if_due(Call.SEND)
        return super().send(bytes(data)[: self.module.max_sent], flags)

    def recv(self, size: int, flags: int = 0) -> bytes:
        self.module.raise_if_due(Call.RECV)
        return super().recv(min(size, self.module.max_received), flags)
