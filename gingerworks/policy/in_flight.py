"""Requests in flight and their attempts.

Keeps which attempts may have run, that is, may have had their effect on a server.  This decides whether the
client may be told to try again, and on which servers another attempt is safe.
"""

from __future__ import annotations

from typing import Generic, TypeVar

from gingerworks import interface
from gingerworks.policy.servers import Backend
from gingerworks.policy.speculative_admission import UncertainRequest
from gingerworks.policy.timer_queue import ScheduledCallback

# Stands for ``customer.Customer``, which cannot be imported: its module imports this one.
CustomerT = TypeVar("CustomerT")


class Attempt:
    """One attempt to have a request served, on one server."""

    __slots__ = ("backend", "counts_as_load", "in_flight", "may_have_run", "sent_ns")

    def __init__(self, backend: Backend, now: int) -> None:
        self.backend = backend
        self.sent_ns = now
        self.in_flight = True
        self.counts_as_load = True  # load shedding ignores an attempt once it is overdue
        self.may_have_run = True  # false once the attempt's outcome proves that the server did not run it


class InFlightRequest(Generic[CustomerT]):
    """A request from its arrival until its final answer and the outcomes of all its attempts.

    ``closed`` says that the final answer was given or the client has left, ``streaming`` that an answer has
    begun.
    """

    __slots__ = (
        "attempts",
        "callbacks",
        "closed",
        "customer",
        "deadline_ns",
        "needs_booking",
        "request",
        "request_class",
        "streaming",
        "uncertainty",
    )

    def __init__(
        self, request: interface.Request, request_class: interface.RequestClass, customer: CustomerT, now: int
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.customer = customer
        self.deadline_ns = now + request.ttl_ns
        self.attempts: list[Attempt] = []
        self.callbacks: list[ScheduledCallback] = []  # cancelled at its end, as they refer to the request
        self.closed = self.streaming = False
        # Set if the allowance known to this gateway did not cover the request, so that a reading of the
        # customer's shared count was considered.
        self.uncertainty: UncertainRequest | None = None
        # A reading that booked nothing would admit the request from the reserve of a ceiling.  Other gateways
        # may have found the same units, so the request is held for a reading that books its units.
        self.needs_booking = False

    def cancel_callbacks(self) -> None:
        """Cancel what is scheduled for this request."""
        for callback in self.callbacks:
            callback.cancel()
        self.callbacks.clear()

    def attempts_in_flight(self) -> int:
        """The number of attempts without an outcome."""
        return sum(attempt.in_flight for attempt in self.attempts)

    def may_decline(self) -> bool:
        """Whether the request may be refused, which tells the client that trying again is harmless."""
        if self.request_class.effect is interface.Effect.SAFE:
            return True
        may_have_run = any(attempt.may_have_run for attempt in self.attempts)
        return not may_have_run or (
            self.request_class.effect is interface.Effect.KEYED
            and self.request_class.dedup_group is interface.DedupGroup.ALL
        )

    def allows_attempt_on(self, backend: Backend, arrives_by_ns: int) -> bool:
        """Whether an attempt on this server, arriving by ``arrives_by_ns``, surely causes no second effect.

        That is so if the request is safe to repeat, or if no attempt may have run yet.  A keyed request may
        also be repeated within its deduplication window, counted from the first attempt that may have run, on
        the servers that drop repeats of what that attempt's server has run.
        """
        first = next((attempt for attempt in self.attempts if attempt.may_have_run), None)
        if first is None or self.request_class.effect is interface.Effect.SAFE:
            return True
        if (
            self.request_class.effect is interface.Effect.UNSAFE
            or arrives_by_ns - first.sent_ns >= self.request_class.dedup_window_ns
        ):
            return False
        first_entry, entry = first.backend.entry, backend.entry
        if self.request_class.dedup_group is interface.DedupGroup.CELL:
            return (first_entry.zone, first_entry.cell) == (entry.zone, entry.cell)
        return self.request_class.dedup_group is interface.DedupGroup.ALL or first_entry.zone == entry.zone
