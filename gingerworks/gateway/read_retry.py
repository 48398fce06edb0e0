"""Retries a read after a pause if this host had no buffers for it.

Meanwhile the event loop doesn't watch the socket: it counts as readable all the time, so the loop would call
the reader again and again and use up a processor core.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from gingerworks.gateway.system_errors import SHORTAGE_RETRY_DELAY_S


def retry_read_later(
    loop: asyncio.AbstractEventLoop,
    sock: socket.socket,
    on_readable: Callable[[], None],
    is_open: Callable[[], bool],
) -> None:
    """Stop watching the socket for a while; ``is_open`` tells whether its owner still uses it then."""
    loop.remove_reader(sock.fileno())
    loop.call_later(SHORTAGE_RETRY_DELAY_S, retry_read, loop, sock, on_readable, is_open)


def retry_read(
    loop: asyncio.AbstractEventLoop,
    sock: socket.socket,
    on_readable: Callable[[], None],
    is_open: Callable[[], bool],
) -> None:
    """Watch the socket again, unless its owner has closed it meanwhile."""
    if not is_open():
        return
    try:
        loop.add_reader(sock.fileno(), on_readable)
    except OSError:
        retry_read_later(loop, sock, on_readable, is_open)
