"""Requests in flight and their attempts: what may have run, and where another attempt is safe."""

from __future__ import annotations

from typing import Generic, TypeVar

from gingerworks import interface
from gingerworks.policy.servers import Backend
from gingerworks.policy.speculative_admission import UncertainRequest

# The type of a request's customer.  Customers hold requests, so their module imports this one.
CustomerT = TypeVar("CustomerT")


class Attempt:
    """One attempt of a request."""

    def __init__(self, backend: Backend, now: int) -> None:
        self.backend = backend
        self.sent_ns = now
        self.in_flight = True
        self.counts_as_load = True  # as load, until it is overdue
        self.may_have_run = True  # until an outcome proves that it did not


class InFlightRequest(Generic[CustomerT]):
    """A request taken in: its attempts, what may have run and its deadline."""

    def __init__(
        self, request: interface.Request, request_class: interface.RequestClass, customer: CustomerT, now: int
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.customer = customer
        self.deadline_ns = now + request.ttl_ns
        self.attempts: list[Attempt] = []
        self.closed = self.streaming = False
        self.uncertainty: UncertainRequest | None = None  # what was known of its quota, if that was in doubt

    def attempts_in_flight(self) -> int:
        """Attempts without an outcome."""
        return sum(attempt.in_flight for attempt in self.attempts)

    def may_decline(self) -> bool:
        """Rule 2: a refusal says that trying again is harmless."""
        if self.request_class.effect is interface.Effect.SAFE:
            return True
        ran = any(attempt.may_have_run for attempt in self.attempts)
        return not ran or (
            self.request_class.effect is interface.Effect.KEYED
            and self.request_class.dedup_group is interface.DedupGroup.ALL
        )

    def allows_attempt_on(self, backend: Backend, arrives_by_ns: int) -> bool:
        """Rule 2: whether an attempt that comes to this server by then cannot bring a second effect."""
        first = next((attempt for attempt in self.attempts if attempt.may_have_run), None)
        if first is None or self.request_class.effect is interface.Effect.SAFE:
            return True
        if (
            self.request_class.effect is interface.Effect.UNSAFE
            or arrives_by_ns - first.sent_ns >= self.request_class.dedup_window_ns
        ):
            return False
        here, there = first.backend.entry, backend.entry
        if self.request_class.dedup_group is interface.DedupGroup.CELL:
            return (here.zone, here.cell) == (there.zone, there.cell)
        return self.request_class.dedup_group is interface.DedupGroup.ALL or here.zone == there.zone
