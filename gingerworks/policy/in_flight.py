"""Requests in flight and their attempts: what may have run, and where another attempt is safe."""

from __future__ import annotations

from typing import Generic, TypeVar

from gingerworks import interface
from gingerworks.policy.guesses import Doubt
from gingerworks.policy.servers import Backend

# The type of a request's customer.  Customers hold requests, so their module imports this one.
CustomerT = TypeVar("CustomerT")


class Attempt:
    """One attempt of a request."""

    def __init__(self, backend: Backend, now: int) -> None:
        self.backend = backend
        self.sent_at = now
        self.out = True
        self.counted = True  # as load, until it is overdue
        self.may_have_run = True  # until an outcome proves that it did not


class InFlight(Generic[CustomerT]):
    """A request taken in: its attempts, what may have run and its deadline."""

    def __init__(
        self, request: interface.Request, kind: interface.RequestClass, customer: CustomerT, now: int
    ) -> None:
        self.request = request
        self.kind = kind
        self.customer = customer
        self.deadline = now + request.ttl_ns
        self.attempts: list[Attempt] = []
        self.closed = self.streaming = False
        self.doubt: Doubt | None = None  # what was known of its quota, if that was in doubt

    def out(self) -> int:
        """Attempts without an outcome."""
        return sum(attempt.out for attempt in self.attempts)

    def may_decline(self) -> bool:
        """Rule 2: a refusal says that trying again is harmless."""
        if self.kind.effect is interface.Effect.SAFE:
            return True
        ran = any(attempt.may_have_run for attempt in self.attempts)
        return not ran or (
            self.kind.effect is interface.Effect.KEYED and self.kind.dedup_group is interface.DedupGroup.ALL
        )

    def allows(self, backend: Backend, comes_by: int) -> bool:
        """Rule 2: whether an attempt that comes to this server by then cannot bring a second effect."""
        first = next((attempt for attempt in self.attempts if attempt.may_have_run), None)
        if first is None or self.kind.effect is interface.Effect.SAFE:
            return True
        if (
            self.kind.effect is interface.Effect.UNSAFE
            or comes_by - first.sent_at >= self.kind.dedup_window_ns
        ):
            return False
        here, there = first.backend.entry, backend.entry
        if self.kind.dedup_group is interface.DedupGroup.CELL:
            return (here.zone, here.cell) == (there.zone, there.cell)
        return self.kind.dedup_group is interface.DedupGroup.ALL or here.zone == there.zone
