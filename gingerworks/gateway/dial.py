"""Opening one TCP connection without a task, on a socket whose every byte the caller controls."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from enum import Enum

from gingerworks.gateway.config import Address
from gingerworks.gateway.system_errors import LOCAL_CONNECT_ERRORS, NO_LOCAL_ROUTE, describe_error

# Interrupted by a signal, a connection goes on coming up all the same (connect(2)).
UNDER_WAY = (0, errno.EINPROGRESS, errno.EINTR)


class DialFailure(Enum):
    """Whose fault it is that a connection did not come up."""

    LOCAL = "this host could not dial; it says nothing of the peer"
    UNREACHABLE = "the peer refused, or the path to it does not work"


class DialError(Exception):
    """A connection did not come up; the text says why and what an operator can do."""

    def __init__(self, failure: DialFailure, text: str, code: int = 0) -> None:
        """``code`` is the system's error number, where a system call failed."""
        super().__init__(text)
        self.failure = failure
        self.code = code

    @classmethod
    def from_errno(cls, failure: DialFailure, code: int) -> DialError:
        """The failure of a system call."""
        return cls(failure, describe_error(code), code)


class Dial:
    """A connection on its way up: either ``done`` gets the socket or ``failed`` the reason, once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        timeout_s: float,
        on_connected: Callable[[socket.socket], None],
        on_failed: Callable[[DialError], None],
    ) -> None:
        """Begin at once; an error that shows right away raises ``DialError``."""
        self._loop = loop
        self._on_connected = on_connected
        self._on_failed = on_failed
        self._socket = _begin(address)
        try:
            loop.add_writer(self._socket.fileno(), self._on_writable)
        except OSError as fault:
            self._socket.close()
            raise DialError.from_errno(DialFailure.LOCAL, fault.errno or 0) from fault
        self._timer = loop.call_later(timeout_s, self._on_timeout)

    def cancel(self) -> None:
        """Give it up; neither callback is called any more."""
        self._stop()
        self._socket.close()

    def _stop(self) -> None:
        self._timer.cancel()
        self._loop.remove_writer(self._socket.fileno())

    def _on_timeout(self) -> None:
        self._fail(DialError(DialFailure.UNREACHABLE, "it did not come up in time"))

    def _fail(self, error: DialError) -> None:
        self.cancel()
        self._on_failed(error)

    def _on_writable(self) -> None:
        try:
            code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as fault:
            # Whether it came up is not known; nothing has been sent on it.
            return self._fail(DialError.from_errno(DialFailure.LOCAL, fault.errno or 0))
        if code:
            failure = DialFailure.LOCAL if code in LOCAL_CONNECT_ERRORS else DialFailure.UNREACHABLE
            return self._fail(DialError.from_errno(failure, code))
        self._stop()
        return self._on_connected(self._socket)


def _begin(address: Address) -> socket.socket:
    """A socket whose connection is on its way up."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as fault:
        raise DialError.from_errno(DialFailure.LOCAL, fault.errno or 0) from fault
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as fault:
        sock.close()
        raise DialError.from_errno(DialFailure.LOCAL, fault.errno or 0) from fault
    code = sock.connect_ex(address)
    if code in UNDER_WAY:
        return sock
    sock.close()
    local = code in LOCAL_CONNECT_ERRORS or code in NO_LOCAL_ROUTE
    raise DialError.from_errno(DialFailure.LOCAL if local else DialFailure.UNREACHABLE, code)
