"""The table of clients' connections: its bound, the state of each, and whom to close for room."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from gingerworks.gateway import clock
from gingerworks.gateway.client import ClientConnection

EVICT_AT_ONCE = 8
GRACE_NS = 50 * clock.NS_PER_MS  # for a new client to ask, or one that leaves to read why, when room is short


class ClientTable:
    """All open connections of clients, at most ``budget``; the longest in their state come first in each."""

    def __init__(self, budget: int) -> None:
        self.budget = budget
        self.open: set[ClientConnection] = set()
        self.new: dict[ClientConnection, None] = {}  # they have not asked yet
        self.idle: dict[ClientConnection, None] = {}  # between requests
        self.leaving: dict[ClientConnection, None] = {}  # told the last that they will be told
        self.evicted: set[ClientConnection] = set()  # closed for room, and not ended yet

    @property
    def full(self) -> bool:
        """Whether no further connection may be opened."""
        return len(self.open) >= self.budget

    def add(self, client: ClientConnection) -> None:
        """A connection was accepted."""
        self.open.add(client)
        self.new[client] = None

    def busy(self, client: ClientConnection) -> None:
        """A request is being handled there."""
        self.new.pop(client, None)
        self.idle.pop(client, None)

    def forget(self, client: ClientConnection) -> None:
        """The connection is no more."""
        self.open.discard(client)
        self.evicted.discard(client)
        self._leave_states(client)

    def _leave_states(self, client: ClientConnection) -> None:
        for state in (self.new, self.idle, self.leaving):
            state.pop(client, None)

    def serves_none(self) -> bool:
        """Whether no connection holds a whole request that has no answer yet."""
        return not any(client.number or client.ready for client in self.open)

    def close_idle(self) -> None:
        """Close those between requests, and those that have not asked."""
        for client in [*self.new, *self.idle]:
            # Guards against closing on a request that has come but was not read yet: it counts as taken.
            if client.transport is not None and client.asks_nothing() and not client.unread():
                client.transport.close()

    def refuse_unfinished(self) -> None:
        """Refuse the requests that have not come whole."""
        for client in list(self.open):
            client.refuse_unfinished()

    def make_room(self) -> None:
        """Close connections, those first that matter least.

        Guards against hundreds that connect and say nothing, or hold on to a refusal, shutting out who asks:
        they go before clients that have asked and may ask again, and these before a request that has begun.
        Only where newcomers fill half of the table are they waited for: else one that has just come would
        keep all others waiting.
        """
        if self.evicted:
            return  # there will be room as soon as these have ended
        before = clock.now() - GRACE_NS
        if self._evict(client for client in self.leaving if client.since <= before):
            return
        silent = [client for client in self.new if not client.reading]
        if self._evict(client for client in silent if client.since <= before):
            return
        if 2 * len(silent) > self.budget or self._evict(client for client in self.idle if client.rests()):
            return
        self._evict(
            client
            for client in [*self.new, *self.idle]
            if client.reading and not client.unsent() and client.since <= before
        )

    def _evict(self, candidates: Iterable[ClientConnection]) -> bool:
        """Close some of these; whether there was one.

        Guards against closing on what has come but was not read yet, and against counting on the end of one
        that cannot end yet, as it was accepted but is not attached: nobody else would go meanwhile.
        """
        attached = (client for client in candidates if client.transport is not None)
        owed_nothing = (client for client in attached if not client.ready and not client.unread())
        chosen = list(islice(owed_nothing, EVICT_AT_ONCE))
        for client in chosen:
            self._leave_states(client)
            self.evicted.add(client)
            assert client.transport is not None
            client.transport.abort()
        return bool(chosen)
