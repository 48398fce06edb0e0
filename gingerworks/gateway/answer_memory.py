"""Bounds the memory that answers take: while servers send them, and until clients have read them.

``ReceivedAnswers`` lets connections to servers wait while the answers that are being received fill their
part of the memory; what they were sent stays in the kernel meanwhile.  ``UnsentAnswers`` closes the client
connections that have left their answers unread for longest, once all unread answers fill theirs.
"""

from __future__ import annotations

from typing import Protocol

READ_BYTES = 64 * 1024  # the most that one read takes from a server


class AnswerReader(Protocol):
    """A connection to a server, as far as the reading of its answer is concerned."""

    def resume_reading(self) -> None:
        """Read on: there is room again."""


class ReceivedAnswers:
    """The answers that are being received."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held_bytes: dict[AnswerReader, int] = {}  # in the order in which the answers began
        self._waiting: dict[AnswerReader, None] = {}
        self.total_bytes = 0

    def may_read(self, reader: AnswerReader) -> bool:
        """Whether a connection may read on; if not, it is told by ``resume_reading`` when it may.

        The answer that began first is always read on, so that one at least can end.
        """
        first = next(iter(self._held_bytes), reader)
        if self.total_bytes < self._limit_bytes or reader is first:
            return True
        self._waiting[reader] = None
        return False

    def add(self, reader: AnswerReader, size: int) -> None:
        """Count bytes of an answer that is not complete."""
        self._held_bytes[reader] = self._held_bytes.get(reader, 0) + size
        self.total_bytes += size

    def release(self, reader: AnswerReader) -> None:
        """The answer has ended, or its connection has."""
        self._waiting.pop(reader, None)
        self.total_bytes -= self._held_bytes.pop(reader, 0)
        room_bytes = self._limit_bytes - self.total_bytes
        while self._waiting and (room_bytes > 0 or not self._held_bytes):
            next_reader = next(iter(self._waiting))
            del self._waiting[next_reader]
            next_reader.resume_reading()
            room_bytes -= READ_BYTES
            if room_bytes <= 0:
                return


class AnswerReceiver(Protocol):
    """A client connection, as far as its unread answers are concerned."""

    @property
    def unsent_bytes(self) -> int:
        """The bytes of its answers that the kernel has not accepted."""

    def close_unread(self, reason: str) -> None:
        """Close the connection, although its client has not read all."""


class UnsentAnswers:
    """The answers that clients have not read, as far as the kernel does not hold them."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._receivers: dict[AnswerReceiver, None] = {}  # in the order in which they fell behind

    def add(self, receiver: AnswerReceiver) -> None:
        """A client has fallen behind; close those that did so first while too much is unread."""
        self._receivers[receiver] = None
        unsent = {one: one.unsent_bytes for one in self._receivers}
        self._receivers = {one: None for one, size in unsent.items() if size}
        total_bytes = sum(unsent.values())
        for one in list(self._receivers):
            if total_bytes <= self._limit_bytes:
                return
            total_bytes -= unsent[one]
            del self._receivers[one]
            one.close_unread("its unread answers take too much memory")

    def remove(self, receiver: AnswerReceiver) -> None:
        """The connection has ended."""
        self._receivers.pop(receiver, None)
