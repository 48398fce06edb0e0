"""When the data of a connection arrived, which may be long before it is read.

The kernel knows how long ago the latest data arrived (``TCP_INFO``).  ``ArrivalTracker`` combines this with
what the reader knows: the last time at which nothing was unread.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

from gingerworks.gateway import clock

# struct tcp_info of linux/tcp.h: eight bytes, then fields of four bytes; the twelfth is tcpi_last_data_recv.
_LAST_DATA_RECEIVED = struct.Struct("=52xI")


@dataclass(frozen=True)
class ArrivalTimes:
    """The times between which the data of one read arrived."""

    earliest_ns: int
    latest_ns: int  # when the last byte of the read arrived


def last_data_age_ns(sock: socket.socket) -> int | None:
    """How long ago data last arrived on a TCP connection, whether read or not; None if unknown."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED.size)
    except OSError:
        return None
    if len(info) < _LAST_DATA_RECEIVED.size:
        return None
    (milliseconds,) = _LAST_DATA_RECEIVED.unpack(info)
    return int(milliseconds) * clock.NS_PER_MS


class ArrivalTracker:
    """Finds the arrival times of one connection's data; its reader reports each read and each pause.

    The kernel knows the age of the latest data only, and some systems report none or measure it with
    another clock.  So an age that points to a time before the connection last held no unread data is cut to
    that time.
    """

    def __init__(self, sock: socket.socket, empty_at_ns: int) -> None:
        """Track a connection on which no data arrived before ``empty_at_ns``."""
        self._socket = sock
        self._empty_at_ns = empty_at_ns  # all unread data came after this time
        self._read_began_at_ns = empty_at_ns
        self._paused = False

    def begin_read(self) -> None:
        """A read begins: data that arrives from now on may be left for the next read."""
        self._read_began_at_ns = clock.now()

    def pause(self) -> None:
        """Reading pauses: data that arrives meanwhile may stay unread for as long as the pause lasts."""
        self._paused = True

    def resume(self, checked_at_ns: int, emptied: bool) -> None:
        """Reading goes on after a pause; ``emptied`` says that no data was unread at ``checked_at_ns``.

        If so, all data read from now on arrived after that time.  Otherwise some may have arrived at any time
        during the pause.
        """
        if emptied:
            self._empty_at_ns, self._paused = checked_at_ns, False

    def end_read(self, emptied: bool) -> ArrivalTimes:
        """The arrival times of this read's data; ``emptied`` says that it took all that was unread."""
        now = clock.now()
        age_ns = last_data_age_ns(self._socket)
        latest_ns = now if age_ns is None else min(now, max(now - age_ns, self._empty_at_ns))
        # If several messages came in during a pause, the kernel knows only the age of the last one.
        earliest_ns = self._empty_at_ns if self._paused else latest_ns
        if emptied:
            self._empty_at_ns, self._paused = self._read_began_at_ns, False
        return ArrivalTimes(earliest_ns, latest_ns)
