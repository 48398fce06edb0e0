"""Classifies the errors of Linux's socket calls and describes them for operators.

The sets tell what an errno means for the gateway: a shortage on this host, a call worth repeating, a client
that left before it was accepted, or a connection that this host could not open.  They follow the manual pages
accept(2), connect(2), recv(2), send(2) and socket(2).
"""

from __future__ import annotations

import errno
import os

# This process or this host has no file descriptors left.  Closing an idle connection frees one.
DESCRIPTOR_SHORTAGE = frozenset({errno.EMFILE, errno.ENFILE})
# This host is temporarily out of descriptors, buffers or memory; the error says nothing about the peer.
RESOURCE_SHORTAGE = DESCRIPTOR_SHORTAGE | {errno.ENOBUFS, errno.ENOMEM}

SHORTAGE_RETRY_DELAY_S = 0.01  # a read or write that failed for lack of buffers is repeated after this long

# After these errors of a read or write, the call had no effect, and the same call may succeed later on the
# same connection.
RETRYABLE_ERRORS = frozenset({errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})

# These errors of accept(2) concern the connection that was to be accepted, not the listener.  That connection
# is lost, but others may wait behind it; the manual page says to treat these errors "like EAGAIN by
# retrying".
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
        errno.EPERM,  # a firewall on this host forbids that connection
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)

# After these errors of connect(2), this host has sent nothing, or its own firewall blocked it.
LOCAL_CONNECT_ERRORS = RESOURCE_SHORTAGE | {
    errno.EACCES,
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
    errno.EPERM,
}
# If ``connect`` itself returns one of these, this host itself has no route.  If one comes later, through
# SO_ERROR, a router on the way has reported it, which concerns the path to that peer only.  EHOSTUNREACH and
# ETIMEDOUT always concern that one address: a router or the neighbour table reports the former, and the
# latter means that nothing answered.
NO_LOCAL_ROUTE = frozenset({errno.ENETDOWN, errno.ENETUNREACH})

_ADVICE = {
    errno.EMFILE: "raise this process's open files limit (ulimit -n) to limits.sockets, or lower the latter",
    errno.ENFILE: "raise fs.file-max, or run fewer processes on this host",
    errno.ENOBUFS: "no network buffers are left; check net.ipv4.tcp_mem and the network interfaces' queues",
    errno.ENOMEM: "this host is short of memory; check what uses it, and net.ipv4.tcp_mem",
    errno.EADDRNOTAVAIL: "no local port is free; widen net.ipv4.ip_local_port_range",
    errno.EADDRINUSE: "no local port is free; widen net.ipv4.ip_local_port_range",
    errno.EAGAIN: "no local port is free; widen net.ipv4.ip_local_port_range",
    errno.EACCES: "check the firewall rules of this host for outgoing connections",
    errno.EPERM: "check the firewall rules of this host for outgoing connections",
    errno.ENETUNREACH: "this host has no route to that address; check its network interfaces and routes",
    errno.ENETDOWN: "the network of this host is down; check its network interfaces and routes",
}


def describe_error(code: int) -> str:
    """The error in words, followed by what an operator can do about it, if known."""
    text = f"[Errno {code}] {os.strerror(code)}"
    advice = _ADVICE.get(code)
    return f"{text}; {advice}" if advice else text
