"""What a client's connection needs of its owner, so that it need not import the front end that creates it."""

from __future__ import annotations

import asyncio
from typing import Protocol, TypeVar

from gingerworks.gateway.requests import Message

Connection = TypeVar("Connection", contravariant=True)


class ConnectionOwner(Protocol[Connection]):
    """The owner of clients' connections: it keeps their table and carries out their requests."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of all connections."""

    @property
    def read_buffer(self) -> memoryview:
        """Where a connection reads to; shared by all, so what is in it has to be parsed at once."""

    @property
    def shutting_down(self) -> bool:
        """Whether the graceful end has begun."""

    @property
    def backlog_empty_at_ns(self) -> int:
        """When nobody was last found waiting to be accepted."""

    def connection_attached(self) -> None:
        """A connection that was accepted can be read now."""

    def request_started(self, client: Connection) -> None:
        """A request is being handled on this connection."""

    def connection_idle(self, client: Connection) -> None:
        """Nothing is held on this connection; it stays open for the next request."""

    def connection_closing(self, client: Connection) -> None:
        """This connection was told the last that it will be told."""

    def connection_closed(self, client: Connection) -> None:
        """This connection is no more."""

    def submit_request(self, client: Connection, message: Message) -> int | None:
        """Check a request and hand it over.

        Returns its number, or none for a health check; raises ``RequestRejected`` where it is malformed.
        """

    def request_cancelled(self, number: int) -> None:
        """The client has left before request ``number`` was answered."""

    def reserve_body_bytes(self, size: int) -> bool:
        """Count ``size`` more bytes of bodies that are held; false where that would be too many."""

    def keeps_reading(self) -> bool:
        """While ending: whether what a connection still holds is waited for."""
