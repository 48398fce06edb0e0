"""What errors of Linux's socket calls say: whose fault one is, and what an operator can do about it.

The sets follow accept(2), connect(2), recv(2), send(2) and socket(2).
"""

from __future__ import annotations

import errno
import os

# This process, or this host, has no descriptor left.  Closing a connection that rests gives one back.
DESCRIPTOR_SHORTAGE = frozenset({errno.EMFILE, errno.ENFILE})
# This host is short of something for a moment; no peer has a part in it.
RESOURCE_SHORTAGE = DESCRIPTOR_SHORTAGE | {errno.ENOBUFS, errno.ENOMEM}

SHORTAGE_RETRY_DELAY_S = 0.01  # before a read or write is tried again for which this host had no buffers

# The call has done nothing, and the same call may succeed later on the same connection.
RETRYABLE = frozenset({errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})

# accept(2): errors of the connection that was to be accepted, not of the listener.  That one is gone and
# others may wait behind it, so they are treated "like EAGAIN by retrying".
CONNECTION_NOT_ACCEPTED = frozenset(
    {
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,  # a firewall of this host forbids that connection
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)

# connect(2): nothing was sent, or a firewall of this host let nothing out.
LOCAL_CONNECT_ERRORS = RESOURCE_SHORTAGE | {
    errno.EACCES,
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
    errno.EPERM,
}
# As the result of ``connect`` itself: this host has no route out.  Told later, through SO_ERROR, a router on
# the way has said so, which tells of the path to that peer alone.  EHOSTUNREACH and ETIMEDOUT always do: what
# a router or the neighbour table says, and the lack of any answer, concern one address.
NO_LOCAL_ROUTE = frozenset({errno.ENETDOWN, errno.ENETUNREACH})

_ADVICE = {
    errno.EMFILE: "raise this process's open files limit (ulimit -n) to limits.sockets, or lower that",
    errno.ENFILE: "raise fs.file-max, or run fewer processes on this host",
    errno.ENOBUFS: "no network buffers are left: look at net.ipv4.tcp_mem and the interfaces' queues",
    errno.ENOMEM: "the host is short of memory: look at what uses it and at net.ipv4.tcp_mem",
    errno.EADDRNOTAVAIL: "no local port is free: widen net.ipv4.ip_local_port_range",
    errno.EADDRINUSE: "no local port is free: widen net.ipv4.ip_local_port_range",
    errno.EAGAIN: "no local port is free: widen net.ipv4.ip_local_port_range",
    errno.EACCES: "look at this host's outgoing firewall rules",
    errno.EPERM: "look at this host's outgoing firewall rules",
    errno.ENETUNREACH: "this host has no route there: look at its interfaces and routes",
    errno.ENETDOWN: "this host's network is down: look at its interfaces and routes",
}


def describe_error(code: int) -> str:
    """The error in words, with what an operator can do where that is known."""
    text = f"[Errno {code}] {os.strerror(code)}"
    advice = _ADVICE.get(code)
    return f"{text}; {advice}" if advice else text
