"""An event loop on virtual time: its clock jumps to the next timer when no socket is ready."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

MAX_TURNS = 2_000_000  # of the event loop: only a test that fails takes so many


class _Selector(selectors.DefaultSelector):  # type: ignore[misc, valid-type, unused-ignore]
    """Never waits: data written to a loopback socket is readable as soon as the write has returned."""

    skipped_s = 0.0
    turns = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready; if nothing is, add the time-out to the virtual time."""
        self.turns += 1
        if self.turns > MAX_TURNS:
            raise TimeoutError("the scenario does not end")
        ready: list[Any] = super().select(0)
        if not ready and timeout:
            self.skipped_s += timeout
        elif not ready and timeout is None:
            raise RuntimeError("nothing is left to wait for")
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """The standard event loop on virtual time, in seconds from 0."""

    def __init__(self) -> None:
        self.virtual_selector = _Selector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """The virtual time."""
        return self.virtual_selector.skipped_s


def run(scenario: Coroutine[Any, Any, T]) -> T:
    """Run a scenario on virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(scenario)
