"""The table of client connections: how many may be open, the state of each, and which to close for room.

A connection is new (no request was handled on it yet), busy, idle (between requests) or closing (its last
answer is written).  When the table is full, or descriptors run out, ``make_room`` closes some that matter
least.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from gingerworks.gateway import clock
from gingerworks.gateway.client import ClientConnection
from gingerworks.gateway.diagnostics import Diagnostics, Event

EVICTIONS_PER_ROUND = 8  # the most connections that one call of ``make_room`` closes
# Before it may be evicted, a new client has this long to send its request, and a client to which the last
# answer was written has this long to read it.
EVICTION_GRACE_NS = 50 * clock.NS_PER_MS


class ClientTable:
    """All open client connections, at most ``budget``; each state lists those first that entered it first."""

    def __init__(self, budget: int, diagnostics: Diagnostics) -> None:
        self.budget = budget
        self.diagnostics = diagnostics
        self.open: set[ClientConnection] = set()
        self.new: dict[ClientConnection, None] = {}  # connections on which no request was handled yet
        self.idle: dict[ClientConnection, None] = {}  # connections between requests
        self.closing: dict[ClientConnection, None] = {}  # connections whose last answer is written
        self.evicted: set[ClientConnection] = set()  # connections closed to make room that have not ended yet

    @property
    def full(self) -> bool:
        """Whether no further connection may be accepted."""
        return len(self.open) >= self.budget

    def add(self, client: ClientConnection) -> None:
        """A connection was accepted."""
        self.open.add(client)
        self.new[client] = None

    def request_started(self, client: ClientConnection) -> None:
        """A request is being handled on this connection."""
        self.new.pop(client, None)
        self.idle.pop(client, None)

    def remove(self, client: ClientConnection) -> None:
        """This connection has ended."""
        self.open.discard(client)
        self.evicted.discard(client)
        self._remove_from_states(client)

    def _remove_from_states(self, client: ClientConnection) -> None:
        for state in (self.new, self.idle, self.closing):
            state.pop(client, None)

    def no_request_pending(self) -> bool:
        """Whether no connection has a complete request that is not answered yet."""
        return not any(client.request_id or client.has_requests_ahead for client in self.open)

    def close_idle(self) -> None:
        """Close the idle connections, and the new ones with no request."""
        for client in [*self.new, *self.idle]:
            # Unread input may be a request, which is owed an answer.
            if client.transport is not None and client.has_no_request() and not client.has_unread_input():
                client.transport.close()

    def reject_incomplete(self) -> None:
        """Reject the requests that are still incomplete."""
        for client in list(self.open):
            client.reject_incomplete()

    def make_room(self) -> None:
        """Close up to ``EVICTIONS_PER_ROUND`` connections, of the first of these groups that has any.

        1. closing ones, whose clients have had time to read the last answer;
        2. new ones that have sent nothing, after the time of grace;
        3. idle ones, whose clients have sent requests before and may do so again;
        4. those with an incomplete request, after the time of grace.

        So hundreds of clients that connect and send nothing, or don't close after a rejection, can't keep
        out those that send requests.  While silent new connections fill more than half of the table, the
        idle ones are spared, and room is made only once the new ones' time of grace is over.  With fewer
        silent ones that would be wrong: each would delay all clients in the backlog by its time of grace.
        """
        if self.evicted:
            return  # the end of connections evicted before will make room
        # A connection's time of grace is over if it has been in its state since this moment or longer.
        latest_evictable_since_ns = clock.now() - EVICTION_GRACE_NS
        closing = (client for client in self.closing if client.state_since_ns <= latest_evictable_since_ns)
        if self._evict(closing, "its last answer is written"):
            return
        silent = [client for client in self.new if not client.receiving]
        silent_long = (client for client in silent if client.state_since_ns <= latest_evictable_since_ns)
        if self._evict(silent_long, "it has sent nothing"):
            return
        idle = (client for client in self.idle if client.is_idle())
        if 2 * len(silent) > self.budget or self._evict(idle, "it is between requests"):
            return
        incomplete = (
            client
            for client in [*self.new, *self.idle]
            if client.receiving
            and not client.has_unsent_output()
            and client.state_since_ns <= latest_evictable_since_ns
        )
        self._evict(incomplete, "its request is incomplete")

    def _evict(self, candidates: Iterable[ClientConnection], reason: str) -> bool:
        """Close up to ``EVICTIONS_PER_ROUND`` of the candidates; returns whether any was closed.

        Those with unread input are spared, as it may be a request.  So are those without a transport yet:
        they can't be closed, and no other would be evicted as long as ``evicted`` holds one that doesn't end.
        """
        attached = (client for client in candidates if client.transport is not None)
        evictable = (client for client in attached if not client.pending and not client.has_unread_input())
        chosen = list(islice(evictable, EVICTIONS_PER_ROUND))
        for client in chosen:
            self._remove_from_states(client)
            self.evicted.add(client)
            self.diagnostics.record(Event.CLIENT_EVICTED, reason)
            assert client.transport is not None
            client.transport.abort()
        return bool(chosen)
