"""Input of one client connection that was read and is not parsed yet.

While a request is in flight, what its client sends next stays here as plain bytes, which takes less memory
than parsed requests, and it is handed to the parser in small slices, so that one connection does not take a
whole turn of the event loop.  The arrival times of each read are kept with its bytes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from gingerworks.gateway.arrival_times import ArrivalTimes

MAX_SLICE_BYTES = 1024  # a slice has at most this size
END_OF_HEAD = b"\r\n\r\n"  # a slice ends here, so that it seldom holds more than one small request
CHUNK_OVERHEAD_BYTES = 200  # memory that one read takes beside its bytes


@dataclass(frozen=True, slots=True)
class Slice:
    """Bytes for the parser, and when they arrived."""

    data: bytes
    earliest_ns: int  # no byte came before this time
    last_byte_ns: int | None  # when the last byte came, if that is known


@dataclass(frozen=True, slots=True)
class _Chunk:
    """The bytes of one read; ``emptied`` says that the read took all that was unread."""

    data: bytes
    arrival: ArrivalTimes
    emptied: bool


class ReadAhead:
    """A queue of bytes: reads are added, slices are taken in the same order."""

    def __init__(self) -> None:
        self._chunks: deque[_Chunk] = deque()
        self._offset = 0  # so many bytes of the first chunk have been taken
        self.held_bytes = 0  # the memory that the queue takes

    def __bool__(self) -> bool:
        return bool(self._chunks)

    def add(self, data: bytes, arrival: ArrivalTimes, emptied: bool) -> None:
        """Add the bytes of one read."""
        if data:
            self._chunks.append(_Chunk(data, arrival, emptied))
            self.held_bytes += len(data) + CHUNK_OVERHEAD_BYTES

    def take_slice(self) -> Slice:
        """Remove and return the next slice; the queue must not be empty."""
        chunk = self._chunks[0]
        end = min(self._offset + MAX_SLICE_BYTES, len(chunk.data))
        head_end = chunk.data.find(END_OF_HEAD, self._offset, end)
        if head_end >= 0:
            end = head_end + len(END_OF_HEAD)
        data = chunk.data[self._offset : end]
        self._offset = end
        if end < len(chunk.data):
            return Slice(data, chunk.arrival.earliest_ns, None)
        self._chunks.popleft()
        self._offset = 0
        self.held_bytes -= len(chunk.data) + CHUNK_OVERHEAD_BYTES
        return Slice(data, chunk.arrival.earliest_ns, chunk.arrival.latest_ns if chunk.emptied else None)

    def clear(self) -> None:
        """Drop all bytes."""
        self._chunks.clear()
        self._offset = self.held_bytes = 0
