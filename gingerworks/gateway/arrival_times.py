"""When the data of a connection came, by the kernel's account and within what the reader itself knows."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

from gingerworks.gateway import clock

# struct tcp_info of linux/tcp.h: eight bytes, then fields of four; the twelfth is tcpi_last_data_recv.
_LAST_DATA_RECEIVED = struct.Struct("=52xI")


@dataclass(frozen=True)
class ArrivalTimes:
    """Between which times the data of one read came."""

    earliest_ns: int
    latest_ns: int  # of its last byte


def last_data_age_ns(sock: socket.socket) -> int | None:
    """How long ago data last came on a TCP connection, be it read or not; none where that is unknown."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED.size)
    except OSError:
        return None
    if len(info) < _LAST_DATA_RECEIVED.size:
        return None
    (milliseconds,) = _LAST_DATA_RECEIVED.unpack(info)
    return int(milliseconds) * clock.NS_PER_MS


class ArrivalTracker:
    """The arrival times on one connection; its reader tells of each read and of each pause.

    The kernel tells the age of the latest data alone, and on some systems nothing or by another clock.  So an
    age counts only as far back as the connection is known to have held nothing unread.
    """

    def __init__(self, sock: socket.socket, empty_at: int) -> None:
        """Nothing came before ``empty_at``."""
        self._socket = sock
        self._empty_at = empty_at  # whatever is unread came later
        self._began_at = empty_at
        self._paused = False

    def begin_read(self) -> None:
        """What comes from now on may be left for the next read."""
        self._began_at = clock.now()

    def pause(self) -> None:
        """Nothing is read for now: what comes meanwhile may wait for as long as that lasts."""
        self._paused = True

    def resume(self, began_at: int, emptied: bool) -> None:
        """Reading goes on; ``emptied``: nothing lay unread at ``began_at``.

        Guards against counting what comes after a pause as if it had come during it.
        """
        if emptied:
            self._empty_at, self._paused = began_at, False

    def end_read(self, emptied: bool) -> ArrivalTimes:
        """When the data of this read came; ``emptied``: nothing was left unread as it began."""
        now = clock.now()
        age = last_data_age_ns(self._socket)
        latest_ns = now if age is None else min(now, max(now - age, self._empty_at))
        # Of several messages that a pause kept unread the kernel knows only the last one's age.
        earliest_ns = self._empty_at if self._paused else latest_ns
        if emptied:
            self._empty_at, self._paused = self._began_at, False
        return ArrivalTimes(earliest_ns, latest_ns)
