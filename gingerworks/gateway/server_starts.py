"""When each server started, on this gateway's own clock.

Discovery reports start times as Unix times, in ``since_ms``.  If this machine's wall clock was stepped
before the gateway started, they are wrong by that step: with a clock that is ahead, a cold server looks
warm.  So a server whose start is new in a later list than the first counts as started at the moment when this
gateway learned of it, whatever ``since_ms`` says; that is never too early.  For the servers of the first
list, nothing better than ``since_ms`` is known.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, replace

from gingerworks import interface
from gingerworks.gateway import clock
from gingerworks.gateway.clock_check import ClockCheck
from gingerworks.gateway.server_list import MAX_SERVERS, Change, Endpoint


@dataclass(frozen=True, slots=True)
class Start:
    """When a server last started, by two clocks; a time of 0 means long ago."""

    reported_start_at_ns: int  # the Unix time that discovery reports
    local_start_at_ns: int  # the time on this gateway's clock, at which the server counts as started


class ServerStarts:
    """Remembers when each server started; a later list that reports the same start does not change this."""

    def __init__(self) -> None:
        self._listed: dict[str, Start] = {}
        self._unlisted: dict[str, Start] = {}  # servers that left the list; they may return without a restart
        self._discovery_answered = False  # once true, a new start happened while this gateway ran
        self._new_reported_starts_at_ns: list[int] = []  # reported times of the current list's new starts
        self.clock_check = ClockCheck()

    def correct_start_times(self, change: Change, cached: bool) -> Change:
        """Return the same change with start times on this gateway's clock.

        ``cached`` says that the list is the one in the configuration.  It may be old, so a start that is
        new in discovery's first list may have happened before this gateway ran.
        """
        now = clock.now()
        self._new_reported_starts_at_ns = []
        if change.full:
            self._mark_unlisted(self._listed.keys() - {endpoint.server.name for endpoint in change.endpoints})
        endpoints = tuple(self._correct_start_time(endpoint, now) for endpoint in change.endpoints)
        self._discovery_answered = self._discovery_answered or not cached
        self.clock_check.check_starts(self._new_reported_starts_at_ns, now)
        return replace(change, endpoints=endpoints)

    def _correct_start_time(self, endpoint: Endpoint, now: int) -> Endpoint:
        server = endpoint.server
        if server.phase is interface.Phase.GONE:
            self._mark_unlisted({server.name} & self._listed.keys())
            return endpoint
        start = self._find_start(server, now)
        self._listed[server.name] = start
        if start.local_start_at_ns == server.started_ns:
            return endpoint
        return replace(endpoint, server=replace(server, started_ns=start.local_start_at_ns))

    def _find_start(self, server: interface.Server, now: int) -> Start:
        reported_start_at_ns = server.started_ns
        known_start = self._listed.get(server.name) or self._unlisted.pop(server.name, None)
        if known_start is not None and reported_start_at_ns in (0, known_start.reported_start_at_ns):
            return known_start  # "long ago" says nothing new about a start that is known
        if reported_start_at_ns == 0:
            return Start(0, 0)
        if not self._discovery_answered:
            return Start(reported_start_at_ns, min(reported_start_at_ns, now))
        self._new_reported_starts_at_ns.append(reported_start_at_ns)
        return Start(reported_start_at_ns, now)

    def _mark_unlisted(self, names: Set[str]) -> None:
        for name in sorted(names):
            self._unlisted[name] = self._listed.pop(name)
        while len(self._unlisted) > MAX_SERVERS:
            del self._unlisted[next(iter(self._unlisted))]
