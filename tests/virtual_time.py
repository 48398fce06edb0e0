"""A loop whose clock jumps to the next timer while no socket has anything to say: hours pass in no time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

TURNS_MOST = 2_000_000  # of the loop: only a failure takes so many


class _Selector(selectors.DefaultSelector):  # type: ignore[misc, valid-type, unused-ignore]
    """Never waits: loopback sockets hold what was written to them as soon as the write has returned."""

    skipped_s = 0.0
    turns = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        """What is ready; where nothing is, the time that would have been waited has passed."""
        self.turns += 1
        if self.turns > TURNS_MOST:
            raise TimeoutError("the scenario does not end")
        ready: list[Any] = super().select(0)
        if not ready and timeout:
            self.skipped_s += timeout
        elif not ready and timeout is None:
            raise RuntimeError("nothing is left to wait for")
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """The standard loop on virtual time, in seconds from 0."""

    def __init__(self) -> None:
        self.virtual = _Selector()
        super().__init__(self.virtual)

    def time(self) -> float:
        """Seconds that timers have passed."""
        return self.virtual.skipped_s


def run(scenario: Coroutine[Any, Any, T]) -> T:
    """Play a scenario on virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(scenario)
