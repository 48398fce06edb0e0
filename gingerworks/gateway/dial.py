"""Opens outgoing TCP connections to servers and to the shared counter.

``Dial`` opens one non-blocking connection with a time-out and calls back once it is up or has failed.  It
hands over the plain socket, so that the caller controls every byte that is sent and knows which ones the
kernel has accepted.  A failure is classified: either this host could not connect, or the other end could not
be reached.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from enum import Enum

from gingerworks.gateway.config import Address
from gingerworks.gateway.system_errors import LOCAL_CONNECT_ERRORS, NO_LOCAL_ROUTE, describe_error

# After these results of connect(2), the connection is being established; after EINTR that goes on in the
# background.
CONNECTING = (0, errno.EINPROGRESS, errno.EINTR)


class DialFailure(Enum):
    """Which side prevented a connection."""

    LOCAL = "this host could not connect; the peer may be well"
    UNREACHABLE = "the peer refused the connection, or the path to it is broken"


class DialError(Exception):
    """A connection could not be established; the text says why and what an operator can do."""

    def __init__(self, failure: DialFailure, text: str, code: int = 0) -> None:
        """``code`` is the errno of the failed system call, or 0 if no call failed."""
        super().__init__(text)
        self.failure = failure
        self.code = code

    @classmethod
    def from_errno(cls, failure: DialFailure, code: int) -> DialError:
        """Describe the failure of a system call."""
        return cls(failure, describe_error(code), code)


class Dial:
    """A connection being established: calls ``on_connected`` or ``on_failed``, once, unless cancelled."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        timeout_s: float,
        on_connected: Callable[[socket.socket], None],
        on_failed: Callable[[DialError], None],
    ) -> None:
        """Start to connect; an immediate failure raises ``DialError``."""
        self._loop = loop
        self._on_connected = on_connected
        self._on_failed = on_failed
        self._socket = _start_connecting(address)
        try:
            loop.add_writer(self._socket.fileno(), self._on_writable)
        except OSError as error:
            self._socket.close()
            raise DialError.from_errno(DialFailure.LOCAL, error.errno or 0) from error
        self._timer = loop.call_later(timeout_s, self._on_timeout)

    def cancel(self) -> None:
        """Stop connecting; no callback is called any more."""
        self._stop()
        self._socket.close()

    def _stop(self) -> None:
        self._timer.cancel()
        self._loop.remove_writer(self._socket.fileno())

    def _on_timeout(self) -> None:
        self._fail(DialError(DialFailure.UNREACHABLE, "timed out while connecting"))

    def _fail(self, error: DialError) -> None:
        self.cancel()
        self._on_failed(error)

    def _on_writable(self) -> None:
        try:
            code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as error:
            # It is unknown whether the connection was established, but nothing was sent on it.
            return self._fail(DialError.from_errno(DialFailure.LOCAL, error.errno or 0))
        if code:
            failure = DialFailure.LOCAL if code in LOCAL_CONNECT_ERRORS else DialFailure.UNREACHABLE
            return self._fail(DialError.from_errno(failure, code))
        self._stop()
        return self._on_connected(self._socket)


def _start_connecting(address: Address) -> socket.socket:
    """A socket whose connection is being established."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:
        raise DialError.from_errno(DialFailure.LOCAL, error.errno or 0) from error
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        sock.close()
        raise DialError.from_errno(DialFailure.LOCAL, error.errno or 0) from error
    code = sock.connect_ex(address)
    if code in CONNECTING:
        return sock
    sock.close()
    local = code in LOCAL_CONNECT_ERRORS or code in NO_LOCAL_ROUTE
    raise DialError.from_errno(DialFailure.LOCAL if local else DialFailure.UNREACHABLE, code)
