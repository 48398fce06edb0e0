"""Reads a socket again after a pause, where this host had no buffers to read it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from gingerworks.gateway.system_errors import SHORTAGE_RETRY_DELAY_S


def retry_read_later(
    loop: asyncio.AbstractEventLoop,
    sock: socket.socket,
    readable: Callable[[], None],
    held: Callable[[], bool],
) -> None:
    """Stop watching the socket for a while; ``held`` tells whether its owner still has it then.

    Guards against a spin: a socket counts as readable while this host has no buffers to read it.
    """
    loop.remove_reader(sock.fileno())
    loop.call_later(SHORTAGE_RETRY_DELAY_S, retry_read, loop, sock, readable, held)


def retry_read(
    loop: asyncio.AbstractEventLoop,
    sock: socket.socket,
    readable: Callable[[], None],
    held: Callable[[], bool],
) -> None:
    """Watch the socket again, unless it was closed meanwhile."""
    if not held():
        return
    try:
        loop.add_reader(sock.fileno(), readable)
    except OSError:
        retry_read_later(loop, sock, readable, held)
