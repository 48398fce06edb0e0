"""Bounds the memory that the requests of all clients take from their first byte to their answer.

Beyond the limit, the client whose incomplete request is the largest is told to try again later, then the
next one.  So clients that send much and stop, or send slowly, give way, and small requests still get in.
Complete requests stay: each is owed its answer.
"""

from __future__ import annotations

from typing import Protocol

READ_AHEAD_SHARE = 0.5  # beyond this share of the limit, no client is read further than it has to be


class InputHolder(Protocol):
    """A client connection, as far as its input is concerned."""

    def reject_for_memory(self) -> None:
        """Reject its incomplete request, and count its input again."""


class HeldInput:
    """The input held for all clients together."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._incomplete_bytes: dict[InputHolder, int] = {}  # what rejecting each incomplete request frees
        self._shedding = False

    @property
    def is_scarce(self) -> bool:
        """Whether so much is held that nothing should be read ahead of its turn."""
        return self.total_bytes >= READ_AHEAD_SHARE * self.limit_bytes

    def change(self, holder: InputHolder, size: int, incomplete_bytes: int) -> None:
        """Count input that is held from now on, or is not held any more (``size`` below 0).

        ``incomplete_bytes`` is what would be freed if the holder's incomplete request were rejected.
        """
        self.total_bytes += size
        if incomplete_bytes:
            self._incomplete_bytes[holder] = incomplete_bytes
        else:
            self._incomplete_bytes.pop(holder, None)
        if size > 0 and not self._shedding:
            self._shed()

    def _shed(self) -> None:
        """Have the largest incomplete requests rejected until the rest is within the limit."""
        self._shedding = True
        while self.total_bytes > self.limit_bytes and self._incomplete_bytes:
            largest = max(self._incomplete_bytes, key=self._incomplete_bytes.__getitem__)
            del self._incomplete_bytes[largest]
            largest.reject_for_memory()
        self._shedding = False
