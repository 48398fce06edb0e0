"""The table of clients' connections: its bound, the state of each, and whom to close for room."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from gingerworks.gateway import clock
from gingerworks.gateway.client import ClientConnection

EVICTIONS_PER_ROUND = 8
EVICTION_GRACE_NS = (
    50 * clock.NS_PER_MS
)  # for a new client to ask, or one that leaves to read why, when room is short


class ClientTable:
    """All open connections of clients, at most ``budget``; the longest in their state come first in each."""

    def __init__(self, budget: int) -> None:
        self.budget = budget
        self.open: set[ClientConnection] = set()
        self.new: dict[ClientConnection, None] = {}  # they have not asked yet
        self.idle: dict[ClientConnection, None] = {}  # between requests
        self.closing: dict[ClientConnection, None] = {}  # told the last that they will be told
        self.evicted: set[ClientConnection] = set()  # closed for room, and not ended yet

    @property
    def full(self) -> bool:
        """Whether no further connection may be opened."""
        return len(self.open) >= self.budget

    def add(self, client: ClientConnection) -> None:
        """A connection was accepted."""
        self.open.add(client)
        self.new[client] = None

    def request_started(self, client: ClientConnection) -> None:
        """A request is being handled there."""
        self.new.pop(client, None)
        self.idle.pop(client, None)

    def remove(self, client: ClientConnection) -> None:
        """The connection is no more."""
        self.open.discard(client)
        self.evicted.discard(client)
        self._remove_from_states(client)

    def _remove_from_states(self, client: ClientConnection) -> None:
        for state in (self.new, self.idle, self.closing):
            state.pop(client, None)

    def no_request_pending(self) -> bool:
        """Whether no connection holds a whole request that has no answer yet."""
        return not any(client.request_id or client.pending for client in self.open)

    def close_idle(self) -> None:
        """Close those between requests, and those that have not asked."""
        for client in [*self.new, *self.idle]:
            # Guards against closing on a request that has come but was not read yet: it counts as taken.
            if client.transport is not None and client.has_no_request() and not client.has_unread_input():
                client.transport.close()

    def reject_incomplete(self) -> None:
        """Refuse the requests that have not come whole."""
        for client in list(self.open):
            client.reject_incomplete()

    def make_room(self) -> None:
        """Close connections, those first that matter least.

        Guards against hundreds that connect and say nothing, or hold on to a refusal, shutting out who asks:
        they go before clients that have asked and may ask again, and these before a request that has begun.
        Only where newcomers fill half of the table are they waited for: else one that has just come would
        keep all others waiting.
        """
        if self.evicted:
            return  # there will be room as soon as these have ended
        before = clock.now() - EVICTION_GRACE_NS
        if self._evict(client for client in self.closing if client.state_since_ns <= before):
            return
        silent = [client for client in self.new if not client.receiving]
        if self._evict(client for client in silent if client.state_since_ns <= before):
            return
        if 2 * len(silent) > self.budget or self._evict(client for client in self.idle if client.is_idle()):
            return
        self._evict(
            client
            for client in [*self.new, *self.idle]
            if client.receiving and not client.has_unsent_output() and client.state_since_ns <= before
        )

    def _evict(self, candidates: Iterable[ClientConnection]) -> bool:
        """Close some of these; whether there was one.

        Guards against closing on what has come but was not read yet, and against counting on the end of one
        that cannot end yet, as it was accepted but is not attached: nobody else would go meanwhile.
        """
        attached = (client for client in candidates if client.transport is not None)
        owed_nothing = (client for client in attached if not client.pending and not client.has_unread_input())
        chosen = list(islice(owed_nothing, EVICTIONS_PER_ROUND))
        for client in chosen:
            self._remove_from_states(client)
            self.evicted.add(client)
            assert client.transport is not None
            client.transport.abort()
        return bool(chosen)
