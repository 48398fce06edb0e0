"""Callbacks for later, in order of time, which can be cancelled.

A cancelled callback lets go of all that it refers to at once.  Its place in the queue is freed with it while
few are cancelled, and in one go once half of all are.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

MIN_CANCELLED_TO_REBUILD = 64  # below this many, rebuilding the queue costs more than it frees


class ScheduledCallback:
    """A callback for a certain time."""

    __slots__ = ("_queue", "callback")

    def __init__(self, queue: TimerQueue, callback: Callable[[], None]) -> None:
        self._queue: TimerQueue | None = queue
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Do not call back; this has no effect once the callback has been taken from the queue."""
        queue, self._queue, self.callback = self._queue, None, None
        if queue is not None:
            queue.count_cancelled()

    def take(self) -> Callable[[], None] | None:
        """The callback, which can't be cancelled any more; None if it was cancelled."""
        callback, self._queue, self.callback = self.callback, None, None
        return callback


class TimerQueue:
    """Callbacks by time; those for the same time are called in the order in which they were added."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, ScheduledCallback]] = []
        self._added = 0
        self._cancelled = 0

    def __len__(self) -> int:
        """The number of callbacks that are not cancelled."""
        return len(self._heap) - self._cancelled

    def add(self, at_ns: int, callback: Callable[[], None]) -> ScheduledCallback:
        """Call back at this time."""
        self._added += 1
        scheduled = ScheduledCallback(self, callback)
        heapq.heappush(self._heap, (at_ns, self._added, scheduled))
        return scheduled

    def take_due(self, now_ns: int) -> Callable[[], None] | None:
        """Remove and return the earliest callback that is due; None if none is."""
        while self._heap and self._heap[0][0] <= now_ns:
            callback = heapq.heappop(self._heap)[2].take()
            if callback is not None:
                return callback
            self._cancelled -= 1
        return None

    def next_due_ns(self) -> int | None:
        """The time of the earliest callback; None if there is none."""
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        return self._heap[0][0] if self._heap else None

    def count_cancelled(self) -> None:
        """Note that one more callback in the queue is cancelled."""
        self._cancelled += 1
        if self._cancelled >= MIN_CANCELLED_TO_REBUILD and 2 * self._cancelled > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0
