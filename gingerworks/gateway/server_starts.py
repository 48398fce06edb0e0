"""When each server started, on this gateway's own clock, however its machine's wall clock was stepped.

``since_ms`` is a wall-clock time.  Where this machine's wall clock was stepped before the gateway started, it
is read wrongly by that step: with a clock that is ahead a cold server looks warm.  A server that this process
has itself seen become new therefore counts from the moment at which that was learned, which is never too
early, whatever ``since_ms`` says.  Of servers in the first list nothing better is known than ``since_ms``.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, replace

from gingerworks import interface
from gingerworks.gateway import clock
from gingerworks.gateway.clock_check import ClockCheck
from gingerworks.gateway.discovery import MAX_SERVERS, Change, Endpoint


@dataclass(frozen=True, slots=True)
class Start:
    """One start of a server: as discovery states it, and as this gateway counts it; 0 means long ago."""

    stated_ns: int
    counted_ns: int


class ServerStarts:
    """Remembers the start of each server, so that a stated time is interpreted once only."""

    def __init__(self) -> None:
        self._listed: dict[str, Start] = {}
        self._unlisted: dict[str, Start] = {}  # they may be listed again without a new start
        self._followed = False  # discovery has answered: what differs from now on has changed since
        self._new: list[int] = []  # the stated starts that the present list has told of
        self.clock_check = ClockCheck()

    def corrected(self, change: Change, cached: bool) -> Change:
        """The same change with start times on this gateway's clock.

        ``cached``: the list is the one known before the start, so that it does not tell what is new.
        """
        now = clock.now()
        self._new = []
        if change.full:
            self._unlist(self._listed.keys() - {endpoint.server.name for endpoint in change.endpoints})
        endpoints = tuple(self._corrected(endpoint, now) for endpoint in change.endpoints)
        self._followed = self._followed or not cached
        self.clock_check.learned(self._new, now)
        return replace(change, endpoints=endpoints)

    def _corrected(self, endpoint: Endpoint, now: int) -> Endpoint:
        server = endpoint.server
        if server.phase is interface.Phase.GONE:
            self._unlist({server.name} & self._listed.keys())
            return endpoint
        start = self._start(server, now)
        self._listed[server.name] = start
        if start.counted_ns == server.started_ns:
            return endpoint
        return replace(endpoint, server=replace(server, started_ns=start.counted_ns))

    def _start(self, server: interface.Server, now: int) -> Start:
        stated_ns = server.started_ns
        known = self._listed.get(server.name) or self._unlisted.pop(server.name, None)
        if known is not None and stated_ns in (0, known.stated_ns):
            return known  # "long ago" is no news of a process whose start is known
        if stated_ns == 0:
            return Start(0, 0)
        if not self._followed:
            return Start(stated_ns, min(stated_ns, now))
        self._new.append(stated_ns)
        return Start(stated_ns, now)

    def _unlist(self, names: Set[str]) -> None:
        for name in sorted(names):
            self._unlisted[name] = self._listed.pop(name)
        while len(self._unlisted) > MAX_SERVERS:
            del self._unlisted[next(iter(self._unlisted))]
