"""The interface through which a client connection calls its owner, the front end.

It exists because the front end imports the connection: the connection can't import the front end in turn.
"""

from __future__ import annotations

import asyncio
from typing import Protocol, TypeVar

from gingerworks.gateway.answer_memory import UnsentAnswers
from gingerworks.gateway.diagnostics import Diagnostics
from gingerworks.gateway.held_input import HeldInput
from gingerworks.gateway.requests import Message

Connection = TypeVar("Connection", contravariant=True)


class ConnectionOwner(Protocol[Connection]):
    """Keeps the table of client connections and passes their requests on."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of all connections."""

    @property
    def diagnostics(self) -> Diagnostics:
        """Where a connection records why it rejects a request or ends."""

    @property
    def read_buffer(self) -> memoryview:
        """The buffer for a connection's next read; shared by all, so each read is parsed at once."""

    @property
    def held_input(self) -> HeldInput:
        """Bounds the input that is held for all clients."""

    @property
    def unsent_answers(self) -> UnsentAnswers:
        """Bounds the answers that clients have not read."""

    @property
    def shutting_down(self) -> bool:
        """Whether the graceful shutdown has begun."""

    @property
    def backlog_empty_at_ns(self) -> int:
        """When the listen backlog was last found empty: no connection accepted since is older."""

    def process_later(self, client: Connection) -> None:
        """Call the connection's ``continue_processing`` in a later turn of the event loop."""

    def transport_attached(self) -> None:
        """The event loop has given an accepted connection its transport, so it can be closed now."""

    def request_started(self, client: Connection) -> None:
        """A request is being handled on this connection."""

    def connection_idle(self, client: Connection) -> None:
        """All requests on this connection are answered; it stays open for the next one."""

    def connection_closing(self, client: Connection) -> None:
        """The last answer on this connection was written."""

    def connection_closed(self, client: Connection) -> None:
        """This connection has ended."""

    def submit_request(self, client: Connection, message: Message) -> int | None:
        """Validate a request and pass it on for handling.

        Returns its id, or None for a health check; raises ``RequestRejected`` if it is not valid.
        """

    def request_cancelled(self, request_id: int) -> None:
        """The client of a request has disconnected before the answer."""

    def reads_further_requests(self) -> bool:
        """During shutdown: whether the gateway still reads further requests from open connections."""
