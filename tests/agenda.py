"""An agenda of callbacks on virtual time, in nanoseconds, for simulations of fleets."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Agenda:
    """Calls back in the order of the times; for the same time, in the order of the calls of ``schedule``."""

    def __init__(self) -> None:
        self._entries: list[tuple[int, int, Callable[[int], None]]] = []
        self._serial = itertools.count()

    def schedule(self, at: int, callback: Callable[[int], None]) -> None:
        """Call back at this time, which the callback is told."""
        heapq.heappush(self._entries, (at, next(self._serial), callback))

    def run_until(self, end_ns: int) -> None:
        """Make the calls that are due before the end; there has to be one that is due later."""
        while self._entries[0][0] < end_ns:
            now, _, callback = heapq.heappop(self._entries)
            callback(now)
